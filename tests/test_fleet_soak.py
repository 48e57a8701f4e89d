"""Tests of the fleet soak: the router passes, deliberate faults are found."""

import asyncio
import os
import signal
import sys
import time
import unittest
from pathlib import Path
from subprocess import PIPE, Popen

from experiments.fleet_soak.plan import Fault, draw_plan
from experiments.fleet_soak.processes import ROOT, SoakProcess
from experiments.fleet_soak.worker import FOREIGN_BODIES

from tests.soak_case import SMALL_FLEET, SoakCase

#: Processes of a small fleet: a store, three workers and two hosts.
PROCESS_COUNT = 6


def _children(parent: int) -> list[int]:
    """Return the ids of a process's children."""
    path = Path(f'/proc/{parent}/task/{parent}/children')
    return [int(pid) for pid in path.read_text().split()]


def _is_running(pid: int) -> bool:
    """Return whether a process exists."""
    return Path(f'/proc/{pid}').exists()


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    """Child processes of the soak."""

    async def test_concurrent_starts_start_one_process(self) -> None:
        """Two faults may start a worker; only one process would be killed."""
        arguments = ('-c', 'import time; time.sleep(60)')
        process = SoakProcess(arguments, {}, lambda _line: None)
        before = set(_children(os.getpid()))
        await asyncio.gather(process.start(), process.start())
        started = set(_children(os.getpid())) - before
        await process.kill()
        self.assertEqual(len(started), 1)


class PlanTest(unittest.TestCase):
    """Plans that are drawn from a seed."""

    def test_same_seed_gives_the_same_plan(self) -> None:
        """A run can be repeated by its seed; other seeds give other plans."""
        self.assertEqual(list(draw_plan(1, 60, 5)), list(draw_plan(1, 60, 5)))
        self.assertNotEqual(
            list(draw_plan(1, 60, 5)), list(draw_plan(2, 60, 5))
        )

    def test_every_fault_occurs_before_any_recurs(self) -> None:
        """A plan that is long enough contains every kind."""
        plan = [event.fault for event in draw_plan(3, 200, 5)]
        kinds = len(Fault)
        self.assertEqual(len(set(plan[:kinds])), kinds)


class FleetSoakTest(SoakCase):
    """The real program, run as processes and judged from outside."""

    def test_short_run_breaks_no_rule(self) -> None:
        """A few faults, then planned operations without faults."""
        status, text = self.run_soak('--seed', '4', '--seconds', '4')
        self.assertEqual(status, 0, text)

    def test_terminated_soak_leaves_no_process_behind(self) -> None:
        """SIGTERM to the soak terminates all processes that it has started."""
        arguments = (
            '-m',
            'experiments.fleet_soak',
            *SMALL_FLEET,
            '--seconds',
            '30',
        )
        with Popen([sys.executable, *arguments], stdout=PIPE, cwd=ROOT) as soak:
            children = _children(soak.pid)
            while len(children) < PROCESS_COUNT:
                time.sleep(0.1)
                children = _children(soak.pid)
            soak.send_signal(signal.SIGTERM)
            text, _ = soak.communicate()
        self.assertEqual(soak.returncode, 1)
        self.assertIn(b'ended by a signal', text)
        self.assertEqual([each for each in children if _is_running(each)], [])

    def test_host_that_trusts_stale_updates_is_found(self) -> None:
        """Hosts wait for table updates from a peer, however old the last are.

        The store stops replying to the host that reads it for its failure
        domain.
        """
        status, text = self.run_patched(
            'src/nutmegroad/fleet/feed_timing.py',
            {
                'WAIT_FRACTION: Final = 0.35': 'WAIT_FRACTION: Final = 2',
                'VALID_FRACTION: Final = 0.75': 'VALID_FRACTION: Final = 20',
            },
            *('--seed', '22', '--seconds', '5.5', '--hosts', '4'),
            *('--faults', Fault.STORE_SILENT_TO_HOST.value),
        )
        self.assertEqual(status, 1, text)
        self.assertRegex(text, r'configurations in force: \d+ judged, [1-9]')

    def test_hosts_that_report_no_sessions_are_found(self) -> None:
        """Hosts ignore the sessions that other hosts report."""
        status, text = self.run_patched(
            'src/nutmegroad/fleet/messages.py',
            {'self._sessions.merge(digest.sessions, local=local)': 'pass'},
            *('--seed', '1', '--seconds', '2', '--hosts', '3'),
            *('--faults', Fault.ROLLED_OUT.value),
        )
        self.assertEqual(status, 1, text)
        self.assertRegex(text, r'sessions stay: \d+ judged, [1-9]')

    def test_hosts_that_ignore_evacuations_are_found(self) -> None:
        """Hosts send requests to domains that the operator has evacuated."""
        status, text = self.run_patched(
            'src/nutmegroad/upstreams/placement.py',
            {'if not evacuated:': 'if evacuated is not None:'},
            *('--seed', '1', '--seconds', '2'),
            *('--faults', Fault.DOMAIN_EVACUATED.value),
        )
        self.assertEqual(status, 1, text)
        self.assertRegex(text, r'evacuated domains: \d+ judged, [1-9]')

    def test_broken_off_answers_are_not_complete(self) -> None:
        """Workers answer without a length, and break some answers off."""
        status, text = self.run_soak(
            *('--seed', '1', '--seconds', '4'),
            *('--faults', Fault.WORKER_BREAKS_OFF.value),
        )
        self.assertEqual(status, 0, text)

    def test_hosts_that_complete_broken_off_streams_are_found(self) -> None:
        """Hosts take a stream that ends inside an event for complete."""
        status, text = self.run_patched(
            'src/nutmegroad/relay/streams.py',
            {'if splitter.is_inside_event:': 'if not splitter:'},
            *('--seed', '1', '--seconds', '8'),
            *('--faults', Fault.WORKER_BREAKS_OFF.value),
        )
        self.assertEqual(status, 1, text)
        self.assertRegex(text, r'whole answers: \d+ judged, [1-9]')

    def test_foreign_answers_are_found(self) -> None:
        """Workers answer with the bodies of other requests."""
        arguments = ('--seconds', '0', '--mutant', FOREIGN_BODIES)
        status, text = self.run_soak(*arguments)
        self.assertEqual(status, 1, text)
        self.assertNotIn('whole answers: 0 judged', text)
