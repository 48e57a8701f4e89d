"""What a host does with its file descriptors when callers take many."""

import asyncio
import errno
import socket
import unittest
from unittest import mock

from aiohttp import web

from nutmegroad.foundations.types import Address
from nutmegroad.ingress.connections import (
    BodyInterruptedError,
    CallerServer,
    ConnectionLimits,
    ConnectionState,
    reading_body,
)
from nutmegroad.ingress.descriptors import (
    CONNECTION_BYTES,
    PARTIAL_HEAD_BYTES,
    DescriptorAccount,
)
from nutmegroad.ingress.timeouts import ConnectionTimeouts
from nutmegroad.overload.acceptor import Acceptor
from nutmegroad.overload.listening import listening_socket
from nutmegroad.overload.quick_refusals import QuickRefusals
from nutmegroad.relay.connections import Connector
from nutmegroad.relay.counters import RelayCounters
from nutmegroad.relay.sockets import ConnectionFailedError
from nutmegroad.relay.text_refusals import TextRefusals
from nutmegroad.testing.virtual import ManualClock
from nutmegroad_platform.names import HEADERS

#: Descriptors of a server, and the connections that it keeps.
TOTAL = 5
KEPT = 4

#: The head of a request whose body has nine bytes.
POST = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n'

#: A request that is answered when a test lets it.
SLOW = b'GET /slow HTTP/1.1\r\nHost: a\r\n\r\n'


class LimitTest(unittest.TestCase):
    """How many descriptors are left for callers."""

    def test_a_host_keeps_some_and_callers_get_the_rest(self) -> None:
        """Also of a number that is smaller than what a host keeps."""
        for total, limit in ((4100, 3800), (1024, 768), (5, 4), (1, 1)):
            with self.subTest(total=total):
                account = DescriptorAccount(total, mock.Mock(), mock.Mock())
                self.assertEqual(account.limit, limit)


class MemoryTest(unittest.TestCase):
    """How many connections a host has memory for.

    Guards against callers that hold more connections, or more beginnings of
    heads, than there is memory for what each of them may hold.
    """

    def test_what_connections_may_hold_is_within_their_memory(self) -> None:
        for memory in (1_000_000, 15_000_000, 95_000_000):
            with self.subTest(memory=memory):
                timeouts = mock.Mock()
                account = DescriptorAccount(4100, timeouts, mock.Mock(), memory)
                held = (
                    account.max_connections * CONNECTION_BYTES
                    + timeouts.max_partial_heads * PARTIAL_HEAD_BYTES
                )
                self.assertLessEqual(held, memory)
                self.assertGreater(timeouts.max_partial_heads, 0)

    def test_connections_leave_once_their_memory_is_used(self) -> None:
        """Though there are descriptors."""
        timeouts = mock.Mock(total=9)
        timeouts.connections.return_value = ()
        clock = ManualClock(start=100)
        account = DescriptorAccount(
            4100, timeouts, clock, 2 * 10 * CONNECTION_BYTES
        )
        self.assertTrue(account.has_room(0))
        self.assertFalse(account.has_room(1))


class NoDescriptorTest(unittest.IsolatedAsyncioTestCase):
    """A host whose descriptors are all in use."""

    async def test_a_missing_descriptor_is_a_connection_that_failed(
        self,
    ) -> None:
        """Calls ended with 500, which promises nothing; none had been sent."""
        problem = OSError(errno.EMFILE, 'Too many open files')
        with (
            mock.patch.object(socket, 'socket', side_effect=problem),
            self.assertRaises(ConnectionFailedError) as failure,
        ):
            await Connector().open(Address('127.0.0.1', 1), 1)
        self.assertFalse(failure.exception.sent)
        self.assertFalse(failure.exception.refused)


