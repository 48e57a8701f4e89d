"""Tests of restarted upstreams, and of foreign entries in their list.

A supervisor may restart a crashed worker, which lists itself under the same id
but has lost all state of its predecessor. Another program may write into the
list of upstreams, by mistake or in a newer format.
"""

import asyncio
import unittest
from dataclasses import replace
from unittest.mock import patch

from fakes.opaque_worker import EVENTS, plain, stream

from nutmegroad.canary.gate import AttemptOutcome
from nutmegroad.fleet.loads import NO_LOAD, Load, LoadLedger
from nutmegroad.fleet.store_interface import RowsRead, StoredRow
from nutmegroad.foundations.types import HostId, ServiceName, UpstreamId
from nutmegroad.tables.row_guard import MAX_LOGGED_PER_REASON
from nutmegroad.tables.row_reader import Unreadable
from nutmegroad.testing.virtual import ManualClock
from nutmegroad.upstreams.directory import (
    Directory,
    IncarnationEnd,
    UpstreamEntry,
)
from nutmegroad_platform.rows import RowCodec
from tests.relay_rig import Rig, route
from tests.relay_samples import entry_row, upstream_sink

#: A deadline that no test reaches.
LONG = {'Nutmegroad-Deadline-Ms': '60000'}

#: Start times of a worker, in milliseconds since 1970.
FIRST, SECOND = 1_790_000_000_000, 1_790_000_009_000


def entry(born: int, **more: object) -> UpstreamEntry:
    """Return the entry of one incarnation of a worker."""
    found = RowCodec().upstream_row(entry_row('a', born=born, **more))
    assert isinstance(found, UpstreamEntry)
    return found


class DirectoryTest(unittest.TestCase):
    """State of an incarnation after its end."""

    def setUp(self) -> None:
        """Add a worker, and record which incarnations end."""
        self.directory = Directory(ManualClock())
        self.ended: list[tuple[str, IncarnationEnd]] = []
        self.directory.ended.add_listener(
            lambda name, end: self.ended.append((name, end)),
        )
        self.directory.put(entry(FIRST))

    def test_new_incarnation_has_unknown_health(self) -> None:
        """Its health is unknown, and observers receive the end."""
        before = self.directory.find(UpstreamId('a'))
        assert before is not None
        before.health.record_failure(0)
        self.directory.put(entry(SECOND))
        now = self.directory.find(UpstreamId('a'))
        assert now is not None
        self.assertEqual(now.health.failure_average, 0)
        self.assertTrue(before.restarted)
        self.assertFalse(now.restarted)
        self.assertEqual(
            self.ended,
            [(before.entry.incarnation, IncarnationEnd.RESTARTED)],
        )

    def test_same_incarnation_keeps_its_state(self) -> None:
        """A changed state, or an entry without a start time, is no restart."""
        before = self.directory.find(UpstreamId('a'))
        for again in (entry(FIRST, state='draining'), entry(0)):
            self.directory.put(again)
        self.assertIs(self.directory.find(UpstreamId('a')), before)
        self.assertEqual(self.ended, [])

    def test_late_write_of_the_start_before_changes_nothing(self) -> None:
        """The store performs a lost call seconds later."""
        self.directory.put(entry(SECOND))
        present = self.directory.find(UpstreamId('a'))
        self.directory.put(entry(FIRST))
        self.assertIs(self.directory.find(UpstreamId('a')), present)
        self.directory.put(entry(SECOND))
        self.directory.put(entry(FIRST))
        self.assertIs(self.directory.find(UpstreamId('a')), present)

    def test_clock_that_was_set_back_is_a_new_start(self) -> None:
        """Only a live worker reports an earlier start time twice in a row."""
        self.directory.put(entry(SECOND))
        present = self.directory.find(UpstreamId('a'))
        self.directory.put(entry(FIRST))
        self.directory.put(entry(FIRST))
        self.assertIsNot(self.directory.find(UpstreamId('a')), present)

    def test_restart_after_removal_is_reported(self) -> None:
        """The list removes an unresponsive worker before it is back."""
        self.directory.remove(UpstreamId('a'), 'silent')
        self.directory.put(entry(SECOND))
        self.assertEqual([end for _, end in self.ended], list(IncarnationEnd))

    def test_loads_at_the_start_before_do_not_count(self) -> None:
        """Peers report the old incarnation until they receive the new one."""
        ledger = LoadLedger(ManualClock())
        before, now = entry(FIRST).incarnation, entry(SECOND).incarnation
        ledger.replace_reported(HostId('n'), {before: Load(9, 3.0, 9000)})
        self.assertEqual(ledger.load(now), NO_LOAD)
        self.assertEqual(ledger.load(before).running, 9)


