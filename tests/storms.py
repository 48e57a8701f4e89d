"""Storms of requests that crash upstreams, and what came of one.

``storm_rig`` plays them.
"""

import random
from collections import Counter
from dataclasses import dataclass, field, replace
from enum import Enum, unique
from typing import Final

from nutmegroad.routes.requests import PartId

#: Maximum number of upstreams that may execute one request.
MAX_ATTEMPTS: Final = 3
#: Crashes by which hosts may learn of a harmful part.
CRASHES_TO_LEARN: Final = 5
#: Requests with it that may reach upstreams later.
LATER_REQUESTS: Final = 3


@unique
class Result(Enum):
    """What a caller got."""

    SERVED = 'served'
    BLOCKED = 'blocked'
    UNAVAILABLE = 'unavailable'
    BROKEN = 'broken'


@dataclass(frozen=True, slots=True)
class Storm:
    """Traffic and failures of one simulation.

    Attributes:
        hosts: Number of hosts.
        domains: Number of their failure domains.
        upstreams: Number of upstreams.
        slots: Requests that an upstream executes at a time.
        contact: Seconds in which a host that is in touch has to learn.
        sound_rate: Sound requests per second, to all hosts together.
        bad_rate: Requests per second with a harmful part.
        place: Position of the harmful part in its prompt.
        bad_parts: Number of harmful parts.
        attempts: Maximum number of upstreams that may execute a request.
        kills: Seconds at which some of the hosts are killed.
        kill_share: Fraction of the hosts that is killed.
        outages: Seconds at which all upstreams of one domain lose power.
        store_away: Seconds from and until which the store is unavailable.
        is_cut: Whether the hosts of one domain receive no datagrams of others.
        sound_before: Seconds of sound traffic before the first harmful one.
        duration: Seconds of traffic with harmful requests.
    """

    hosts: int = 8
    domains: int = 3
    upstreams: int = 5
    slots: int = 64
    contact: float = 3.0
    sound_rate: float = 20.0
    bad_rate: float = 3.0
    place: int = 1
    bad_parts: int = 1
    attempts: int = MAX_ATTEMPTS
    kills: tuple[float, ...] = ()
    kill_share: float = 0.3
    outages: tuple[float, ...] = ()
    store_away: tuple[float, float] = (0, 0)
    is_cut: bool = False
    sound_before: float = 5.0
    duration: float = 25.0


@dataclass(slots=True)
class Outcome:
    """What happened in a simulation.

    Attributes:
        crashes: Times of the crashes under each harmful part, in order.
        arrivals: Times at which requests with it reached an upstream.
        sound: Results of sound requests, by the time of their arrival.
    """

    crashes: dict[PartId, list[float]] = field(default_factory=dict)
    arrivals: dict[PartId, list[float]] = field(default_factory=dict)
    sound: list[tuple[float, Result]] = field(default_factory=list)

    def late_arrivals(self, contact: float) -> int:
        """Return the most requests of a part that came after it was known."""
        return max(
            (
                sum(
                    time > crashes[CRASHES_TO_LEARN - 1] + contact
                    for time in self.arrivals[part]
                )
                for part, crashes in self.crashes.items()
                if len(crashes) >= CRASHES_TO_LEARN
            ),
            default=0,
        )

    def known_at(self) -> float:
        """Return when the last harmful part had crashed enough upstreams."""
        times = [
            crashes[:CRASHES_TO_LEARN][-1]
            for crashes in self.crashes.values()
            if crashes
        ]
        return max(times, default=0)

    def served_share(self, begin: float, end: float) -> float:
        """Return the fraction of sound requests in a span that were served."""
        answers = [got for time, got in self.sound if begin <= time < end]
        if not answers:
            return 1
        return answers.count(Result.SERVED) / len(answers)

    def counts(self, begin: float) -> Counter[str]:
        """Return the results of sound requests from a time on."""
        return Counter(got.value for time, got in self.sound if time >= begin)


def random_storm(seed: int, fleet: Storm) -> Storm:
    """Return a storm with random traffic and failures.

    Args:
        seed: Seed of what is drawn.
        fleet: Has the sizes and the rate of sound requests when it is thick.
    """
    randomness = random.Random(seed)
    before = randomness.choice((0.2, 3.0, 6.0))
    moments = (before + 0.5, before + 2, before + 5, before + 8)
    away = randomness.choice((0, 0, 0, before))
    return replace(
        fleet,
        sound_rate=fleet.sound_rate * randomness.choice((0.1, 0.5, 1)),
        bad_rate=0.2 * 100 ** randomness.random(),
        place=randomness.randrange(3),
        bad_parts=randomness.choice((1, 1, 2, 3)),
        attempts=randomness.choice((1, MAX_ATTEMPTS)),
        kills=randomness.choice(((), moments[:1], moments[1:3])),
        kill_share=randomness.choice((0.1, 0.4, 1)),
        outages=randomness.choice(((), (), moments[:2])),
        store_away=(away, 1.5 * away),
        is_cut=randomness.randrange(5) == 0,
        sound_before=before,
    )
