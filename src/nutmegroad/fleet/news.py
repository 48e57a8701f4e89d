"""What one host tells another of the platform's tables.

A host that has read a table tells the hosts that follow it what has changed
and up to which moment of the store's clock that is all. One that follows says
first what it knows, and is told whole tables where it knows another version;
after that frames go one way. Each has its length before it; large ones are
compressed, since a host with a slow link may tell many.
"""

import zlib
from asyncio import StreamReader
from typing import Final

import msgspec
from msgspec import Struct

from nutmegroad.fleet.stored import RowsRead, StoredRow

#: Bytes of a frame's length.
_LENGTH: Final = 4

#: Bytes of a frame from which it is compressed: below, little is gained.
_COMPRESSED: Final = 2048

#: Bytes that one frame may have: sixty hosts at the slowest link of today
#: (5 Mbit/s) take half a second for a frame of 5 KB, and those that tell are
#: among the fastest. What is larger each host reads from the store itself.
MOST_BYTES: Final = 65_536

#: Bytes that a frame may have when it is unpacked; no frame of ours has more.
_MOST_UNPACKED: Final = 8_388_608


class News(Struct, frozen=True, array_like=True, tag='n'):
    """What has changed in a table, and up to when that is all.

    Attributes:
        table: Its name.
        base: Version after which the rows are all that changed.
        version: Version up to which they are.
        store_time: Seconds on the store's clock at that version.
        rows: The rows that changed.
    """

    table: str
    base: int
    version: int
    store_time: float
    rows: tuple[StoredRow, ...] = ()

    def after(self, version: int) -> RowsRead | None:
        """Return what is new to a host that knows a version.

        Returns:
            None if the host has missed something before.
        """
        if self.base > version:
            return None
        rows = tuple(row for row in self.rows if row.version > version)
        return RowsRead(rows, self.version, self.store_time, relayed=True)

    def marker(self) -> 'News':
        """Return news without rows that follow on this."""
        return News(self.table, self.version, self.version, self.store_time)

    def joined(self, later: 'News') -> 'News':
        """Return this and later news of the same table as one."""
        if later.base > self.version:
            return later
        return News(
            self.table,
            self.base,
            max(self.version, later.version),
            max(self.store_time, later.store_time),
            self.rows + later.rows,
        )


class Whole(Struct, frozen=True, array_like=True, tag='w'):
    """All rows of a table at one moment.

    Attributes:
        table: Its name.
        version: The store's version at that moment.
        store_time: Seconds on the store's clock at that moment.
        rows: The rows.
    """

    table: str
    version: int
    store_time: float
    rows: tuple[StoredRow, ...] = ()

    def read(self) -> RowsRead:
        """Return it as it was read."""
        return RowsRead(
            self.rows,
            self.version,
            self.store_time,
            relayed=True,
            whole=True,
        )

    def marker(self) -> News:
        """Return news without rows that follow on this."""
        return News(self.table, self.version, self.version, self.store_time)


class Known(Struct, frozen=True, array_like=True, tag='k'):
    """What one who begins to follow knows.

    Attributes:
        versions: The version of each table.
    """

    versions: dict[str, int] = {}


class StoreLost(Struct, frozen=True, array_like=True, tag='l'):
    """The store does not answer the one who tells.

    Attributes:
        table: The table that it asked for.
    """

    table: str


class Alive(Struct, frozen=True, array_like=True, tag='a'):
    """Nothing is new; the one who tells is there."""


Frame = News | Whole | StoreLost | Alive | Known

_DECODER: Final = msgspec.msgpack.Decoder(Frame)
_ENCODER: Final = msgspec.msgpack.Encoder()


class FrameError(Exception):
    """A peer sent what is no frame of ours."""


#: How a link ends: broken, closed, silent, or with what is no frame.
LINK_ENDS: Final = (OSError, EOFError, TimeoutError, FrameError)


def encode(frame: Frame) -> bytes | None:
    """Return a frame with its length, or None if it is too large."""
    text = _ENCODER.encode(frame)
    kind = b'p'
    if len(text) >= _COMPRESSED:
        text = zlib.compress(text, level=1)
        kind = b'z'
    if len(text) >= MOST_BYTES:
        return None
    return (len(text) + 1).to_bytes(_LENGTH) + kind + text


def encode_or_mark(told: News | Whole) -> bytes | None:
    """Return a frame; of one that is too large, that there is something new.

    Whoever follows has to read it from the store then.
    """
    return encode(told) or encode(told.marker())


async def receive(reader: StreamReader) -> Frame:
    """Return the next frame.

    Raises:
        FrameError: If it is none.
        EOFError: If the peer has closed the connection.
    """
    size = int.from_bytes(await reader.readexactly(_LENGTH))
    if not 0 < size <= MOST_BYTES:
        raise FrameError(f'a frame of {size} bytes; expected 1 to {MOST_BYTES}')
    text = await reader.readexactly(size)
    try:
        return _DECODER.decode(_unpacked(text))
    except (zlib.error, msgspec.DecodeError) as problem:
        raise FrameError(str(problem)) from problem


def _unpacked(text: bytes) -> bytes:
    """Return a frame's content."""
    if text[:1] == b'p':
        return text[1:]
    return zlib.decompressobj().decompress(text[1:], _MOST_UNPACKED)
