"""Tests that the loss tables of a load test add up to its total loss."""

import io
import json
import tempfile
import unittest
from pathlib import Path

from experiments.losses import (
    KindWorth,
    main,
    rows_by_cause,
    rows_by_part,
    rows_by_window,
)

KINDS = {'draft': KindWorth(4, 1), 'tag': KindWorth(1, 0.3)}


def request_counts(name: str, worth: float, **counts: int) -> dict[str, object]:
    """Return one entry of a report, with zero for counts that are not given."""
    defaults = {'n': 100, 'late': 0, 'failed': 0, 'refused': 0, 'not_owed': 0}
    return {'name': name, 'worth': worth, **defaults, **counts}


REPORT = {
    'G': 0.7,
    'parts': [['whole day', 0.6, 0.9], ['worst windows', 0.4, 0.6]],
    'prices': [['models', 30, 0.07], ['probes', 1, 0.0001]],
    'all': request_counts('all', 0.9),
    'classes': [
        request_counts('draft', 0.88, late=10, failed=2),
        request_counts('tag', 0.95, refused=3),
    ],
    'windows': [request_counts('0', 0.8), request_counts('2', 1.0)],
}


class LossesTest(unittest.TestCase):
    """Every loss is in exactly one row of each table."""

    def test_parts_and_prices_add_up(self) -> None:
        """Their sum is 1 minus the score of the run."""
        lost = sum(row.lost for row in rows_by_part(REPORT))
        self.assertAlmostEqual(lost, 0.3)

    def test_causes_add_up(self) -> None:
        """Their sum is 1 minus the fraction of the worth that was earned."""
        rows = rows_by_cause(REPORT, KINDS)
        self.assertAlmostEqual(sum(row.lost for row in rows), 0.1)

    def test_causes_are_reported_separately(self) -> None:
        """100 drafts, 10 of them late; 100 tags worth a quarter each."""
        rows = {row.name: row.lost for row in rows_by_cause(REPORT, KINDS)}
        self.assertAlmostEqual(rows['draft: 10 late'], 10 * 3 / 500)
        self.assertAlmostEqual(rows['draft: 2 failed'], 2 * 4 / 500)
        self.assertAlmostEqual(rows['tag: 3 refused'], 3 / 500)
        poor = 0.12 * 400 / 500 - 30 / 500 - 8 / 500
        self.assertAlmostEqual(rows['draft: poor answers kept'], poor)

    def test_window_with_the_largest_loss_is_first(self) -> None:
        """Losses are weighted by the number of requests in the window."""
        first = rows_by_window(REPORT)[0]
        self.assertTrue(first.name.startswith('from 0 s'))
        self.assertAlmostEqual(first.lost, 0.1)

    def test_program_writes_all_tables(self) -> None:
        """The program reads a report and a site file."""
        site = '\n'.join(
            f'[[classes]]\nname = "{name}"\nworth = {worth.in_time}\n'
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
