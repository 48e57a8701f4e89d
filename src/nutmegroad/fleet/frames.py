"""Frames on the links between hosts.

Each frame is preceded by its length and begins with its kind. Large messages
are compressed, since a host with a slow link may have many followers.
"""

import zlib
from asyncio import StreamReader
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

#: Bytes of a frame's length prefix.
LENGTH_BYTES: Final = 4

#: Bytes from which a message is compressed; smaller ones gain little.
_MIN_COMPRESSED_BYTES: Final = 2048

#: Maximum bytes of a frame. The hosts that send have fast links and a few
#: followers each: at 100 Mbit/s, eight of them receive the largest frame within
#: a fifth of a second. Each host reads larger changes from the store itself, in
#: pages, and all hosts share the store's rate.
MAX_FRAME_BYTES: Final = 262_144

#: Maximum bytes of a decompressed frame; no frame that hosts create is larger.
_MAX_UNPACKED_BYTES: Final = 8_388_608


class FrameError(Exception):
    """A peer sent bytes that are not a valid frame."""


#: Errors that end a link: it was reset or closed, no frame arrived in time, or
#: a frame was invalid.
LINK_ERRORS: Final = (OSError, EOFError, TimeoutError, FrameError)


@unique
class FrameKind(Enum):
    """What a frame holds; the value is its first byte."""

    MESSAGE = b'p'
    COMPRESSED_MESSAGE = b'z'
    #: Bytes of a tunneled connection.
    CONTENT = b'd'
    #: The orderly end of a tunneled connection.
    END = b'e'


@dataclass(frozen=True, slots=True)
class Frame:
    """A received frame.

    Attributes:
        kind: What it holds.
        payload: Its content, as sent.
    """

    kind: FrameKind
    payload: bytes

    def message(self) -> bytes:
        """Return the encoded message of the frame.

        Raises:
            FrameError: If it holds no message.
        """
        if self.kind is FrameKind.MESSAGE:
            return self.payload
        if self.kind is not FrameKind.COMPRESSED_MESSAGE:
            raise FrameError(f'frame {self.kind.name}; expected a message')
        try:
            return zlib.decompressobj().decompress(
                self.payload, _MAX_UNPACKED_BYTES
            )
        except zlib.error as error:
            size = len(self.payload)
            raise FrameError(
                f'invalid frame of {size} bytes: {error}'
            ) from error


def encode_message(payload: bytes) -> bytes | None:
    """Return a message as a frame, or None if it is too large."""
    kind = FrameKind.MESSAGE
    if len(payload) >= _MIN_COMPRESSED_BYTES:
        payload = zlib.compress(payload, level=1)
        kind = FrameKind.COMPRESSED_MESSAGE
    if len(payload) >= MAX_FRAME_BYTES:
        return None
    return encode_frame(kind, payload)


def encode_frame(kind: FrameKind, payload: bytes = b'') -> bytes:
    """Return a frame with its length prefix."""
    return (len(payload) + 1).to_bytes(LENGTH_BYTES) + kind.value + payload


async def read_frame(reader: StreamReader) -> Frame:
    """Return the next frame.

    Raises:
        FrameError: If the bytes are not a valid frame.
        EOFError: If the peer has closed the connection.
    """
    size = _frame_size(await reader.readexactly(LENGTH_BYTES))
    return _frame(await reader.readexactly(size))


class FrameBuffer:
    """Received bytes that are divided into frames."""

    def __init__(self) -> None:
        self._received = bytearray()

    def feed(self, received: bytes) -> Iterator[Frame]:
        """Add received bytes, and yield the frames that are complete.

        Raises:
            FrameError: If the bytes are not valid frames.
        """
        self._received.extend(received)
        while len(self._received) >= LENGTH_BYTES:
            end = LENGTH_BYTES + _frame_size(self._received[:LENGTH_BYTES])
            if len(self._received) < end:
                return
            content = bytes(self._received[LENGTH_BYTES:end])
            self._received = self._received[end:]
            yield _frame(content)


def _frame_size(prefix: bytes | bytearray) -> int:
    """Return the size of a frame, which its prefix holds."""
    size = int.from_bytes(prefix)
    if not 0 < size <= MAX_FRAME_BYTES:
        raise FrameError(
            f'frame of {size} bytes; expected 1 to {MAX_FRAME_BYTES}'
        )
    return size


def _frame(content: bytes) -> Frame:
    """Return a frame without its length prefix."""
    try:
        return Frame(FrameKind(content[:1]), content[1:])
    except ValueError as error:
        known = ', '.join(repr(kind.value) for kind in FrameKind)
        raise FrameError(
            f'frame of kind {content[:1]!r}; expected {known}'
        ) from error
