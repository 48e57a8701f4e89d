"""Monotonic row versions across restores of the platform's store.

When the store is restored from a backup, its versions go back and are then
assigned again, so a version is only meaningful within one era, which the
store's answers name. This module combines era and version into one number, a
position, that only ever grows: comparing two positions compares the eras first.
A position of a past era can't be used as a write condition or as a point to
continue reading from; whoever presents one has to read the full snapshot of the
table.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import Final

from nutmegroad.fleet.store_interface import (
    Committed,
    HistoryLost,
    RowCondition,
    RowPut,
    RowsRead,
    Store,
    StoredRow,
    VersionConflict,
)
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode

_LOG: Final = part_logger('eras')

#: Bits of the version within a position: enough for a million transactions per
#: second during a hundred days, with room for the eras of a million restores.
VERSION_BITS: Final = 43

#: Called when the store was restored from a backup.
RestoreCallback = Callable[[], None]


def position(era: int, version: int) -> int:
    """Return an era and a version as one number."""
    return era << VERSION_BITS | version


def era_of(stored_position: int) -> int:
    """Return the era of a position."""
    return stored_position >> VERSION_BITS


def version_of(stored_position: int) -> int:
    """Return the store's own version of a position."""
    return stored_position & ((1 << VERSION_BITS) - 1)


class EraStore:
    """A store whose versions never go back.

    Args:
        store: The platform's store, with its own versions and eras.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self._callbacks: list[RestoreCallback] = []
        self._last_lower_era: int | None = None
        # Whether any answer has named an era yet.
        self._has_era = False
        #: The highest era seen so far.
        self.era = 0
        #: How often the era has risen since the first answer.
        self.restores = 0

    def subscribe_to_restores(self, callback: RestoreCallback) -> None:
        """Register a callback for restores of the store from a backup."""
        self._callbacks.append(callback)

    def observe_position(self, stored_position: int) -> None:
        """Record the era of a position that another host has sent."""
        if self._has_era or era_of(stored_position):
            self._record_era(era_of(stored_position), from_host=True)

    async def snapshot(self, table: str) -> RowsRead | Refusal:
        """Return all rows of a table as of one point in time."""
        known = self.era
        found = await self._store.snapshot(table)
        if isinstance(found, Refusal):
            return found
        if not self._is_current(found.era, known):
            return _stale_answer(table)
        return self._with_positions(found)

    async def changes(
        self,
        table: str,
        after: int,
        wait: float,
    ) -> RowsRead | HistoryLost | Refusal:
        """Return the changes after a position, or wait for one.

        Args:
            table: The table.
            after: The position that is known.
            wait: Seconds to wait for a change.
        """
        known = era_of(after)
        if known != self.era:
            return HistoryLost()
        found = await self._store.changes(table, version_of(after), wait)
        if isinstance(found, Refusal):
            return found
        if not self._is_current(found.era, known):
            return _stale_answer(table)
        if isinstance(found, HistoryLost) or self.era != known:
            # Continuing would silently skip the changes that were missed.
            return HistoryLost()
        return self._with_positions(found)

    async def commit(
        self,
        expected: tuple[RowCondition, ...],
        puts: tuple[RowPut, ...],
    ) -> Committed | VersionConflict | Refusal:
        """Write all rows if all conditions hold, otherwise none.

        A condition from a past era says nothing about the current row, so
        nothing is written. If the era ends while the call is on its way, the
        condition may hold by chance; such a write is reported as a conflict and
        its rows are read back like those of any other host.
        """
        known = self.era
        if any(
            row.version and era_of(row.version) != known for row in expected
        ):
            return VersionConflict()
        outcome = await self._store.commit(
            tuple(
                replace(row, version=version_of(row.version))
                for row in expected
            ),
            puts,
        )
        if not isinstance(outcome, Committed):
            return outcome
        if not self._is_current(outcome.era, known) or self.era != known:
            return VersionConflict()
        return replace(outcome, version=position(self.era, outcome.version))

    def _with_positions(self, read: RowsRead) -> RowsRead:
        """Return rows with positions in place of versions."""
        if not self.era:
            return read
        rows = tuple(self._with_position(row) for row in read.rows)
        return replace(
            read,
            rows=rows,
            version=position(self.era, read.version),
        )

    def _with_position(self, row: StoredRow) -> StoredRow:
        """Return a row with its position in place of its version."""
        return replace(row, version=position(self.era, row.version))

    def _is_current(self, era: int | None, known: int) -> bool:
        """Record the era of an answer, and return whether it may be used.

        Args:
            era: The era that the answer names; None if it names none.
            known: The era that was known when the call was made.
        """
        if era is None:
            return True
        if era >= self.era:
            if self._record_era(era, from_host=False):
                self._notify()
            return True
        if known < self.era:
            # The store made the answer before it was restored.
            return False
        if self._last_lower_era != era:
            self._last_lower_era = era
            _LOG.decision('store named a lower era', known=self.era, told=era)
        return True

    def _notify(self) -> None:
        """Call all registered callbacks."""
        for callback in self._callbacks:
            callback()

    def _record_era(self, era: int, *, from_host: bool) -> bool:
        """Record an era and return whether the store has been restored.

        Args:
            era: The era.
            from_host: Whether another host has reported it.
        """
        first = not self._has_era
        self._has_era = True
        if era <= self.era:
            return False
        before = self.era
        self.era = era
        if first:
            return False
        self.restores += 1
        _LOG.decision(
            'store came back from a copy',
            before=before,
            era=era,
            told=from_host,
        )
        return True


def _stale_answer(table: str) -> Refusal:
    """Return the refusal of an answer from a past era."""
    return Refusal(
        ResultCode.TABLE_UNAVAILABLE,
        f'answer for table {table!r} predates the restore of the store',
    )
