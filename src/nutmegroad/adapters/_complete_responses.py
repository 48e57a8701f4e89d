"""Response class that tells a complete body from one that was cut by a reset.

aiohttp ends a body without a length at the end of the connection, even if the
connection was reset or failed.
"""

import asyncio
from http import HTTPStatus
from typing import Any, Final, Self

from aiohttp import ClientPayloadError, ClientResponse
from aiohttp.connector import Connection

from nutmegroad.overload.holdings import current_holding
from nutmegroad.overload.memory_budget import HeldPart, Holding

#: Headers that mark the end of a body.
_FRAMING_HEADERS: Final = ('Content-Length', 'Transfer-Encoding')

_WITHOUT_BODY: Final = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)


class CompleteResponse(ClientResponse):
    """A response whose ``read`` returns a complete body or raises."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        # Set when the connection is lost, with an exception if it failed.
        self._connection_end: asyncio.Future[None] | None = None

    async def start(self, connection: Connection) -> Self:
        """Read the head of the response."""
        protocol = connection.protocol
        if protocol is not None and protocol.closed is not None:
            self._connection_end = protocol.closed
            self._connection_end.add_done_callback(_ignore_failure)
        await super().start(connection)
        return self

    async def __aenter__(self) -> Self:
        """Return the response, which is released at the end."""
        await super().__aenter__()
        return self

    async def read(self) -> bytes:
        """Read the body.

        Raises:
            ClientPayloadError: If the body ended because its connection failed.
        """
        body = await super().read()
        end = self._connection_end
        if end is None or not end.done() or not self._ends_with_connection():
            return body
        problem = end.exception()
        if problem is not None:
            message = f'The connection failed before the end: {problem}'
            raise ClientPayloadError(message) from problem
        return body

    async def read_at_most(self, size: int) -> bytes:
        """Read the body if it is no longer than some bytes.

        Args:
            size: Maximum number of bytes.

        Raises:
            ClientPayloadError: If the body is longer, ended because its
                connection failed, or finds no room in this host's memory.
        """
        chunks = []
        left = size
        holding = current_holding()
        async for chunk in self.content.iter_any():
            if not await _has_room(holding, len(chunk)):
                self.close()
                raise ClientPayloadError('This host has no memory left.')
            chunks.append(chunk)
            left -= len(chunk)
            if left < 0:
                self.close()
                message = f'The body is longer than {size} bytes.'
                raise ClientPayloadError(message)
        self._body = b''.join(chunks)
        return await self.read()

    def _ends_with_connection(self) -> bool:
        """Return whether the end of the connection ends the body."""
        if self.status in _WITHOUT_BODY:
            return False
        return not any(name in self.headers for name in _FRAMING_HEADERS)


async def _has_room(holding: Holding | None, size: int) -> bool:
    """Return whether bytes of an answer may be held; wait a little for room."""
    if holding is None:
        return True
    return await holding.reserve(HeldPart.ANSWER, size) is None


def _ignore_failure(end: asyncio.Future[None]) -> None:
    """Retrieve the exception of a lost connection, which may be idle."""
    if not end.cancelled():
        end.exception()
