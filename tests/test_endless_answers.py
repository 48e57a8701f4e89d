"""Answers of upstreams that send without end, in each place of an answer.

They guard against hosts that keep what such an upstream sends until they run
out of memory, or read it for so long that other callers wait.
"""

import asyncio
import unittest
from contextlib import AsyncExitStack
from dataclasses import replace

from aiohttp import ClientPayloadError
from aiohttp.web import Application, Request, Response, get
from fakes.opaque_worker import (
    EVENTS,
    ReceivedRequest,
    Script,
    ScriptFactory,
    chunk,
    head,
    plain,
    signed,
    stream,
)
from fakes.serving import LoopbackServer

from nutmegroad.adapters._http_upstreams import (
    MAX_REPLY_BYTES,
    HttpEngineClient,
    HttpServiceClient,
)
from nutmegroad.contracts.upstreams import Attempt, ServiceCall
from nutmegroad.foundations.event_streams import (
    MAX_EVENT_BYTES,
    EventStreamSplitter,
    EventTooLongError,
)
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Address, AttemptId, Ran, VersionId
from nutmegroad.relay.answer_buffers import MAX_ANSWER_BYTES
from tests.relay_case import RelayCase
from tests.request_path_rig import engine_info

#: Bytes that an upstream may write before its connection is closed: those that
#: are read, and what the kernel holds for both sides.
MAX_WRITTEN = MAX_ANSWER_BYTES + 16_777_216

FILLER = 65_536

#: What an upstream sends, and what it then repeats, by the place in the answer.
HEADS = {
    'status line': (b'HTTP/1.1 200 ', b'a' * FILLER),
    'one header': (b'HTTP/1.1 200 OK\r\nX-Long: ', b'a' * FILLER),
    'many headers': (b'HTTP/1.1 200 OK\r\n', b'X-A: b\r\n' * 8192),
    'no HTTP': (b'', b'\x00\xff' * FILLER),
}

#: The same after a head of an answer in chunks.
CHUNKED = {
    'chunk size': (b'', b'0' * FILLER),
    'chunk extension': (b'5;', b'a' * FILLER),
    'trailers': (chunk(b'text') + b'0\r\n', b'X-A: b\r\n' * 8192),
}


def endless(text: bytes, filler: bytes) -> ScriptFactory:
    """Return a factory of answers without end.

    Args:
        text: The beginning.
        filler: What is repeated.
    """

    def make(request: ReceivedRequest) -> Script:
        """Return an answer."""
        return Script((text,), endless=filler)

    return make


def endless_body(text: bytes, filler: bytes, **headers: str) -> ScriptFactory:
    """Return a factory of answers with a sound head and a body without end."""

    def make(request: ReceivedRequest) -> Script:
        """Return an answer."""
        sent = signed(request, **headers)
        return Script((head('200 OK', sent) + text,), endless=filler)

    return make


def more_after(make: ScriptFactory, filler: bytes) -> ScriptFactory:
    """Return a factory of whole answers that are followed by more."""

    def make_more(request: ReceivedRequest) -> Script:
        """Return an answer."""
        return replace(make(request), endless=filler)

    return make_more


