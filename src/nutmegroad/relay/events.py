"""Events of a stream: whole ones only, in order, none of them twice."""

from dataclasses import dataclass
from typing import Final

#: Marks the end of an event, in either form of line end.
_ENDS: Final = (b'\n\n', b'\r\n\r\n')
_ID: Final = b'id:'


@dataclass(frozen=True, slots=True)
class Event:
    """One event, as it was received.

    Attributes:
        text: Its bytes, the empty line at its end included.
        number: Its id; empty if it has none.
    """

    text: bytes
    number: str


class WholeEvents:
    """Cuts a stream's bytes into events."""

    def __init__(self) -> None:
        self._rest = b''

    @property
    def rest(self) -> bytes:
        """Return the beginning of an event that is not whole."""
        return self._rest

    def feed(self, chunk: bytes) -> list[Event]:
        """Return the events that are whole now."""
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
    """Return where the first event ends; 0 if it is not whole."""
    ends = [
        chunk.find(mark) + len(mark) for mark in _ENDS if chunk.find(mark) >= 0
    ]
    return min(ends, default=0)


def _number(text: bytes) -> str:
    """Return an event's id, or an empty text."""
    for line in text.splitlines():
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode('latin-1')
    return ''
