"""Keys that are changed without a stop: of the cluster and of workspaces."""

import asyncio
import random
import unittest
from asyncio import StreamReader, StreamWriter
from contextlib import AsyncExitStack
from itertools import pairwise

import msgspec
from aiohttp import ClientSession

from nutmegroad.callers.sessions import SessionSigner, SessionToken
from nutmegroad.configuration.checks import check_document
from nutmegroad.contracts.documents import WorkspaceEntry
from nutmegroad.contracts.requests import SessionClaim
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.secrets import hash_of, is_same
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
    answer,
    greet,
)
from nutmegroad.records.tickets import Ticket, TicketSigner
from tests.configurations import document_of, version_of
from tests.hosts import WholeHost, fast_engine

OLD = 'the-key-until-today'
NEW = 'the-key-from-now-on'
CLAIM = SessionClaim('s', VersionId('m@1'), Epoch(0))
WORKSPACE = WorkspaceId('w')

#: A host's own key and the other one that it takes, step by step.
STEPS = ((OLD, ''), (OLD, NEW), (NEW, OLD), (NEW, ''))


class AnyRoster:
    """Finds no incarnation too old."""

    def newer_generation(self, identity: Identity) -> int:
        return 0


def credentials(name: str, key: str, other: str) -> Credentials:
    """Return a host's credentials."""
    identity = Identity(
        HostId(name), Incarnation(f'{name}.1'), 1, DomainId('d'), '127.0.0.1', 1
    )
    return Credentials(
        key.encode(),
        identity,
        random.Random(name),
        AnyRoster(),
        other.encode(),
    )


async def is_linked(one: Credentials, other: Credentials) -> bool:
    """Tell whether both sides of a handshake let each other in."""
    answered: asyncio.Future[bool] = asyncio.Future()

    async def accept(reader: StreamReader, writer: StreamWriter) -> None:
        """Answer a handshake."""
        try:
            await answer(HandshakeStream(reader, writer), other)
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
            await greet(HandshakeStream(reader, writer), one)
        except HandshakeError:
            return False
        finally:
            writer.close()
        return await answered


class ClusterKeyTest(unittest.IsolatedAsyncioTestCase):
    async def test_hosts_one_step_apart_link_both_ways(self) -> None:
        for before, after in pairwise(STEPS):
            with self.subTest(before=before, after=after):
                one = credentials('one', *before)
                two = credentials('two', *after)
                self.assertTrue(await is_linked(one, two))
                self.assertTrue(await is_linked(two, one))

    async def test_hosts_without_a_key_in_common_do_not(self) -> None:
        one = credentials('one', OLD, '')
        two = credentials('two', NEW, '')
        self.assertFalse(await is_linked(one, two))
        self.assertFalse(await is_linked(two, one))

    def test_tokens_are_read_one_step_apart_and_signed_with_the_own(
        self,
    ) -> None:
        for before, after in pairwise(STEPS):
            with self.subTest(before=before, after=after):
                self.assert_reads(SessionSigner(*before), SessionSigner(*after))
                self.assert_reads(SessionSigner(*after), SessionSigner(*before))
        text = SessionSigner(NEW, OLD).sign(WORKSPACE, TaskName('t'), CLAIM)
        refused = SessionSigner(OLD).read(text, WORKSPACE)
        self.assertIsInstance(refused, Refusal)

    def assert_reads(
        self, writer: SessionSigner, reader: SessionSigner
    ) -> None:
        text = writer.sign(WORKSPACE, TaskName('t'), CLAIM)
        self.assertIsInstance(reader.read(text, WORKSPACE), SessionToken)

    def test_tickets_are_read_one_step_apart(self) -> None:
        ticket = Ticket(WORKSPACE, 'h', 'h.1', 1, 60)
        for before, after in pairwise(STEPS):
            with self.subTest(before=before, after=after):
                text = TicketSigner(*after).sign(ticket)
                read = TicketSigner(*before).read(text, WORKSPACE)
                self.assertEqual(read, ticket)


class WorkspaceKeyTest(unittest.TestCase):
    def test_a_key_stands_for_one_workspace_only(self) -> None:
        document = document_of(version_of(VersionId('m@1')))
        for old in (hash_of('a'), hash_of('b')):
            two = (entry('one', 'a', None), entry('two', 'b', old))
            changed = msgspec.structs.replace(document, workspaces=two)
            paths = [problem.path for problem in check_document(changed)]
            self.assertEqual(paths, ['$.workspaces[1].old_key_hash'])

    def test_texts_that_are_no_text_are_compared_too(self) -> None:
        self.assertFalse(is_same('\udcff', 'a'))
        self.assertEqual(hash_of('a'), hash_of('a'))
        self.assertNotEqual(hash_of('\udcff'), hash_of('a'))


def entry(name: str, key: str, old: str | None) -> WorkspaceEntry:
    """Return a workspace's entry."""
    return WorkspaceEntry(
        name=name,
        key_hash=hash_of(key),
        old_key_hash=old,
        versions=('m@1',),
    )


class RefusedHostTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_host_with_a_wrong_key_is_in_the_metrics(self) -> None:
        host = WholeHost(fast_engine())
        stack = await self.enterAsyncContext(AsyncExitStack())
        await host.open(stack)
        peers = host.kernel.listening['peers']
        opened = await asyncio.open_connection(peers.ip, peers.port)
        with self.assertRaises(HandshakeError):
            await greet(HandshakeStream(*opened), credentials('x', NEW, ''))
        opened[1].close()
        url = f'http://{host.kernel.listening["operators"]}/metrics'
        async with ClientSession() as session, session.get(url) as response:
            shown = await response.text()
        name = 'nutmegroad_host_events_total'
        self.assertIn(f'{name}{{event="links_wrong_key"}} 1.0', shown)
