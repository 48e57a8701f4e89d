"""Tests that docs/PROOFS.md names existing tests and files."""

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / 'docs' / 'PROOFS.md').read_text()
#: Promises on the page, one row of the table each.
PROMISES = 10


class ProofsTest(unittest.TestCase):
    """The references on the page."""

    def test_every_file_that_is_named_exists(self) -> None:
        named = set(re.findall(r'(?:tests|models|experiments)/\w+\.py', PAGE))
        self.assertGreater(len(named), PROMISES)
        for name in sorted(named):
            with self.subTest(name):
                self.assertTrue((ROOT / name).is_file())

    def test_every_test_that_is_named_exists(self) -> None:
        modules = (ROOT / 'tests').glob('test_*.py')
        defined = '\n'.join(path.read_text() for path in modules)
        stems = {path.stem for path in (ROOT / 'tests').glob('*.py')}
        for name in sorted(set(re.findall(r'\btest_\w+', PAGE)) - stems):
            with self.subTest(name):
                self.assertIn(f'def {name}(', defined)

    def test_every_promise_has_its_row(self) -> None:
        table = PAGE.split('\n## ')[0]
        rows = [line for line in table.splitlines() if line[:2] == '| ']
        numbered = [row for row in rows if re.match(r'\| \d+\. ', row)]
        self.assertEqual(PROMISES, len(numbered))
        for row in numbered:
            with self.subTest(row[:40]):
                cells = [cell.strip() for cell in row.strip('| ').split(' | ')]
                self.assertTrue(all(cells))
                self.assertIn('tests/', row)


if __name__ == '__main__':
    unittest.main()
