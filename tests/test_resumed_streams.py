"""Streams that are resumed: each event arrives once, and in order."""

import itertools
import unittest

from fakes.opaque_worker import (
    ReceivedRequest,
    Script,
    chunk,
    head,
    signed,
    stream,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from nutmegroad.foundations.event_streams import (
    Event,
    EventStreamSplitter,
    StreamPosition,
)
from tests.relay_case import RelayCase

BYTE_ORDER_MARK = b'\xef\xbb\xbf'
#: Blocks of a stream, by what stands in them; ``{n}`` is the block's number.
BLOCKS = (
    ('id: {n}', 'data: piece {n}'),
    ('data: piece {n}', 'id:{n}'),
    ('id: {n}', 'data: piece', 'data: {n}'),
    ('data: piece {n}',),
    ('id: {n}',),
    (': keep-alive',),
    ('retry: 1000',),
    ('event: token', 'id: {n}', ': note', 'data: piece {n}'),
    ('id', 'data: piece {n}'),
)


@st.composite
def streams(draw: st.DrawFn) -> tuple[bytes, ...]:
    """Return the blocks of a stream."""
    line_end = draw(st.sampled_from(('\n', '\r\n', '\r')))
    shapes = draw(st.lists(st.sampled_from(BLOCKS), min_size=1, max_size=7))
    return tuple(
        ''.join(f'{line}{line_end}' for line in (*shape, ''))
        .format(n=number)
        .encode()
        for number, shape in enumerate(shapes, 1)
    )


def contents_of(events: list[Event]) -> list[bytes]:
    """Return the contents of the events that have one."""
    return [each.content for each in events if each.content is not None]


def split(text: bytes) -> list[Event]:
    """Return the events of a stream that ends."""
    splitter = EventStreamSplitter()
    return splitter.feed(text) + splitter.finish()


def following(blocks: tuple[bytes, ...], last_event: str) -> bytes:
    """Return the part of a stream after an event."""
    if not last_event:
        return b''.join(blocks)
    ids = [split(block)[0].event_id for block in blocks]
    return b''.join(blocks[ids.index(last_event) + 1 :])


def deliver(
    position: StreamPosition, text: bytes, *, size: int, ends: bool
) -> list[Event]:
    """Return what a reader gets of one upstream's part.

    Args:
        position: How far the reader has got.
        text: The part.
        size: Bytes of a read.
        ends: Whether the part ends by itself; else it is cut off.
    """
    splitter = EventStreamSplitter(is_continuation=not ends)
    position.begin_part()
    delivered = []
    for start in range(0, len(text), size):
        chunk_events = splitter.feed(text[start : start + size])
        delivered += position.advance(chunk_events)
    if ends:
        delivered += position.advance(splitter.finish())
    return delivered


class ResumedStreamTest(unittest.TestCase):
    """Streams that are cut off at any byte."""

    @settings(deadline=None, max_examples=60)
    @given(blocks=streams(), size=st.integers(1, 40), marked=st.booleans())
    def test_each_event_arrives_once_and_in_order(
        self, blocks: tuple[bytes, ...], size: int, *, marked: bool
    ) -> None:
        """A stream that cannot be resumed ends where it was cut off."""
        mark = BYTE_ORDER_MARK if marked else b''
        text = mark + b''.join(blocks)
        complete = contents_of(split(text))
        for cut in range(len(text) + 1):
            position = StreamPosition('')
            arrived = deliver(position, text[:cut], size=size, ends=False)
            if not position.can_resume:
                found = contents_of(arrived)
                self.assertEqual(found, complete[: len(found)])
                continue
            rest = mark + following(blocks, position.last_event)
            arrived += deliver(position, rest, size=size, ends=True)
            self.assertEqual(contents_of(arrived), complete)


class EventTest(unittest.TestCase):
    """What is read from a block."""

    def test_id_and_content(self) -> None:
        """By the standard's own rules for fields."""
        for text, event_id, content in (
            (b'id: 7\ndata: a\n\n', '7', b'a'),
            (b'data\n\n', None, b''),
            (b'data:  a\ndata:b\n\n', None, b' a\nb'),
            (b'id\ndata: a\n\n', '', b'a'),
            (b'id: 1\0\ndata: a\n\n', None, b'a'),
            (b'id: \xc3\xa9\n\n', 'é', None),
            (b': id: 7\n\n', None, None),
            (b'identity: 7\n\n', None, None),
            (BYTE_ORDER_MARK + b'id: 7\n\n', '7', None),
        ):
            with self.subTest(text=text):
                (event,) = split(text)
                self.assertEqual(event.raw, text)
                self.assertEqual(event.event_id, event_id)
                self.assertEqual(event.content, content)

    def test_comment_at_the_end_is_no_incomplete_event(self) -> None:
        """A complete stream was taken for one that was cut off."""
        for rest, inside in ((b': bye\n', False), (b': bye\nid: 1', True)):
            splitter = EventStreamSplitter()
            splitter.feed(b'data: a\n\n' + rest)
            splitter.finish()
            self.assertEqual(splitter.is_inside_event, inside)

    def test_mark_between_two_parts_is_dropped(self) -> None:
        """It would be read as a part of the first field's name."""
        text = BYTE_ORDER_MARK + b'data: a\n\n'
        for size, is_continuation in itertools.product((1, 99), (True, False)):
            splitter = EventStreamSplitter(is_continuation=is_continuation)
            events = [
                event
                for start in range(0, len(text), size)
                for event in splitter.feed(text[start : start + size])
            ]
            expected = text[3:] if is_continuation else text
            self.assertEqual(events[0].raw, expected)
            self.assertEqual(events[0].content, b'a')


class CommentedStreamTest(RelayCase):
    """Streams with comments between events, by way of a host."""

    async def test_comment_hides_no_event_that_was_delivered(self) -> None:
        """A resumed stream repeated an event that a comment had followed.

        Pattern: workers send comments as keep-alives, and one crashes.
        """
        events = tuple(
            f'id: {number}\ndata: piece {number}\n\n: keep-alive\n\n'.encode()
            for number in range(1, 6)
        )

        def crash(request: ReceivedRequest) -> Script:
            """Send two events with their comments at once, then reset."""
            headers = signed(request, **{'Transfer-Encoding': 'chunked'})
            text = chunk(events[0] + events[1])
            return Script((head('200 OK', headers) + text,), reset=True)

        self.rig.workers[0].default_script = crash
        self.rig.workers[1].default_script = stream(events)
        expected = contents_of(split(b''.join(events)))
        for number in range(4):
            _, _, body = await self.rig.ask('/draft/1', f's{number}')
            self.assertEqual(contents_of(split(body)), expected)
        self.assertTrue(self.rig.workers[0].requests)
