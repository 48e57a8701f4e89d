"""Documents from outside that no valid sender writes, in both programs.

One of them must neither end the task that reads it, nor hide the others.
"""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Any, Final
from unittest.mock import Mock

import msgspec
from aiohttp import ClientSession, web
from fakes.ports import reserve_port

from nutmegroad.adapters._host_listings import decode_listing, split_entries
from nutmegroad.adapters._http_platform import HttpHostList
from nutmegroad.callers.named_sessions import NamedSessions
from nutmegroad.configuration.heads import HEAD_KEY, HISTORY_KEY, HeadStore
from nutmegroad.configuration.leases import LeaseManager
from nutmegroad.contracts.platform import Listing, Row, RowKey, RowVersion
from nutmegroad.fleet.frames import FrameError, encode_message
from nutmegroad.fleet.host_registration import HostRow
from nutmegroad.fleet.peer_gossip import PeerGossip, new_shared_state
from nutmegroad.fleet.table_updates import receive
from nutmegroad.foundations.decoding import (
    MAX_INTEGER,
    UndecodableError,
    decode_json,
    is_host_ip,
)
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    HostId,
    Incarnation,
    VersionId,
    WorkspaceId,
)
from nutmegroad.rollouts.rollout_store import RolloutStore
from nutmegroad.testing.virtual import ManualClock
from nutmegroad_platform.store import _decode_rows
from tests.memory_table import MemoryTable
from tests.test_odd_rows import (
    HOST_ROW,
    LARGE,
    NESTED,
    odd_documents,
    with_field,
)

HOST_ENTRY: Final = {
    'host': 'h',
    'domain': 'north',
    'ip': '127.0.0.1',
    'port': 80,
    'presence': 'live',
}
UPSTREAM_ENTRY: Final = {
    'upstream': 'u',
    'domain': 'north',
    'kind': 'engine',
    'ip': '127.0.0.1',
    'port': 80,
    'presence': 'live',
    'service': '',
}

#: A message of msgpack with a list in each list.
NESTED_MESSAGE: Final = b'\x91' * 20_000 + b'\x01'

#: Texts of rows that hold no document.
ODD_TEXTS: Final = (NESTED, f'{{"x":{NESTED}}}', '?', 'null', '[]')

#: The text of a row in which one field is too large a number.
LARGE_NUMBER: Final = '{{"{0}":' + LARGE + '}}'


def listing_with(odd_host: bytes, odd_upstream: bytes) -> bytes:
    """Return a host list with an odd entry among the others of each part."""
    host = msgspec.json.encode(HOST_ENTRY)
    upstream = msgspec.json.encode(UPSTREAM_ENTRY)
    return b'{"hosts":[%s,%s],"upstreams":[%s,%s],"later":%s}' % (
        odd_host,
        host,
        odd_upstream,
        upstream,
        NESTED.encode(),
    )


