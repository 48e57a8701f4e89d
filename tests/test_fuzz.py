"""Fuzz tests of a host's listeners.

After any input a listener must still serve a good request, and no error may
be logged or left to the event loop's exception handler.

Hypothesis derives the seed of each fuzz test from the source of its method, so
a change to one of these methods also changes its inputs.
"""

import asyncio
import logging
import random
import unittest
from asyncio import StreamReader, StreamWriter
from collections.abc import Coroutine
from contextlib import AsyncExitStack
from typing import Any, Final

import msgpack
from experiments.deployment import operator_token
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from nutmegroad.foundations.types import (
    Address,
    DomainId,
    HostId,
    Incarnation,
    RequestId,
)
from nutmegroad.membership._connection import FrameKind, pack_frame
from nutmegroad.membership._handshake import (
    Credentials,
    HandshakeStream,
    Identity,
    initiate_handshake,
)
from nutmegroad.membership._wire import as_plain
from nutmegroad.operators.operator_requests import ExplainQuestion
from tests.fuzz_inputs import (
    CALLER_PATHS,
    CHAT,
    OPERATOR_PATHS,
    ORDER,
    WIRE,
    frames,
    requests,
)
from tests.host_fixture import KEY, HostFixture, two_version_settings

#: Seconds within which the host must answer.
TIMEOUT: Final = 20
FUZZ: Final = settings(
    derandomize=True,
    max_examples=150,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
CLUSTER_KEY: Final = b'a-cluster-key-for-tests'


class ErrorCollector(logging.Handler):
    """Collects logged errors, and exceptions that no task handled."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.found: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.found.append(logging.Formatter().format(record))

    def handle_loop_error(self, loop: object, context: dict[str, Any]) -> None:
        self.found.append(repr(context))


class EmptyRoster:
    """A roster that knows no newer incarnation of any host."""

    def newer_generation(self, identity: Identity) -> int:
        return 0


class FuzzTest(unittest.TestCase):
    """Runs one host, on an event loop that runs only inside ``run_in``."""

    def setUp(self) -> None:
        self.runner = self.enterContext(asyncio.Runner())
        self.unhandled = ErrorCollector()
        logging.getLogger().addHandler(self.unhandled)
        self.addCleanup(logging.getLogger().removeHandler, self.unhandled)
        self.host = HostFixture(two_version_settings())
        self.stack = AsyncExitStack()
        self.run_in(self.host.open(self.stack, body_timeout=0.2))
        loop = self.runner.get_loop()
        loop.set_exception_handler(self.unhandled.handle_loop_error)
        self.links = 0

    def tearDown(self) -> None:
        self.run_in(self.stack.aclose())

    def run_in(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine on the host's event loop."""
        return self.runner.run(work)

    def address(self, listener: str) -> Address:
        """Return the address of a listener of the host."""
        return self.host.kernel.listening[listener]

    async def open(self, listener: str) -> tuple[StreamReader, StreamWriter]:
        """Connect to a listener of the host."""
        address = self.address(listener)
        return await asyncio.open_connection(address.ip, address.port)

    async def send(self, listener: str, sent: bytes) -> bytes:
        """Send bytes and end of file, and return the complete reply."""
        reader, writer = await self.open(listener)
        writer.write(sent)
        writer.write_eof()
        try:
            async with asyncio.timeout(TIMEOUT):
                return await reader.read()
        except ConnectionError:
            return b''
        finally:
            writer.close()

    async def get(self, listener: str, path: str, secret: str) -> None:
        """Assert that a valid request is answered with status 200."""
        url = f'http://{self.address(listener)}{path}'
        headers = {'Authorization': f'Bearer {secret}'}
        async with self.host.session.get(url, headers=headers) as response:
            self.assertEqual(response.status, 200)

    @FUZZ
    @given(requests(CALLER_PATHS, CHAT, KEY))
    def test_callers(self, sent: bytes) -> None:
        self.unhandled.found.clear()
        reply = self.run_in(self.send('callers', sent))
        self.assertNotIn(b'Traceback', reply)
        self.run_in(self.get('callers', '/v1/models', KEY))
        self.assertEqual(self.unhandled.found, [])

    @FUZZ
    @given(requests(OPERATOR_PATHS, ORDER, operator_token('farah')))
    def test_operators(self, sent: bytes) -> None:
        self.unhandled.found.clear()
        reply = self.run_in(self.send('operators', sent))
        self.assertNotIn(b'Traceback', reply)
        token = operator_token('farah')
        self.run_in(self.get('operators', '/operators/status', token))
        self.assertEqual(self.unhandled.found, [])

    @FUZZ
    @given(st.binary(max_size=200) | WIRE.map(msgpack.packb))
    def test_unknown_hosts(self, sent: bytes) -> None:
        self.unhandled.found.clear()
        self.run_in(self.send('peers', sent))
        self.run_in(self.link(b''))
        self.assertEqual(self.unhandled.found, [])

    @FUZZ
    @given(frames())
    def test_linked_hosts(self, sent: bytes) -> None:
        self.unhandled.found.clear()
        self.run_in(self.link(sent))
        self.run_in(self.link(b''))
        self.assertEqual(self.unhandled.found, [])

    async def link(self, sent: bytes) -> None:
        """Complete the handshake as a new host, then send bytes.

        If there are none to send, ask a valid question and assert that the
        host replies.
        """
        reader, writer = await self.open('peers')
        stream = HandshakeStream(reader, writer)
        try:
            async with asyncio.timeout(TIMEOUT):
                await initiate_handshake(stream, self.credentials())
                writer.write(sent or self.question())
                if sent:
                    writer.write_eof()
                    await reader.read()
                else:
                    await self.assert_reply(stream, reader)
        except ConnectionError:
            self.assertTrue(sent)
        finally:
            writer.close()

    async def assert_reply(
        self, stream: HandshakeStream, reader: StreamReader
    ) -> None:
        """Read frames until the reply to the question comes."""
        unpacker = msgpack.Unpacker()
        unpacker.feed(stream.take_remaining())
        while True:
            for frame in unpacker:
                if frame[0] == FrameKind.REPLY and frame[1] == 1:
                    self.assertEqual(frame[2]['type'], 'explain-reply')
                    return
            chunk = await reader.read(1 << 16)
            self.assertTrue(chunk, 'the host closed a good link')
            unpacker.feed(chunk)

    def question(self) -> bytes:
        """Return the frame of a valid question, with the number 1."""
        question = ExplainQuestion(host=HostId('h1'), request=RequestId('r'))
        return pack_frame(FrameKind.REQUEST, 1, as_plain(question))

    def credentials(self) -> Credentials:
        """Return the credentials of a new host."""
        self.links += 1
        number = self.links
        identity = Identity(
            HostId(f'x{number}'),
            Incarnation(f'x{number}.{number}'),
            1,
            DomainId('petaling'),
            '127.0.0.1',
            1,
        )
        return Credentials(
            CLUSTER_KEY,
            identity,
            random.Random(number),
            EmptyRoster(),
        )

    def test_a_replayed_handshake_is_refused(self) -> None:
        recorded: list[bytes] = []

        async def record() -> None:
            """Complete a handshake, and record what this side sends."""
            reader, writer = await self.open('peers')
            stream = HandshakeStream(reader, writer)
            original_send = stream.send

            async def send(message: Any) -> None:
                recorded.append(msgpack.packb(as_plain(message)))
                await original_send(message)

            stream.send = send  # type: ignore[method-assign]
            await initiate_handshake(stream, self.credentials())
            writer.close()

        self.run_in(record())
        reply = self.run_in(self.send('peers', b''.join(recorded)))
        # The host sends its hello, but no proof after it.
        unpacker = msgpack.Unpacker()
        unpacker.feed(reply)
        self.assertEqual(len(list(unpacker)), 1)
        self.run_in(self.link(b''))
