"""Evidence on a new version: how many of its answers are poor.

The counts of all hosts are summed. A version is bad if so many poor answers
would be very unlikely at the rate that is to be expected of a good one.
"""

from collections.abc import Iterable
from math import comb
from typing import Final

from msgspec import Struct

#: Share of poor answers that a good version may have by bad luck of its
#: hosts: crashes and lost answers befall the old one too.
EXPECTED_LEAST: Final = 0.08

#: How the share that is expected follows the old version's: twice, and a
#: little, since the old one has more upstreams to average over.
EXPECTED_TIMES: Final = 2.0
EXPECTED_MORE: Final = 0.03

#: Poor answers below which nothing is decided.
FEWEST_POOR: Final = 3

#: Probability of so many poor answers from a good version below which it
#: is taken for a bad one. The test is repeated with each poor answer.
UNLIKELY: Final = 0.002

#: Answers of a new version without which its trial is not ended.
ENOUGH: Final = 20


class Evidence(Struct, frozen=True):
    """What one host, or all, have seen during one roll-out.

    Attributes:
        order: Number of the order.
        new: Answers of the new version.
        new_poor: Those that failed, broke or came far too slowly.
        old: Answers of other versions.
        old_poor: Those that failed, broke or came far too slowly.
    """

    order: int
    new: int = 0
    new_poor: int = 0
    old: int = 0
    old_poor: int = 0

    def adding(self, *, of_new: bool, poor: bool) -> 'Evidence':
        """Return the counts with one more answer."""
        return Evidence(
            self.order,
            self.new + of_new,
            self.new_poor + (of_new and poor),
            self.old + (not of_new),
            self.old_poor + (not of_new and poor),
        )

    def is_before(self, other: 'Evidence') -> bool:
        """Tell whether another is a later count of the same host."""
        if self.order != other.order:
            return self.order < other.order
        return self.new + self.old < other.new + other.old

    def is_bad(self) -> bool:
        """Tell whether the new version is bad."""
        if self.new_poor < FEWEST_POOR:
            return False
        expected = self.expected_share()
        return tail(self.new, self.new_poor, expected) < UNLIKELY

    def is_good(self) -> bool:
        """Tell whether the new version has stood its trial."""
        if self.new < ENOUGH:
            return False
        return self.new_poor <= self.new * self.expected_share()

    def expected_share(self) -> float:
        """Return the share of poor answers that a good version may have."""
        old_share = self.old_poor / max(1, self.old)
        grown = EXPECTED_TIMES * old_share + EXPECTED_MORE
        return min(0.5, max(EXPECTED_LEAST, grown))


def total(order: int, parts: Iterable[Evidence]) -> Evidence:
    """Return the sum of what hosts have seen during one roll-out."""
    rows = [part for part in parts if part.order == order]
    return Evidence(
        order,
        sum(row.new for row in rows),
        sum(row.new_poor for row in rows),
        sum(row.old for row in rows),
        sum(row.old_poor for row in rows),
    )


def tail(trials: int, hits: int, chance: float) -> float:
    """Return the probability of so many hits or more in so many trials."""
    below = sum(
        comb(trials, count) * chance**count * (1 - chance) ** (trials - count)
        for count in range(hits)
    )
    return max(0, 1 - below)
