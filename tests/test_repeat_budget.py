"""Repeats of a fleet whose callers move and whose hosts are killed.

The operator limits repeats as a sum over all hosts. The schedules are drawn
from seeds: callers move between hosts, hosts are killed and start again, and
upstreams fail for a while, so that every request is repeated as often as its
host permits.
"""

import random
import unittest
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import accumulate
from typing import Final

from nutmegroad.relay.budgets import Purpose, RepeatBudget, RepeatLimit
from nutmegroad.testing.virtual import ManualClock
from tests.relay_samples import ENGINES

#: The operator's limit.
RATIO: Final = 0.9
WINDOW: Final = 10.0
#: Seconds between two steps of a schedule.
STEP: Final = 0.1
#: Most requests that arrive in one step.
MAX_ARRIVALS: Final = 4
#: Seconds of a random schedule.
DURATION: Final = 40
#: Most attempts of one request.
MAX_ATTEMPTS: Final = 5
#: Seconds for which a request lasts whose attempts fail.
REQUEST_SECONDS: Final = 10.0


def slack(hosts: int) -> float:
    """Return the constant part of the operator's limit for a fleet."""
    return 40.0 + 2 * hosts


def worst_excess(
    requests: list[int], repeats: list[int], constant: float
) -> float:
    """Return by how much the worst window exceeds the operator's limit.

    Args:
        requests: Number of requests in each step.
        repeats: Number of repeats in each step.
        constant: The constant part of the limit.
    """
    span = round(WINDOW / STEP)
    pause = (0,) * span
    # No window begins before the first step or ends after the last one.
    arrived = list(accumulate([*pause, *requests, *pause], initial=0))
    repeated = list(accumulate([*pause, *repeats, *pause], initial=0))

    def limit(start: int) -> float:
        counted = max(
            arrived[start + span - back] - arrived[start - back]
            for back in (0, span // 2, span)
        )
        return RATIO * counted + constant

    return max(
        repeated[start + span] - repeated[start] - limit(start)
        for start in range(span, len(requests) + span)
    )


@dataclass(slots=True)
class _Pending:
    """A request whose attempts fail.

    Attributes:
        expires_at: Clock seconds at which its caller gives up.
        attempts: Number of attempts so far.
    """

    expires_at: float
    attempts: int = 1


@dataclass(slots=True)
class _Host:
    """A host of the fleet.

    Attributes:
        budget: Its budget; a new one after each start.
        pending: Requests that it may repeat.
    """

    budget: RepeatBudget
    pending: list[_Pending] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Moment:
    """What happens in one step of a schedule.

    Attributes:
        arrivals: For each request that arrives, the number of its host.
        killed: Numbers of hosts that are killed and start again.
        failing: Whether all attempts fail.
    """

    arrivals: tuple[int, ...]
    killed: tuple[int, ...]
    failing: bool


class Fleet:
    """Plays a schedule on the budgets of a fleet.

    Args:
        hosts: Number of hosts.
    """

    def __init__(self, hosts: int) -> None:
        self._requests: list[int] = []
        self._repeats: list[int] = []
        self._clock = ManualClock()
        self._size = hosts
        self._hosts = [self._start() for _ in range(hosts)]

    def play(self, schedule: Iterator[Moment]) -> float:
        """Return by how much the worst window exceeds the limit."""
        for moment in schedule:
            self._clock._now += STEP
            self._step(moment)
        return worst_excess(self._requests, self._repeats, slack(self._size))

    def _start(self) -> _Host:
        limit = RepeatLimit(RATIO, WINDOW, slack(self._size))
        return _Host(RepeatBudget(self._clock, limit, lambda: self._size))

    def _step(self, moment: Moment) -> None:
        now = self._clock.now()
        for number in moment.killed:
            self._hosts[number] = self._start()
        for number in moment.arrivals:
            self._hosts[number].budget.count_request(ENGINES)
            self._hosts[number].pending.append(_Pending(now + REQUEST_SECONDS))
        repeats = 0
        if moment.failing:
            repeats = sum(self._repeat(host, now) for host in self._hosts)
        self._requests.append(len(moment.arrivals))
        self._repeats.append(repeats)

    def _repeat(self, host: _Host, now: float) -> int:
        """Repeat requests as often as the budget allows; return how many."""
        host.pending = [
            each
            for each in host.pending
            if each.expires_at > now and each.attempts < MAX_ATTEMPTS
        ]
        repeats = 0
        for each in host.pending:
            if not host.budget.spend(ENGINES, Purpose.FAILURE):
                break
            each.attempts += 1
            repeats += 1
        return repeats


@dataclass(frozen=True, slots=True)
class Pattern:
    """What a schedule is made of.

    Attributes:
        rate: Requests per second of the fleet.
        callers_at: Returns the hosts that callers use at a time.
        killed_at: Returns the hosts that are killed at a time.
        failing_at: Returns whether attempts fail at a time.
    """

    rate: float
    callers_at: Callable[[float], tuple[int, ...]]
    killed_at: Callable[[float], tuple[int, ...]]
    failing_at: Callable[[float], bool]

    def schedule(
        self, seconds: float, randomness: random.Random
    ) -> Iterator[Moment]:
        """Yield the steps of a schedule."""
        for step in range(round(seconds / STEP)):
            time = step * STEP
            count = sum(
                randomness.random() < self.rate * STEP / MAX_ARRIVALS
                for _ in range(MAX_ARRIVALS)
            )
            hosts = self.callers_at(time)
            yield Moment(
                tuple(randomness.choice(hosts) for _ in range(count)),
                self.killed_at(time),
                self.failing_at(time),
            )


def _never(time: float) -> tuple[int, ...]:
    """Return the hosts that are killed where none is."""
    return ()


def _at(*moments: float) -> Callable[[float], bool]:
    """Return a function that tells whether one of these moments has come."""
    return lambda time: any(abs(time - each) < STEP / 2 for each in moments)


def random_pattern(hosts: int, randomness: random.Random) -> Pattern:
    """Draw a pattern of moving callers, kills and failures."""
    everyone = tuple(range(hosts))
    moves = sorted(randomness.uniform(0, DURATION) for _ in range(6))
    crowds = [
        tuple(randomness.sample(everyone, randomness.randint(1, hosts)))
        for _ in range(7)
    ]
    kills = {
        round(randomness.uniform(0, DURATION) / STEP): tuple(
            randomness.sample(everyone, randomness.randint(1, hosts))
        )
        for _ in range(randomness.randint(0, 4))
    }
    failures = [
        (start, start + randomness.uniform(0.5, 8))
        for start in sorted(randomness.sample(range(DURATION - 5), k=3))
    ]
    return Pattern(
        rate=randomness.choice((8, 27, 40)),
        callers_at=lambda time: crowds[sum(move <= time for move in moves)],
        killed_at=lambda time: kills.get(round(time / STEP), ()),
        failing_at=lambda time: any(a <= time < b for a, b in failures),
    )


class FleetBudgetTest(unittest.TestCase):
    """The sum over hosts stays within the operator's limit."""

    # Guards against a sum of each host's own largest window: callers that move
    # are counted by the host that they left and by the one that they came to.
    def test_callers_that_move_are_not_counted_twice(self) -> None:
        nine = tuple(range(9))
        pattern = Pattern(
            27,
            lambda time: nine if time < 10 else nine[:4],
            _never,
            lambda time: 8 <= time < 10 or 16 <= time < 20,
        )
        self._check(9, pattern)

    # Guards against repeats that a killed host no longer knows of, while the
    # requests after its start allow new ones in the same window.
    def test_killed_hosts_do_not_spend_a_window_twice(self) -> None:
        nine = tuple(range(9))
        killed = _at(10)
        pattern = Pattern(
            27,
            lambda time: nine,
            lambda time: nine if killed(time) else (),
            lambda time: 8 <= time < 10 or 16 <= time < 20,
        )
        self._check(9, pattern)

    # Guards against schedules that nobody has thought of.
    def test_no_schedule_exceeds_the_limit(self) -> None:
        for seed in range(150):
            with self.subTest(seed=seed):
                randomness = random.Random(seed)
                hosts = randomness.choice((2, 3, 9))
                pattern = random_pattern(hosts, randomness)
                excess = Fleet(hosts).play(
                    pattern.schedule(DURATION, randomness)
                )
                self.assertLessEqual(excess, 0)

    def _check(self, hosts: int, pattern: Pattern) -> None:
        for seed in range(5):
            with self.subTest(seed=seed):
                schedule = pattern.schedule(30, random.Random(seed))
                self.assertLessEqual(Fleet(hosts).play(schedule), 0)
