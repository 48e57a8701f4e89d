"""Splits the bytes of an event stream into complete events."""

from dataclasses import dataclass
from typing import Final

#: The empty line that ends an event, in either form of line ending.
_ENDS: Final = (b'\n\n', b'\r\n\r\n')
_ID: Final = b'id:'


@dataclass(frozen=True, slots=True)
class Event:
    """One event, as received.

    Attributes:
        text: Its bytes, including the empty line at its end.
        number: Its id; empty if it has none.
    """

    text: bytes
    number: str


class WholeEvents:
    """Splits a stream's bytes into events."""

    def __init__(self) -> None:
        self._rest = b''

    @property
    def rest(self) -> bytes:
        """The bytes of the last, incomplete event."""
        return self._rest

    def feed(self, chunk: bytes) -> list[Event]:
        """Add bytes, and return the events that they complete."""
        self._rest += chunk
        events = []
        end = _end_of_event(self._rest)
        while end:
            text = self._rest[:end]
            self._rest = self._rest[end:]
            events.append(Event(text, _number(text)))
            end = _end_of_event(self._rest)
        return events


def _end_of_event(chunk: bytes) -> int:
    """Return the end position of the first event; 0 if it is incomplete."""
    ends = [
        chunk.find(mark) + len(mark) for mark in _ENDS if chunk.find(mark) >= 0
    ]
    return min(ends, default=0)


def _number(text: bytes) -> str:
    """Return an event's id, or an empty string."""
    for line in text.splitlines():
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode('latin-1')
    return ''
