"""Splits the bytes of an event stream into complete events."""

from dataclasses import dataclass
from typing import Final

#: The empty line that ends an event, in either form of line ending.
_SEPARATORS: Final = (b'\n\n', b'\r\n\r\n')
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


class EventStreamSplitter:
    """Splits a stream's bytes into events."""

    def __init__(self) -> None:
        self._remainder = b''

    @property
    def remainder(self) -> bytes:
        """The bytes of the last, incomplete event."""
        return self._remainder

    def feed(self, chunk: bytes) -> list[Event]:
        """Add bytes, and return the events that they complete."""
        self._remainder += chunk
        events = []
        end = _end_of_event(self._remainder)
        while end:
            text = self._remainder[:end]
            self._remainder = self._remainder[end:]
            events.append(Event(text, _event_id(text)))
            end = _end_of_event(self._remainder)
        return events


def _end_of_event(chunk: bytes) -> int:
    """Return the end position of the first event; 0 if it is incomplete."""
    ends = [
        chunk.find(separator) + len(separator)
        for separator in _SEPARATORS
        if chunk.find(separator) >= 0
    ]
    return min(ends, default=0)


def _event_id(text: bytes) -> str:
    """Return an event's id, or an empty string."""
    for line in text.splitlines():
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode('latin-1')
    return ''
