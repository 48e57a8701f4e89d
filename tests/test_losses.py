"""The tables of lost worth add up to what was lost."""

import io
import json
import tempfile
import unittest
from pathlib import Path

from experiments.losses import (
    KindWorth,
    main,
    rows_by_cause,
    rows_by_moment,
    rows_by_part,
)

KINDS = {'draft': KindWorth(4, 1), 'tag': KindWorth(1, 0.3)}


def counted(name: str, worth: float, **counts: int) -> dict[str, object]:
    """Return one line of a report."""
    usual = {'n': 100, 'late': 0, 'failed': 0, 'refused': 0, 'not_owed': 0}
    return {'name': name, 'worth': worth, **usual, **counts}


REPORT = {
    'G': 0.7,
    'parts': [['whole day', 0.6, 0.9], ['worst windows', 0.4, 0.6]],
    'prices': [['models', 30, 0.07], ['probes', 1, 0.0001]],
    'all': counted('all', 0.9),
    'classes': [
        counted('draft', 0.88, late=10, failed=2),
        counted('tag', 0.95, refused=3),
    ],
    'windows': [counted('0', 0.8), counted('2', 1.0)],
}


class LossesTest(unittest.TestCase):
    """Every row is somewhere, and none twice."""

    def test_parts_and_prices_add_up(self) -> None:
        """They are one less the day's worth."""
        lost = sum(row.lost for row in rows_by_part(REPORT))
        self.assertAlmostEqual(lost, 0.3)

    def test_causes_add_up(self) -> None:
        """They are one less the credit of the day."""
        rows = rows_by_cause(REPORT, KINDS)
        self.assertAlmostEqual(sum(row.lost for row in rows), 0.1)

    def test_causes_are_told_apart(self) -> None:
        """Ten late drafts of 100, and 100 tags of a quarter of the worth."""
        rows = {row.name: row.lost for row in rows_by_cause(REPORT, KINDS)}
        self.assertAlmostEqual(rows['draft: 10 late'], 10 * 3 / 500)
        self.assertAlmostEqual(rows['draft: 2 failed'], 2 * 4 / 500)
        self.assertAlmostEqual(rows['tag: 3 refused'], 3 / 500)
        poor = 0.12 * 400 / 500 - 30 / 500 - 8 / 500
        self.assertAlmostEqual(rows['draft: poor answers kept'], poor)

    def test_worst_moment_is_first(self) -> None:
        """By what was asked in it."""
        first = rows_by_moment(REPORT)[0]
        self.assertTrue(first.name.startswith('from 0 s'))
        self.assertAlmostEqual(first.lost, 0.1)

    def test_program_writes_all_tables(self) -> None:
        """From a report and a site file."""
        site = '\n'.join(
            f'[[classes]]\nname = "{name}"\nworth = {worth.whole}\n'
            f'late_worth = {worth.late}'
            for name, worth in KINDS.items()
        )
        with tempfile.TemporaryDirectory() as folder:
            site_path = Path(folder, 'site.toml')
            site_path.write_text(site)
            report_path = Path(folder, 'day.json')
            report_path.write_text(json.dumps(REPORT))
            out = io.StringIO()
            main(['--site', str(site_path), str(report_path)], out)
        self.assertEqual(out.getvalue().count('| sum |'), 3)
        self.assertIn('## day: worth 0.700', out.getvalue())
