"""How often lower bounds of a mean hold, and how wide they are.

Run ``python -m experiments.trials.bound_coverage``. Scores come from several
distributions; after a number of ratings each method gives a lower bound
with confidence 0.95. *Held* is the share of runs in which the true mean
was above it (0.95 is right, more is caution), *width* the mean distance.
"""

import random
import sys
from collections.abc import Callable
from dataclasses import dataclass
from math import log, sqrt
from statistics import NormalDist, fmean, pvariance
from typing import Final

from nutmegroad.quality._bounds import Evidence, posterior

RUNS: Final = 1000
COUNTS: Final = (5, 20, 100)
CONFIDENCE: Final = 0.95
_NORMAL: Final = NormalDist().inv_cdf(CONFIDENCE)
_RISK: Final = 1 - CONFIDENCE
#: One answer of twenty is worth nothing, the others the same.
_FAILS: Final = 0.05
_YES: Final = 0.9
_WHOLE: Final = _YES / (1 - _FAILS)

Bound = Callable[[list[float], float], float]


@dataclass(frozen=True, slots=True)
class Scores:
    """A distribution of scores.

    Attributes:
        name: Its name.
        mean: Its true mean.
        draw: Draws a score.
    """

    name: str
    mean: float
    draw: Callable[[random.Random], float]


DISTRIBUTIONS: Final = (
    Scores('close', 0.9, lambda draws: draws.gauss(0.9, 0.05)),
    Scores('wide', 0.75, lambda draws: draws.uniform(0.5, 1)),
    Scores(
        'failures',
        0.9,
        lambda draws: 0 if draws.random() <= _FAILS else _WHOLE,
    ),
    Scores('yes-no', 0.9, lambda draws: float(draws.random() <= _YES)),
)


def student(scores: list[float], declared: float) -> float:
    """Return the bound that the planner uses."""
    evidence = Evidence(len(scores), fmean(scores), pvariance(scores))
    return posterior(declared, evidence).bound(CONFIDENCE)


def wilson(scores: list[float], declared: float) -> float:
    """Return Wilson's bound, as if scores were shares of yes."""
    count, mean = len(scores), fmean(scores)
    square = _NORMAL * _NORMAL
    middle = mean + square / (2 * count)
    spread = mean * (1 - mean) / count + square / (4 * count * count)
    return (middle - _NORMAL * sqrt(max(0, spread))) / (1 + square / count)


def beta(scores: list[float], declared: float) -> float:
    """Return a normal approximation of a Beta posterior's quantile."""
    good = 4 * declared + sum(scores)
    total = 4 + len(scores)
    mean = good / total
    return mean - _NORMAL * sqrt(max(0, mean * (1 - mean)) / (total + 1))


def hoeffding(scores: list[float], declared: float) -> float:
    """Return Hoeffding's bound."""
    return fmean(scores) - sqrt(-log(_RISK) / (2 * len(scores)))


def bernstein(scores: list[float], declared: float) -> float:
    """Return the empirical Bernstein bound."""
    count = len(scores)
    lot = log(2 / _RISK)
    spread = pvariance(scores) * count / (count - 1)
    reach = sqrt(2 * spread * lot / count) + 7 * lot / (3 * (count - 1))
    return fmean(scores) - reach


METHODS: Final[dict[str, Bound]] = {
    'student': student,
    'wilson': wilson,
    'beta': beta,
    'hoeffding': hoeffding,
    'bernstein': bernstein,
}


def main() -> None:
    """Print a line for each distribution, method and number of ratings."""
    for scores in DISTRIBUTIONS:
        for name, bound in METHODS.items():
            cells = [_measure(scores, bound, count) for count in COUNTS]
            words = '   '.join(
                f'{count:3}: held {held:.3f} width {width:.3f}'
                for count, (held, width) in zip(COUNTS, cells, strict=True)
            )
            sys.stdout.write(f'{scores.name:9} {name:9} {words}\n')


def _measure(scores: Scores, bound: Bound, count: int) -> tuple[float, float]:
    """Return how often a bound held and its mean distance."""
    draws = random.Random(f'{scores.name} {count}')
    held = 0
    width: float = 0
    for _ in range(RUNS):
        drawn = [min(1, max(0, scores.draw(draws))) for _ in range(count)]
        # The owner's word is off by up to a tenth.
        declared = min(1, scores.mean + draws.uniform(-0.1, 0.1))
        lower = bound(drawn, declared)
        held += lower <= scores.mean
        width += scores.mean - lower
    return held / RUNS, width / RUNS


if __name__ == '__main__':
    main()
