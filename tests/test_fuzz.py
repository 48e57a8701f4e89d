"""Whatever comes in, a listener goes on serving, and nothing is unhandled."""

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
from tests.hosts import KEY, WholeHost, fast_engine

LIMIT: Final = 20
FUZZ: Final = settings(
    derandomize=True,
    max_examples=150,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
CLUSTER_KEY: Final = b'a-cluster-key-for-tests'


class Unhandled(logging.Handler):
    """Collects errors that are logged, and what the loop did not handle."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.found: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.found.append(logging.Formatter().format(record))

    def by_loop(self, loop: object, context: dict[str, Any]) -> None:
        self.found.append(repr(context))


class NoRoster:
    """Finds no incarnation too old."""

    def newer_generation(self, identity: Identity) -> int:
        return 0


class FuzzTest(unittest.TestCase):
    """One host, whose loop runs while a test waits for something."""

    def setUp(self) -> None:
        self.runner = self.enterContext(asyncio.Runner())
        self.unhandled = Unhandled()
        logging.getLogger().addHandler(self.unhandled)
        self.addCleanup(logging.getLogger().removeHandler, self.unhandled)
        self.host = WholeHost(fast_engine())
        self.stack = AsyncExitStack()
        self.run_in(self.host.open(self.stack, body_timeout=0.2))
        loop = self.runner.get_loop()
        loop.set_exception_handler(self.unhandled.by_loop)
        self.links = 0

    def tearDown(self) -> None:
        self.run_in(self.stack.aclose())

    def run_in(self, work: Coroutine[Any, Any, Any]) -> Any:
        return self.runner.run(work)

    def address(self, listener: str) -> Address:
        return self.host.kernel.listening[listener]

    async def open(self, listener: str) -> tuple[StreamReader, StreamWriter]:
        address = self.address(listener)
        return await asyncio.open_connection(address.ip, address.port)

    async def send(self, listener: str, sent: bytes) -> bytes:
        """Send bytes, say that no more come, and return the reply."""
        reader, writer = await self.open(listener)
        writer.write(sent)
        writer.write_eof()
        try:
            async with asyncio.timeout(LIMIT):
                return await reader.read()
        except ConnectionError:
            return b''
        finally:
            writer.close()

    async def get(self, listener: str, path: str, secret: str) -> None:
        """Demand that a good request is served."""
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
        """Link as a host, send bytes, and get a reply if none were sent."""
        reader, writer = await self.open('peers')
        stream = HandshakeStream(reader, writer)
        try:
            async with asyncio.timeout(LIMIT):
                await initiate_handshake(stream, self.credentials())
                writer.write(sent or self.question())
                if sent:
                    writer.write_eof()
                    await reader.read()
                else:
                    await self.reply(stream, reader)
        except ConnectionError:
            self.assertTrue(sent)
        finally:
            writer.close()

    async def reply(
        self, stream: HandshakeStream, reader: StreamReader
    ) -> None:
        """Demand a reply to the question among what the host sends."""
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
        question = ExplainQuestion(host=HostId('h1'), request=RequestId('r'))
        return pack_frame(FrameKind.REQUEST, 1, as_plain(question))

    def credentials(self) -> Credentials:
        """Return those of a host that was not there before."""
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
            NoRoster(),
        )

    def test_a_replayed_handshake_is_refused(self) -> None:
        recorded: list[bytes] = []

        async def record() -> None:
            """Do a handshake, and note what our side sent."""
            reader, writer = await self.open('peers')
            noted = HandshakeStream(reader, writer)
            original = noted.send

            async def send(thing: Any) -> None:
                recorded.append(msgpack.packb(as_plain(thing)))
                await original(thing)

            noted.send = send  # type: ignore[method-assign]
            await initiate_handshake(noted, self.credentials())
            writer.close()

        self.run_in(record())
        reply = self.run_in(self.send('peers', b''.join(recorded)))
        # The host's hello comes, and no proof after it.
        unpacker = msgpack.Unpacker()
        unpacker.feed(reply)
        self.assertEqual(len(list(unpacker)), 1)
        self.run_in(self.link(b''))