class HostListTest(unittest.IsolatedAsyncioTestCase):
    """The daemon reads the other entries of a list with an odd one."""

    # Guards against a list that no host reads any more: the platform returns
    # all entries in one document, and one of them could not be decoded.
    def test_other_entries_are_read_beside_an_odd_one(self) -> None:
        hosts = dict(odd_documents(HOST_ENTRY))
        upstreams = dict(odd_documents(UPSTREAM_ENTRY))
        for title in hosts.keys() & upstreams.keys():
            if title in {'nothing', 'no JSON'}:
                # The list has no entry there, or does not end.
                continue
            with self.subTest(entry=title):
                content = listing_with(hosts[title], upstreams[title])
                listing = decode_listing(content).listing
                self.assertEqual(listing.hosts[-1].host, 'h')
                self.assertEqual(listing.upstreams[-1].upstream, 'u')

    def test_addresses_that_no_machine_has_are_left_out(self) -> None:
        for name, content in (
            ('port', '70000'),
            ('port', '0'),
            ('ip', '"0.0.0.0"'),
            ('ip', '"no address"'),
        ):
            with self.subTest(name=name, content=content):
                odd = with_field(UPSTREAM_ENTRY, name, content)
                decoded = decode_listing(
                    listing_with(with_field(HOST_ENTRY, name, content), odd)
                )
                self.assertEqual(len(decoded.listing.hosts), 1)
                self.assertEqual(len(decoded.listing.upstreams), 1)
                self.assertEqual(len(decoded.rejected), 2)

    def test_brackets_in_texts_count_for_nothing(self) -> None:
        content = rb'{"a":[{"x":"]}\"}"},[1]],"b":[],"c":[{"y":{"z":[]}}]}'
        self.assertEqual(
            split_entries(content),
            {
                b'"a"': [rb'{"x":"]}\"}"}', b'[1]'],
                b'"c"': [b'{"y":{"z":[]}}'],
            },
        )

    # Guards against upstreams that are removed because the list was cut off.
    def test_an_incomplete_list_is_none(self) -> None:
        whole = msgspec.json.encode(
            {'hosts': [HOST_ENTRY], 'upstreams': [UPSTREAM_ENTRY]}
        )
        self.assertEqual(len(decode_listing(whole).listing.hosts), 1)
        for end in range(len(whole)):
            with self.subTest(end=end), self.assertRaises(UndecodableError):
                decode_listing(whole[:end])

    async def test_the_client_returns_what_can_be_read(self) -> None:
        odd = with_field(HOST_ENTRY, 'extra', NESTED)
        broken = with_field(UPSTREAM_ENTRY, 'port', '70000')

        async def answer(_: web.Request) -> web.Response:
            return web.Response(body=listing_with(odd, broken))

        app = web.Application()
        app.router.add_get('/hosts', answer)
        runner = web.AppRunner(app)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        port = reserve_port()
        await web.TCPSite(runner, '127.0.0.1', port).start()
        async with ClientSession() as session:
            client = HttpHostList(session, Address('127.0.0.1', port))
            with self.assertLogs('absl') as logged:
                for _ in range(3):
                    listing = await client.listing()
        assert isinstance(listing, Listing)
        self.assertEqual(len(listing.upstreams), 1)
        self.assertEqual(len(logged.output), 1)


class TableRowsTest(unittest.IsolatedAsyncioTestCase):
    """A row that another program has written is refused, and nothing fails."""

    def setUp(self) -> None:
        self.table = MemoryTable()

    def put(self, key: RowKey, text: str) -> None:
        """Write a row, as another program does."""
        self.table.rows[key] = Row(key, text, RowVersion(3))

    async def check_refused(
        self,
        key: RowKey,
        read: Callable[[], Awaitable[object]],
        *numbers: str,
    ) -> None:
        """Check that a reader returns a refusal for each odd text of a row.

        Args:
            key: Key of the row.
            read: Reads the row.
            numbers: Fields of the row that are numbers.
        """
        large = [LARGE_NUMBER.format(name) for name in numbers]
        for text in (*ODD_TEXTS, *large):
            with self.subTest(key=key, text=text[:10]):
                self.put(key, text)
                self.assertIsInstance(await read(), Refusal)

    # Guards against a configuration that is never read again: an odd head row
    # ended the task that polls it.
    async def test_the_head_is_refused(self) -> None:
        store = HeadStore(self.table, Mock(), lambda: 'n')
        await self.check_refused(HEAD_KEY, store.read, 'revision')
        self.table.rows.clear()
        await self.check_refused(HISTORY_KEY, store.history)
        await self.check_refused(HISTORY_KEY, lambda: store.move(Mock()))

    # Guards against a duty that no host takes over: an odd lease row ended the
    # task that acquires the lease.
    async def test_a_lease_is_refused(self) -> None:
        leases = LeaseManager(
            Incarnation('i'), self.table, ManualClock(), lambda: 'n', 10
        )
        await self.check_refused(
            RowKey('leases/x'), lambda: leases.acquire('x'), 'number', 'term'
        )
        await leases.release('x')

    # Guards against roll-outs that no host follows any more, since the row of
    # one of them is odd.
    async def test_other_rollouts_are_read(self) -> None:
        store = RolloutStore(self.table, lambda: 'n')
        self.put(RowKey('rollouts/good'), '{"version":"good","epoch":1}')
        large = f'{{"version":"v","epoch":{LARGE}}}'
        for text in (*ODD_TEXTS, large):
            with self.subTest(text=text[:10]), self.assertLogs('absl'):
                self.put(RowKey('rollouts/odd'), text)
                found = await store.all()
                assert not isinstance(found, Refusal)
                self.assertEqual(
                    [each.state.version for each in found], ['good']
                )
        self.assertIsInstance(await store.find(VersionId('odd')), Refusal)

    async def test_a_session_is_refused(self) -> None:
        mesh: Any = Mock()
        mesh.members.return_value = ()
        duties: Any = Mock()
        duties.holders.return_value = ()
        sessions = NamedSessions(self.table, mesh, duties, Mock())
        with self.assertLogs('absl'):
            await self.check_refused(
                RowKey('session/w/s'),
                lambda: sessions.find(WorkspaceId('w'), 's'),
            )


