"""The bounded queue of what goes out to one peer."""

import asyncio
from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Parcel:
    """A packed message that waits to go out.

    Attributes:
        packed: Its bytes.
        part: Whose cost it is.
        replaceable: Whether it may be dropped for a later one.
        lazy: Whether it waits for one that is not.
    """

    packed: bytes
    part: str
    replaceable: bool = False
    lazy: bool = False


class Outbox:
    """A queue with a bound on messages and on bytes.

    When it is full, the oldest replaceable message makes room; where there
    is none, the new message is refused.

    Args:
        most_messages: How many may wait.
        most_bytes: How many bytes may wait.
    """

    def __init__(self, most_messages: int, most_bytes: int) -> None:
        self._most_messages = most_messages
        self._most_bytes = most_bytes
        self._waiting: deque[Parcel] = deque()
        self._bytes = 0
        self._filled = asyncio.Event()

    def __len__(self) -> int:
        """Return how many messages wait."""
        return len(self._waiting)

    def put(self, parcel: Parcel) -> bool:
        """Queue a message; false if there is no room."""
        while not self._has_room(parcel):
            if not self._drop_replaceable():
                return False
        self._waiting.append(parcel)
        self._bytes += len(parcel.packed)
        if not parcel.lazy:
            self._filled.set()
        return True

    async def take_all(self) -> tuple[Parcel, ...]:
        """Wait until there is something, and take all of it."""
        await self._filled.wait()
        taken = tuple(self._waiting)
        self._waiting.clear()
        self._bytes = 0
        self._filled.clear()
        return taken

    def _has_room(self, parcel: Parcel) -> bool:
        size = self._bytes + len(parcel.packed)
        return len(self._waiting) < self._most_messages and (
            size <= self._most_bytes
        )

    def _drop_replaceable(self) -> bool:
        for parcel in self._waiting:
            if parcel.replaceable:
                self._waiting.remove(parcel)
                self._bytes -= len(parcel.packed)
                return True
        return False
