"""Adapter to the users' platform: names, formats and calls."""

import io
import json
import os
import tempfile
import unittest
from contextlib import AsyncExitStack, redirect_stdout
from pathlib import Path
from unittest.mock import patch

from aiohttp.web import AppRunner, TCPSite
from fakes.opaque_worker import BodyEnd, OpaqueWorker, framed
from fakes.ports import reserve_port
from fakes.row_store import RowStore, StoreFault

from nutmegroad.canary.rollouts import RolloutOrder, Stage
from nutmegroad.fleet.store_interface import (
    Committed,
    HistoryLost,
    RowCondition,
    RowPut,
    RowsRead,
    StoredRow,
    VersionConflict,
)
from nutmegroad.foundations.exceptions import SettingsError
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import Address, Ran
from nutmegroad.relay.counters import RelayCounters
from nutmegroad.routes.deployment import (
    RequestKind,
    RoutingTable,
)
from nutmegroad.tables.row_reader import Unreadable
from nutmegroad.upstreams.directory import UpstreamEntry
from nutmegroad_platform.early_sockets import EarlySockets
from nutmegroad_platform.fields import SETTINGS_VARIABLE
from nutmegroad_platform.program import SettingsFile, main
from nutmegroad_platform.rows import RowCodec
from nutmegroad_platform.settings import read_settings
from nutmegroad_platform.store import PlatformStore
from tests.relay_rig import configuration
from tests.relay_samples import entry_row

SETTINGS = """\
nodeName=front-1
zone=north
ip=10.0.0.1
listen.front=10.0.0.1:80
listen.ready=10.0.0.1:81
internalPorts=70,80
platform.address=10.0.0.9:82
bounds.failClosed=true
bounds.revokeMs=5000
field.of.the.future=1
"""


class RowsTest(unittest.TestCase):
    """Conversion of the platform's rows into nutmegroad's types."""

    def test_configuration_is_decoded(self) -> None:
        """Times are converted to seconds; unknown fields are ignored."""
        row = StoredRow('config', json.dumps(configuration()).encode(), 1)
        table = RowCodec().operator_row(row)
        assert isinstance(table, RoutingTable)
        route = table.match('router.example', '/pay/1')
        assert route is not None
        self.assertIs(route.kind, RequestKind.NON_IDEMPOTENT)
        self.assertEqual(route.timeout, 5)
        self.assertEqual(table.keys['the-key'].name, 'clerks')

    def test_invalid_configuration_is_unreadable(self) -> None:
        """A missing field, an unknown kind of route, malformed JSON."""
        no_kind = {'version': 1, 'routes': [{'name': 'r', 'host': 'h'}]}
        wrong = configuration()
        wrong['routes'][0]['kind'] = 'magic'
        for content in (json.dumps(no_kind), json.dumps(wrong), '{'):
            with self.subTest(content=content[:40]):
                row = StoredRow('config', content.encode(), 1)
                self.assertIsInstance(RowCodec().operator_row(row), Unreadable)

    def test_rows_with_unknown_keys_are_ignored(self) -> None:
        """An unknown key is not an error."""
        self.assertIsNone(RowCodec().operator_row(StoredRow('new', b'', 1)))

    def test_rollout_order_is_read_and_status_is_written(self) -> None:
        """The status uses the names of states that the operator knows."""
        content = b'{"service":"s","to":"v2","durationS":12}'
        order = RowCodec().operator_row(StoredRow('rollout/s', content, 7))
        assert isinstance(order, RolloutOrder)
        self.assertEqual((order.duration, order.number), (12, 7))
        put = RowCodec().status(order, Stage.ROLLED_BACK)
        self.assertEqual((put.table, put.key), ('status', 'rollout/s'))
        self.assertEqual(
            json.loads(put.content),
            {'state': 'rolled_back', 'to': 'v2'},
        )

    def test_upstream_entry_is_decoded(self) -> None:
        """An entry with an invalid address is unreadable."""
        entry = RowCodec().upstream_row(entry_row('w', address='10.0.0.1:1'))
        assert isinstance(entry, UpstreamEntry)
        self.assertEqual(entry.address, Address('10.0.0.1', 1))
        bad = RowCodec().upstream_row(entry_row('x', address='nowhere'))
        self.assertIsInstance(bad, Unreadable)


