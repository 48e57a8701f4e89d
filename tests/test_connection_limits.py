"""How long callers may take on their connections.

Guards against hosts whose file descriptors are held by callers that send
nothing, or a head a byte at a time: good callers found none left, and no
connection was closed, whatever the operator's limits said.
"""

import asyncio
import json
import socket
import unittest
from collections.abc import Iterator
from contextlib import contextmanager

from aiohttp import web

from nutmegroad.fleet.store_interface import StoredRow
from nutmegroad.ingress.connections import (
    CallerServer,
    ConnectionLimits,
    ConnectionState,
    head_limit,
)
from nutmegroad.ingress.timeouts import ConnectionTimeouts
from nutmegroad.relay.counters import RelayCounters
from nutmegroad.relay.text_refusals import TextRefusals
from nutmegroad.routes.deployment import RoutingTable
from nutmegroad.testing.virtual import ManualClock
from nutmegroad_platform.names import HEADERS
from nutmegroad_platform.rows import RowCodec
from tests.relay_rig import HOST, KEY, Rig, configuration

LIMITS = ConnectionLimits(header_timeout=5, idle_timeout=30)

#: Iterations of the event loop in which the server parses what was sent.
READ_ITERATIONS = 20

#: One proper request.
REQUEST = b'GET /look/1 HTTP/1.1\r\nHost: router.example\r\n\r\n'


class ServerCase(unittest.IsolatedAsyncioTestCase):
    """A server whose clock is moved by hand."""

    limits = LIMITS

    async def asyncSetUp(self) -> None:
        """Start the server."""
        self.clock = ManualClock(start=100)
        self.served = 0
        self.release = asyncio.Event()
        self.release.set()
        server = CallerServer(
            self.answer, self.clock, lambda: self.limits, access_log=None
        )
        counters = RelayCounters()
        self.timeouts = ConnectionTimeouts(
            TextRefusals(HEADERS), counters, self.clock
        )
        self.metrics = counters.render
        self.timeouts.watch(server)
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server, '127.0.0.1', 0)
        self.addCleanup(listener.close)
        self.addAsyncCleanup(server.shutdown, 0)
        self.address = listener.sockets[0].getsockname()

    async def answer(self, http: web.BaseRequest) -> web.Response:
        """Answer a request when the test lets it."""
        await self.release.wait()
        self.served += 1
        return web.Response(text='fine')

    @contextmanager
    def caller(self) -> Iterator[socket.socket]:
        """Open a connection whose bytes are sent at once."""
        with socket.create_connection(self.address) as connection:
            connection.setblocking(False)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            yield connection

    async def until(self, state: ConnectionState, count: int = 1) -> None:
        """Wait until some connections are in a state."""
        while self.timeouts.count(state) != count:
            await asyncio.sleep(0)

    async def read_answer(self, connection: socket.socket) -> bytes:
        """Return what the server sends next; nothing at its end."""
        loop = asyncio.get_running_loop()
        return await loop.sock_recv(connection, 65_536)

    async def pass_time(self, seconds: float) -> None:
        """Move the clock, and check all connections."""
        self.clock._now += seconds
        self.timeouts.check()
        await asyncio.sleep(0)


class TimeoutTest(ServerCase):
    """When connections are closed."""

    async def test_silent_connections_are_closed(self) -> None:
        """Nothing is said to callers that have said nothing."""
        with self.caller() as caller:
            await self.until(ConnectionState.SILENT)
            await self.pass_time(LIMITS.idle_timeout)
            self.assertEqual(self.timeouts.count(ConnectionState.SILENT), 1)
            await self.pass_time(0.1)
            self.assertEqual(await self.read_answer(caller), b'')

    async def test_slow_heads_are_refused(self) -> None:
        """A byte now and then gains them no time; nothing has run."""
        with self.caller() as caller:
            for byte in range(5):
                caller.send(REQUEST[byte : byte + 1])
                await self.until(ConnectionState.HEAD)
                await self.pass_time(1)
            await self.pass_time(0.1)
            refusal = await self.read_answer(caller)
            self.assertTrue(refusal.startswith(b'HTTP/1.1 408 '), refusal)
            self.assertIn(b'1009 HEADERS_TOO_SLOW', refusal)
            self.assertIn(b'Connection: close', refusal)
            self.assertEqual(await self.read_answer(caller), b'')
        self.assertEqual(self.served, 0)
        shown = self.metrics().decode()
        self.assertIn(
            'closed_connections_total{reason="timeout",state="head"} 1.0', shown
        )

    async def test_kept_connections_are_closed_after_their_time(self) -> None:
        """Callers use connections that have been idle for four fifths."""
        with self.caller() as caller:
            for _ in range(3):
                caller.send(REQUEST)
                self.assertIn(b'200 OK', await self.read_answer(caller))
                await self.until(ConnectionState.IDLE)
                await self.pass_time(0)
                await self.pass_time(LIMITS.idle_timeout)
            await self.pass_time(0.1)
            self.assertEqual(await self.read_answer(caller), b'')
        self.assertEqual(self.served, 3)

    async def test_requests_take_as_long_as_they_take(self) -> None:
        self.release.clear()
        with self.caller() as caller:
            caller.send(REQUEST)
            await self.until(ConnectionState.REQUEST)
            await self.pass_time(10 * LIMITS.idle_timeout)
            self.release.set()
            self.assertIn(b'200 OK', await self.read_answer(caller))

    async def test_new_limits_hold_for_open_connections(self) -> None:
        with self.caller() as caller:
            await self.until(ConnectionState.SILENT)
            await self.pass_time(2)
            self.limits = ConnectionLimits(5, idle_timeout=1)
            await self.pass_time(0)
            self.assertEqual(await self.read_answer(caller), b'')

    async def test_a_request_that_crosses_the_close_is_served(self) -> None:
        """At each byte: once the first has arrived, the connection stays."""
        for size in range(1, len(REQUEST) + 1):
            with self.subTest(size=size), self.caller() as caller:
                caller.send(REQUEST)
                await self.read_answer(caller)
                await self.until(ConnectionState.IDLE)
                await self.pass_time(0)
                # The event loop has no chance to read it before the check.
                caller.send(REQUEST[:size])
                await self.pass_time(LIMITS.idle_timeout + 1)
                caller.send(REQUEST[size:])
                self.assertIn(b'200 OK', await self.read_answer(caller))

    async def test_a_request_behind_the_close_has_not_run(self) -> None:
        """Its caller sees an end without a byte, and sends it again."""
        with self.caller() as caller:
            await self.until(ConnectionState.SILENT)
            await self.pass_time(LIMITS.idle_timeout + 1)
            caller.send(REQUEST)
            self.assertEqual(await self.read_answer(caller), b'')
        self.assertEqual(self.served, 0)


