"""Confidence bounds of a mean score.

The bounds are quantiles of Student's distribution, with a prior of the mean
and of the variance. The scores of a version lie close together; bounds that do
not learn the variance (Hoeffding's, Wilson's) are five times as wide as the
actual uncertainty.
"""

from dataclasses import dataclass
from functools import cache
from math import sqrt
from statistics import NormalDist
from typing import Final

#: Weight of the declared quality, as a number of ratings.
PRIOR_WEIGHT: Final = 4.0
#: Weight of the prior standard deviation, as a number of ratings.
DEVIATION_WEIGHT: Final = 4.0
#: Prior standard deviation of single scores; twice that of the stand-ins, so
#: that a new version counts as uncertain.
PRIOR_DEVIATION: Final = 0.1
#: Step to which degrees of freedom are rounded, so that quantiles are cached.
_DEGREES_STEP: Final = 0.5
#: Constants of the Cornish-Fisher expansion.
_FIRST_DIVISOR: Final = 4
_SECOND_DIVISOR: Final = 96
_SECOND_COEFFICIENT: Final = 16


@dataclass(frozen=True, slots=True)
class Evidence:
    """Summary of ratings.

    Attributes:
        count: Effective number of ratings, after decay.
        mean: Mean score.
        variance: Variance of single scores.
    """

    count: float = 0
    mean: float = 0
    variance: float = 0


@dataclass(frozen=True, slots=True)
class Posterior:
    """Posterior distribution of a mean score.

    Attributes:
        mean: Centre of the distribution.
        error: Standard error of the mean.
        degrees: Degrees of freedom of Student's distribution.
    """

    mean: float
    error: float
    degrees: float

    def bound(self, confidence: float) -> float:
        """Return a lower bound of the mean, limited to 0 to 1.

        Args:
            confidence: Probability that the mean exceeds the bound; a
                probability below one half gives an upper bound.
        """
        reach = student_quantile(confidence, self.degrees) * self.error
        return min(1, max(0, self.mean - reach))


def posterior(declared: float, evidence: Evidence) -> Posterior:
    """Return the posterior of the declared quality and ratings."""
    weight = PRIOR_WEIGHT + evidence.count
    gap = evidence.mean - declared
    mean = (PRIOR_WEIGHT * declared + evidence.count * evidence.mean) / weight
    degrees = DEVIATION_WEIGHT + evidence.count
    squares = DEVIATION_WEIGHT * PRIOR_DEVIATION * PRIOR_DEVIATION
    squares += evidence.count * evidence.variance
    # A declared quality far from the ratings makes both less certain.
    squares += PRIOR_WEIGHT * evidence.count / weight * gap * gap
    return Posterior(mean, sqrt(squares / degrees / weight), degrees)


def student_quantile(confidence: float, degrees: float) -> float:
    """Return a quantile of Student's distribution.

    The error of the Cornish-Fisher expansion is below 0.02 from four degrees
    of freedom on, for confidences between 0.02 and 0.98.
    """
    return _quantile(confidence, round(degrees / _DEGREES_STEP))


@cache
def _quantile(confidence: float, steps: int) -> float:
    """Compute a quantile, once for each step of the degrees of freedom."""
    degrees = max(steps, 1) * _DEGREES_STEP
    normal = NormalDist().inv_cdf(confidence)
    square = normal * normal
    first = normal * (square + 1) / _FIRST_DIVISOR
    second = (
        normal
        * (square * (5 * square + _SECOND_COEFFICIENT) + 3)
        / _SECOND_DIVISOR
    )
    return normal + first / degrees + second / (degrees * degrees)
