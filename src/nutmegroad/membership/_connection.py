"""One authenticated connection to a host, and its send queue."""

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

_READ_SIZE: Final = 65_536
#: Part that the costs of the links themselves are attributed to, and those of
#: messages of unknown type.
LINKS_PART: Final = 'links'


@dataclass(frozen=True, slots=True)
class QueuedFrame:
    """A serialised message in a send queue.

    Attributes:
        packed: Its bytes.
        part: Part that its cost is attributed to.
        replaceable: Whether it may be dropped if the queue is full.
        lazy: Whether it is only sent together with one that is not lazy.
    """

    packed: bytes
    part: str
    replaceable: bool = False
    lazy: bool = False


class SendQueue:
    """A queue bounded in messages and bytes.

    If it is full, the oldest replaceable messages are dropped; if there is
    none, the new message is rejected.

    Args:
        max_messages: Maximum number of queued messages.
        max_bytes: Maximum number of queued bytes.
    """

    def __init__(self, max_messages: int, max_bytes: int) -> None:
        self._max_messages = max_messages
        self._max_bytes = max_bytes
        self._frames: deque[QueuedFrame] = deque()
        self._queued_bytes = 0
        self._has_frames = asyncio.Event()

    def __len__(self) -> int:
        """Return the number of queued messages."""
        return len(self._frames)

    def put(self, frame: QueuedFrame) -> bool:
        """Queue a message; false if there is no capacity."""
        while not self._has_capacity(frame):
            if not self._drop_replaceable():
                return False
        self._frames.append(frame)
        self._queued_bytes += len(frame.packed)
        if not frame.lazy:
            self._has_frames.set()
        return True

    async def take_all(self) -> tuple[QueuedFrame, ...]:
        """Wait until there is something to send, and return all of it."""
        await self._has_frames.wait()
        frames = tuple(self._frames)
        self._frames.clear()
        self._queued_bytes = 0
        self._has_frames.clear()
        return frames

    def _has_capacity(self, frame: QueuedFrame) -> bool:
        size = self._queued_bytes + len(frame.packed)
        return len(self._frames) < self._max_messages and (
            size <= self._max_bytes
        )

    def _drop_replaceable(self) -> bool:
        for frame in self._frames:
            if frame.replaceable:
                self._frames.remove(frame)
                self._queued_bytes -= len(frame.packed)
                return True
        return False


@unique
class FrameKind(IntEnum):
    """Type of a frame.

    Attributes:
        NOTIFICATION: A message that expects no reply.
        REQUEST: A request that expects a reply.
        REPLY: The reply to a request.
        REFUSED: The refusal of a request.
    """

    NOTIFICATION = 0
    REQUEST = 1
    REPLY = 2
    REFUSED = 3


class Frame(Struct, frozen=True, array_like=True):
    """Unit of transfer on an authenticated connection.

    Attributes:
        kind: Type of the frame.
        number: Number of the request that it makes or answers, or 0.
        body: A message as plain data, or the reason of a refusal.
    """

    kind: FrameKind
    number: int
    body: object


def pack_frame(kind: FrameKind, number: int, body: object) -> bytes:
    """Serialise a frame."""
    return pack((kind.value, number, body))


class Connection:
    """An authenticated connection to one incarnation of a host.

    Attributes:
        identity: Identity of the peer.
        is_initiator: Whether this side connected.
        opened_at: Clock seconds at the end of the handshake.
        last_received: Clock seconds at which bytes were last received.
        write_pending_since: Clock seconds at which the pending write began, or
            None.
        write_task: Task that runs ``write``, once it has been started.

    Args:
        identity: Identity of the peer.
        streams: Reader and writer.
        clock: Source of time.
        is_initiator: Whether this side connected.
    """

    def __init__(
        self,
        identity: Identity,
        streams: tuple[StreamReader, StreamWriter],
        clock: Clock,
        *,
        is_initiator: bool,
    ) -> None:
        self.identity = identity
        self.is_initiator = is_initiator
        self.opened_at = clock.now()
        self.last_received = self.opened_at
        self.write_pending_since: float | None = None
        self.write_task: asyncio.Task[None] | None = None
        self._reader = streams[0]
        self._writer = streams[1]
        self._clock = clock

    async def read(
        self,
        unpacker: Unpacker,
        early_bytes: bytes,
        receive: Callable[[Frame, int], None],
    ) -> str:
        """Pass each received frame on until the connection ends.

        Args:
            unpacker: Splits the stream into objects.
            early_bytes: Bytes received after the end of the handshake.
            receive: Called with each frame and its size in bytes.

        Returns:
            Name of the event that says how the connection ended.
        """
        chunk = early_bytes
        try:
            while chunk or not self._reader.at_eof():
                self.last_received = self._clock.now()
                for plain, size in unpacker.feed(chunk):
                    receive(_to_frame(plain), size)
                chunk = await self._reader.read(_READ_SIZE)
        except StreamError:
            return 'links_garbage'
        except OSError:
            return 'links_broken'
        return 'links_closed'

    async def write(self, queue: SendQueue, account: Account) -> None:
        """Send what is queued until the connection ends."""
        while True:
            frames = await queue.take_all()
            for frame in frames:
                account.add_sent(frame.part, len(frame.packed))
            account.count_event('links_segments')
            if not await self._send(frames):
                return

    def stop_writing(self) -> None:
        """Stop writing, but continue to read."""
        if self.write_task is not None:
            self.write_task.cancel()

    def close_writing(self) -> None:
        """Send end of file; read until the peer closes as well."""
        self.stop_writing()
        if not self._writer.is_closing():
            self._writer.write_eof()

    def abort(self) -> None:
        """Close the connection immediately; stop taking from the queue."""
        self.stop_writing()
        self._writer.transport.abort()

    async def _send(self, frames: tuple[QueuedFrame, ...]) -> bool:
        self._writer.writelines([frame.packed for frame in frames])
        self.write_pending_since = self._clock.now()
        try:
            await self._writer.drain()
        except OSError:
            return False
        self.write_pending_since = None
        return True


def _to_frame(plain: object) -> Frame:
    frame = as_struct(plain, Frame)
    if frame is None:
        name = type(plain).__name__
        raise StreamError(f'The received {name} object is not a valid frame.')
    return frame
