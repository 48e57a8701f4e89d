"""Sends the tables that this host reads to its followers.

Followers are hosts of the same failure domain.
"""

import asyncio
from contextlib import AsyncExitStack
from typing import Final

from nutmegroad.fleet.store_interface import RowsRead
from nutmegroad.fleet.table_cache import TableCache
from nutmegroad.fleet.table_updates import (
    LINK_ERRORS,
    EncodedUpdate,
    KeepAlive,
    KnownVersions,
    StoreUnavailable,
    TableUpdate,
    encode,
    encode_update,
    receive,
)
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import Address

_LOG: Final = part_logger('news')

#: Seconds between keep-alives: a follower can wait for three of them and still
#: ask the store within today's shortest bound on changes (2 s).
KEEP_ALIVE_INTERVAL: Final = 0.4

#: Seconds within which a follower has to send its handshake.
HANDSHAKE_TIMEOUT: Final = 1.0

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
        self._cache = TableCache()
        # The maximum frame size of each follower, by its connection.
        self._followers: dict[asyncio.StreamWriter, int] = {}

    async def open(self, address: Address, stack: AsyncExitStack) -> None:
        """Listen at an address until a stack closes.

        Args:
            address: The address.
            stack: Closes the server and the connections.
        """
        try:
            server = await asyncio.start_server(
                self._serve,
                address.ip,
                address.port,
            )
        except OSError as error:
            # The other hosts read the store themselves in that case.
            _LOG.decision('update server not started', reason=str(error))
            return
        stack.callback(self._close)
        stack.callback(server.close)

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
            self._send_encoded(encode_update(update))

    def send_snapshot(self, table: str, read: RowsRead) -> None:
        """Send the full snapshot of a table."""
        cached = self._cache.replace(table, read)
        if self._followers:
            self._send_encoded(encode_update(cached.snapshot()))

    def send_unavailable(self, table: str) -> None:
        """Report that a call for a table was not answered by the store."""
        self._cache.drop(table)
        self._send(encode(StoreUnavailable(table)))

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one follower until it disconnects."""
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT):
                known = await receive(reader)
            if isinstance(known, KnownVersions):
                self._add_follower(writer, known)
                await reader.read()
        except LINK_ERRORS as error:
            _LOG.decision('follower lost', reason=repr(error))
        finally:
            self._followers.pop(writer, None)
            writer.transport.abort()

    def _add_follower(
        self, writer: asyncio.StreamWriter, known: KnownVersions
    ) -> None:
        """Send a new follower what it lacks, and all later updates."""
        for message in self._cache.updates_since(known.versions):
            payload = encode_update(message).for_limit(known.max_frame_bytes)
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

    def _close(self) -> None:
        """Disconnect all followers."""
        for writer in tuple(self._followers):
            writer.transport.abort()
