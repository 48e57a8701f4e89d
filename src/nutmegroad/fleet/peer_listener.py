"""Listener for the links of other hosts.

A link begins with a handshake, which says what it is for and proves that its
sender can read the fleet table: callers can't, even if they reach the listener.
"""

import asyncio
import hmac
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Final

import msgspec

from nutmegroad.fleet.frames import LINK_ERRORS, FrameError, read_frame
from nutmegroad.fleet.table_updates import KnownVersions
from nutmegroad.fleet.tunnel_messages import TunnelRequest
from nutmegroad.fleet.update_server import UpdateServer
from nutmegroad.foundations.decoding import MessageDecoder, UndecodableError
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import Address

_LOG: Final = part_logger('links')

#: Seconds within which a link has to send its handshake.
HANDSHAKE_TIMEOUT: Final = 1.0

Handshake = KnownVersions | TunnelRequest

_DECODER: Final = MessageDecoder[Handshake](msgspec.msgpack.Decoder(Handshake))

#: Serves a link on which a connection to an upstream was requested.
TunnelHandler = Callable[
    [TunnelRequest, asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[None],
]


class PeerListener:
    """Accepts the links of other hosts.

    Args:
        own_key: Returns the key that a handshake has to have; waits until this
            host knows it.
        updates: Serves hosts that follow table updates.
    """

    def __init__(
        self, own_key: Callable[[], Awaitable[str]], updates: UpdateServer
    ) -> None:
        self._own_key = own_key
        self._updates = updates
        #: Serves hosts that ask for a connection; None to refuse them.
        self.tunnel_handler: TunnelHandler | None = None

    async def open(self, address: Address, stack: AsyncExitStack) -> None:
        """Listen at an address until a stack closes.

        Args:
            address: The address.
            stack: Closes the listener and the links of followers.
        """
        try:
            server = await asyncio.start_server(
                self._accept,
                address.ip,
                address.port,
            )
        except OSError as error:
            # The other hosts read the store themselves in that case.
            _LOG.decision('not listening for hosts', reason=str(error))
            return
        stack.callback(self._updates.close)
        stack.callback(server.close)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one link until it ends."""
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT):
                handshake = await _read_handshake(reader)
                own_key = await self._own_key()
            if hmac.compare_digest(handshake.key.encode(), own_key.encode()):
                await self._serve(handshake, reader, writer)
            else:
                sender = writer.get_extra_info('peername')
                _LOG.decision('link rejected: wrong key', sender=str(sender))
        except LINK_ERRORS as error:
            _LOG.decision('link lost', reason=repr(error))
        finally:
            writer.transport.abort()

    async def _serve(
        self,
        handshake: Handshake,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve a link by its handshake."""
        if isinstance(handshake, KnownVersions):
            await self._updates.serve(handshake, reader, writer)
        elif self.tunnel_handler is not None:
            await self.tunnel_handler(handshake, reader, writer)


async def _read_handshake(reader: asyncio.StreamReader) -> Handshake:
    """Return the first message of a link.

    Raises:
        FrameError: If it is not a handshake.
    """
    message = (await read_frame(reader)).message()
    try:
        return _DECODER.decode(message)
    except UndecodableError as error:
        raise FrameError(f'invalid handshake: {error}') from error
