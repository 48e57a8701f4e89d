"""Sends the tables that this host reads to its followers.

Followers are hosts of the same failure domain.
"""

import asyncio
from typing import Final

from nutmegroad.fleet.store_interface import RowsRead
from nutmegroad.fleet.store_probes import OutageRecord
from nutmegroad.fleet.table_cache import TableCache
from nutmegroad.fleet.table_updates import (
    EncodedUpdate,
    KeepAlive,
    KnownVersions,
    StoreUnavailable,
    TableUpdate,
    encode,
    encode_update,
)
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger

_LOG: Final = part_logger('news')

#: Seconds between keep-alives: a follower can wait for three of them and still
#: ask the store within today's shortest bound on changes (2 s).
KEEP_ALIVE_INTERVAL: Final = 0.4

#: Maximum bytes buffered for a follower that does not read; beyond, it is
#: disconnected.
MAX_BUFFERED_BYTES: Final = 1_048_576


class UpdateServer:
    """Sends table updates to all hosts that connect.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        #: When the store last did not answer.
        self.outages = OutageRecord(clock)
        self._cache = TableCache()
        # The maximum frame size of each follower, by its connection.
        self._followers: dict[asyncio.StreamWriter, int] = {}

    async def run(self) -> None:
        """Send keep-alives until cancelled."""
        keep_alive = encode(KeepAlive())
        while True:
            await self._clock.sleep(KEEP_ALIVE_INTERVAL)
            self._send(keep_alive)

    def send_update(self, update: TableUpdate) -> None:
        """Send the changes of a table."""
        self._cache.apply(update)
        if self._followers:
            self._send_encoded(encode_update(update, self.outages.age()))

    def send_snapshot(self, table: str, read: RowsRead) -> None:
        """Send the full snapshot of a table."""
        cached = self._cache.replace(table, read)
        if self._followers:
            self._send_encoded(
                encode_update(cached.snapshot(), self.outages.age())
            )

    def send_unavailable(self, table: str) -> None:
        """Report that a call for a table was not answered by the store."""
        self._cache.drop(table)
        self._send(encode(StoreUnavailable(table)))

    async def serve(
        self,
        known: KnownVersions,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one follower until it disconnects."""
        try:
            self._add_follower(writer, known)
            await reader.read()
        finally:
            self._followers.pop(writer, None)

    def close(self) -> None:
        """Disconnect all followers."""
        for writer in tuple(self._followers):
            writer.transport.abort()

    def _add_follower(
        self, writer: asyncio.StreamWriter, known: KnownVersions
    ) -> None:
        """Send a new follower what it lacks, and all later updates."""
        for message in self._cache.updates_since(known.versions):
            encoded = encode_update(message, self.outages.age())
            payload = encoded.for_limit(known.max_frame_bytes)
            if payload is not None:
                writer.write(payload)
        self._followers[writer] = known.max_frame_bytes

    def _send(self, payload: bytes | None) -> None:
        """Send a frame to all followers."""
        self._send_encoded(EncodedUpdate(payload, payload))

    def _send_encoded(self, encoded: EncodedUpdate) -> None:
        """Send a frame to all followers, each within its limit."""
        for writer, max_frame_bytes in tuple(self._followers.items()):
            payload = encoded.for_limit(max_frame_bytes)
            if payload is None or writer.transport.is_closing():
                continue
            if writer.transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:
                _LOG.decision(
                    'follower disconnected',
                    reason=f'more than {MAX_BUFFERED_BYTES} bytes unread',
                )
                writer.transport.abort()
                continue
            writer.write(payload)
