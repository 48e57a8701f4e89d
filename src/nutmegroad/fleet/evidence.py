"""Counts of a rollout's requests and answers, and how many of them were poor.

A poor answer is one that failed, was cut off or was far too slow. Each
incarnation of a host counts separately, by kind of request, and its counts only
grow. Of two states of a count the larger one is therefore the newer, whichever
way it was received. The counts of a terminated host survive on the hosts that
have received them.
"""

from collections.abc import Iterable, Mapping
from typing import Annotated, NewType

from msgspec import Struct

from nutmegroad.foundations.decoding import IDENTIFIER, Count

#: Number of a kind of request, the same on every host.
KindNumber = NewType('KindNumber', int)

#: Number that distinguishes the incarnations of one host.
HostIncarnation = NewType('HostIncarnation', int)


class Answers(Struct, frozen=True, array_like=True):
    """How many answers there were, and how many of them were poor.

    Attributes:
        new: Answers of the new version.
        new_poor: Answers of the new version that failed, were cut off or were
            far too slow.
        old: Answers of other versions.
        old_poor: Answers of other versions that failed, were cut off or were
            far too slow.
        sent: Requests that were sent, to any version.
    """

    new: Count = 0
    new_poor: Count = 0
    old: Count = 0
    old_poor: Count = 0
    sent: Count = 0

    @property
    def count(self) -> int:
        """Return the number of all answers."""
        return self.new + self.old

    def plus(self, other: 'Answers', times: int = 1) -> 'Answers':
        """Return the sum of these counts and a multiple of others.

        Args:
            other: The counts to add.
            times: Factor of the added counts; -1 subtracts them.
        """
        return Answers(
            self.new + times * other.new,
            self.new_poor + times * other.new_poor,
            self.old + times * other.old,
            self.old_poor + times * other.old_poor,
            self.sent + times * other.sent,
        )

    def only_answers(self) -> 'Answers':
        """Return the counts without the requests that were sent."""
        return Answers(self.new, self.new_poor, self.old, self.old_poor)


NO_ANSWERS = Answers()


class Evidence(Struct, frozen=True):
    """Counts of one incarnation of a host during one rollout.

    Attributes:
        order: Number of the rollout order.
        run: The incarnation of the host that counted.
        kinds: Its answers by kind of request.
    """

    order: Count
    run: Annotated[HostIncarnation, IDENTIFIER] = HostIncarnation(0)
    kinds: dict[KindNumber, Answers] = {}

    @property
    def total(self) -> Answers:
        """Return the answers of all kinds."""
        return sum_answers(self.kinds.values())

    @property
    def size(self) -> int:
        """Return a number that grows with each change."""
        return sum(each.count + each.sent for each in self.kinds.values())

    def with_answer(
        self,
        kind: KindNumber,
        *,
        of_new: bool,
        poor: bool,
    ) -> 'Evidence':
        """Return the counts with one more answer.

        Args:
            kind: Kind of the request.
            of_new: Whether the new version answered.
            poor: Whether the answer was poor.
        """
        if of_new:
            return self._plus(kind, Answers(new=1, new_poor=int(poor)))
        return self._plus(kind, Answers(old=1, old_poor=int(poor)))

    def with_request(self, kind: KindNumber) -> 'Evidence':
        """Return the counts with one more request that was sent."""
        return self._plus(kind, Answers(sent=1))

    def _plus(self, kind: KindNumber, added: Answers) -> 'Evidence':
        """Return the counts with more of one kind of request."""
        grown = self.kinds.get(kind, NO_ANSWERS).plus(added)
        return Evidence(self.order, self.run, {**self.kinds, kind: grown})


def sum_answers(parts: Iterable[Answers]) -> Answers:
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
    """Add a multiple of counts by kind to sums, in place.

    Args:
        sums: The sums to change.
        kinds: The counts to add.
        times: Factor of the added counts; -1 subtracts them.
    """
    for kind, answers in kinds.items():
        sums[kind] = sums.get(kind, NO_ANSWERS).plus(answers, times)
