"""One authenticated connection to a host, and the queue of what it sends."""

import asyncio
from asyncio import StreamReader, StreamWriter
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum, unique
from typing import Final

from msgspec import Struct

from nutmegroad.foundations.accounting import Account
from nutmegroad.foundations.clocks import Clock
from nutmegroad.membership._handshake import Identity
from nutmegroad.membership._wire import StreamError, Unpacker, as_struct, pack

_CHUNK: Final = 65_536
#: The cost of what comes in before it is known whose it is.
LINKS_PART: Final = 'links'


@dataclass(frozen=True, slots=True)
class QueuedFrame:
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
        if not frame.lazy:
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


@unique
class FrameKind(IntEnum):
    """What a frame is."""

    TELL = 0
    ASK = 1
    REPLY = 2
    REFUSED = 3


class Frame(Struct, frozen=True, array_like=True):
    """What travels on an authenticated connection.

    Attributes:
        kind: What it is.
        number: Number of the question that it asks or answers, or 0.
        body: A message as plain data, or a sentence if refused.
    """

    kind: FrameKind
    number: int
    body: object


def pack_frame(kind: FrameKind, number: int, body: object) -> bytes:
    """Return a frame as it travels."""
    return pack((kind.value, number, body))


class Connection:
    """An authenticated connection to one incarnation of a host.

    Attributes:
        identity: The other side.
        initiator: Whether this side connected.
        opened: Clock seconds of the end of the handshake.
        heard: Clock seconds at which bytes last came.
        stalled_since: Clock seconds since which a write waits, or None.
        writing: The task that writes.

    Args:
        identity: The other side.
        streams: The two directions.
        clock: Time.
        initiator: Whether this side connected.
    """

    def __init__(
        self,
        identity: Identity,
        streams: tuple[StreamReader, StreamWriter],
        clock: Clock,
        *,
        initiator: bool,
    ) -> None:
        self.identity = identity
        self.initiator = initiator
        self.opened = clock.now()
        self.heard = self.opened
        self.stalled_since: float | None = None
        self.writing: asyncio.Task[None] | None = None
        self._reader = streams[0]
        self._writer = streams[1]
        self._clock = clock

    async def read(
        self,
        unpacker: Unpacker,
        early: bytes,
        take: Callable[[Frame, int], None],
    ) -> str:
        """Hand each frame on until the connection ends.

        Args:
            unpacker: Cuts the stream.
            early: Bytes that came with the end of the handshake.
            take: Called with each frame and its size in bytes.

        Returns:
            The name of the event that ended it.
        """
        chunk = early
        try:
            while chunk or not self._reader.at_eof():
                self.heard = self._clock.now()
                for plain, size in unpacker.feed(chunk):
                    take(_checked(plain), size)
                chunk = await self._reader.read(_CHUNK)
        except StreamError:
            return 'links_garbage'
        except OSError:
            return 'links_broken'
        return 'links_closed'

    async def write(self, queue: SendQueue, account: Account) -> None:
        """Send what the queue holds until the connection ends."""
        while True:
            frames = await queue.take_all()
            for frame in frames:
                account.sent(frame.part, len(frame.packed))
            account.count('links_segments')
            if not await self._send(frames):
                return

    def rest(self) -> None:
        """Write no more, but read on."""
        if self.writing is not None:
            self.writing.cancel()

    def finish(self) -> None:
        """Write no more, but read on until the other side ends it."""
        self.rest()
        if not self._writer.is_closing():
            self._writer.write_eof()

    def abort(self) -> None:
        """End it at once; nothing more is taken from the queue."""
        self.rest()
        self._writer.transport.abort()

    async def _send(self, frames: tuple[QueuedFrame, ...]) -> bool:
        self._writer.writelines([frame.packed for frame in frames])
        self.stalled_since = self._clock.now()
        try:
            await self._writer.drain()
        except OSError:
            return False
        self.stalled_since = None
        return True


def _checked(plain: object) -> Frame:
    frame = as_struct(plain, Frame)
    if frame is None:
        raise StreamError('This is no frame.')
    return frame
