"""Links of the soak: connections that can be held up, reset or refused."""

import asyncio
import contextlib
from enum import Enum, unique
from typing import Final

CHUNK: Final = 65_536

#: Seconds that a slow link adds to each piece.
SLOW: Final = 0.1


@unique
class LinkState(Enum):
    """What becomes of what is sent on a link."""

    WELL = 'well'
    SLOW = 'slow'
    SILENT = 'silent'
    ONE_WAY = 'one way'
    REFUSED = 'refused'


class Link:
    """Passes connections on, as its state has it.

    Args:
        ip: Where it listens.
        port: The same.
        target: Where it passes connections on to; IP and port.
    """

    @property
    def address(self) -> str:
        """Return where it listens, as IP:PORT."""
        ip, port = self._listens
        return f'{ip}:{port}'

    def __init__(self, ip: str, port: int, target: tuple[str, int]) -> None:
        self.state = LinkState.WELL
        self._listens = (ip, port)
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._take, *self._listens)

    def close(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _take(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Pass one connection on, both ways."""
        self._writers.add(writer)
        try:
            await self._pass_on(reader, writer)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Connect to the target, and copy until either side ends."""
        if self.state is LinkState.REFUSED:
            writer.transport.abort()
            return
        while self.state is LinkState.SILENT:
            await asyncio.sleep(SLOW)
        far_reader, far_writer = await asyncio.open_connection(*self._target)
        self._writers.add(far_writer)
        try:
            await asyncio.gather(
                self._copy(reader, far_writer, back=False),
                self._copy(far_reader, writer, back=True),
            )
        finally:
            self._writers.discard(far_writer)
            far_writer.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        back: bool,
    ) -> None:
        """Copy one way, held up as the state has it."""
        while True:
            piece = await reader.read(CHUNK)
            while self._holds_up(back=back):
                await asyncio.sleep(SLOW)
            if self.state is LinkState.SLOW:
                await asyncio.sleep(SLOW)
            if not piece:
                break
            writer.write(piece)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()

    def _holds_up(self, *, back: bool) -> bool:
        """Tell whether nothing passes in a direction now."""
        if self.state is LinkState.SILENT:
            return True
        return self.state is LinkState.ONE_WAY and back
