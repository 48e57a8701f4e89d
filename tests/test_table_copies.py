"""Tables as they are told whole."""

import unittest

from nutmegroad.fleet.news import News, Whole
from nutmegroad.fleet.stored import RowsRead, StoredRow
from nutmegroad.fleet.table_copies import TableCopies

TABLE = 'op'


class CopiesTest(unittest.TestCase):
    """Tables as they are told whole."""

    def setUp(self) -> None:
        """Keep a copy of a table with two rows."""
        self.copies = TableCopies()
        rows = (StoredRow('a', b'1', 3), StoredRow('b', b'1', 4))
        self.copies.replace(TABLE, RowsRead(rows, 4, 10))

    def told(self, version: int) -> News | Whole:
        """Return what one is told who knows a version."""
        return self.copies.beyond({TABLE: version})[0]

    def test_who_knows_the_version_is_told_no_rows(self) -> None:
        """A link that broke for a moment costs no table."""
        self.assertEqual(self.told(4), News(TABLE, 4, 4, 10))

    def test_who_knows_another_is_told_all(self) -> None:
        """Rows that were removed are not among them."""
        removed = StoredRow('a', b'', 6, removed=True)
        changed = StoredRow('b', b'2', 7)
        self.copies.apply(News(TABLE, 4, 7, 12, (removed, changed)))
        self.assertEqual(self.told(4), Whole(TABLE, 7, 12, (changed,)))

    def test_older_rows_change_nothing(self) -> None:
        """News of two readers cross."""
        older = StoredRow('b', b'0', 2)
        self.copies.apply(News(TABLE, 1, 3, 9, (older,)))
        whole = self.told(0)
        assert isinstance(whole, Whole)
        self.assertEqual(whole.version, 4)
        self.assertEqual(whole.rows[1].content, b'1')

    def test_copy_that_has_missed_something_is_forgotten(self) -> None:
        """Nobody is told a table with a hole in it."""
        self.copies.apply(News(TABLE, 8, 9, 12))
        self.assertEqual(self.copies.beyond({}), [])


if __name__ == '__main__':
    unittest.main()
