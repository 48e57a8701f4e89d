"""Cached tables of the platform's store, from which followers get snapshots."""

from nutmegroad.fleet.store_interface import RowsRead, StoredRow
from nutmegroad.fleet.table_updates import TableSnapshot, TableUpdate


class CachedTable:
    """All rows of one table, as last read.

    Args:
        table: Its name.
        read: The full snapshot.
    """

    def __init__(self, table: str, read: RowsRead) -> None:
        self._table = table
        self._rows = {row.key: row for row in read.rows if not row.removed}
        self.version = read.version
        self._store_time = read.store_time

    def apply(self, update: TableUpdate) -> bool:
        """Apply an update, unless changes before it are missing.

        Returns:
            Whether it was applied.
        """
        if update.base > self.version:
            return False
        for row in update.rows:
            self._put(row)
        self.version = max(self.version, update.version)
        self._store_time = max(self._store_time, update.store_time)
        return True

    def snapshot(self) -> TableSnapshot:
        """Return a snapshot of all rows."""
        return TableSnapshot(
            self._table,
            self.version,
            self._store_time,
            tuple(self._rows.values()),
        )

    def updates_since(self, version: int | None) -> TableUpdate | TableSnapshot:
        """Return the update for a follower that knows a version.

        Args:
            version: The version that it knows; None if it knows none.
        """
        if version != self.version:
            return self.snapshot()
        return TableUpdate(self._table, version, version, self._store_time)

    def _put(self, row: StoredRow) -> None:
        """Store one row, unless a newer state of it is cached."""
        known = self._rows.get(row.key)
        if known is not None and known.version > row.version:
            return
        if row.removed:
            self._rows.pop(row.key, None)
        else:
            self._rows[row.key] = row


class TableCache:
    """Caches the tables that this host reads, for its followers."""

    def __init__(self) -> None:
        self._tables: dict[str, CachedTable] = {}

    def replace(self, table: str, read: RowsRead) -> CachedTable:
        """Cache a full snapshot, and return the cached table."""
        replaced = CachedTable(table, read)
        self._tables[table] = replaced
        return replaced

    def apply(self, update: TableUpdate) -> None:
        """Apply an update, and drop the cached table if it misses a change."""
        cached = self._tables.get(update.table)
        if cached is not None and not cached.apply(update):
            self.drop(update.table)

    def drop(self, table: str) -> None:
        """Drop a table whose age is not known any more."""
        self._tables.pop(table, None)

    def updates_since(
        self, versions: dict[str, int]
    ) -> list[TableUpdate | TableSnapshot]:
        """Return the updates for a follower that knows some versions.

        Args:
            versions: Known version by table.
        """
        return [
            cached.updates_since(versions.get(table))
            for table, cached in self._tables.items()
        ]
