"""Timelines of single requests from the logs of all hosts."""

import json
import tempfile
import unittest
from pathlib import Path

from nutmegroad.cli.program import main
from nutmegroad.cli.request_timelines import (
    read_lines,
    read_logs,
    request_timeline,
)


def line(time: float, part: str, event: str, **more: object) -> str:
    """Return a log line."""
    return json.dumps({'time': time, 'part': part, 'event': event, **more})


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


class TimelineTest(unittest.TestCase):
    """Lines that belong to a timeline."""

    def test_timeline_contains_all_hosts_and_their_state_changes(self) -> None:
        """Lines of other hosts and older state changes are excluded."""
        lines = sorted(read_lines(TEXT, 'f'), key=lambda each: each.timestamp)
        timeline = request_timeline(lines, 'r1')
        self.assertEqual(len(timeline), 3)
        self.assertIn('-1.000 s  host-1  followers: store lost', timeline[0])
        self.assertIn('code=X', timeline[1])
        self.assertIn('host-2  relay: attempt', timeline[2])

    def test_unknown_request_has_an_empty_timeline(self) -> None:
        """Lines of other requests are not used instead."""
        self.assertEqual(
            request_timeline(list(read_lines(TEXT, 'f')), 'r9'), []
        )


class CommandTest(unittest.TestCase):
    """``nutmegroad explain --logs``, which needs no host."""

    def test_command_prints_the_timeline_or_fails(self) -> None:
        """The exit codes are those in docs/COMMANDS.md."""
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
