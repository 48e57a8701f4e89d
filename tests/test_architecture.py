"""The page for newcomers names every module of the package, and no other."""

import re
import unittest
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent
_PAGE = _ROOT / 'docs' / 'ARCHITECTURE.md'
_PACKAGE = _ROOT / 'src' / 'nutmegroad'


class ArchitectureTest(unittest.TestCase):
    def test_the_list_names_each_module_once(self) -> None:
        listing = _PAGE.read_text().partition('## Modules in reading order')[2]
        named = sorted(re.findall('`([a-z_]+)`', listing))
        modules = {path.stem for path in _PACKAGE.glob('*.py')}
        self.assertEqual(named, sorted(modules - {'__init__'}))

    def test_the_way_of_a_request_names_modules_that_exist(self) -> None:
        page = _PAGE.read_text()
        way = page.partition('## The way')[2].partition('## Where')[0]
        for name in re.findall('`([a-z_]+)`', way):
            with self.subTest(module=name):
                self.assertTrue((_PACKAGE / f'{name}.py').is_file())
