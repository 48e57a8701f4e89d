"""Versions that turn bad, and the streams of answers that show it."""

import math
import random
from collections import deque
from dataclasses import dataclass, field
from typing import Final

from nutmegroad.foundations.types import (
    TaskName,
    VersionId,
)
from nutmegroad.rollouts.evidence import (
    Moments,
    Tally,
)

OLD: Final = VersionId('m@1')
NEW: Final = VersionId('m@2')
TASK: Final = TaskName('manifest')
OTHER_TASK: Final = TaskName('swap')
HOUR: Final = 3600
#: Second at which a bad version turns bad.
TURN: Final = 600
GOOD: Final = 0.9
#: A version whose quality has fallen by so much is bad.
BAD_FALL: Final = 0.1
#: Logarithms of an answer's usual tokens and seconds to the first.
LENGTH: Final = 5.3
FIRST: Final = -1.5
#: Share of a good version's attempts that fail.
USUAL_ERRORS: Final = 0.01
#: Share of good answers that are rated 0.
ZEROES: Final = 0.01


@dataclass(frozen=True, slots=True)
class Scenario:
    """What happens to a version.

    Attributes:
        name: What it is called in the table.
        rate: Requests a second of the task class that the version gets.
        drop: How far its quality falls.
        over: Seconds over which it falls.
        errors: Share of its attempts that fail from then on.
        shorter: Factor by which its answers become shorter.
        rollout: It is in roll-out, beside the version before it.
        share: Its share of the task's requests, in a roll-out.
        deviation: Spread of the ratings.
        delay: Seconds until an answer is rated.
        sampled: Share of answers that are rated.
        seconds: How long it is watched.
    """

    name: str
    rate: float = 5
    drop: float = 0
    over: float = 1
    errors: float = 0
    shorter: float = 1
    rollout: bool = False
    share: float = 1
    deviation: float = 0.08
    delay: float = 1
    sampled: float = 1
    seconds: int = TURN + HOUR

    @property
    def turned(self) -> int:
        """Return the second from which the version counts as bad.

        A slow one does once its quality has fallen by ``BAD_FALL``.
        """
        if self.drop <= BAD_FALL:
            return TURN
        return TURN + math.floor(self.over * BAD_FALL / self.drop)

    def fall(self, second: int) -> float:
        """Return how far the quality has fallen."""
        return self.drop * min(max((second - TURN) / self.over, 0), 1)


SCENARIOS: Final = (
    Scenario('bad at once, 0.4 lower', drop=0.4),
    Scenario('bad at once, 0.2 lower', drop=0.2),
    Scenario('bad at once, 0.1 lower', drop=0.1),
    Scenario('bad over 10 minutes, 0.4 lower', drop=0.4, over=600),
    Scenario('bad over an hour, 0.3 lower', drop=0.3, over=HOUR),
    Scenario('bad at once, wide ratings', drop=0.4, deviation=0.2),
    Scenario('bad at once, a fifth rated', drop=0.4, sampled=0.2),
    Scenario('bad at once, rated 30 s late', drop=0.4, delay=30),
    Scenario('roll-out at 5%, bad', drop=0.4, rollout=True, share=0.05),
    Scenario('a third of attempts fail', errors=0.33),
    Scenario('answers half as long', shorter=2),
)
#: Good versions, watched for ten hours each.
HEALTHY: Final = (
    Scenario('good', seconds=10 * HOUR),
    Scenario('good, wide ratings', seconds=10 * HOUR, deviation=0.2),
    Scenario('good roll-out', rollout=True, share=0.5, seconds=10 * HOUR),
)


@dataclass(slots=True)
class Stream:
    """A version's answers, ratings and failures, drawn second by second.

    Attributes:
        scenario: What happens.
        randomness: Of all draws.
        watched: Whether it is the version that may turn bad.
        pending: Ratings that are not due yet, and when they are.
    """

    scenario: Scenario
    randomness: random.Random
    watched: bool = True
    pending: deque[tuple[float, float]] = field(default_factory=deque)

    def requests(self, rate: float) -> int:
        """Return how many requests come in a second."""
        whole = int(rate)
        return whole + (self.randomness.random() < rate - whole)

    def score(self, fall: float) -> float:
        """Return the rating of an answer."""
        if self.randomness.random() < ZEROES:
            return 0
        spread = self.scenario.deviation
        return min(max(self.randomness.gauss(GOOD - fall, spread), 0), 1)

    def due(self, second: int) -> list[float]:
        """Return the ratings that came in by a second."""
        scores = []
        while self.pending and self.pending[0][0] <= second:
            scores.append(self.pending.popleft()[1])
        return scores

    def serve(self, second: int, rate: float) -> Tally:
        """Answer a second's requests, and have a sample of them rated."""
        attempts = [self._attempt(second) for _ in range(self.requests(rate))]
        lengths = [length for length in attempts if length is not None]
        firsts = [self.randomness.gauss(FIRST, 0.5) for _ in lengths]
        return Tally(
            answers=len(lengths),
            errors=len(attempts) - len(lengths),
            first_token=_moments(firsts),
            length=_moments(lengths),
        )

    def _attempt(self, second: int) -> float | None:
        """Return the logarithm of an answer's tokens; None if it failed."""
        chance = self.randomness.random
        turned = self.watched and second >= TURN
        errors = max(self.scenario.errors * turned, USUAL_ERRORS)
        if chance() < errors:
            return None
        if chance() < self.scenario.sampled:
            fall = self.scenario.fall(second) if self.watched else 0
            due = second + self.scenario.delay
            self.pending.append((due, self.score(fall)))
        shorter = math.log(self.scenario.shorter) if turned else 0
        return self.randomness.gauss(LENGTH, 0.7) - shorter


def _moments(numbers: list[float]) -> Moments:
    """Return the moments of some values."""
    squares = sum(number * number for number in numbers)
    return Moments(len(numbers), sum(numbers), squares)
