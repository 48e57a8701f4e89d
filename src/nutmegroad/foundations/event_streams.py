"""Server-sent events: splits a stream into events, and tracks its position.

The format is that of the WHATWG HTML standard, section "Server-sent events".
"""

import re
from dataclasses import dataclass
from typing import Final

#: The end of an event's last line and the empty line after it. A line ends
#: with CR LF, LF or CR.
_EVENT_END: Final = re.compile(rb'(?:\r\n|\n|\r(?!\n)){2}')
#: Maximum length of that end in bytes.
_MAX_END: Final = 4

#: Maximum bytes of an event, and of what may stand between two with content.
#: An upstream with a fault may send without end.
MAX_EVENT_BYTES: Final = 1_048_576

_CR: Final = b'\r'
_COLON: Final = b':'
_BYTE_ORDER_MARK: Final = b'\xef\xbb\xbf'


@dataclass(frozen=True, slots=True)
class Event:
    """One block of a stream, up to the empty line that ends it.

    A block without content is no event to its reader: comments, or an id alone.

    Attributes:
        raw: Its bytes as received, including the empty line.
        event_id: The id that it sets; empty if it clears the last one, None if
            it leaves that as it is.
        content: Its content; None if it has none.
    """

    raw: bytes
    event_id: str | None = None
    content: bytes | None = None

    @property
    def is_empty(self) -> bool:
        """Whether it has neither an id nor content."""
        return self.event_id is None and self.content is None


class EventTooLongError(ValueError):
    """An event, or what stands between two, is longer than any upstream's."""


class EventStreamSplitter:
    """Splits the bytes of a stream, which may be cut anywhere, into events.

    Args:
        is_continuation: Whether the events follow those of another stream. A
            byte order mark at the beginning is dropped then.
    """

    def __init__(self, *, is_continuation: bool = False) -> None:
        self._is_continuation = is_continuation
        self._remainder = b''
        self._at_start = True
        self._without_content = 0

    @property
    def remainder(self) -> bytes:
        """The bytes after the last complete event."""
        return self._remainder

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun and is incomplete.

        Empty lines and comments alone are no event.
        """
        return any(
            line and not line.startswith(_COLON)
            for line in self._remainder.splitlines()
        )

    def feed(self, chunk: bytes) -> list[Event]:
        """Add bytes, and return the events that they complete.

        Raises:
            EventTooLongError: If there is too much without content.
        """
        # An event's end may be split between two chunks.
        first = max(0, len(self._remainder) - _MAX_END)
        events = self._split(self._remainder + chunk, first, is_last=False)
        for event in events:
            self._without_content += len(event.raw)
            if event.content is not None:
                self._without_content = 0
        if self._without_content + len(self._remainder) > MAX_EVENT_BYTES:
            message = f'{MAX_EVENT_BYTES} bytes without an event'
            raise EventTooLongError(message)
        return events

    def finish(self) -> list[Event]:
        """Return the events that the end of the stream completes."""
        return self._split(self._remainder, 0, is_last=True)

    def _split(self, text: bytes, first: int, *, is_last: bool) -> list[Event]:
        """Return the complete events of a text, and keep the rest of it.

        Args:
            text: The text.
            first: Where to look for the first event's end.
            is_last: Whether the stream has ended.
        """
        events = []
        start = 0
        for found in _EVENT_END.finditer(text, first):
            end = found.end()
            if end == len(text) and text.endswith(_CR) and not is_last:
                # The other half of a CR LF may follow.
                break
            events.append(self._parse(text[start:end]))
            start = end
        self._remainder = text[start:]
        return events

    def _parse(self, raw: bytes) -> Event:
        """Return the event of a block."""
        if not self._at_start:
            return _parse(raw, raw)
        self._at_start = False
        text = raw.removeprefix(_BYTE_ORDER_MARK)
        return _parse(text if self._is_continuation else raw, text)


class StreamPosition:
    """How far the reader of a stream has got, over several upstreams' parts.

    Args:
        last_event: Id of the last event that the reader has; empty for none.
    """

    def __init__(self, last_event: str) -> None:
        #: Id of the last event that was delivered; empty for none.
        self.last_event = last_event
        # Events delivered since then, which have no id.
        self._unnumbered = 0
        self._repeated = 0
        self._has_moved = False

    @property
    def can_resume(self) -> bool:
        """Whether an upstream can be told where to go on."""
        return bool(self.last_event) or not self._has_moved

    def begin_part(self) -> None:
        """Begin the part of an upstream that goes on after ``last_event``.

        It repeats the events without an id that were delivered since then.
        """
        self._repeated = self._unnumbered

    def advance(self, events: list[Event]) -> list[Event]:
        """Return the events that the reader does not have yet.

        They count as delivered.
        """
        delivered = [event for event in events if not self._is_repeated(event)]
        for event in delivered:
            self._record(event)
        return delivered

    def _is_repeated(self, event: Event) -> bool:
        """Return whether the reader has an event, and count it as repeated."""
        if event.event_id is not None:
            self._repeated = 0
        if not self._repeated or event.content is None:
            return False
        self._repeated -= 1
        return True

    def _record(self, event: Event) -> None:
        """Record an event that is delivered."""
        if event.is_empty:
            return
        self._has_moved = True
        if event.event_id is None:
            self._unnumbered += 1
        else:
            self.last_event = event.event_id
            self._unnumbered = 0


def _parse(raw: bytes, text: bytes) -> Event:
    """Parse a block.

    Args:
        raw: The bytes to forward.
        text: The same without a byte order mark.
    """
    event_id: str | None = None
    content: list[bytes] = []
    for line in text.splitlines():
        name, _, field = line.partition(_COLON)
        field = field.removeprefix(b' ')
        if name == b'data':
            content.append(field)
        elif name == b'id' and b'\0' not in field:
            event_id = field.decode(errors='replace')
    return Event(raw, event_id, b'\n'.join(content) if content else None)