class MessagesTest(unittest.IsolatedAsyncioTestCase):
    """What hosts send each other is refused like rows are."""

    # Guards against a host that follows no other one any more: a nested frame
    # ended the task of its link.
    async def test_a_nested_frame_is_a_frame_error(self) -> None:
        reader = asyncio.StreamReader()
        reader.feed_data(encode_message(NESTED_MESSAGE) or b'')
        with self.assertRaises(FrameError):
            await receive(reader)

    def test_a_nested_datagram_is_ignored(self) -> None:
        clock = ManualClock()
        gossip = PeerGossip(
            HostId('me'),
            HostRow('127.0.0.1', 1, 'north'),
            new_shared_state(HostId('me'), Mock(), clock, 5),
            clock,
        )
        with self.assertLogs('absl'):
            gossip.datagram_received(NESTED_MESSAGE, ('127.0.0.1', 1))
        self.assertEqual(gossip.last_received, {})

    def test_a_nested_answer_of_the_store_is_a_failed_call(self) -> None:
        content = f'{{"ver":1,"rows":[],"x":{NESTED}}}'.encode()
        self.assertIsInstance(_decode_rows(content), Refusal)


class DecodingTest(unittest.TestCase):
    """Whatever a decoder raises is one error."""

    def test_each_odd_document_is_undecodable(self) -> None:
        for content in (b'', b'\xff', NESTED.encode(), b'{"port":1e999}'):
            with (
                self.subTest(content=content[:10]),
                self.assertRaises(UndecodableError),
            ):
                decode_json(content, HostRow)

    def test_numbers_are_limited_to_what_can_be_sent_on(self) -> None:
        for link in (str(MAX_INTEGER), '-1', '1e300', 'NaN'):
            with self.subTest(link=link):
                row = with_field(HOST_ROW, 'link', link)
                with self.assertRaises(UndecodableError):
                    decode_json(row, HostRow)

    def test_addresses_of_machines(self) -> None:
        for text, expected in (
            ('127.0.0.1', True),
            ('10.1.0.40', True),
            ('0.0.0.0', False),
            ('255.255.255.255', False),
            ('224.0.0.1', False),
            ('::1', False),
            ('host', False),
            ('', False),
        ):
            with self.subTest(text=text):
                self.assertIs(is_host_ip(text), expected)

    def test_a_domain_may_have_any_name(self) -> None:
        row = decode_json(
            b'{"ip":"1.2.3.4","port":1,"domain":"\xc3\xa9"}', HostRow
        )
        self.assertEqual(DomainId(row.domain), 'é')