class OpenExchangesTest(unittest.IsolatedAsyncioTestCase):
    """Exchanges that are pending when a worker restarts."""

    async def asyncSetUp(self) -> None:
        """Start a host with one worker."""
        self.rig = await self.enterAsyncContext(Rig(workers=2))
        self.rig.store.remove('servers', 'w-1')
        self.rig.register(0, born=FIRST)
        # Timeouts so long that only the restart can abort an exchange.
        patient = {'timeoutMs': 60_000, 'targetLatencyMs': 30_000}
        stream_route = route(
            'draft',
            'streaming',
            streamResume=True,
            gapAimMs=30_000,
            **patient,
        )
        routes = [stream_route, route('pay', 'non_idempotent', **patient)]
        await self.rig.start()
        self.rig.configure(2, routes=routes)
        await self.rig.until(lambda: self.rig.host.configuration_version == 2)

    async def restart(self) -> None:
        """Restart the worker once it has a request."""
        await self.rig.until(lambda: self.rig.workers[0].requests)
        self.rig.register(0, born=SECOND)
        self.rig.register(1, born=FIRST)

    async def test_open_stream_goes_on_elsewhere(self) -> None:
        """It is complete, and no version is blamed for the restart."""
        first, second = self.rig.workers
        begun = stream(EVENTS[:1])
        never = asyncio.Event()
        first.next_scripts.append(lambda seen: replace(begun(seen), hold=never))
        first.default_script = stream(EVENTS)
        second.default_script = stream(EVENTS)
        gate = self.rig.host._context.version_gate
        with patch.object(gate, 'observe', wraps=gate.observe) as observed:
            asked = asyncio.ensure_future(
                self.rig.ask('/draft/1', headers=LONG)
            )
            await self.restart()
            status, _, body = await asked
        self.assertEqual((status, body), (200, b''.join(EVENTS)))
        seen = {call.args[2] for call in observed.call_args_list}
        self.assertLessEqual(seen, {AttemptOutcome.ACCEPTABLE})

    async def test_call_that_runs_once_is_left_to_its_connection(self) -> None:
        """The list is late, and the new incarnation already has the call."""
        release = asyncio.Event()
        answer = plain(b'paid')
        worker = self.rig.workers[0]
        worker.default_script = lambda seen: replace(answer(seen), hold=release)
        asked = asyncio.ensure_future(self.rig.ask('/pay/1', headers=LONG))
        await self.rig.until(lambda: worker.requests)
        self.rig.register(0, born=SECOND)
        await self.rig.until(self._is_second)
        release.set()
        status, _, body = await asked
        self.assertEqual((status, body), (200, b'paid'))
        self.assertEqual(self.rig.seen('r1'), 1)

    def _is_second(self) -> bool:
        """Return whether the host knows the second incarnation."""
        found = self.rig.host._directory.find(UpstreamId('w-0'))
        return found is not None and found.entry.started_ms == SECOND


class ForeignEntriesTest(unittest.TestCase):
    """Entries that no upstream has written are rejected; the others stay."""

    def setUp(self) -> None:
        """Create a sink that has received two workers."""
        self.directory = Directory(ManualClock())
        self.sink = upstream_sink(self.directory, ManualClock())
        self.sink.update_services([ServiceName('s')])
        self.apply(entry_row('a'), entry_row('b'))

    def apply(self, *rows: StoredRow) -> None:
        """Apply rows of the list."""
        self.sink.apply(RowsRead(rows, 1, 0))

    def known(self) -> list[str]:
        """Return the workers that accept requests."""
        members = self.directory.of_service(ServiceName('s'))
        return [each.entry.upstream for each in members]

    def test_invalid_entries_are_rejected(self) -> None:
        """Missing fields, wrong types, unknown states, and other bytes."""
        without = b'{"service":"s","address":"127.0.0.9:1","zone":"north"}'
        wrong = (
            StoredRow('x', without, 2),
            StoredRow('x', b'\xff\x00 no JSON', 2),
            StoredRow('x', b'', 2),
            StoredRow('x', b'[]', 2),
            entry_row('x', service=7),
            entry_row('x', state='sleeping'),
            entry_row('x', slots='many'),
            entry_row('x', slots=0),
            entry_row('x', address='nowhere'),
            entry_row('x', address='127.0.0.1:0'),
            entry_row('x', address='127.0.0.1:99999'),
            entry_row('x', born='yesterday'),
            entry_row('x', zone=None),
            entry_row('x y'),
            entry_row('x\r\nInjected: 1'),
        )
        for row in wrong:
            with self.subTest(content=row.content[:60], key=row.key):
                self.assertIsInstance(RowCodec().upstream_row(row), Unreadable)
                self.apply(row)
                self.assertEqual(self.known(), ['a', 'b'])

    def test_address_of_a_worker_is_not_taken_from_it(self) -> None:
        """An entry of an unknown service names the address of a worker."""
        self.apply(entry_row('x', address='127.0.0.97:1', service='other'))
        self.assertEqual(self.known(), ['a', 'b'])

    def test_service_that_is_named_later_is_served(self) -> None:
        """Workers may list themselves before the configuration names them."""
        self.apply(entry_row('x', service='other'))
        other = ServiceName('other')
        self.assertEqual(self.directory.of_service(other), ())
        self.sink.update_services([ServiceName('s'), other])
        self.assertEqual(len(self.directory.of_service(other)), 1)

    def test_overwritten_entry_is_rejected(self) -> None:
        """The worker is known again after its next heartbeat."""
        self.apply(StoredRow('a', b'?', 2))
        self.assertEqual(self.known(), ['b'])
        self.apply(entry_row('a', 3))
        self.assertEqual(sorted(self.known()), ['a', 'b'])

    def test_cause_is_logged_once(self) -> None:
        """Not again with each update, and not for ever more new entries."""
        with self.assertLogs('absl') as logged:
            for turn in range(20):
                self.apply(StoredRow('x', b'?', turn))
        self.assertEqual(len(logged.output), 1)
        with self.assertLogs('absl') as logged:
            for number in range(20):
                self.apply(entry_row(f'y{number}', state='sleeping'))
        self.assertEqual(len(logged.output), MAX_LOGGED_PER_REASON)
