"""How far an estimated mean may be from the true one.

The bound is Student's, over a prior of the mean and of the variance: the
scores of a version lie close together, and a bound that does not learn how
close (Hoeffding's, Wilson's) is five times as wide as the truth.
"""

from dataclasses import dataclass
from functools import cache
from math import sqrt
from statistics import NormalDist
from typing import Final

#: Ratings that the declared quality counts for.
PRIOR_WEIGHT: Final = 4.0
#: Ratings that the supposed spread counts for.
SPREAD_WEIGHT: Final = 4.0
#: Supposed standard deviation of single scores before any rating; it is
#: twice that of the stand-ins, so that a new version is held for uncertain.
PRIOR_SPREAD: Final = 0.1
#: Steps of the degrees of freedom for which quantiles are kept.
_FREEDOM_STEP: Final = 0.5
#: Coefficients of the expansion of Cornish and Fisher.
_FIRST: Final = 4
_SECOND: Final = 96
_INNER: Final = 16


@dataclass(frozen=True, slots=True)
class Evidence:
    """What ratings say, summed up.

    Attributes:
        count: Ratings that it is worth, after decay.
        mean: Their mean score.
        variance: The variance of single scores.
    """

    count: float = 0
    mean: float = 0
    variance: float = 0


@dataclass(frozen=True, slots=True)
class Posterior:
    """What is believed of a mean.

    Attributes:
        mean: The middle.
        error: Standard error of the mean.
        freedom: Degrees of freedom.
    """

    mean: float
    error: float
    freedom: float

    def bound(self, confidence: float) -> float:
        """Return what the mean exceeds with that confidence, from 0 to 1.

        A confidence below one half gives an upper bound.
        """
        reach = student_quantile(confidence, self.freedom) * self.error
        return min(1, max(0, self.mean - reach))


def posterior(declared: float, evidence: Evidence) -> Posterior:
    """Return what is believed, from the declared quality and ratings."""
    weight = PRIOR_WEIGHT + evidence.count
    gap = evidence.mean - declared
    mean = (PRIOR_WEIGHT * declared + evidence.count * evidence.mean) / weight
    freedom = SPREAD_WEIGHT + evidence.count
    squares = SPREAD_WEIGHT * PRIOR_SPREAD * PRIOR_SPREAD
    squares += evidence.count * evidence.variance
    # A declared quality far from the ratings makes both less sure.
    squares += PRIOR_WEIGHT * evidence.count / weight * gap * gap
    return Posterior(mean, sqrt(squares / freedom / weight), freedom)


def student_quantile(confidence: float, freedom: float) -> float:
    """Return a quantile of Student's distribution.

    The expansion of Cornish and Fisher is off by less than 0.02 from four
    degrees of freedom on, for confidences between 0.02 and 0.98.
    """
    return _quantile(confidence, round(freedom / _FREEDOM_STEP))


@cache
def _quantile(confidence: float, steps: int) -> float:
    """Work out a quantile once for each step of the freedom."""
    freedom = max(steps, 1) * _FREEDOM_STEP
    normal = NormalDist().inv_cdf(confidence)
    square = normal * normal
    first = normal * (square + 1) / _FIRST
    second = normal * (square * (5 * square + _INNER) + 3) / _SECOND
    return normal + first / freedom + second / (freedom * freedom)
