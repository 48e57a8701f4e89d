"""Answers that are written while their request ends: one for each request.

Once a byte of an answer was written, no other answer may follow for the same
request. The answer ends complete, or its connection closes.
"""

import asyncio
import re
import socket
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

from fakes.opaque_worker import (
    REQUEST_ID,
    ReceivedRequest,
    Script,
    ScriptFactory,
    chunk,
    head,
    plain,
    signed,
)

from tests.relay_rig import HOST, KEY, Rig, route

#: Seconds until a route's timeout, and for which a caller reads nothing.
ROUTE_TIMEOUT: Final = 0.3
PAUSE: Final = 0.7
#: More bytes than the kernel buffers on loopback for a caller that does not
#: read, and fewer than are read completely before they are sent on.
LONG: Final = 4_150_000
#: Seconds after which a caller that reads nothing is given up.
STALL: Final = 0.3
#: Seconds in which a connection that goes on would bring more.
SETTLE: Final = 0.2

_HEAD: Final = re.compile(rb'HTTP/1\.1 (\d{3}) .*?\r\n\r\n', re.DOTALL)
_LENGTH: Final = re.compile(rb'content-length: (\d+)', re.IGNORECASE)


@dataclass(frozen=True)
class Moment:
    """How far the answer of a worker has come when its request ends.

    Attributes:
        name: Its name.
        path: The path that is requested.
        script: What the worker sends.
    """

    name: str
    path: str
    script: ScriptFactory


def part(body: bytes, *, length: int | None) -> ScriptFactory:
    """Return a factory of scripts that send the beginning of an answer.

    Args:
        body: The bytes of the body that are sent, with their framing.
        length: Length that the head names; None for a chunked body.
    """

    def make(request: ReceivedRequest) -> Script:
        """Return the head and the beginning of the body."""
        framing = {'Content-Length': str(length)}
        if length is None:
            framing = {'Transfer-Encoding': 'chunked'}
        start = head('200 OK', signed(request, **framing))
        return Script((start, body, b''), hold=asyncio.Event())

    return make


def silent(request: ReceivedRequest) -> Script:
    """Answer nothing."""
    return Script((b'',), hold=asyncio.Event())


def long_stream(request: ReceivedRequest) -> Script:
    """Send a complete stream that is longer than the buffers."""
    headers = signed(request, **{'Transfer-Encoding': 'chunked'})
    event = b'id: %d\ndata: ' + b'x' * 50_000 + b'\n\n'
    body = b''.join(chunk(event % number) for number in range(1, 90))
    return Script((head('200 OK', headers) + body + chunk(b''),))


EVENT: Final = b'id: 1\ndata: a\n\n'
MOMENTS: Final = (
    Moment('nothing, plain', '/look/1', silent),
    Moment('head, plain', '/look/1', part(b'', length=9)),
    Moment('half, plain', '/look/1', part(b'half', length=9)),
    Moment('all but the flush, plain', '/look/1', plain(b'x' * LONG)),
    Moment('nothing, stream', '/draft/1', silent),
    Moment('head, stream', '/draft/1', part(b'', length=None)),
    Moment('half, stream', '/draft/1', part(chunk(EVENT), length=None)),
    Moment('all but the flush, stream', '/draft/1', long_stream),
)


class Caller:
    """A caller with a small buffer, which reads when it is told to.

    Args:
        reader: Reads from its connection.
        writer: Writes to it.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self.received = b''
        self.closed = False

    @classmethod
    async def connect(cls, ip: str, port: int) -> 'Caller':
        """Return a caller that is connected to an address."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (ip, port))
        return cls(*await asyncio.open_connection(sock=sock, limit=4096))

    def ask(self, path: str, request: str, connection: str) -> None:
        """Send a request."""
        lines = (
            f'GET {path} HTTP/1.1',
            f'Host: {HOST}',
            f'{REQUEST_ID}: {request}',
            f'Authorization: Bearer {KEY}',
            'Nutmegroad-Deadline-Ms: 9000',
            f'Connection: {connection}',
        )
        self._writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())

    async def read(self, expected: int = 0) -> None:
        """Read until the connection closes, or brings nothing for a while.

        Args:
            expected: Bytes that are awaited however long they take.
        """
        try:
            while not self.closed:
                wait = None if len(self.received) < expected else SETTLE
                text = await asyncio.wait_for(self._reader.read(65536), wait)
                self.received += text
                self.closed = not text
        except TimeoutError:
            return
        except ConnectionError:
            self.closed = True

    def leave(self) -> None:
        """Close the connection."""
        self._writer.transport.abort()
        self.closed = True


#: Ends the request of a caller.
RequestEnd = Callable[[Rig, Caller], Awaitable[None]]


