"""Isolation of rows, so that one row does not keep a host from the others.

Other programs may write to the tables that a host follows. A row that can't be
decoded or applied is left out, and logged once.
"""

from collections.abc import Callable, Iterable
from typing import Final

from nutmegroad.fleet.store_interface import StoredRow
from nutmegroad.foundations.logs import part_logger

_LOG: Final = part_logger('tables')

#: Maximum number of rejected rows that are logged for one reason, each once:
#: enough to see who writes them.
MAX_LOGGED_PER_REASON: Final = 5

#: Maximum number of rows whose rejection is remembered.
MAX_REMEMBERED: Final = 1000


class RowGuard:
    """Applies the rows of one table, and leaves out those that fail.

    A program that is not a part of this fleet may write a row again with each
    update, or write new ones continually. A row is therefore logged once for
    each reason.

    Args:
        table: Name of the table, for the log.
        on_rejected: Called with the table's name for each rejected row.
    """

    def __init__(
        self, table: str, on_rejected: Callable[[str], None] | None = None
    ) -> None:
        self._table = table
        self._on_rejected = on_rejected
        self._logged: dict[str, str] = {}

    def apply(
        self,
        rows: Iterable[StoredRow],
        apply_row: Callable[[StoredRow], None],
        drop: Callable[[str], None] | None = None,
    ) -> None:
        """Apply rows one by one.

        Args:
            rows: The rows.
            apply_row: Applies a row. What it raises concerns this row alone.
            drop: Called with the key of a row that could not be applied, to
                undo what was applied of it or of an earlier state of the row.
        """
        for row in rows:
            try:
                apply_row(row)
            except ValueError as problem:
                self.reject(row.key, str(problem))
            except Exception as problem:
                self._record_failure(row, problem)
            else:
                continue
            if drop is not None:
                drop(row.key)

    def reject(self, key: str, reason: str) -> None:
        """Count a rejected row, and log it unless enough were logged."""
        if self._count(key, reason):
            _LOG.decision(
                'row rejected',
                table=self._table,
                key=key,
                reason=reason,
                more_are_not_logged=self._logged_for(reason)
                >= MAX_LOGGED_PER_REASON,
            )

    def clear(self, key: str) -> None:
        """Clear the reason of a row that is valid again, or removed."""
        self._logged.pop(key, None)

    def _record_failure(self, row: StoredRow, problem: Exception) -> None:
        """Count a row that has made this program fail, and log the failure."""
        if self._count(row.key, repr(problem)):
            _LOG.exception(
                'table %s: row %r could not be applied and is left out',
                self._table,
                row.key,
                cause=problem,
            )

    def _count(self, key: str, reason: str) -> bool:
        """Count a rejected row, and return whether it is to be logged."""
        if self._on_rejected is not None:
            self._on_rejected(self._table)
        if self._logged.get(key) == reason:
            return False
        if self._logged_for(reason) >= MAX_LOGGED_PER_REASON:
            return False
        self._logged[key] = reason
        while len(self._logged) > MAX_REMEMBERED:
            self._logged.pop(next(iter(self._logged)))
        return True

    def _logged_for(self, reason: str) -> int:
        """Return the number of rows that were logged for a reason."""
        return sum(logged == reason for logged in self._logged.values())
