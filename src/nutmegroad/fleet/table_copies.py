"""Copies of the platform's tables, to tell them whole to those who follow."""

from nutmegroad.fleet.news import News, Whole
from nutmegroad.fleet.stored import RowsRead, StoredRow


class TableCopy:
    """All rows of one table, as last read.

    Args:
        table: Its name.
        read: What was read.
    """

    def __init__(self, table: str, read: RowsRead) -> None:
        self._table = table
        self._rows = {row.key: row for row in read.rows if not row.removed}
        self.version = read.version
        self._store_time = read.store_time

    def apply(self, news: News) -> bool:
        """Take changes in; tell whether they follow on what is here."""
        if news.base > self.version:
            return False
        for row in news.rows:
            self._put(row)
        self.version = max(self.version, news.version)
        self._store_time = max(self._store_time, news.store_time)
        return True

    def whole(self) -> Whole:
        """Return all rows."""
        return Whole(
            self._table,
            self.version,
            self._store_time,
            tuple(self._rows.values()),
        )

    def beyond(self, version: int | None) -> News | Whole:
        """Return what one has to be told who knows a version, or none."""
        if version != self.version:
            return self.whole()
        return News(self._table, version, version, self._store_time)

    def _put(self, row: StoredRow) -> None:
        """Take one row in, unless a later state of it is here."""
        known = self._rows.get(row.key)
        if known is not None and known.version > row.version:
            return
        if row.removed:
            self._rows.pop(row.key, None)
        else:
            self._rows[row.key] = row


class TableCopies:
    """Copies of all tables that are followed."""

    def __init__(self) -> None:
        self._copies: dict[str, TableCopy] = {}

    def replace(self, table: str, read: RowsRead) -> TableCopy:
        """Take a whole table in, and return its copy."""
        copy = TableCopy(table, read)
        self._copies[table] = copy
        return copy

    def apply(self, news: News) -> None:
        """Take changes in; a copy that has missed some is forgotten."""
        copy = self._copies.get(news.table)
        if copy is not None and not copy.apply(news):
            self.forget(news.table)

    def forget(self, table: str) -> None:
        """Forget a table: nobody knows how old its copy is."""
        self._copies.pop(table, None)

    def beyond(self, versions: dict[str, int]) -> list[News | Whole]:
        """Return what one has to be told who knows some versions."""
        return [
            copy.beyond(versions.get(table))
            for table, copy in self._copies.items()
        ]