async def do_nothing(rig: Rig, caller: Caller) -> None:
    """Leave the request to the timeout of its route."""


async def leave(rig: Rig, caller: Caller) -> None:
    """Close the caller's connection."""
    caller.leave()


async def stop(rig: Rig, caller: Caller) -> None:
    """Stop the host."""
    await rig.host.stop()


async def crash(rig: Rig, caller: Caller) -> None:
    """Let the worker crash."""
    await rig.workers[0].crash()


def statuses(text: bytes) -> list[int]:
    """Return the status of each answer, complete or not, in order."""
    found = []
    while match := _HEAD.match(text):
        found.append(int(match[1]))
        text = text[match.end() :]
        length = _LENGTH.search(match[0])
        if length is None:
            # The events that it carries have no such line.
            found.extend(map(int, re.findall(rb'HTTP/1\.1 (\d{3})', text)))
            return found
        text = text[int(length[1]) :]
    return found


class SingleAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Each way in which a request may end, at each moment of its answer."""

    async def open(self, script: ScriptFactory) -> Rig:
        """Start a host whose routes have a short timeout."""
        rig = await self.enterAsyncContext(Rig())
        await rig.start()
        rig.configure(
            2,
            routes=[
                route('look', 'idempotent', timeoutMs=ROUTE_TIMEOUT * 1000),
                route(
                    'draft',
                    'streaming',
                    streamResume=False,
                    gapAimMs=1000,
                    timeoutMs=ROUTE_TIMEOUT * 1000,
                ),
            ],
        )
        await rig.until(lambda: rig.host.configuration_version == 2)
        rig.workers[0].default_script = script
        return rig

    async def play(
        self, moment: Moment, connection: str, end: RequestEnd
    ) -> Caller:
        """Ask, let the request end, and read what has come of it."""
        rig = await self.open(moment.script)
        address = rig.settings.callers
        caller = await Caller.connect(address.ip, address.port)
        caller.ask(moment.path, 'first', connection)
        await rig.until(lambda: rig.seen('first'))
        await asyncio.gather(end(rig, caller), asyncio.sleep(PAUSE))
        await caller.read()
        return caller

    async def assert_single(
        self, end: RequestEnd, connection: str = 'keep-alive'
    ) -> None:
        """Check at each moment that no second answer follows the first."""
        callers = await asyncio.gather(
            *(self.play(moment, connection, end) for moment in MOMENTS)
        )
        for moment, caller in zip(MOMENTS, callers, strict=True):
            with self.subTest(moment.name, connection=connection):
                self.assertLessEqual(len(statuses(caller.received)), 1)

    async def test_timeout_of_the_route(self) -> None:
        """A refusal followed an answer, and answered the next request."""
        for connection in ('keep-alive', 'close'):
            await self.assert_single(do_nothing, connection)

    async def test_caller_that_leaves(self) -> None:
        """Its connection brings nothing more."""
        await self.assert_single(leave)

    async def test_stop_of_the_host(self) -> None:
        """The answer under way is the last one."""
        await self.assert_single(stop)

    async def test_loss_of_the_worker(self) -> None:
        """A broken answer is not followed by an error."""
        await self.assert_single(crash)

    async def test_slow_caller_gets_its_answer_and_the_next_one(self) -> None:
        """An answer that is ready is delivered, also after the timeout."""
        rig = await self.open(plain(b'x' * LONG))
        address = rig.settings.callers
        caller = await Caller.connect(address.ip, address.port)
        caller.ask('/look/1', 'first', 'keep-alive')
        await asyncio.sleep(PAUSE)
        await caller.read(LONG)
        self.assertEqual(statuses(caller.received), [200])
        self.assertGreater(len(caller.received), LONG)
        caller.received = b''
        rig.workers[0].default_script = plain(b'second')
        caller.ask('/look/2', 'second', 'close')
        await caller.read(1)
        self.assertEqual(statuses(caller.received), [200])
        self.assertTrue(caller.received.endswith(b'second'))

    async def test_caller_that_reads_nothing_does_not_hold_its_place(
        self,
    ) -> None:
        """Its connection is aborted when it has taken nothing for a while."""
        rig = await self.enterAsyncContext(Rig(max_stall=STALL))
        await rig.start()
        rig.workers[0].default_script = plain(b'x' * LONG)
        address = rig.settings.callers
        caller = await Caller.connect(address.ip, address.port)
        caller.ask('/look/1', 'first', 'keep-alive')
        await rig.until(lambda: rig.seen('first'))
        await rig.until(lambda: not rig.host.status.open_requests)
        await caller.read()
        self.assertTrue(caller.closed)
        self.assertLess(len(caller.received), LONG)
