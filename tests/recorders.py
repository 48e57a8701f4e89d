"""Servers that tests put in the way of links."""

import asyncio
from asyncio import StreamReader, StreamWriter
from types import TracebackType
from typing import Self

from nutmegroad.foundations.types import Address


class Recorder:
    """Stands between two hosts and remembers what the first says."""

    def __init__(self, behind: Address) -> None:
        self.heard = bytearray()
        self._behind = behind
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        """Listen."""
        self._server = await asyncio.start_server(
            self._relay,
            '127.0.0.1',
            0,
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = Address('127.0.0.1', port)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _relay(self, reader: StreamReader, writer: StreamWriter) -> None:
        behind = self._behind
        other = await asyncio.open_connection(behind.ip, behind.port)
        replies = asyncio.ensure_future(self._reply(other[0], writer))
        await _copy(reader, other[1], self.heard)
        await replies

    async def _reply(self, reader: StreamReader, writer: StreamWriter) -> None:
        await _copy(reader, writer, bytearray())


class Holder(Recorder):
    """Passes on the first reply, and the others when it is told to."""

    def __init__(self, behind: Address) -> None:
        super().__init__(behind)
        self.released = asyncio.Event()

    async def _reply(self, reader: StreamReader, writer: StreamWriter) -> None:
        writer.write(await reader.read(4096))
        await self.released.wait()
        await super()._reply(reader, writer)


async def _copy(
    reader: StreamReader,
    writer: StreamWriter,
    heard: bytearray,
) -> None:
    while chunk := await reader.read(4096):
        heard.extend(chunk)
        writer.write(chunk)
    writer.close()


async def echo_back(reader: StreamReader, writer: StreamWriter) -> None:
    """Say again whatever is heard."""
    await _copy(reader, writer, bytearray())
