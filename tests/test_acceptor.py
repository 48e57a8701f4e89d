"""Tests of the queue of connections of a host that is short of time.

They guard against a host that begins everything that arrives and completes
nothing: callers wait unread until they leave, and none is told to go elsewhere.
"""

import asyncio
import socket
import unittest
from contextlib import suppress

from aiohttp.web import BaseRequest, Response, StreamResponse

from nutmegroad.ingress.connections import ConnectionLimits
from nutmegroad.overload.acceptor import (
    MAX_ITERATION,
    MAX_QUEUED,
    Acceptor,
)
from nutmegroad.overload.listening import listening_socket
from nutmegroad.overload.quick_refusals import QuickRefusals
from nutmegroad.relay.counters import RelayCounters
from nutmegroad.relay.listener import (
    SHUTDOWN_TIMEOUT,
    Listening,
    make_server,
)
from nutmegroad.relay.text_refusals import TextRefusals
from nutmegroad_platform.names import HEADERS

REQUEST = (
    b'POST /look/1 HTTP/1.1\r\nHost: router.example\r\n'
    b'Nutmegroad-Request-Id: r1\r\nContent-Length: 4\r\n\r\n'
)

CALLERS = 6

#: Seconds for what has been accepted to be read, by far more than is needed.
READ_TIMEOUT = 10


class ManualClock:
    """A clock that tests advance."""

    def __init__(self) -> None:
        self.time: float = 0

    def now(self) -> float:
        """Return the seconds since the start."""
        return self.time

    def wall(self) -> float:
        """Return the seconds since the start."""
        return self.time

    async def sleep(self, seconds: float) -> None:
        """Let other tasks run."""
        await asyncio.sleep(0)


class ReadingProtocol(asyncio.Protocol):
    """A connection that is served.

    Args:
        served: The number of the caller is added to it.
    """

    def __init__(self, served: list[bytes]) -> None:
        self._served = served

    def data_received(self, received: bytes) -> None:
        """Record the body of a request."""
        self._served.append(received[-4:])


class AcceptorTest(unittest.IsolatedAsyncioTestCase):
    """An acceptor whose clock stands still between iterations."""

    async def asyncSetUp(self) -> None:
        """Listen, without accepting yet."""
        self.clock = ManualClock()
        self.counters = RelayCounters()
        self.served: list[bytes] = []
        listener = listening_socket(('127.0.0.1', 0))
        self.address = listener.getsockname()
        self.acceptor = Acceptor(
            listener,
            lambda: ReadingProtocol(self.served),
            QuickRefusals(TextRefusals(HEADERS), self.counters),
            self.clock,
        )
        self.addCleanup(self.acceptor.close)

    def call(self, body: bytes) -> socket.socket:
        """Connect, and send a request."""
        caller = socket.create_connection(self.address, timeout=2)
        self.addCleanup(caller.close)
        caller.sendall(REQUEST + body)
        return caller

    async def serve(self, seconds: float, count: int) -> None:
        """Let iterations of the event loop take some time each.

        Args:
            seconds: Duration of an iteration.
            count: Number of requests that are served in all.
        """
        self.acceptor.start()
        while not self.acceptor.queued:
            await asyncio.sleep(0)
        while self.acceptor.queued:
            self.clock.time += seconds
            await asyncio.sleep(0)
        await self.until_served(count)

    async def until_served(self, count: int) -> None:
        """Wait until some requests have been read, and no more of them."""
        with suppress(TimeoutError):
            async with asyncio.timeout(READ_TIMEOUT):
                while len(self.served) < count:
                    await asyncio.sleep(0)
        self.assertEqual(len(self.served), count)

    async def test_all_are_served_in_order_by_a_host_on_time(self) -> None:
        for number in range(CALLERS):
            self.call(b'%04d' % number)
        await self.serve(0.001, CALLERS)
        expected = [b'%04d' % number for number in range(CALLERS)]
        self.assertEqual(self.served, expected)

    async def test_those_that_waited_too_long_are_refused(self) -> None:
        """They are told that nothing was run, and when to come back."""
        callers = [self.call(b'%04d' % number) for number in range(CALLERS)]
        await self.serve(MAX_QUEUED * 0.6, 2)
        answer = callers[-1].recv(10_000)
        self.assertTrue(answer.startswith(b'HTTP/1.1 503 '), answer)
        self.assertRegex(answer, rb'Retry-After: 0\.\d+\r\n')
        metrics = self.counters.render().decode()
        self.assertIn('refusals_total{code="HOST_OVERLOADED"} 4.0', metrics)

    async def test_a_request_that_is_not_complete_is_not_refused(self) -> None:
        """Its caller still sends, and could miss the refusal."""
        self.call(b'0000')
        self.call(b'000')
        await self.serve(MAX_QUEUED * 2, 2)

    async def test_a_pause_of_the_process_is_no_reason_to_refuse(self) -> None:
        """Nor is a step of the clock."""
        for number in range(CALLERS):
            self.call(b'%04d' % number)
        self.acceptor.start()
        while not self.acceptor.queued:
            await asyncio.sleep(0)
        for step in (20, -30):
            self.clock.time += step
            await asyncio.sleep(0)
        self.assertLess(MAX_ITERATION, MAX_QUEUED)
        while self.acceptor.queued:
            await asyncio.sleep(0)
        await self.until_served(CALLERS)

    # Callers that waited unread at a graceful stop saw their connections reset.
    async def test_a_stop_waits_for_those_that_are_queued(self) -> None:
        """Their requests have been read once idle connections are closed."""
        busy: set[object] = set()

        async def answer(http: BaseRequest) -> StreamResponse:
            """Answer no request before the end of the test."""
            busy.add(http.protocol)
            await asyncio.Event().wait()
            return Response()

        server = make_server(answer, self.clock, ConnectionLimits)
        listener = listening_socket(('127.0.0.1', 0))
        self.address = listener.getsockname()
        refusals = QuickRefusals(TextRefusals(HEADERS), self.counters)
        acceptor = Acceptor(listener, server, refusals, self.clock)
        for number in range(CALLERS):
            self.call(b'%04d' % number)
        await Listening(acceptor, server).close(busy, self.clock)
        self.assertEqual(len(busy), CALLERS)
        await server.shutdown(SHUTDOWN_TIMEOUT)

    async def test_callers_that_have_left_take_no_place(self) -> None:
        """They are neither served nor refused."""
        for number in range(CALLERS):
            self.call(b'%04d' % number).close()
        self.call(b'last')
        self.acceptor.start()
        while not self.served:
            await asyncio.sleep(0)
        self.assertEqual(self.served, [b'last'])
        metrics = self.counters.render().decode()
        self.assertIn(f'departures_total {CALLERS}.0', metrics)


if __name__ == '__main__':
    unittest.main()
