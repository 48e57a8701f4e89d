"""TCP proxies that tests put between two linked hosts, and an echo server."""

import asyncio
from asyncio import StreamReader, StreamWriter
from types import TracebackType
from typing import Self

from nutmegroad.foundations.types import Address


class RecordingProxy:
    """A proxy that records what the connecting host sends.

    Args:
        target: Address to which connections are forwarded.

    Attributes:
        received: All bytes that were received from connecting hosts.
        address: Address at which the proxy listens.
    """

    def __init__(self, target: Address) -> None:
        self.received = bytearray()
        self._target = target
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        """Start to listen on a free port."""
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
        """Forward one connection in both directions."""
        target = self._target
        target_reader, target_writer = await asyncio.open_connection(
            target.ip, target.port
        )
        replies = asyncio.ensure_future(
            self._forward_replies(target_reader, writer)
        )
        await _copy(reader, target_writer, self.received)
        await replies

    async def _forward_replies(
        self, reader: StreamReader, writer: StreamWriter
    ) -> None:
        """Forward what the target sends to the connecting host."""
        await _copy(reader, writer, bytearray())


class HoldingProxy(RecordingProxy):
    """A proxy that holds back all but the first chunk of the replies.

    Args:
        target: Address to which connections are forwarded.

    Attributes:
        released: Set by the test to forward the remaining replies.
    """

    def __init__(self, target: Address) -> None:
        super().__init__(target)
        self.released = asyncio.Event()

    async def _forward_replies(
        self, reader: StreamReader, writer: StreamWriter
    ) -> None:
        writer.write(await reader.read(4096))
        await self.released.wait()
        await super()._forward_replies(reader, writer)


async def _copy(
    reader: StreamReader,
    writer: StreamWriter,
    copied: bytearray,
) -> None:
    """Copy a stream to its end, and add its bytes to ``copied``."""
    while chunk := await reader.read(4096):
        copied.extend(chunk)
        writer.write(chunk)
    writer.close()


async def echo_received(reader: StreamReader, writer: StreamWriter) -> None:
    """Send all received bytes back to the sender."""
    await _copy(reader, writer, bytearray())