class SettingsTest(unittest.TestCase):
    """Decoding of the platform's settings file."""

    def test_settings_are_decoded(self) -> None:
        """Unknown fields are ignored."""
        settings = read_settings(SETTINGS)
        self.assertEqual(settings.store, Address('10.0.0.9', 82))
        self.assertEqual(settings.host.peers, Address('10.0.0.1', 70))
        self.assertEqual(settings.host.key_validity, 5)

    def test_print_settings_shows_their_origin(self) -> None:
        """Values from the file and defaults, but no unknown fields."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'settings.conf'
            path.write_text(SETTINGS, encoding='utf-8')
            shown = io.StringIO()
            with (
                patch.dict(os.environ, {SETTINGS_VARIABLE: str(path)}),
                redirect_stdout(shown),
            ):
                code = main(EarlySockets(), ['--print-settings'])
        lines = shown.getvalue().splitlines()
        self.assertEqual(code, 0)
        self.assertIn('nodeName=front-1  # file', lines)
        self.assertIn('bounds.graceS=8  # default', lines)
        self.assertNotIn('future', shown.getvalue())

    def test_invalid_field_is_named_in_the_error(self) -> None:
        """The message contains the missing field or the invalid value."""
        cases = (
            ('nodeName=front-1\n', '', 'nodeName'),
            ('10.0.0.1:80', 'nowhere', "'nowhere'"),
            ('5000', 'soon', "'soon'"),
            ('70,80', 'a,b', "'a,b'"),
            ('nodeName', 'callers.maxStallMs=0\nnodeName', 'maxStallMs'),
        )
        for old, new, expected in cases:
            with (
                self.subTest(new=new),
                self.assertRaises(SettingsError) as found,
            ):
                read_settings(SETTINGS.replace(old, new))
            self.assertIn(expected, str(found.exception))


class SettingsFileTest(unittest.TestCase):
    """Rereading of the settings file."""

    def test_change_is_returned_once_and_invalid_file_is_rejected(self) -> None:
        """The settings may change with or without a signal.

        Guards against reloads without a change, or of an invalid file.
        """
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'settings'
            path.write_text(SETTINGS)
            settings_file = SettingsFile(path)
            self.assertEqual(settings_file.read().host.key_validity, 5)
            self.assertIsNone(settings_file.read_if_changed())
            path.write_text('nonsense')
            self.assertIsNone(settings_file.read_if_changed())
            path.write_text(SETTINGS.replace('5000', '3000'))
            changed = settings_file.read_if_changed()
            assert changed is not None
            self.assertEqual(changed.host.key_validity, 3)
            self.assertIsNone(settings_file.read_if_changed())


class CutStoreAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Answers of the store that are broken off without an error."""

    # A decoding error escaped from the client and ended the task that wrote.
    async def test_cut_answer_to_a_write_leaves_its_outcome_unknown(
        self,
    ) -> None:
        """The writer is told that the transaction may have been applied."""
        cut = framed(b'{"ver": 7, "no', BodyEnd.CONNECTION)
        store = OpaqueWorker(default_script=cut)
        await store.start()
        self.addAsyncCleanup(store.stop)
        address = Address('127.0.0.1', store.port)
        async with PlatformStore(address, RelayCounters()) as client:
            outcome = await client.commit((), (RowPut('t', 'k', b'1'),))
        assert isinstance(outcome, Refusal)
        self.assertIs(outcome.ran, Ran.UNKNOWN)


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    """Client of the platform's store."""

    async def asyncSetUp(self) -> None:
        """Start a simulated store and a client."""
        stack = await self.enterAsyncContext(AsyncExitStack())
        self.rows = RowStore()
        runner = AppRunner(self.rows.app(), shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        port = reserve_port()
        await TCPSite(runner, '127.0.0.1', port).start()
        self.store = await stack.enter_async_context(
            PlatformStore(Address('127.0.0.1', port), RelayCounters()),
        )

    async def test_snapshot_reads_all_pages(self) -> None:
        """The table has more rows than fit into two answers."""
        for number in range(1203):
            self.rows.put('t', f'k{number:05}', b'x')
        read = await self.store.snapshot('t')
        assert isinstance(read, RowsRead)
        self.assertEqual(len({row.key for row in read.rows}), 1203)

    async def test_feed_returns_newer_changes_and_removals(self) -> None:
        """Changes of other tables, and older ones, are not returned."""
        version = self.rows.put('t', 'a', b'1')
        self.rows.put('other', 'b', b'2')
        self.rows.remove('t', 'a')
        read = await self.store.changes('t', version, 0.01)
        assert isinstance(read, RowsRead)
        self.assertEqual([row.removed for row in read.rows], [True])
        self.rows.drop_history()
        lost = await self.store.changes('t', version, 0.01)
        self.assertIsInstance(lost, HistoryLost)

    async def test_transaction_fails_if_a_row_has_changed(self) -> None:
        """The second of two writers that expect the same version fails."""
        expected = (RowCondition('t', 'k', 0),)
        first = await self.store.commit(expected, (RowPut('t', 'k', b'1'),))
        second = await self.store.commit(expected, (RowPut('t', 'k', b'2'),))
        self.assertIsInstance(first, Committed)
        self.assertIsInstance(second, VersionConflict)
        self.assertEqual(self.rows.content('t', 'k'), b'1')

    async def test_refusal_tells_whether_the_call_ran(self) -> None:
        """Status 503 and 429 mean not run; a lost reply may hide a write."""
        cases = (
            (StoreFault.BUSY, Ran.NOT_RUN),
            (StoreFault.THROTTLED, Ran.NOT_RUN),
            (StoreFault.LOSES_REPLIES, Ran.UNKNOWN),
        )
        for fault, ran in cases:
            with self.subTest(fault=fault):
                self.rows.fault = fault
                outcome = await self.store.commit((), (RowPut('t', 'k', b'1'),))
                assert isinstance(outcome, Refusal)
                self.assertIs(outcome.ran, ran)
