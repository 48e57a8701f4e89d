"""The logs of all hosts tell one request's story."""

import json
import tempfile
import unittest
from pathlib import Path

from nutmegroad.cli.log_stories import read_lines, read_logs, story
from nutmegroad.cli.program import main


def line(moment: float, part: str, event: str, **more: object) -> str:
    """Return a log line."""
    return json.dumps({'time': moment, 'part': part, 'event': event, **more})


TEXT = '\n'.join(
    (
        f'12.0 host-2 {line(99, "relay", "attempt", request="r1")}',
        f'11.0 host-1 {line(97, "followers", "store lost", table="op")}',
        f'11.0 host-3 {line(97, "followers", "store lost", table="op")}',
        f'11.5 host-1 {line(98, "relay", "refused", request="r1", code="X")}',
        f'10.0 host-1 {line(50, "followers", "store lost", table="op")}',
        f'11.5 host-1 {line(98, "relay", "refused", request="r2", code="Y")}',
        'Traceback: no JSON here {',
    ),
)


class StoryTest(unittest.TestCase):
    """Which lines belong to a story."""

    def test_story_joins_hosts_and_what_they_believed(self) -> None:
        """In order of time; other hosts and older beliefs are left out."""
        lines = sorted(read_lines(TEXT, 'f'), key=lambda each: each.moment)
        told = story(lines, 'r1')
        self.assertEqual(len(told), 3)
        self.assertIn('-1.000 s  host-1  followers: store lost', told[0])
        self.assertIn('code=X', told[1])
        self.assertIn('host-2  relay: attempt', told[2])

    def test_request_that_nobody_logged_has_no_story(self) -> None:
        """An empty story, not an invented one."""
        self.assertEqual(story(list(read_lines(TEXT, 'f')), 'r9'), [])


class CommandTest(unittest.TestCase):
    """``nutmegroad explain --logs`` needs no host."""

    def test_command_tells_the_story_or_says_that_there_is_none(self) -> None:
        """Exit codes as in docs/COMMANDS.md."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'all.log'
            path.write_text(TEXT)
            self.assertEqual(len(read_logs([path])), 6)
            for request, code in (('r1', 0), ('r9', 1)):
                with self.subTest(request=request):
                    words = ['explain', request, '--logs', str(path)]
                    self.assertEqual(main(words, {}), code)
            absent = ['explain', 'r1', '--logs', str(path) + '.absent']
            self.assertEqual(main(absent, {}), 2)
