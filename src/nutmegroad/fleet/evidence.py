"""What hosts have seen of a new version: how many of its answers are poor.

Each start of a host counts for itself, by kind of request, and its counts only
grow. So of two states of a count the larger one holds, whatever way it came,
and what a host has counted outlives it at those whom it has told.
"""

from collections.abc import Iterable, Mapping
from typing import NewType

from msgspec import Struct

#: Number of a kind of request, the same on every host.
KindNumber = NewType('KindNumber', int)

#: Number that tells one start of a host from another.
RunNumber = NewType('RunNumber', int)


class Answers(Struct, frozen=True, array_like=True):
    """How many answers there were, and how many of them were poor.

    Attributes:
        new: Answers of the new version.
        new_poor: Those that failed, broke or came far too slowly.
        old: Answers of other versions.
        old_poor: Those that failed, broke or came far too slowly.
    """

    new: int = 0
    new_poor: int = 0
    old: int = 0
    old_poor: int = 0

    @property
    def count(self) -> int:
        """Return how many answers there were."""
        return self.new + self.old

    def plus(self, other: 'Answers', times: int = 1) -> 'Answers':
        """Return the sum of both, the other one so many times."""
        return Answers(
            self.new + times * other.new,
            self.new_poor + times * other.new_poor,
            self.old + times * other.old,
            self.old_poor + times * other.old_poor,
        )


NO_ANSWERS = Answers()


class Evidence(Struct, frozen=True):
    """What one start of a host has seen during one roll-out.

    Attributes:
        order: Number of the order.
        run: Which start of the host counts.
        kinds: Its answers by kind of request.
    """

    order: int
    run: RunNumber = RunNumber(0)
    kinds: dict[KindNumber, Answers] = {}

    @property
    def whole(self) -> Answers:
        """Return the answers of all kinds."""
        return summed(self.kinds.values())

    @property
    def count(self) -> int:
        """Return how many answers there were of all kinds."""
        return sum(answers.count for answers in self.kinds.values())

    def adding(
        self,
        kind: KindNumber,
        *,
        of_new: bool,
        poor: bool,
    ) -> 'Evidence':
        """Return the counts with one more answer."""
        known = self.kinds.get(kind, NO_ANSWERS)
        if of_new:
            grown = known.plus(Answers(new=1, new_poor=int(poor)))
        else:
            grown = known.plus(Answers(old=1, old_poor=int(poor)))
        return Evidence(self.order, self.run, {**self.kinds, kind: grown})


def summed(parts: Iterable[Answers]) -> Answers:
    """Return the sum of several counts."""
    total = NO_ANSWERS
    for part in parts:
        total = total.plus(part)
    return total


def add_kinds(
    sums: dict[KindNumber, Answers],
    kinds: Mapping[KindNumber, Answers],
    times: int = 1,
) -> None:
    """Add counts by kind to sums, so many times."""
    for kind, answers in kinds.items():
        sums[kind] = sums.get(kind, NO_ANSWERS).plus(answers, times)
