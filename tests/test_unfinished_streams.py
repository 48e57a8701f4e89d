"""Tests of answers that are broken off without an error of the connection.

An answer may have neither a length nor chunks and end with its connection.
"""

import unittest
from itertools import product

from aiohttp import ClientError
from fakes.opaque_worker import (
    EVENTS,
    BodyEnd,
    OpaqueWorker,
    ReceivedRequest,
    Script,
    framed,
    stream,
)

from nutmegroad.foundations.event_streams import Event, EventStreamSplitter
from nutmegroad.foundations.types import Address
from nutmegroad.relay.connections import (
    AnswerIdentity,
    Connector,
    RequestHead,
)
from nutmegroad.relay.sockets import ConnectionFailedError
from tests.relay_case import RelayCase

#: A stream without the end of its second event.
INSIDE_EVENT = EVENTS[0] + EVENTS[1][:9]


LINE_ENDS = (b'\r\n', b'\n', b'\r')


def split_bytewise(text: bytes) -> tuple[list[Event], EventStreamSplitter]:
    """Split a stream that arrives byte by byte, up to its end."""
    splitter = EventStreamSplitter()
    events = []
    for position in range(len(text)):
        events.extend(splitter.feed(text[position : position + 1]))
    events.extend(splitter.finish())
    return events, splitter


class EndInsideEventTest(RelayCase):
    """Streams that end inside an event."""

    # A caller got a stream as complete whose engine had broken it off: the
    # end of the connection ended the body without an error.
    async def test_unframed_stream_that_ends_inside_an_event_is_resumed(
        self,
    ) -> None:
        """The rest is requested elsewhere after the last complete event."""
        broken = framed(INSIDE_EVENT, BodyEnd.CONNECTION)
        await self.assert_resumed_elsewhere(broken)

    async def test_framing_does_not_complete_an_event(self) -> None:
        """A stream with a length or a last chunk may be broken off, too."""
        self.rig.workers[1].default_script = stream()
        for end in BodyEnd:
            broken = framed(INSIDE_EVENT, end)
            self.rig.workers[0].default_script = broken
            for number in range(4):
                with self.subTest(end=end, number=number):
                    _, _, body = await self.rig.ask(
                        '/draft/1', f'{end.name}-{number}'
                    )
                    self.assertEqual(body, b''.join(EVENTS))

    async def test_stream_that_may_not_go_on_does_not_look_complete(
        self,
    ) -> None:
        """The caller's HTTP library detects the truncation."""
        for end in BodyEnd:
            with self.subTest(end=end):
                self.all_workers(framed(INSIDE_EVENT, end))
                with self.assertRaises(ClientError):
                    await self.rig.ask('/once/1', end.name)
                self.assertEqual(self.rig.seen(end.name), 1)


class EndBeforeEventTest(RelayCase):
    """Streams without a length that end after their head."""

    # An upstream that fails after its head and closes its connection would
    # give the caller an empty answer that looks complete.
    async def test_unframed_stream_without_an_event_is_repeated(self) -> None:
        """The request is repeated at another worker."""
        self.rig.workers[0].default_script = framed(b'', BodyEnd.CONNECTION)
        self.rig.workers[1].default_script = stream()
        for number in range(4):
            _, _, body = await self.rig.ask('/draft/1', f's{number}')
            self.assertEqual(body, b''.join(EVENTS))

    async def test_stream_that_says_it_is_empty_is_forwarded(self) -> None:
        """A length or a last chunk says that no event is to come."""
        for end in (BodyEnd.LENGTH, BodyEnd.LAST_CHUNK):
            with self.subTest(end=end):
                self.all_workers(framed(b'', end))
                status, _, body = await self.rig.ask('/draft/1', end.name)
                self.assertEqual((status, body), (200, b''))
                self.assertEqual(self.rig.seen(end.name), 1)


class ResumedStreamTest(RelayCase):
    """What may continue a stream that was broken off."""

    # The text of an upstream's error was appended to the events that the
    # caller had received from another upstream, and the stream looked complete.
    async def test_error_is_not_appended_to_a_started_stream(self) -> None:
        """All attempts are used, and the stream is truncated."""
        error = framed(
            b'{"error": "unknown event"}',
            BodyEnd.LENGTH,
            status='400 Bad Request',
            content_type='application/json',
        )

        def resist(seen: ReceivedRequest) -> Script:
            """Break off a new stream, and answer a resumption with an error."""
            if 'last-event-id' in seen.headers:
                return error(seen)
            return framed(INSIDE_EVENT, BodyEnd.CONNECTION)(seen)

        self.all_workers(resist)
        with self.assertRaises(ClientError):
            await self.rig.ask('/draft/1', 's1')
        self.assertEqual(self.rig.seen('s1'), 3)


