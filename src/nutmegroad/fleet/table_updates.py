"""Messages about the platform's tables that hosts send each other.

A host that has read a table sends its changes to the hosts that follow it, and
the time on the store's clock up to which the changes are complete. A follower
first sends the versions that it knows and receives full snapshots of the tables
of which it knows another version. After that, messages flow in one direction
only.
"""

from asyncio import StreamReader
from dataclasses import dataclass
from typing import Final

import msgspec
from msgspec import Struct
from msgspec.structs import replace

from nutmegroad.fleet.frames import (
    LENGTH_BYTES,
    FrameError,
    encode_message,
    read_frame,
)
from nutmegroad.fleet.store_interface import RowsRead, StoredRow
from nutmegroad.foundations.decoding import (
    Measure,
    MessageDecoder,
    Number,
    UndecodableError,
)

#: Maximum bytes of a frame for a follower that states no limit.
BASE_FRAME_BYTES: Final = 65_536


class TableUpdate(Struct, frozen=True, array_like=True, tag='n'):
    """Changes of a table, and the time up to which they are complete.

    Attributes:
        table: Name of the table.
        base: Version after which the rows are all that changed.
        version: Version up to which the changes are complete.
        store_time: Seconds on the store's clock at that version.
        rows: The rows that changed.
        outage_age: Seconds since the last call of the sender that the store
            did not answer; 0 for none.
    """

    table: str
    base: Number
    version: Number
    store_time: Measure
    rows: tuple[StoredRow, ...] = ()
    outage_age: Measure = 0

    def changes_after(self, version: int) -> RowsRead | None:
        """Return the changes after a version.

        Returns:
            None if changes between that version and these are missing.
        """
        if self.base > version:
            return None
        rows = tuple(row for row in self.rows if row.version > version)
        return RowsRead(rows, self.version, self.store_time, relayed=True)

    def marker(self) -> 'TableUpdate':
        """Return an update without rows at the version where this one ends.

        A follower that receives it in place of this update reads the rows from
        the store.
        """
        return TableUpdate(
            self.table,
            self.version,
            self.version,
            self.store_time,
            outage_age=self.outage_age,
        )

    def merged_with(self, later: 'TableUpdate') -> 'TableUpdate':
        """Return this update merged with a later one of the same table.

        If changes between the two are missing, the later one alone is returned.
        """
        if later.base > self.version:
            return later
        return TableUpdate(
            self.table,
            self.base,
            max(self.version, later.version),
            max(self.store_time, later.store_time),
            self.rows + later.rows,
        )


class TableSnapshot(Struct, frozen=True, array_like=True, tag='w'):
    """Full snapshot of a table.

    Attributes:
        table: Name of the table.
        version: The store's version at the time of the snapshot.
        store_time: Seconds on the store's clock at that time.
        rows: The rows.
        outage_age: Seconds since the last call of the sender that the store
            did not answer; 0 for none.
    """

    table: str
    version: Number
    store_time: Measure
    rows: tuple[StoredRow, ...] = ()
    outage_age: Measure = 0

    def to_rows_read(self) -> RowsRead:
        """Return the snapshot as rows read from another host."""
        return RowsRead(
            self.rows,
            self.version,
            self.store_time,
            relayed=True,
            is_snapshot=True,
        )

    def marker(self) -> TableUpdate:
        """Return an update without rows at the version of this snapshot."""
        return TableUpdate(
            self.table,
            self.version,
            self.version,
            self.store_time,
            outage_age=self.outage_age,
        )


class KnownVersions(Struct, frozen=True, array_like=True, tag='k'):
    """Handshake of a follower: the table versions that it knows.

    Attributes:
        versions: The version of each table.
        max_frame_bytes: Maximum bytes of a frame that it accepts.
        key: The key in the receiver's row of the fleet table.
    """

    versions: dict[str, Number] = {}
    max_frame_bytes: Number = BASE_FRAME_BYTES
    key: str = ''


class StoreUnavailable(Struct, frozen=True, array_like=True, tag='l'):
    """Notice that the store does not answer the sender.

    Attributes:
        table: The table that the sender requested.
    """

    table: str


class KeepAlive(Struct, frozen=True, array_like=True, tag='a'):
    """Keep-alive; the sender has no changes to report."""


TableMessage = (
    TableUpdate | TableSnapshot | StoreUnavailable | KeepAlive | KnownVersions
)

_DECODER: Final = MessageDecoder[TableMessage](
    msgspec.msgpack.Decoder(TableMessage)
)
_ENCODER: Final = msgspec.msgpack.Encoder()


def encode(message: TableMessage) -> bytes | None:
    """Return a message as a frame, or None if it is too large."""
    return encode_message(_ENCODER.encode(message))


@dataclass(frozen=True, slots=True)
class EncodedUpdate:
    """An encoded update or snapshot, for followers with different limits.

    Attributes:
        frame: The encoded frame; None if it exceeds ``frames.MAX_FRAME_BYTES``.
        marker: The same without its rows. A follower that receives it reads
            the changes from the store.
    """

    frame: bytes | None
    marker: bytes | None

    def for_limit(self, max_frame_bytes: int) -> bytes | None:
        """Return the bytes to send to a follower with a limit."""
        frame = self.frame
        if frame is None or len(frame) > LENGTH_BYTES + max_frame_bytes:
            return self.marker
        return frame


def encode_update(
    message: TableUpdate | TableSnapshot, outage_age: float
) -> EncodedUpdate:
    """Return an update or a snapshot as encoded frames.

    Args:
        message: The update or the snapshot.
        outage_age: Seconds since the last call of this host that the store did
            not answer; 0 for none.
    """
    sent = replace(message, outage_age=outage_age)
    return EncodedUpdate(encode(sent), encode(sent.marker()))


async def receive(reader: StreamReader) -> TableMessage:
    """Return the next message.

    Raises:
        FrameError: If the bytes are not a valid message.
        EOFError: If the peer has closed the connection.
    """
    message = (await read_frame(reader)).message()
    try:
        return _DECODER.decode(message)
    except UndecodableError as error:
        size = len(message)
        raise FrameError(f'invalid message of {size} bytes: {error}') from error
