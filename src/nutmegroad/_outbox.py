"""The bounded queue of what goes out to one peer."""

import asyncio
from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QueuedFrame:
    """A packed message that waits to go out.

    Attributes:
        packed: Its bytes.
        part: Whose cost it is.
        replaceable: Whether it may be dropped for a later one.
    """

    packed: bytes
    part: str
    replaceable: bool = False


class SendQueue:
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
        self._waiting: deque[QueuedFrame] = deque()
        self._bytes = 0
        self._filled = asyncio.Event()

    def __len__(self) -> int:
        """Return how many messages wait."""
        return len(self._waiting)

    def put(self, frame: QueuedFrame) -> bool:
        """Queue a message; false if there is no room."""
        while not self._has_room(frame):
            if not self._drop_replaceable():
                return False
        self._waiting.append(frame)
        self._bytes += len(frame.packed)
        self._filled.set()
        return True

    async def take_all(self) -> tuple[QueuedFrame, ...]:
        """Wait until there is something, and take all of it."""
        await self._filled.wait()
        taken = tuple(self._waiting)
        self._waiting.clear()
        self._bytes = 0
        self._filled.clear()
        return taken

    def _has_room(self, frame: QueuedFrame) -> bool:
        size = self._bytes + len(frame.packed)
        return len(self._waiting) < self._most_messages and (
            size <= self._most_bytes
        )

    def _drop_replaceable(self) -> bool:
        for frame in self._waiting:
            if frame.replaceable:
                self._waiting.remove(frame)
                self._bytes -= len(frame.packed)
                return True
        return False
