"""Sequential tests: how strongly a stream of values speaks against a version.

Each test bets against the hypothesis that the version is no worse than its
reference by more than a tolerance. While the hypothesis holds, the expected
wealth of a bet does not grow, whatever the distribution of the scores. The
wealth never falls below its initial value (a cumulative sum). A change late in
the life of a version is therefore detected as fast as one at its start, and
the mean time to a false alarm is at least the inverse of the level.
"""

import math
from typing import Final

from nutmegroad.foundations.likelihoods import (
    MixtureCusum,
    log_likelihood_ratio,
)
from nutmegroad.quality.ratings import RatingTally, score_of
from nutmegroad.rollouts.evidence import Moments

#: Fractions of the wealth that are bet on each rating: large ones detect a
#: large drop within a few ratings, small ones a slight drop within a few
#: hundred.
BETS: Final = (0.1, 0.3, 0.9)
#: Factors by which the failure rate of a bad version is assumed to rise.
RATE_FACTORS: Final = (3.0, 10.0)
#: Changes of a mean that are bet on, in standard deviations.
SHIFTS: Final = (0.25, 0.5)

#: Minimum range above a reference score, so that every bet is bounded.
_MIN_RANGE: Final = 0.05
#: Maximum failure rate that is assumed of a bad version, and maximum fraction
#: of its wealth that a bet loses by one rating.
_MAX_RATE: Final = 0.9
#: Minimum standard deviation of logarithms of lengths and of seconds.
_MIN_DEVIATION: Final = 0.5


class ScoreTest:
    """Tests whether scores between 0 and 1 have fallen below a mean."""

    def __init__(self) -> None:
        self._wealth = MixtureCusum(len(BETS))

    @property
    def strength(self) -> float:
        """How strongly the scores speak against the version."""
        return self._wealth.strength

    def add(self, tally: RatingTally, min_score: float) -> None:
        """Add new ratings.

        Args:
            tally: The ratings.
            min_score: Minimum mean score of a good version.
        """
        score_range = max(1 - min_score, _MIN_RANGE)
        counted = [
            ((min_score - score_of(bucket)) / score_range, count)
            for bucket, count in enumerate(tally.buckets)
            if count > 0
        ]
        self._wealth.add(
            sum(count * _log_bet(bet, fall) for fall, count in counted)
            for bet in BETS
        )


class RateTest:
    """Tests whether a fraction of failures has risen above a rate."""

    def __init__(self) -> None:
        self._wealth = MixtureCusum(len(RATE_FACTORS))

    @property
    def strength(self) -> float:
        """How strongly the failures speak against the version."""
        return self._wealth.strength

    def add(self, failed: int, good: int, max_rate: float) -> None:
        """Add new attempts.

        Args:
            failed: Number of failed attempts.
            good: Number of the other attempts.
            max_rate: Maximum failure rate of a good version.
        """
        risen = [min(max_rate * factor, _MAX_RATE) for factor in RATE_FACTORS]
        self._wealth.add(
            log_likelihood_ratio(failed, good, rate, max_rate) for rate in risen
        )


class MeanTest:
    """Tests whether a mean of logarithms has risen above a bound.

    It assumes that the logarithms are normally distributed, which is roughly
    true of lengths and seconds. Its tolerance is therefore wider than that of
    the other tests.

    Args:
        sign: 1 to test for a rise, -1 for a fall.
    """

    def __init__(self, sign: int = 1) -> None:
        self._wealth = MixtureCusum(len(SHIFTS))
        self._sign = sign

    @property
    def strength(self) -> float:
        """How strongly the mean speaks against the version."""
        return self._wealth.strength

    def add(
        self,
        sample: Moments,
        reference: Moments,
        tolerance: float,
    ) -> None:
        """Add new values and those with which they are compared.

        Args:
            sample: The new values.
            reference: Values with which they are compared.
            tolerance: Tolerated difference of the means.
        """
        deviation = max(reference.deviation, _MIN_DEVIATION)
        excess = self._sign * (sample.total - sample.count * reference.mean)
        scaled = (excess - sample.count * tolerance) / deviation
        self._wealth.add(
            shift * scaled - sample.count * shift * shift / 2
            for shift in SHIFTS
        )


def _log_bet(bet: float, fall: float) -> float:
    """Return the logarithm of the factor by which one rating changes wealth.

    A loss is at most ``_MAX_RATE`` of the wealth, so the factor stays above 0.

    Args:
        bet: Fraction of the wealth that is bet on a low score.
        fall: How far the score lies below the minimum mean score, as a
            fraction of the range above it; negative for a higher score.
    """
    return math.log1p(max(bet * fall, -_MAX_RATE))