class EndlessAnswerTest(RelayCase):
    """A relay host with a worker that sends without end, and a sound one."""

    async def assert_given_up(self, script: ScriptFactory, path: str) -> None:
        """Check that a call is answered by the sound worker.

        Args:
            script: The answers of the other one.
            path: Path of the calls.
        """
        broken, sound = self.rig.workers
        broken.default_script = script
        sound.default_script = stream() if path == '/draft/1' else plain()
        for number in range(4):
            status, _, body = await self.rig.ask(path, f'r{number}')
            self.assertEqual(status, 200)
            expected = b''.join(EVENTS) if path == '/draft/1' else b'fine'
            self.assertEqual(body, expected)
        self.assertLess(broken.endless_bytes, MAX_WRITTEN * 4)
        self.assertTrue(broken.requests)
        await self.rig.until(lambda: broken.aborted == len(broken.requests))

    async def test_in_the_head(self) -> None:
        for place, (text, filler) in HEADS.items():
            with self.subTest(place):
                await self.assert_given_up(endless(text, filler), '/look/1')

    async def test_between_chunks(self) -> None:
        framing = {'Transfer-Encoding': 'chunked'}
        for place, (text, filler) in CHUNKED.items():
            with self.subTest(place):
                script = endless_body(text, filler, **framing)
                await self.assert_given_up(script, '/look/1')

    # A host of 51 MB grew to 189 MB by 25 such answers, which it kept until
    # their deadlines.
    async def test_in_a_body_without_a_length(self) -> None:
        script = endless_body(b'', b'a' * FILLER)
        await self.assert_given_up(script, '/look/1')

    async def test_after_a_whole_answer(self) -> None:
        script = more_after(plain(), b'a' * FILLER)
        await self.assert_given_up(script, '/look/1')

    # Other callers waited for six seconds: each piece was joined to all before
    # it and searched from its start.
    async def test_in_an_event(self) -> None:
        events = {
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        script = endless_body(b'', chunk(b'a' * FILLER), **events)
        await self.assert_given_up(script, '/draft/1')

    # Answers of equal length on one connection looked like no progress, and it
    # was closed after 256 KiB of them.
    async def test_whole_answers_of_equal_length_are_progress(self) -> None:
        self.all_workers(plain(b'a' * 800))
        for number in range(800):
            status, _, _ = await self.rig.ask('/look/1', f'r{number}')
            self.assertEqual(status, 200)
            self.assertEqual(self.rig.seen(f'r{number}'), 1)

    async def test_in_chunks_that_are_sound(self) -> None:
        """The caller gets them as they arrive, and no end."""
        filler = chunk(b'a' * FILLER)
        self.all_workers(
            endless_body(b'', filler, **{'Transfer-Encoding': 'chunked'})
        )
        async with self.rig.client.post(
            f'http://{self.rig.settings.callers}/look/1',
            headers=self.rig.headers('r'),
        ) as response:
            await response.content.readexactly(2 * MAX_ANSWER_BYTES)
            response.close()
        await self.rig.until(
            lambda: all(
                worker.aborted == len(worker.requests)
                for worker in self.rig.workers
            )
        )

    async def test_long_answer_with_a_length_arrives(self) -> None:
        """Pattern: a whole answer that is longer than a host reads."""
        body = b'a' * (2 * MAX_ANSWER_BYTES)
        self.all_workers(plain(body))
        status, _, received = await self.rig.ask('/look/1', 'r')
        self.assertEqual((status, len(received)), (200, len(body)))

    async def test_truncated_long_answer_does_not_look_complete(self) -> None:
        length = {'Content-Length': str(4 * MAX_ANSWER_BYTES)}

        def cut(request: ReceivedRequest) -> Script:
            """Return an answer that ends early."""
            text = head('200 OK', signed(request, **length))
            body = b'a' * (2 * MAX_ANSWER_BYTES)
            return Script((text + body,), close=True)

        self.all_workers(cut)
        with self.assertRaises(ClientPayloadError):
            await self.rig.ask('/look/1', 'r')


class EventSplitterTest(unittest.TestCase):
    """Streams without an event, in both programs."""

    def test_relay_gives_an_event_up(self) -> None:
        splitter = EventStreamSplitter()
        with self.assertRaises(EventTooLongError):
            for _ in range(40):
                splitter.feed(b'a' * FILLER)

    def test_end_of_an_event_between_two_chunks_is_found(self) -> None:
        for end in (b'\n\n', b'\r\n\r\n', b'\r\r'):
            for cut in range(len(end)):
                with self.subTest(end=end, cut=cut):
                    splitter = EventStreamSplitter()
                    splitter.feed(b'data: a' + end[:cut])
                    events = splitter.feed(end[cut:] + b'data: b')
                    self.assertEqual(len(events), 1)

    def assert_given_up(
        self, splitter: EventStreamSplitter, text: bytes
    ) -> None:
        """Check that a splitter takes a text only so often."""
        with self.assertRaises(ValueError):
            for _ in range(2 * MAX_EVENT_BYTES // FILLER):
                splitter.feed(text)

    def test_daemon_gives_up_without_an_event(self) -> None:
        for text in (b'a' * FILLER, b': a\n' * FILLER):
            with self.subTest(text[:4]):
                splitter = EventStreamSplitter()
                self.assert_given_up(splitter, text)


class EndlessUpstream:
    """An upstream of the daemon that sends without end."""

    def __init__(self) -> None:
        self.written = 0
        self.closed = asyncio.Event()
        self._text = b''
        self._filler = b''

    async def open(self, stack: AsyncExitStack) -> Address:
        """Listen until a stack closes, and return the address."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        stack.callback(server.close)
        return Address('127.0.0.1', server.sockets[0].getsockname()[1])

    def answer_by(self, text: bytes, filler: bytes) -> None:
        """Set the beginning of the answers, and what is repeated."""
        self._text = text
        self._filler = filler
        self.written = 0
        self.closed.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request."""
        try:
            request = await reader.readuntil(b'\r\n\r\n')
            if b'/engine/cancel' in request:
                writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
                return
            writer.write(self._text)
            while True:
                writer.write(self._filler)
                await writer.drain()
                self.written += len(self._filler)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.closed.set()
        finally:
            writer.close()


class DaemonTest(unittest.IsolatedAsyncioTestCase):
    """The daemon's clients of engines and of plain services."""

    async def asyncSetUp(self) -> None:
        """Start an upstream and the clients."""
        stack = await self.enterAsyncContext(AsyncExitStack())
        self.upstream = EndlessUpstream()
        address = await self.upstream.open(stack)
        self.info = engine_info('e', address.port)
        self.engines = await stack.enter_async_context(HttpEngineClient())
        self.services = await stack.enter_async_context(HttpServiceClient())

    def answers(self) -> dict[str, tuple[bytes, bytes]]:
        """Return the answers without end, by place."""
        sound = b'HTTP/1.1 200 OK\r\n'
        chunked = sound + b'Transfer-Encoding: chunked\r\n\r\n'
        return {
            **HEADS,
            **{
                place: (chunked + text, filler)
                for place, (text, filler) in CHUNKED.items()
            },
            'body': (sound + b'\r\n', b'a' * FILLER),
            'chunks': (chunked, chunk(b'a' * FILLER)),
        }

    def call(self) -> ServiceCall:
        """Return a call to the upstream."""
        return ServiceCall(
            AttemptId('a'), self.info, 'GET', 'x', b'', '', lambda: None, 60
        )

    async def test_service_calls_are_given_up(self) -> None:
        for place, (text, filler) in self.answers().items():
            with self.subTest(place):
                self.upstream.answer_by(text, filler)
                reply = await self.services.call(self.call())
                assert isinstance(reply, Refusal)
                self.assertEqual(reply.code, ResultCode.UPSTREAM_ERROR)
                self.assertIs(reply.ran, Ran.UNKNOWN)
                await self.upstream.closed.wait()
                self.assertLess(
                    self.upstream.written, MAX_REPLY_BYTES + 16_777_216
                )

    # The reply that exceeded 256 KiB of replies of equal length was an error.
    async def test_whole_replies_of_equal_length_are_progress(self) -> None:
        async def answer(request: Request) -> Response:
            """Return a reply."""
            return Response(body=b'a' * 800)

        app = Application()
        app.add_routes([get('/x', answer)])
        server = await self.enterAsyncContext(LoopbackServer(app))
        self.info = engine_info('e', server.address.port)
        for _ in range(400):
            reply = await self.services.call(self.call())
            self.assertNotIsInstance(reply, Refusal)

    async def test_answers_of_engines_are_given_up(self) -> None:
        for place, (text, filler) in self.answers().items():
            with self.subTest(place):
                self.upstream.answer_by(text, filler)
                attempt = Attempt(
                    AttemptId(place),
                    self.info,
                    VersionId('v@1'),
                    b'{}',
                    lambda: None,
                    60,
                )
                async with self.engines.answer(attempt) as events:
                    last = [event async for event in events][-1]
                assert isinstance(last, Refusal)
                await self.upstream.closed.wait()
                self.assertLess(
                    self.upstream.written, MAX_REPLY_BYTES + 16_777_216
                )

    async def test_reports_are_given_up(self) -> None:
        for place, (text, filler) in self.answers().items():
            with self.subTest(place):
                self.upstream.answer_by(text, filler)
                report = await self.engines.report(self.info)
                self.assertIsInstance(report, Refusal)
                await self.upstream.closed.wait()


if __name__ == '__main__':
    unittest.main()
