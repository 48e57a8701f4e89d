"""Grow-only sets of withdrawals, merged by union.

For each version only the highest withdrawn epoch counts, so a set has at most
one withdrawal per version that was ever withdrawn.
"""

import hashlib
from collections.abc import Iterable
from typing import Final

import msgspec

from nutmegroad.contracts.documents import Withdrawal
from nutmegroad.foundations.types import Epoch, VersionId

Withdrawals = tuple[Withdrawal, ...]

#: Hexadecimal digits of a set's digest: 64 bits are enough for a few sets.
_DIGEST_LENGTH: Final = 16
#: Lower than any epoch: nothing is withdrawn.
NO_EPOCH: Final = Epoch(-1)


class WithdrawalSet:
    """A set of withdrawals that only grows."""

    def __init__(self) -> None:
        self._epochs: dict[VersionId, Epoch] = {}

    @property
    def withdrawals(self) -> Withdrawals:
        """All withdrawals, ordered by version."""
        return tuple(
            Withdrawal(version=version, epoch=epoch)
            for version, epoch in sorted(self._epochs.items())
        )

    def add(self, withdrawals: Iterable[Withdrawal]) -> bool:
        """Add withdrawals; return whether any was new."""
        added = [
            withdrawal
            for withdrawal in withdrawals
            if not self.covers(withdrawal)
        ]
        for withdrawal in added:
            version = VersionId(withdrawal.version)
            self._epochs[version] = max(
                self._epoch(version), Epoch(withdrawal.epoch)
            )
        return bool(added)

    def covers(self, withdrawal: Withdrawal) -> bool:
        """Return whether the set implies a withdrawal."""
        return withdrawal.epoch <= self._epoch(VersionId(withdrawal.version))

    def _epoch(self, version: VersionId) -> Epoch:
        """Return the highest withdrawn epoch of a version."""
        return self._epochs.get(version, NO_EPOCH)


def union(*sets: Iterable[Withdrawal]) -> Withdrawals:
    """Return the union of sets, with one withdrawal per version."""
    merged = WithdrawalSet()
    for withdrawals in sets:
        merged.add(withdrawals)
    return merged.withdrawals


def digest_withdrawals(withdrawals: Withdrawals) -> str:
    """Return a short digest of a set, for comparison between hosts."""
    content = msgspec.msgpack.encode(union(withdrawals))
    return hashlib.sha256(content).hexdigest()[:_DIGEST_LENGTH]