class AccountTest(unittest.IsolatedAsyncioTestCase):
    """Which connections make room for new ones.

    Guards against callers that hold all descriptors of a host without a
    request: good callers found none left.
    """

    async def asyncSetUp(self) -> None:
        """Start a server that keeps four connections."""
        self.clock = ManualClock(start=100)
        self.release = asyncio.Event()
        server = CallerServer(
            self.answer, self.clock, ConnectionLimits, access_log=None
        )
        writers = TextRefusals(HEADERS), RelayCounters()
        self.timeouts = ConnectionTimeouts(*writers, self.clock)
        self.timeouts.watch(server)
        account = DescriptorAccount(TOTAL, self.timeouts, self.clock)
        listener = listening_socket(('127.0.0.1', 0))
        self.address = listener.getsockname()
        acceptor = Acceptor(
            listener,
            server,
            QuickRefusals(*writers),
            self.clock,
            account.has_room,
        )
        acceptor.start()
        self.addCleanup(acceptor.close)
        self.addAsyncCleanup(server.shutdown, 0)
        self.callers: dict[str, socket.socket] = {}

    async def answer(self, http: web.BaseRequest) -> web.Response:
        """Read the body; answer a slow request when the test lets it."""
        try:
            with reading_body(http):
                await http.read()
        except BodyInterruptedError as interrupted:
            response = web.Response(status=503, text=interrupted.refusal.reason)
            response.force_close()
            return response
        if http.path == '/slow':
            await self.release.wait()
        return web.Response(text='fine')

    async def call(
        self, name: str, sent: bytes, state: ConnectionState
    ) -> None:
        """Open a connection, send bytes, and wait for a state."""
        before = self.timeouts.count(state)
        caller = socket.create_connection(self.address)
        self.addCleanup(caller.close)
        caller.setblocking(False)
        caller.send(sent)
        self.callers[name] = caller
        while self.timeouts.count(state) == before:
            await asyncio.sleep(0)
        self.clock._now += 1

    async def received(self, name: str) -> bytes:
        """Return what a caller receives next; nothing at the end."""
        loop = asyncio.get_running_loop()
        return await loop.sock_recv(self.callers[name], 65_536)

    async def test_those_leave_first_that_cost_their_callers_least(
        self,
    ) -> None:
        """The oldest head outlives an idle connection that is younger."""
        await self.call('body', POST + b'half', ConnectionState.BODY)
        await self.call('head', POST[:9], ConnectionState.HEAD)
        await self.call('silent', b'', ConnectionState.SILENT)
        await self.call('idle', POST + b'complete!', ConnectionState.IDLE)
        self.assertIn(b'200 OK', await self.received('idle'))
        left = {}
        for number, name in enumerate(('idle', 'silent', 'head', 'body')):
            await self.call(f'new-{number}', SLOW, ConnectionState.REQUEST)
            left[name] = await self.received(name)
        self.assertEqual((left['idle'], left['silent']), (b'', b''))
        for name in ('head', 'body'):
            self.assertTrue(left[name].startswith(b'HTTP/1.1 503 '))
        self.release.set()
        self.assertIn(b'200 OK', await self.received('new-0'))

    async def test_all_others_are_refused_at_once(self) -> None:
        """No request is broken off; each may need a connection upstream."""
        for number in range(KEPT // 2):
            await self.call(str(number), SLOW, ConnectionState.REQUEST)
        with socket.create_connection(self.address) as caller:
            caller.setblocking(False)
            loop = asyncio.get_running_loop()
            refusal = await loop.sock_recv(caller, 65_536)
        self.assertTrue(refusal.startswith(b'HTTP/1.1 503 '))
        self.assertIn(b'8008 HOST_CONNECTIONS_SHORT', refusal)
        self.assertIn(b'Retry-After: ', refusal)
        self.release.set()
        for number in range(KEPT // 2):
            self.assertIn(b'200 OK', await self.received(str(number)))

    async def test_heads_beyond_their_memory_are_refused(self) -> None:
        """The newest one; it has not run, and is told when to come back."""
        self.timeouts.max_partial_heads = 1
        await self.call('first', POST[:9], ConnectionState.HEAD)
        with socket.create_connection(self.address) as caller:
            caller.setblocking(False)
            caller.send(POST[:9])
            loop = asyncio.get_running_loop()
            refusal = await loop.sock_recv(caller, 65_536)
        self.assertTrue(refusal.startswith(b'HTTP/1.1 503 '))
        self.assertIn(b'8008 HOST_CONNECTIONS_SHORT', refusal)
        self.callers['first'].send(POST[9:] + b'complete!')
        self.assertIn(b'200 OK', await self.received('first'))
        await self.call('next', POST[:9], ConnectionState.HEAD)
