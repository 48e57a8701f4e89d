"""Key rotation without downtime: cluster keys and workspace keys."""

import asyncio
import random
import unittest
from asyncio import StreamReader, StreamWriter
from contextlib import AsyncExitStack
from itertools import pairwise

import msgspec
from aiohttp import ClientSession

from nutmegroad.callers.session_tokens import SessionSigner, SessionToken
from nutmegroad.configuration.checks import check_document
from nutmegroad.contracts.documents import WorkspaceEntry
from nutmegroad.contracts.requests import SessionBinding
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.secrets import hash_secret, secrets_equal
from nutmegroad.foundations.types import (
    DomainId,
    Epoch,
    HostId,
    Incarnation,
    TaskName,
    VersionId,
    WorkspaceId,
)
from nutmegroad.membership._handshake import (
    Credentials,
    HandshakeError,
    HandshakeStream,
    Identity,
    accept_handshake,
    initiate_handshake,
)
from nutmegroad.records.tickets import Ticket, TicketSigner
from tests.configurations import document_of, version_of
from tests.host_fixture import HostFixture, two_version_settings

OLD = 'the-key-until-today'
NEW = 'the-key-from-now-on'
CLAIM = SessionBinding('s', VersionId('m@1'), Epoch(0))
WORKSPACE = WorkspaceId('w')

#: Own key and additionally accepted key of a host, in each rotation step.
ROTATION_STEPS = ((OLD, ''), (OLD, NEW), (NEW, OLD), (NEW, ''))


class PermissiveRoster:
    """Accepts every incarnation."""

    def newer_generation(self, identity: Identity) -> int:
        return 0


def credentials(name: str, key: str, other: str) -> Credentials:
    """Return the credentials of a host."""
    identity = Identity(
        HostId(name),
        Incarnation(f'{name}.1'),
        1,
        DomainId('d'),
        '127.0.0.1',
        1,
    )
    return Credentials(
        key.encode(),
        identity,
        random.Random(name),
        PermissiveRoster(),
        other.encode(),
    )


async def can_connect(one: Credentials, other: Credentials) -> bool:
    """Return whether both sides of a handshake accept each other."""
    answered: asyncio.Future[bool] = asyncio.Future()

    async def accept(reader: StreamReader, writer: StreamWriter) -> None:
        """Answer the handshake of a connection."""
        try:
            await accept_handshake(HandshakeStream(reader, writer), other)
        except HandshakeError:
            answered.set_result(False)
        else:
            answered.set_result(True)
        writer.close()

    server = await asyncio.start_server(accept, '127.0.0.1', 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        try:
            await initiate_handshake(HandshakeStream(reader, writer), one)
        except HandshakeError:
            return False
        finally:
            writer.close()
        return await answered


class ClusterKeyTest(unittest.IsolatedAsyncioTestCase):
    async def test_hosts_one_rotation_step_apart_connect_both_ways(
        self,
    ) -> None:
        for before, after in pairwise(ROTATION_STEPS):
            with self.subTest(before=before, after=after):
                one = credentials('one', *before)
                two = credentials('two', *after)
                self.assertTrue(await can_connect(one, two))
                self.assertTrue(await can_connect(two, one))

    async def test_hosts_without_a_common_key_do_not_connect(self) -> None:
        one = credentials('one', OLD, '')
        two = credentials('two', NEW, '')
        self.assertFalse(await can_connect(one, two))
        self.assertFalse(await can_connect(two, one))

    def test_session_tokens_are_valid_one_rotation_step_apart(self) -> None:
        """Tokens are signed with the own key: refused two steps apart."""
        for before, after in pairwise(ROTATION_STEPS):
            with self.subTest(before=before, after=after):
                self.assert_readable(
                    SessionSigner(*before), SessionSigner(*after)
                )
                self.assert_readable(
                    SessionSigner(*after), SessionSigner(*before)
                )
        text = SessionSigner(NEW, OLD).sign(WORKSPACE, TaskName('t'), CLAIM)
        refused = SessionSigner(OLD).read(text, WORKSPACE)
        self.assertIsInstance(refused, Refusal)

    def assert_readable(
        self, writer: SessionSigner, reader: SessionSigner
    ) -> None:
        text = writer.sign(WORKSPACE, TaskName('t'), CLAIM)
        self.assertIsInstance(reader.read(text, WORKSPACE), SessionToken)

    def test_tickets_are_valid_one_rotation_step_apart(self) -> None:
        ticket = Ticket(WORKSPACE, 'h', 'h.1', 1, 60)
        for before, after in pairwise(ROTATION_STEPS):
            with self.subTest(before=before, after=after):
                text = TicketSigner(*after).sign(ticket)
                read = TicketSigner(*before).read(text, WORKSPACE)
                self.assertEqual(read, ticket)


class WorkspaceKeyTest(unittest.TestCase):
    def test_a_key_belongs_to_one_workspace_only(self) -> None:
        document = document_of(version_of(VersionId('m@1')))
        for old in (hash_secret('a'), hash_secret('b')):
            two = (
                workspace_entry('one', 'a', None),
                workspace_entry('two', 'b', old),
            )
            changed = msgspec.structs.replace(document, workspaces=two)
            paths = [problem.path for problem in check_document(changed)]
            self.assertEqual(paths, ['$.workspaces[1].old_key_hash'])

    def test_strings_with_lone_surrogates_are_accepted(self) -> None:
        self.assertFalse(secrets_equal('\udcff', 'a'))
        self.assertEqual(hash_secret('a'), hash_secret('a'))
        self.assertNotEqual(hash_secret('\udcff'), hash_secret('a'))


def workspace_entry(name: str, key: str, old: str | None) -> WorkspaceEntry:
    """Return the entry of a workspace."""
    return WorkspaceEntry(
        name=name,
        key_hash=hash_secret(key),
        old_key_hash=old,
        versions=('m@1',),
    )


class RefusedHostTest(unittest.IsolatedAsyncioTestCase):
    async def test_wrong_cluster_key_is_counted_in_the_metrics(self) -> None:
        host = HostFixture(two_version_settings())
        stack = await self.enterAsyncContext(AsyncExitStack())
        await host.open(stack)
        peers = host.kernel.listening['peers']
        opened = await asyncio.open_connection(peers.ip, peers.port)
        with self.assertRaises(HandshakeError):
            await initiate_handshake(
                HandshakeStream(*opened), credentials('x', NEW, '')
            )
        opened[1].close()
        url = f'http://{host.kernel.listening["operators"]}/metrics'
        async with ClientSession() as session, session.get(url) as response:
            shown = await response.text()
        name = 'nutmegroad_host_events_total'
        self.assertIn(f'{name}{{event="links_wrong_key"}} 1.0', shown)
