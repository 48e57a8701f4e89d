"""The page for newcomers names the rooms, and imports keep to its order."""

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
#: The house rule: more modules than this, and a room has to be divided.
_MOST_MODULES = 41


def listed_rooms(page: Path = _PAGE) -> list[str]:
    """Return the rooms of a page, in its order."""
    listing = page.read_text().partition('## Rooms')[2]
    return re.findall('^- `([a-z_]+)`:', listing, re.MULTILINE)


def imported_rooms(path: Path, prefix: str = _PREFIX) -> Iterator[str]:
    """Yield the rooms that a module imports from."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            module = node.module or ''
            if module.startswith(prefix):
                yield module.split('.')[1]


class ArchitectureTest(unittest.TestCase):
    """The page against the sources."""

    def test_the_page_lists_each_room_once(self) -> None:
        """No room is missing, and none is invented."""
        folders = {path.parent.name for path in _PACKAGE.glob('*/__init__.py')}
        self.assertEqual(sorted(listed_rooms()), sorted(folders))

    def test_rooms_import_only_from_rooms_above(self) -> None:
        """So there are no cycles between rooms."""
        order = {room: place for place, room in enumerate(listed_rooms())}
        for path in sorted(_PACKAGE.glob('*/*.py')):
            own = path.parent.name
            for room in imported_rooms(path):
                with self.subTest(module=str(path.relative_to(_PACKAGE))):
                    self.assertLessEqual(order[room], order[own], room)

    def test_rooms_of_experiments_import_only_from_rooms_above(self) -> None:
        """The same for the programs that ask something."""
        rooms = listed_rooms(_EXPERIMENTS / 'README.md')
        folders = {path.parent.name for path in _EXPERIMENTS.glob('*/*.py')}
        self.assertEqual(sorted(rooms), sorted(folders))
        order = {room: place for place, room in enumerate(rooms)}
        for path in sorted(_EXPERIMENTS.glob('*/*.py')):
            own = path.parent.name
            for room in imported_rooms(path, 'experiments.'):
                with self.subTest(module=str(path.relative_to(_ROOT))):
                    self.assertLessEqual(order.get(room, -1), order[own], room)

    def test_rooms_stay_small(self) -> None:
        """A listing shows a room at a glance."""
        for room in listed_rooms():
            with self.subTest(room=room):
                modules = list((_PACKAGE / room).glob('*.py'))
                self.assertLess(len(modules), _MOST_MODULES)

    def test_the_ways_of_requests_name_modules_that_exist(self) -> None:
        """Every module in the tables is where they say."""
        page = _PAGE.read_text()
        named = re.findall(
            '`([a-z]+/_?[a-z_]+)`', page.partition('## Rooms')[0]
        )
        self.assertGreater(len(named), 30)
        for name in named:
            if name.startswith('platform/'):
                continue
            with self.subTest(module=name):
                self.assertTrue((_PACKAGE / f'{name}.py').is_file())
