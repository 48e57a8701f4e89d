"""Tests that the architecture page matches the packages and their imports.

The page lists the packages below ``nutmegroad`` under the heading "Rooms". A
package may import only from itself and from packages above it in that list.
"""

import ast
import re
import unittest
from collections.abc import Iterator
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent
_PAGE = _ROOT / 'docs' / 'ARCHITECTURE.md'
_EXPERIMENTS = _ROOT / 'experiments'
_PACKAGE = _ROOT / 'src' / 'nutmegroad'
_PREFIX = 'nutmegroad.'
#: A package with this many modules or more has to be divided.
_TOO_MANY_MODULES = 41


def listed_packages(page: Path = _PAGE) -> list[str]:
    """Return the packages that a page lists, in its order."""
    listing = page.read_text().partition('## Rooms')[2]
    return re.findall('^- `([a-z_]+)`:', listing, re.MULTILINE)


def imported_packages(path: Path, prefix: str = _PREFIX) -> Iterator[str]:
    """Yield the packages that a module imports from."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            module = node.module or ''
            if module.startswith(prefix):
                yield module.split('.')[1]


class ArchitectureTest(unittest.TestCase):
    """Compares the pages with the sources."""

    def test_the_page_lists_each_package_once(self) -> None:
        """The list has every package and no other names."""
        folders = {path.parent.name for path in _PACKAGE.glob('*/__init__.py')}
        self.assertEqual(sorted(listed_packages()), sorted(folders))

    def test_packages_import_only_from_packages_above(self) -> None:
        """Import cycles between packages are impossible with this order."""
        order = {name: index for index, name in enumerate(listed_packages())}
        for path in sorted(_PACKAGE.glob('*/*.py')):
            own = path.parent.name
            for name in imported_packages(path):
                with self.subTest(module=str(path.relative_to(_PACKAGE))):
                    self.assertLessEqual(order[name], order[own], name)

    def test_experiments_import_only_from_packages_above(self) -> None:
        """The same for the packages of experiments and their own page."""
        packages = listed_packages(_EXPERIMENTS / 'README.md')
        folders = {path.parent.name for path in _EXPERIMENTS.glob('*/*.py')}
        self.assertEqual(sorted(packages), sorted(folders))
        order = {name: index for index, name in enumerate(packages)}
        for path in sorted(_EXPERIMENTS.glob('*/*.py')):
            own = path.parent.name
            for name in imported_packages(path, 'experiments.'):
                with self.subTest(module=str(path.relative_to(_ROOT))):
                    self.assertLessEqual(order.get(name, -1), order[own], name)

    def test_packages_stay_small(self) -> None:
        """The modules of a package can be taken in at a glance."""
        for package in listed_packages():
            with self.subTest(package=package):
                modules = list((_PACKAGE / package).glob('*.py'))
                self.assertLess(len(modules), _TOO_MANY_MODULES)

    def test_request_paths_name_modules_that_exist(self) -> None:
        """The tables of request paths on the page name existing modules."""
        page = _PAGE.read_text()
        module_names = re.findall(
            '`([a-z]+/_?[a-z_]+)`', page.partition('## Rooms')[0]
        )
        self.assertGreater(len(module_names), 30)
        for name in module_names:
            if name.startswith('platform/'):
                continue
            with self.subTest(module=name):
                self.assertTrue((_PACKAGE / f'{name}.py').is_file())