class ResetTest(RelayCase):
    """Answers without a length whose connection is reset."""

    async def test_reset_is_no_end_of_a_stream(self) -> None:
        """A reset between two events does not complete the stream."""
        broken = framed(EVENTS[0], BodyEnd.CONNECTION, reset=True)
        self.all_workers(broken)
        with self.assertRaises(ClientError):
            await self.rig.ask('/once/1', 'o1')
        self.assertEqual(self.rig.seen('o1'), 1)

    async def test_reset_is_no_end_of_a_plain_answer(self) -> None:
        """The call is repeated at another worker."""
        broken = framed(b'half', BodyEnd.CONNECTION, reset=True)
        self.rig.workers[0].default_script = broken
        for number in range(4):
            status, _, body = await self.rig.ask('/look/1', f'r{number}')
            self.assertEqual((status, body), (200, b'fine'))


class LocalAbortTest(unittest.IsolatedAsyncioTestCase):
    """Bodies without a length on connections that are aborted locally."""

    # The end that the host's own abort gives a connection counted as that of
    # the upstream's answer.
    async def test_abort_does_not_complete_a_body(self) -> None:
        """Only the upstream can end its body."""
        worker = OpaqueWorker(
            default_script=framed(b'half', BodyEnd.CONNECTION, hold=True)
        )
        await worker.start()
        self.addAsyncCleanup(worker.stop)
        connection = await Connector().open(
            Address('127.0.0.1', worker.port), 1
        )
        request = RequestHead('GET', b'/', ((b'Host', b'x'),))
        response = await connection.exchange(
            request, b'', lambda _: AnswerIdentity.PENDING
        )
        self.assertEqual(await response.body.readany(), b'half')
        connection.abort()
        with self.assertRaises(ConnectionFailedError):
            await response.body.read()


class LineEndTest(unittest.TestCase):
    """Ends of events and of streams, by every line end."""

    def test_events_end_with_an_empty_line(self) -> None:
        """Lines may end with CR LF, LF or CR, also mixed."""
        for first, second in product(LINE_ENDS, repeat=2):
            if first + second == b'\r\n':
                continue
            with self.subTest(first=first, second=second):
                empty_line = first + second
                text = b'id: 1' + empty_line + b'id: 2' + empty_line
                events, splitter = split_bytewise(text)
                self.assertEqual(
                    [event.event_id for event in events], ['1', '2']
                )
                self.assertFalse(splitter.is_inside_event)
                forwarded = b''.join(event.raw for event in events)
                self.assertEqual(forwarded + splitter.remainder, text)

    def test_event_without_its_empty_line_is_incomplete(self) -> None:
        """The end of the last line alone does not end the event."""
        for line_end in (b'', *LINE_ENDS):
            with self.subTest(line_end=line_end):
                events, splitter = split_bytewise(
                    EVENTS[0] + b'id: 2' + line_end
                )
                self.assertEqual(len(events), 1)
                self.assertTrue(splitter.is_inside_event)

    def test_empty_lines_are_no_event(self) -> None:
        """Further empty lines after an event don't begin another one."""
        for line_end in LINE_ENDS:
            with self.subTest(line_end=line_end):
                _, splitter = split_bytewise(EVENTS[0] + line_end)
                self.assertFalse(splitter.is_inside_event)


class CompleteAnswerTest(RelayCase):
    """Complete answers of every framing."""

    async def test_complete_streams_are_forwarded_once(self) -> None:
        """A stream that ends after an event is complete."""
        whole = b''.join(EVENTS)
        for end in BodyEnd:
            with self.subTest(end=end):
                self.all_workers(framed(whole, end))
                _, _, body = await self.rig.ask('/draft/1', end.name)
                self.assertEqual(body, whole)
                self.assertEqual(self.rig.seen(end.name), 1)

    async def test_error_without_events_is_forwarded_complete(self) -> None:
        """An upstream's error on a streaming route is no event stream."""
        for end in BodyEnd:
            with self.subTest(end=end):
                error = framed(
                    b'{"error": "too long"}',
                    end,
                    status='400 Bad Request',
                    content_type='application/json',
                )
                self.all_workers(error)
                answer = await self.rig.ask('/draft/1', end.name)
                self.assertEqual(answer[0], 400)
                self.assertEqual(answer[2], b'{"error": "too long"}')
                self.assertEqual(self.rig.seen(end.name), 1)


if __name__ == '__main__':
    unittest.main()
