"""Tests of the cached tables that followers receive."""

import unittest

from nutmegroad.fleet.store_interface import RowsRead, StoredRow
from nutmegroad.fleet.table_cache import TableCache
from nutmegroad.fleet.table_updates import TableSnapshot, TableUpdate

TABLE = 'op'


class TableCacheTest(unittest.TestCase):
    """What a follower receives of a cached table."""

    def setUp(self) -> None:
        """Cache a table with two rows."""
        self.cache = TableCache()
        rows = (StoredRow('a', b'1', 3), StoredRow('b', b'1', 4))
        self.cache.replace(TABLE, RowsRead(rows, 4, 10))

    def received(self, version: int) -> TableUpdate | TableSnapshot:
        """Return what a follower that knows a version receives."""
        return self.cache.updates_since({TABLE: version})[0]

    def test_current_version_receives_no_rows(self) -> None:
        """A link that was down for a moment costs no transfer of the table."""
        self.assertEqual(self.received(4), TableUpdate(TABLE, 4, 4, 10))

    def test_other_version_receives_all_rows(self) -> None:
        """Rows that were removed are not among them."""
        removed = StoredRow('a', b'', 6, removed=True)
        changed = StoredRow('b', b'2', 7)
        self.cache.apply(TableUpdate(TABLE, 4, 7, 12, (removed, changed)))
        self.assertEqual(
            self.received(4), TableSnapshot(TABLE, 7, 12, (changed,))
        )

    def test_older_rows_change_nothing(self) -> None:
        """Updates from two readers arrive out of order."""
        older = StoredRow('b', b'0', 2)
        self.cache.apply(TableUpdate(TABLE, 1, 3, 9, (older,)))
        whole = self.received(0)
        assert isinstance(whole, TableSnapshot)
        self.assertEqual(whole.version, 4)
        self.assertEqual(whole.rows[1].content, b'1')

    def test_table_with_a_missing_update_is_dropped(self) -> None:
        """No follower receives a table with a gap."""
        self.cache.apply(TableUpdate(TABLE, 8, 9, 12))
        self.assertEqual(self.cache.updates_since({}), [])


if __name__ == '__main__':
    unittest.main()
