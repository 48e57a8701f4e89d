"""The fleet's soak: a short run holds, and a deliberate fault is found."""

import asyncio
import io
import os
import shutil
import signal
import sys
import tempfile
import time
import unittest
from contextlib import redirect_stdout
from pathlib import Path
from subprocess import PIPE, Popen

from experiments.fleet_soak.plan import Fault, draw
from experiments.fleet_soak.processes import ROOT, SoakProcess
from experiments.fleet_soak.program import main
from experiments.fleet_soak.worker import FOREIGN_BODIES

#: A store, three workers and two hosts.
PROCESSES = 6
SMALL = ('--hosts', '2', '--workers', '3')


def _children(parent: int) -> list[int]:
    """Return the processes that another one has started."""
    listed = Path(f'/proc/{parent}/task/{parent}/children')
    return [int(word) for word in listed.read_text().split()]


def _runs(process: int) -> bool:
    """Tell whether a process is there."""
    return Path(f'/proc/{process}').exists()


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    """Programs of the soak."""

    async def test_two_starts_at_one_moment_are_one(self) -> None:
        """Seen: workers that a soak had left behind when it had ended."""
        words = ('-c', 'import time; time.sleep(60)')
        made = SoakProcess(words, {}, lambda _line: None)
        before = set(_children(os.getpid()))
        await asyncio.gather(made.start(), made.start())
        started = set(_children(os.getpid())) - before
        await made.kill()
        self.assertEqual(len(started), 1)


class PlanTest(unittest.TestCase):
    """What befalls a fleet follows from the seed."""

    def test_same_seed_gives_the_same_plan(self) -> None:
        """So a run can be replayed."""
        self.assertEqual(list(draw(1, 60, 5)), list(draw(1, 60, 5)))
        self.assertNotEqual(list(draw(1, 60, 5)), list(draw(2, 60, 5)))

    def test_every_fault_comes_before_any_comes_twice(self) -> None:
        """A long enough run leaves none out."""
        plan = [event.fault for event in draw(3, 200, 5)]
        kinds = len(Fault)
        self.assertEqual(len(set(plan[:kinds])), kinds)


class FleetSoakTest(unittest.TestCase):
    """The real program as processes, judged from outside."""

    def play(self, *words: str) -> tuple[int, str]:
        """Play a soak and return its status and what it wrote."""
        out = io.StringIO()
        with redirect_stdout(out):
            status = main([*SMALL, *words])
        return status, out.getvalue()

    def test_short_run_breaks_no_rule(self) -> None:
        """A few faults, then planned work in calm."""
        status, text = self.play('--seed', '4', '--seconds', '4')
        self.assertEqual(status, 0, text)

    def test_soak_that_is_ended_leaves_no_process_behind(self) -> None:
        """Whoever ends it by a signal ends all that it has started."""
        words = ('-m', 'experiments.fleet_soak', *SMALL, '--seconds', '30')
        with Popen([sys.executable, *words], stdout=PIPE, cwd=ROOT) as soak:
            children = _children(soak.pid)
            while len(children) < PROCESSES:
                time.sleep(0.1)
                children = _children(soak.pid)
            soak.send_signal(signal.SIGTERM)
            text, _ = soak.communicate()
        self.assertEqual(soak.returncode, 1)
        self.assertIn(b'ended by a signal', text)
        self.assertEqual([each for each in children if _runs(each)], [])

    def play_patched(
        self,
        module: str,
        changes: dict[str, str],
        *words: str,
    ) -> tuple[int, str]:
        """Play a copy of the program in which one module reads otherwise.

        Args:
            module: Path of the module.
            changes: What is put in place of what.
            words: Words of the command line.
        """
        with tempfile.TemporaryDirectory() as folder:
            patched = Path(folder)
            for part in ('src', 'platform'):
                shutil.copytree(ROOT / part, patched / part)
            path = patched / module
            text = path.read_text()
            for usual, other in changes.items():
                self.assertIn(usual, text)
                text = text.replace(usual, other)
            path.write_text(text)
            return self.play(*words, '--program', folder)

    def test_host_that_relies_on_another_for_ever_is_found(self) -> None:
        """A program whose hosts wait for news however old the last ones are.

        The store falls silent to the host that reads it for its domain.
        """
        status, text = self.play_patched(
            'src/nutmegroad/fleet/feed_timing.py',
            {
                'WAIT_FRACTION: Final = 0.35': 'WAIT_FRACTION: Final = 2',
                'VALID_FRACTION: Final = 0.75': 'VALID_FRACTION: Final = 20',
            },
            *('--seed', '22', '--seconds', '5.5', '--hosts', '4'),
            *('--faults', Fault.STORE_HOLDS.value),
        )
        self.assertEqual(status, 1, text)
        self.assertRegex(text, r'configurations in force: \d+ judged, [1-9]')

    def test_hosts_that_tell_of_no_session_are_found(self) -> None:
        """A program whose hosts keep to themselves which sessions they had."""
        status, text = self.play_patched(
            'src/nutmegroad/fleet/messages.py',
            {'self._sessions.merge(digest.sessions, local=local)': 'pass'},
            *('--seed', '1', '--seconds', '2', '--hosts', '3'),
            *('--faults', Fault.ROLLED_OUT.value),
        )
        self.assertEqual(status, 1, text)
        self.assertRegex(text, r'sessions stay: \d+ judged, [1-9]')

    def test_foreign_answers_are_found(self) -> None:
        """Workers that answer with the bodies of other requests."""
        words = ('--seconds', '0', '--mutant', FOREIGN_BODIES)
        status, text = self.play(*words)
        self.assertEqual(status, 1, text)
        self.assertNotIn('whole answers: 0 judged', text)
