"""Scenarios of versions that turn bad, and their simulated answers."""

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
#: Second from which a bad version degrades.
DEGRADES_AT: Final = 600
#: Mean quality of a good version.
GOOD: Final = 0.9
#: Drop in quality from which a version counts as bad.
BAD_DROP: Final = 0.1
#: Mean logarithms of the number of tokens of an answer, and of the seconds to
#: its first token.
MEAN_LOG_TOKENS: Final = 5.3
MEAN_LOG_FIRST_TOKEN: Final = -1.5
#: Fraction of a good version's attempts that fail.
BASE_ERROR_RATE: Final = 0.01
#: Fraction of answers that are rated 0 whatever their quality.
ZERO_RATING_RATE: Final = 0.01


@dataclass(frozen=True, slots=True)
class Scenario:
    """How a version degrades, and what is seen of it.

    Attributes:
        name: Name in the table; it also seeds the random draws.
        rate: Requests per second of the task class.
        drop: Drop in the version's quality.
        drop_seconds: Seconds in which its quality drops.
        error_rate: Fraction of its attempts that fail once it has turned bad.
        shortening: Factor by which its answers become shorter.
        rollout: Whether it is being rolled out next to its predecessor.
        traffic_share: Fraction of requests to the version during a rollout.
        deviation: Standard deviation of the ratings.
        rating_delay: Seconds until an answer is rated.
        rated_fraction: Fraction of answers that are rated.
        duration: Seconds of the trial.
    """

    name: str
    rate: float = 5
    drop: float = 0
    drop_seconds: float = 1
    error_rate: float = 0
    shortening: float = 1
    rollout: bool = False
    traffic_share: float = 1
    deviation: float = 0.08
    rating_delay: float = 1
    rated_fraction: float = 1
    duration: int = DEGRADES_AT + HOUR

    @property
    def bad_from(self) -> int:
        """Return the second from which the version counts as bad.

        If its quality drops slowly, that is when it has dropped by
        ``BAD_DROP``.
        """
        if self.drop <= BAD_DROP:
            return DEGRADES_AT
        return DEGRADES_AT + math.floor(
            self.drop_seconds * BAD_DROP / self.drop
        )

    def drop_at(self, second: int) -> float:
        """Return the drop in quality at a second."""
        return self.drop * min(
            max((second - DEGRADES_AT) / self.drop_seconds, 0), 1
        )


SCENARIOS: Final = (
    Scenario('bad at once, 0.4 lower', drop=0.4),
    Scenario('bad at once, 0.2 lower', drop=0.2),
    Scenario('bad at once, 0.1 lower', drop=0.1),
    Scenario('bad over 10 minutes, 0.4 lower', drop=0.4, drop_seconds=600),
    Scenario('bad over an hour, 0.3 lower', drop=0.3, drop_seconds=HOUR),
    Scenario('bad at once, wide ratings', drop=0.4, deviation=0.2),
    Scenario('bad at once, a fifth rated', drop=0.4, rated_fraction=0.2),
    Scenario('bad at once, rated 30 s late', drop=0.4, rating_delay=30),
    Scenario('roll-out at 5%, bad', drop=0.4, rollout=True, traffic_share=0.05),
    Scenario('a third of attempts fail', error_rate=0.33),
    Scenario('answers half as long', shortening=2),
)
#: Versions that stay good, each in a trial of ten hours.
HEALTHY: Final = (
    Scenario('good', duration=10 * HOUR),
    Scenario('good, wide ratings', duration=10 * HOUR, deviation=0.2),
    Scenario(
        'good roll-out', rollout=True, traffic_share=0.5, duration=10 * HOUR
    ),
)


@dataclass(slots=True)
class Stream:
    """Simulates a version's answers, ratings and failures by the second.

    Attributes:
        scenario: The scenario of the trial.
        randomness: Source of all random draws.
        watched: Whether this is the version that may turn bad.
        pending: When each outstanding rating is due, and its score.
    """

    scenario: Scenario
    randomness: random.Random
    watched: bool = True
    pending: deque[tuple[float, float]] = field(default_factory=deque)

    def requests(self, rate: float) -> int:
        """Return the number of requests that arrive in a second."""
        minimum = int(rate)
        return minimum + (self.randomness.random() < rate - minimum)

    def score(self, drop: float) -> float:
        """Return the rating of an answer."""
        if self.randomness.random() < ZERO_RATING_RATE:
            return 0
        deviation = self.scenario.deviation
        return min(max(self.randomness.gauss(GOOD - drop, deviation), 0), 1)

    def due_ratings(self, second: int) -> list[float]:
        """Remove and return the ratings that are due by a second."""
        scores = []
        while self.pending and self.pending[0][0] <= second:
            scores.append(self.pending.popleft()[1])
        return scores

    def serve(self, second: int, rate: float) -> Tally:
        """Simulate a second's attempts, and rate a sample of the answers."""
        attempts = [self._attempt(second) for _ in range(self.requests(rate))]
        lengths = [length for length in attempts if length is not None]
        first_tokens = [
            self.randomness.gauss(MEAN_LOG_FIRST_TOKEN, 0.5) for _ in lengths
        ]
        return Tally(
            answers=len(lengths),
            errors=len(attempts) - len(lengths),
            first_token=_moments(first_tokens),
            length=_moments(lengths),
        )

    def _attempt(self, second: int) -> float | None:
        """Return the logarithm of an answer's tokens; None for a failure."""
        randomness = self.randomness
        is_bad = self.watched and second >= DEGRADES_AT
        failure_rate = max(self.scenario.error_rate * is_bad, BASE_ERROR_RATE)
        if randomness.random() < failure_rate:
            return None
        if randomness.random() < self.scenario.rated_fraction:
            drop = self.scenario.drop_at(second) if self.watched else 0
            due = second + self.scenario.rating_delay
            self.pending.append((due, self.score(drop)))
        log_shortening = math.log(self.scenario.shortening) if is_bad else 0
        return randomness.gauss(MEAN_LOG_TOKENS, 0.7) - log_shortening


def _moments(numbers: list[float]) -> Moments:
    """Return the count, sum and sum of squares of some numbers."""
    sum_of_squares = sum(number * number for number in numbers)
    return Moments(len(numbers), sum(numbers), sum_of_squares)
