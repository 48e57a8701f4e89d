"""Whatever comes in, a listener goes on serving, and nothing is unhandled."""

import asyncio
import json
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
from msgspec import inspect

from nutmegroad.contracts.peers import Message
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
    greet,
)
from nutmegroad.membership._wire import as_plain
from nutmegroad.operators.operator_requests import ExplainQuestion
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

NUMBERS: Final = st.integers() | st.floats() | st.integers().map(lambda n: n**9)
JSON: Final = st.recursive(
    st.none() | st.booleans() | NUMBERS | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
CHAT: Final = ('model', 'messages', 'stream', 'max_tokens', 'stop', 'user')
ORDER: Final = ('preset', 'expected', 'text', 'version', 'action', 'fields')
LATIN: Final = st.text(
    st.characters(max_codepoint=255, exclude_characters='\r\n\0'),
    max_size=60,
)
HEADERS: Final = st.dictionaries(
    st.sampled_from(
        (
            'Idempotency-Key',
            'Nutmegroad-Session',
            'Nutmegroad-Deadline-Ms',
            'Nutmegroad-Priority',
            'Nutmegroad-Ticket',
            'Content-Type',
            'Content-Encoding',
            'Transfer-Encoding',
            'Expect',
            'Upgrade',
            'Connection',
        ),
    ),
    LATIN,
    max_size=3,
)
CALLER_PATHS: Final = (
    '/v1/chat/completions',
    '/v1/models',
    '/v1/tickets',
    '/v1/services/licence-portal/status/1',
)
OPERATOR_PATHS: Final = (
    '/operators/configuration',
    '/operators/configuration/diff',
    '/operators/configuration/progress?revision=x',
    '/operators/preset',
    '/operators/withdrawals',
    '/operators/rollouts',
    '/operators/prepared',
    '/operators/workspaces/head-office',
    '/operators/hosts/h9/drain',
    '/operators/requests/h9.1-1',
    '/metrics',
)


def bodies(names: tuple[str, ...]) -> st.SearchStrategy[bytes]:
    """Return bodies that are nearly what a route wants, or nothing like."""
    keys = st.sampled_from(names) | st.text()
    near = st.dictionaries(keys, JSON, max_size=4)
    return (near | JSON).map(lambda body: json.dumps(body).encode()) | (
        st.binary(max_size=200)
    )


@st.composite
def requests(
    draw: Any,
    paths: tuple[str, ...],
    names: tuple[str, ...],
    secret: str,
) -> bytes:
    """Return bytes that are more or less an HTTP request."""
    if draw(st.integers(0, 4)) == 0:
        return bytes(draw(st.binary(max_size=300)))
    body = draw(bodies(names))
    method = draw(st.sampled_from(('POST', 'GET', 'PUT', 'DELETE', 'x')))
    path = draw(st.sampled_from(paths) | LATIN)
    lines = [f'{method} {path} HTTP/1.1', 'Host: h', 'Connection: close']
    lines.append(f'Authorization: Bearer {draw(st.just(secret) | LATIN)}')
    lines.extend(f'{name}: {text}' for name, text in draw(HEADERS).items())
    length = draw(st.just(len(body)) | st.integers(-1, 10**9))
    lines.append(f'Content-Length: {length}')
    sent = '\r\n'.join((*lines, '', '')).encode('latin-1') + body
    cut = draw(st.just(len(sent)) | st.integers(0, len(sent)))
    return bytes(sent[:cut])


def _kinds(kind: type[Message]) -> list[type[Message]]:
    found = [kind]
    for inner in kind.__subclasses__():
        found.extend(_kinds(inner))
    return found


@st.composite
def frames(draw: Any) -> bytes:
    """Return bytes that are more or less a frame of a linked host."""
    choice = draw(st.integers(0, 4))
    if choice == 0:
        return bytes(draw(st.binary(max_size=200)))
    if choice == 1:
        # An array, map, text or binary that announces far too much.
        kind = draw(st.sampled_from((b'\xdd', b'\xdf', b'\xdb', b'\xc6')))
        return bytes(kind + b'\xff\xff\xff\xff' + draw(st.binary(max_size=9)))
    kinds = _kinds(Message)
    kind = draw(st.sampled_from(sorted(kinds, key=lambda one: one.__name__)))
    body = draw(content_of(inspect.type_info(kind)) | WIRE)
    frame = draw(st.sampled_from(list(FrameKind)))
    sent = pack_frame(frame, draw(st.integers(0, 2**40)), body)
    cut = draw(st.just(len(sent)) | st.integers(0, len(sent)))
    return bytes(sent[:cut])


WIRE: Final = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**63)
    | st.floats()
    | st.text(max_size=10)
    | st.binary(max_size=10),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


def content_of(kind: inspect.Type) -> st.SearchStrategy[Any]:
    """Return plain data of a type, now and then with something wrong."""
    plain = _plain(kind)
    return st.integers(0, 30).flatmap(lambda one: plain if one else WIRE)


def _plain(kind: inspect.Type) -> st.SearchStrategy[Any]:
    """Return plain data that a type takes."""
    match kind:
        case inspect.StructType(fields=fields):
            return _struct(kind, [content_of(one.type) for one in fields])
        case inspect.VarTupleType() | inspect.ListType():
            return st.lists(content_of(kind.item_type), max_size=3)
        case inspect.TupleType():
            return st.tuples(*map(content_of, kind.item_types))
        case inspect.DictType():
            keys = content_of(kind.key_type).filter(lambda key: key.__hash__)
            return st.dictionaries(
                keys, content_of(kind.value_type), max_size=3
            )
        case inspect.UnionType():
            return st.one_of(*map(_plain, kind.types))
        case inspect.EnumType():
            return st.sampled_from([one.value for one in kind.cls])
    return SCALARS.get(type(kind), WIRE)


def _struct(
    kind: inspect.StructType,
    fields: list[st.SearchStrategy[Any]],
) -> st.SearchStrategy[Any]:
    """Return a struct as it travels: as an array, or as a map."""
    if kind.array_like:
        return st.tuples(*fields)
    names = [one.encode_name for one in kind.fields]
    plain = st.fixed_dictionaries(dict(zip(names, fields, strict=True)))
    if kind.tag is None:
        return plain
    return plain.map(lambda body: {kind.tag_field: kind.tag, **body})


TEXTS: Final = st.text(max_size=5) | st.sampled_from(
    ('h1', 'h9', 'shah-alam', 'petaling', 'brief-small@2', 'checklist-tag'),
)
SCALARS: Final = {
    inspect.IntType: st.integers(-1, 9) | st.integers(-(2**63), 2**64 - 1),
    inspect.FloatType: st.floats(0, 9) | st.floats(),
    inspect.BoolType: st.booleans(),
    inspect.StrType: TEXTS,
    inspect.BytesType: st.binary(max_size=20),
    inspect.NoneType: st.none(),
}


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
                await greet(stream, self.credentials())
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
        unpacker.feed(stream.rest())
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
        return pack_frame(FrameKind.ASK, 1, as_plain(question))

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
            await greet(noted, self.credentials())
            writer.close()

        self.run_in(record())
        reply = self.run_in(self.send('peers', b''.join(recorded)))
        # The host's hello comes, and no proof after it.
        unpacker = msgpack.Unpacker()
        unpacker.feed(reply)
        self.assertEqual(len(list(unpacker)), 1)
        self.run_in(self.link(b''))