class ExcessTest(ServerCase):
    """Callers that send on and on without completing a request.

    Guards against a host that keeps what it has read of a head until its
    memory is used up, or reads empty lines for as long as they come.
    """

    limits = ConnectionLimits(head_bytes=1000)

    async def send(self, caller: socket.socket, text: bytes) -> None:
        """Send some bytes, and let the server parse them."""
        await asyncio.get_running_loop().sock_sendall(caller, text)
        for _ in range(READ_ITERATIONS):
            await asyncio.sleep(0)

    async def assert_refused(self, start: bytes, filler: bytes) -> None:
        """Check that what a caller sends without end is refused, and ends."""
        with self.caller() as caller:
            await self.send(caller, start)
            for _ in range(3):
                await self.send(caller, filler * (400 // len(filler)))
            answer = await self.read_answer(caller)
            self.assertTrue(answer.startswith(b'HTTP/1.1 431 '), answer)
            self.assertIn(b'1007 HEADERS_TOO_LARGE', answer)
            self.assertEqual(await self.read_answer(caller), b'')
        shown = self.metrics().decode()
        self.assertIn('reason="excess",state="head"', shown)

    async def test_fields_without_end(self) -> None:
        field = b'X-A: ' + b'b' * 93 + b'\r\n'
        await self.assert_refused(REQUEST[:-2], field)

    async def test_a_line_without_end(self) -> None:
        await self.assert_refused(b'GET /', b'x')

    async def test_empty_lines_without_end(self) -> None:
        await self.assert_refused(b'\r\n', b'\r\n')

    async def test_a_head_within_the_limit_is_served(self) -> None:
        """In pieces, behind an empty line, and again on the connection."""
        field = b'X-A: ' + b'b' * 700 + b'\r\n'
        with self.caller() as caller:
            for _ in range(3):
                await self.send(caller, b'\r\n' + REQUEST[:-2])
                await self.send(caller, field)
                await self.send(caller, b'\r\n')
                self.assertIn(b'200 OK', await self.read_answer(caller))

    def test_no_head_that_the_operator_allows_is_too_large(self) -> None:
        """Also with a long first line, and four bytes beside each field."""
        for header_bytes in (1024, 16_384, 65_536):
            with self.subTest(header_bytes=header_bytes):
                fields = 128
                first_line = 8192
                self.assertLessEqual(
                    header_bytes + 4 * fields + first_line,
                    head_limit(header_bytes),
                )

    async def test_lines_behind_a_request_do_not_cut_its_answer(self) -> None:
        """The connection is closed once the request has been answered."""
        self.release.clear()
        with self.caller() as caller:
            await self.send(caller, REQUEST)
            for _ in range(4):
                await self.send(caller, b'\r\n' * 200)
            self.release.set()
            self.assertIn(b'200 OK', await self.read_answer(caller))
            self.assertEqual(await self.read_answer(caller), b'')
        self.assertEqual(self.served, 1)


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """The operator's limits at a host of the relay."""

    def test_limits_are_read(self) -> None:
        limits = {'headerTimeoutMs': 2500, 'idleTimeoutMs': 40_000}
        row = StoredRow(
            'config', json.dumps(configuration(limits=limits)).encode(), 1
        )
        table = RowCodec().operator_row(row)
        assert isinstance(table, RoutingTable)
        self.assertEqual(table.limits.connections, ConnectionLimits(2.5, 40))

    async def test_answers_say_how_long_a_connection_is_kept(self) -> None:
        rig = await self.enterAsyncContext(Rig())
        await rig.start()
        rig.configure(2, limits={'idleTimeoutMs': 21_500})
        await rig.until(lambda: rig.host.configuration_version == 2)
        for path in ('/look/1', '/draft/1', '/none/1'):
            _, headers, _ = await rig.ask(path, path)
            self.assertEqual(headers.get('Keep-Alive'), 'timeout=21')

    async def test_a_body_that_stops_arriving_is_refused(self) -> None:
        """In half of the request's time, and the worker sees nothing."""
        rig = await self.enterAsyncContext(Rig())
        await rig.start()
        address = rig.settings.callers
        reader, writer = await asyncio.open_connection(address.ip, address.port)
        writer.write(
            f'POST /pay/1 HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Authorization: Bearer {KEY}\r\nNutmegroad-Request-Id: p1\r\n'
            'Nutmegroad-Deadline-Ms: 300\r\nContent-Length: 9\r\n\r\nhalf'
            ''.encode()
        )
        refusal = await reader.read()
        writer.close()
        self.assertTrue(refusal.startswith(b'HTTP/1.1 408 '), refusal)
        self.assertIn(b'1005 BODY_TOO_SLOW', refusal)
        self.assertEqual(rig.seen('p1'), 0)
