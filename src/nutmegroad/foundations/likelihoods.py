"""Sequential likelihood-ratio tests on counts of hits and misses.

A test is a bet against a hypothesis. While the hypothesis holds, the expected
wealth of the bet does not grow, so it may be checked after every count: the
probability that it ever reaches a level is at most the inverse of that level.
"""

import math
from collections.abc import Iterable


def log_likelihood_ratio(
    hits: int,
    misses: int,
    chance: float,
    against: float,
) -> float:
    """Return the log likelihood ratio of counts under two probabilities.

    Args:
        hits: Number of hits.
        misses: Number of misses.
        chance: Probability of a hit that is bet on, between 0 and 1, both
            excluded.
        against: Probability of a hit that is bet against, likewise.

    Returns:
        The natural logarithm of the ratio.
    """
    hit = math.log(chance / against)
    miss = math.log((1 - chance) / (1 - against))
    return hits * hit + misses * miss


class MixtureCusum:
    """A mixture of bets whose log wealth never falls below its start.

    Clamping each log wealth at its initial value (a cumulative sum, CUSUM)
    makes a late change as quick to detect as an early one. The mean time to a
    false alarm is at least the inverse of the significance level.

    Args:
        count: Number of bets.
    """

    def __init__(self, count: int) -> None:
        self._log_wealths = [float(0) for _ in range(count)]

    @property
    def strength(self) -> float:
        """The logarithm of the mean wealth of the bets."""
        # Subtracting the maximum keeps the exponentials from overflowing.
        top = max(self._log_wealths)
        total = sum(math.exp(log - top) for log in self._log_wealths)
        return top + math.log(total / len(self._log_wealths))

    def add(self, gains: Iterable[float]) -> None:
        """Add the gain in log wealth of each bet."""
        self._log_wealths = [
            max(log + gain, 0)
            for log, gain in zip(self._log_wealths, gains, strict=True)
        ]


class ClampedLogRatio:
    """The log wealth of one bet, clamped between two bounds.

    Above the upper bound, old counts would outweigh new ones for long; below
    the lower bound, they would hide that a disturbance is over.

    Args:
        lowest: The lower bound, below 0.
        highest: The upper bound.
    """

    @property
    def strength(self) -> float:
        """The strength of the evidence for the probability that is bet on."""
        return self._log_wealth

    def __init__(self, lowest: float, highest: float) -> None:
        self._lowest = lowest
        self._highest = highest
        self._log_wealth: float = 0

    def add(self, gain: float) -> None:
        """Add the gain in log wealth."""
        self._log_wealth = min(
            self._highest, max(self._lowest, self._log_wealth + gain)
        )
