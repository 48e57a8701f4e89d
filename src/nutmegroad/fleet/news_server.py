"""Tells other hosts of the failure domain what this one has read."""

import asyncio
from contextlib import AsyncExitStack
from typing import Final

from nutmegroad.fleet.news import (
    LINK_ENDS,
    Alive,
    Known,
    News,
    StoreLost,
    encode,
    encode_or_mark,
    receive,
)
from nutmegroad.fleet.stored import RowsRead
from nutmegroad.fleet.table_copies import TableCopies
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import Address

_LOG: Final = part_logger('news')

#: Seconds between two signs of life: a follower may wait for three of them
#: and still ask the store within the shortest bound of today (2 s).
ALIVE: Final = 0.4

#: Seconds within which one who connects has to say what it knows.
GREETING: Final = 1.0

#: Bytes that may wait for a follower who does not read; then it is left.
MOST_WAITING: Final = 1_048_576


class NewsServer:
    """Tells whoever connects.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._copies = TableCopies()
        self._followers: set[asyncio.StreamWriter] = set()

    async def open(self, address: Address, stack: AsyncExitStack) -> None:
        """Listen at an address until a stack closes."""
        try:
            server = await asyncio.start_server(
                self._take,
                address.ip,
                address.port,
            )
        except OSError as problem:
            # The others read the store themselves then.
            _LOG.decision('not telling', reason=str(problem))
            return
        stack.callback(self._close)
        stack.callback(server.close)

    async def run(self) -> None:
        """Give signs of life until cancelled."""
        sign = encode(Alive())
        while True:
            await self._clock.sleep(ALIVE)
            self._send(sign)

    def tell(self, news: News) -> None:
        """Tell what has changed in a table."""
        self._copies.apply(news)
        if self._followers:
            self._send(encode_or_mark(news))

    def tell_whole(self, table: str, read: RowsRead) -> None:
        """Tell a table that was read whole."""
        copy = self._copies.replace(table, read)
        if self._followers:
            self._send(encode_or_mark(copy.whole()))

    def tell_lost(self, table: str) -> None:
        """Tell that the store does not answer."""
        self._copies.forget(table)
        self._send(encode(StoreLost(table)))

    async def _take(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Tell one follower until it leaves."""
        try:
            async with asyncio.timeout(GREETING):
                known = await receive(reader)
            if isinstance(known, Known):
                self._greet(writer, known)
                await reader.read()
        except LINK_ENDS as problem:
            _LOG.decision('follower lost', reason=repr(problem))
        finally:
            self._followers.discard(writer)
            writer.transport.abort()

    def _greet(self, writer: asyncio.StreamWriter, known: Known) -> None:
        """Tell a new follower what it does not know, and all from now on."""
        for told in self._copies.beyond(known.versions):
            text = encode_or_mark(told)
            if text is not None:
                writer.write(text)
        self._followers.add(writer)

    def _send(self, text: bytes | None) -> None:
        """Send a frame to all followers."""
        for writer in tuple(self._followers):
            if text is None or writer.transport.is_closing():
                continue
            if writer.transport.get_write_buffer_size() > MOST_WAITING:
                _LOG.decision('follower left', reason='it does not read')
                writer.transport.abort()
                continue
            writer.write(text)

    def _close(self) -> None:
        """Leave all followers."""
        for writer in tuple(self._followers):
            writer.transport.abort()
