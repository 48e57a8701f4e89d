"""Measures how often lower confidence bounds of a mean hold, and their width.

Run ``python -m experiments.trials.bound_coverage``. Scores are drawn from
several distributions. After a number of ratings, each method computes a lower
bound with confidence 0.95. *Held* is the fraction of runs in which the bound
was not above the true mean: 0.95 is exact, a higher value means that the
method is conservative. *Width* is the mean distance from the bound to the true
mean.
"""

import random
import sys
from collections.abc import Callable
from dataclasses import dataclass
from math import log, sqrt
from statistics import NormalDist, fmean, pvariance
from typing import Final

from nutmegroad.quality._bounds import Evidence, posterior

#: Runs for each distribution, method and number of ratings.
RUNS: Final = 1000
#: Numbers of ratings after which bounds are computed.
RATING_COUNTS: Final = (5, 20, 100)
CONFIDENCE: Final = 0.95
_NORMAL_QUANTILE: Final = NormalDist().inv_cdf(CONFIDENCE)
_ERROR_RATE: Final = 1 - CONFIDENCE
#: Fraction of answers in 'failures' that score 0; all others score the same.
_FAILURE_RATE: Final = 0.05
#: Fraction of answers in 'yes-no' that score 1; all others score 0.
_SUCCESS_RATE: Final = 0.9
_SUCCESS_SCORE: Final = _SUCCESS_RATE / (1 - _FAILURE_RATE)

#: Returns a lower bound of the mean from scores and the declared quality.
BoundMethod = Callable[[list[float], float], float]


@dataclass(frozen=True, slots=True)
class ScoreDistribution:
    """A distribution of scores.

    Attributes:
        name: Name in the table; it also seeds the random draws.
        mean: True mean.
        draw: Returns a random score.
    """

    name: str
    mean: float
    draw: Callable[[random.Random], float]


DISTRIBUTIONS: Final = (
    ScoreDistribution(
        'close', 0.9, lambda randomness: randomness.gauss(0.9, 0.05)
    ),
    ScoreDistribution(
        'wide', 0.75, lambda randomness: randomness.uniform(0.5, 1)
    ),
    ScoreDistribution(
        'failures',
        0.9,
        lambda randomness: (
            0 if randomness.random() <= _FAILURE_RATE else _SUCCESS_SCORE
        ),
    ),
    ScoreDistribution(
        'yes-no',
        0.9,
        lambda randomness: float(randomness.random() <= _SUCCESS_RATE),
    ),
)


def student(scores: list[float], declared: float) -> float:
    """Return the bound that the planner uses, Student's over a prior."""
    evidence = Evidence(len(scores), fmean(scores), pvariance(scores))
    return posterior(declared, evidence).bound(CONFIDENCE)


def wilson(scores: list[float], declared: float) -> float:
    """Return Wilson's bound, treating scores as proportions of successes."""
    count, mean = len(scores), fmean(scores)
    square = _NORMAL_QUANTILE * _NORMAL_QUANTILE
    center = mean + square / (2 * count)
    variance = mean * (1 - mean) / count + square / (4 * count * count)
    return (center - _NORMAL_QUANTILE * sqrt(max(0, variance))) / (
        1 + square / count
    )


def beta(scores: list[float], declared: float) -> float:
    """Return a quantile of a Beta posterior, by normal approximation."""
    successes = 4 * declared + sum(scores)
    total = 4 + len(scores)
    mean = successes / total
    return mean - _NORMAL_QUANTILE * sqrt(
        max(0, mean * (1 - mean)) / (total + 1)
    )


def hoeffding(scores: list[float], declared: float) -> float:
    """Return Hoeffding's bound."""
    return fmean(scores) - sqrt(-log(_ERROR_RATE) / (2 * len(scores)))


def bernstein(scores: list[float], declared: float) -> float:
    """Return the empirical Bernstein bound."""
    count = len(scores)
    log_term = log(2 / _ERROR_RATE)
    variance = pvariance(scores) * count / (count - 1)
    margin = sqrt(2 * variance * log_term / count) + 7 * log_term / (
        3 * (count - 1)
    )
    return fmean(scores) - margin


METHODS: Final[dict[str, BoundMethod]] = {
    'student': student,
    'wilson': wilson,
    'beta': beta,
    'hoeffding': hoeffding,
    'bernstein': bernstein,
}


def main() -> None:
    """Print a line for each distribution and method."""
    for distribution in DISTRIBUTIONS:
        for name, bound in METHODS.items():
            cells = [
                _measure(distribution, bound, count) for count in RATING_COUNTS
            ]
            columns = '   '.join(
                f'{count:3}: held {held:.3f} width {width:.3f}'
                for count, (held, width) in zip(
                    RATING_COUNTS, cells, strict=True
                )
            )
            sys.stdout.write(f'{distribution.name:9} {name:9} {columns}\n')


def _measure(
    distribution: ScoreDistribution, bound: BoundMethod, count: int
) -> tuple[float, float]:
    """Return the fraction of runs in which a bound held, and its mean width."""
    randomness = random.Random(f'{distribution.name} {count}')
    held = 0
    width: float = 0
    for _ in range(RUNS):
        scores = [
            min(1, max(0, distribution.draw(randomness))) for _ in range(count)
        ]
        # The declared quality is off by up to 0.1.
        declared = min(1, distribution.mean + randomness.uniform(-0.1, 0.1))
        lower = bound(scores, declared)
        held += lower <= distribution.mean
        width += distribution.mean - lower
    return held / RUNS, width / RUNS


if __name__ == '__main__':
    main()
