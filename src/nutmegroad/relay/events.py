"""Splits the bytes of an event stream into complete events."""

import re
from dataclasses import dataclass
from typing import Final

#: The end of an event's last line and the empty line after it. A line ends
#: with CR LF, LF or CR.
_EVENT_END: Final = re.compile(rb'(?:\r\n|\n|\r(?!\n)){2}')
#: Maximum length of that end in bytes.
_MAX_END: Final = 4

#: Maximum bytes of an event. An upstream with a fault may send without end.
MAX_EVENT_BYTES: Final = 1_048_576

_CR: Final = b'\r'
_LINE_ENDS: Final = b'\r\n'
_ID: Final = b'id:'


@dataclass(frozen=True, slots=True)
class Event:
    """One event, as received.

    Attributes:
        raw: Its bytes, including the empty line at its end.
        event_id: Its id; empty if it has none.
    """

    raw: bytes
    event_id: str


class EventTooLongError(Exception):
    """An event is longer than any upstream's."""


class EventStreamSplitter:
    """Splits a stream's bytes into events."""

    def __init__(self) -> None:
        self._remainder = b''

    @property
    def remainder(self) -> bytes:
        """The bytes after the last complete event."""
        return self._remainder

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun and is incomplete.

        Empty lines alone are no event.
        """
        return bool(self._remainder.strip(_LINE_ENDS))

    def feed(self, chunk: bytes) -> list[Event]:
        """Add bytes, and return the events that they complete.

        Raises:
            EventTooLongError: If the event that follows them is too long.
        """
        # An event's end may be split between two chunks.
        first = max(0, len(self._remainder) - _MAX_END)
        events = self._split(self._remainder + chunk, first, is_last=False)
        if len(self._remainder) > MAX_EVENT_BYTES:
            message = f'an event is longer than {MAX_EVENT_BYTES} bytes'
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
            events.append(Event(text[start:end], _event_id(text[start:end])))
            start = end
        self._remainder = text[start:]
        return events


def _event_id(text: bytes) -> str:
    """Return an event's id, or an empty string."""
    for line in text.splitlines():
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode('latin-1')
    return ''
