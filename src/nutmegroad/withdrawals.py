"""Sets of withdrawals: they only grow, and are joined by union.

Of a version only the greatest withdrawn epoch counts, so that a set has at
most one fact for each version that was ever withdrawn.
"""

import hashlib
from collections.abc import Iterable
from typing import Final

import msgspec

from nutmegroad.documents import Withdrawal
from nutmegroad.types import Epoch, VersionId

Facts = tuple[Withdrawal, ...]

#: Hexadecimal digits of a set's name: 64 bits tell a few sets apart.
_DIGITS: Final = 16
#: Covers no epoch.
NO_EPOCH: Final = Epoch(-1)


class WithdrawalSet:
    """The withdrawals that somebody knows."""

    def __init__(self) -> None:
        self._epochs: dict[VersionId, Epoch] = {}

    @property
    def facts(self) -> Facts:
        """Return all of them, in order."""
        return tuple(
            Withdrawal(version=version, epoch=epoch)
            for version, epoch in sorted(self._epochs.items())
        )

    def add(self, facts: Iterable[Withdrawal]) -> bool:
        """Add facts; tell whether any was new."""
        fresh = [fact for fact in facts if not self.covers(fact)]
        for fact in fresh:
            version = VersionId(fact.version)
            self._epochs[version] = max(self._epoch(version), Epoch(fact.epoch))
        return bool(fresh)

    def covers(self, fact: Withdrawal) -> bool:
        """Tell whether a fact follows from those that are known."""
        return fact.epoch <= self._epoch(VersionId(fact.version))

    def _epoch(self, version: VersionId) -> Epoch:
        return self._epochs.get(version, NO_EPOCH)


def union(*sets: Iterable[Withdrawal]) -> Facts:
    """Return what follows from all the sets together."""
    joined = WithdrawalSet()
    for facts in sets:
        joined.add(facts)
    return joined.facts


def digest_facts(facts: Facts) -> str:
    """Return a short name of a set, so that two can be compared."""
    content = msgspec.msgpack.encode(union(facts))
    return hashlib.sha256(content).hexdigest()[:_DIGITS]
