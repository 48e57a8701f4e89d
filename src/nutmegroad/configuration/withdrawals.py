"""Sets of withdrawals: they only grow, and are joined by union.

Of a version only the greatest withdrawn epoch counts, so that a set has at
most one withdrawal for each version that was ever withdrawn.
"""

import hashlib
from collections.abc import Iterable
from typing import Final

import msgspec

from nutmegroad.contracts.documents import Withdrawal
from nutmegroad.foundations.types import Epoch, VersionId

Withdrawals = tuple[Withdrawal, ...]

#: Hexadecimal digits of a set's name: 64 bits tell a few sets apart.
_DIGITS: Final = 16
#: Covers no epoch.
NO_EPOCH: Final = Epoch(-1)


class WithdrawalSet:
    """The withdrawals that somebody knows."""

    def __init__(self) -> None:
        self._epochs: dict[VersionId, Epoch] = {}

    @property
    def withdrawals(self) -> Withdrawals:
        """Return all of them, in order."""
        return tuple(
            Withdrawal(version=version, epoch=epoch)
            for version, epoch in sorted(self._epochs.items())
        )

    def add(self, withdrawals: Iterable[Withdrawal]) -> bool:
        """Add withdrawals; tell whether any was new."""
        fresh = [
            withdrawal
            for withdrawal in withdrawals
            if not self.covers(withdrawal)
        ]
        for withdrawal in fresh:
            version = VersionId(withdrawal.version)
            self._epochs[version] = max(
                self._epoch(version), Epoch(withdrawal.epoch)
            )
        return bool(fresh)

    def covers(self, withdrawal: Withdrawal) -> bool:
        """Tell whether a withdrawal follows from those that are known."""
        return withdrawal.epoch <= self._epoch(VersionId(withdrawal.version))

    def _epoch(self, version: VersionId) -> Epoch:
        return self._epochs.get(version, NO_EPOCH)


def union(*sets: Iterable[Withdrawal]) -> Withdrawals:
    """Return what follows from all the sets together."""
    joined = WithdrawalSet()
    for withdrawals in sets:
        joined.add(withdrawals)
    return joined.withdrawals


def digest_withdrawals(withdrawals: Withdrawals) -> str:
    """Return a short name of a set, so that two can be compared."""
    content = msgspec.msgpack.encode(union(withdrawals))
    return hashlib.sha256(content).hexdigest()[:_DIGITS]
