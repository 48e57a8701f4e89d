"""Sequential tests: how strongly a stream speaks against a version.

Each test bets against the hypothesis that the version is no worse than its
reference by more than a tolerance. While that holds, the wealth of a bet
does not grow in the mean, whatever the distribution of the scores is. The
wealth never falls below what it began with (a cumulative sum), so a change
late in a long life is found as fast as one at its beginning, and the mean
time to a false alarm is at least the inverse of the level.
"""

import math
from typing import Final

from nutmegroad.foundations.likelihoods import Wealth, log_ratio
from nutmegroad.quality.ratings import RatingTally, score_of
from nutmegroad.rollouts.evidence import Moments

#: Shares of the greatest bet: large ones find a great fall within a few
#: ratings, small ones a slight fall within a few hundred.
BETS: Final = (0.1, 0.3, 0.9)
#: How many times its usual rate a version's failures are taken to rise.
RATE_FACTORS: Final = (3.0, 10.0)
#: Changes of a mean, in standard deviations, that are bet on.
SHIFTS: Final = (0.25, 0.5)

#: Least room above a reference score, so that no bet is without bound.
_LEAST_ROOM: Final = 0.05
_HIGHEST_RATE: Final = 0.9
#: Least deviation of logarithms of lengths and of seconds.
_LEAST_DEVIATION: Final = 0.5


class ScoreTest:
    """Tests whether scores between 0 and 1 have fallen below a mean."""

    def __init__(self) -> None:
        self._wealth = Wealth(len(BETS))

    @property
    def strength(self) -> float:
        """Return how strongly the scores speak against the version."""
        return self._wealth.strength

    def add(self, tally: RatingTally, least: float) -> None:
        """Take new ratings.

        Args:
            tally: The ratings.
            least: Least mean score of a good version.
        """
        room = max(1 - least, _LEAST_ROOM)
        counted = [
            ((least - score_of(bucket)) / room, count)
            for bucket, count in enumerate(tally.buckets)
            if count > 0
        ]
        self._wealth.add(
            sum(count * _log_bet(bet, fall) for fall, count in counted)
            for bet in BETS
        )


class RateTest:
    """Tests whether a share of failures has risen above a rate."""

    def __init__(self) -> None:
        self._wealth = Wealth(len(RATE_FACTORS))

    @property
    def strength(self) -> float:
        """Return how strongly the failures speak against the version."""
        return self._wealth.strength

    def add(self, failed: int, good: int, most: float) -> None:
        """Take new attempts.

        Args:
            failed: How many failed.
            good: How many did not.
            most: Greatest rate of failures of a good version.
        """
        risen = [min(most * factor, _HIGHEST_RATE) for factor in RATE_FACTORS]
        self._wealth.add(log_ratio(failed, good, rate, most) for rate in risen)


class MeanTest:
    """Tests whether a mean of logarithms has risen above a bound.

    It takes the logarithms for normally distributed, which lengths and
    seconds roughly are; so it has the wider tolerance of the tests.

    Args:
        sign: 1 to test for a rise, -1 for a fall.
    """

    def __init__(self, sign: int = 1) -> None:
        self._wealth = Wealth(len(SHIFTS))
        self._sign = sign

    @property
    def strength(self) -> float:
        """Return how strongly the mean speaks against the version."""
        return self._wealth.strength

    def add(
        self,
        sample: Moments,
        reference: Moments,
        tolerance: float,
    ) -> None:
        """Take new values and what they are compared with."""
        deviation = max(reference.deviation, _LEAST_DEVIATION)
        excess = self._sign * (sample.total - sample.count * reference.mean)
        scaled = (excess - sample.count * tolerance) / deviation
        self._wealth.add(
            shift * scaled - sample.count * shift * shift / 2
            for shift in SHIFTS
        )


def _log_bet(bet: float, fall: float) -> float:
    """Return the logarithm of what a bet makes of one score.

    The middle of a bucket may lie above 1 - least by half a bucket.
    """
    return math.log1p(max(bet * fall, -_HIGHEST_RATE))
