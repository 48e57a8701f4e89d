"""Likelihood ratios that are summed as counts come in.

A test bets against a hypothesis. While the hypothesis holds, what a bet is
worth does not grow in the mean, so it may be looked at after every count: the
probability that it ever reaches a level is at most the inverse of that level.
"""

import math
from collections.abc import Iterable


def log_ratio(
    hits: int,
    misses: int,
    chance: float,
    against: float,
) -> float:
    """Return how much likelier counts are at one chance than at another.

    Args:
        hits: How often it happened.
        misses: How often it did not.
        chance: The chance that is bet on, between 0 and 1, both excluded.
        against: The chance that is bet against, likewise.

    Returns:
        The logarithm of the ratio.
    """
    hit = math.log(chance / against)
    miss = math.log((1 - chance) / (1 - against))
    return hits * hit + misses * miss


class Wealth:
    """Logarithms of the wealth of several bets, mixed.

    None falls below what it began with (a cumulative sum), so a change late in
    a long life is found as fast as one at its beginning, and the mean time to
    a false alarm is at least the inverse of the level.

    Args:
        count: How many bets there are.
    """

    def __init__(self, count: int) -> None:
        self._logs = [float(0) for _ in range(count)]

    @property
    def strength(self) -> float:
        """Return the logarithm of their mean wealth."""
        top = max(self._logs)
        total = sum(math.exp(log - top) for log in self._logs)
        return top + math.log(total / len(self._logs))

    def add(self, gains: Iterable[float]) -> None:
        """Add what each bet gained, in logarithms."""
        self._logs = [
            max(log + gain, 0)
            for log, gain in zip(self._logs, gains, strict=True)
        ]


class Assurance:
    """The logarithm of one bet's wealth, held between two bounds.

    What lies above the upper bound would outweigh news for long, and what lies
    below the lower one would hide that a disturbance is over.

    Args:
        lowest: The lower bound, below 0.
        highest: The upper bound.
    """

    @property
    def strength(self) -> float:
        """Return how strongly the counts speak for what is bet on."""
        return self._log

    def __init__(self, lowest: float, highest: float) -> None:
        self._lowest = lowest
        self._highest = highest
        self._log: float = 0

    def add(self, gain: float) -> None:
        """Add what the bet gained, in logarithms."""
        self._log = min(self._highest, max(self._lowest, self._log + gain))
