"""Ends of connections that the stand-ins bring about."""

import asyncio
import socket
import struct
from typing import Final

#: Socket option by which closing a connection resets it.
_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)


def reset_connection(transport: asyncio.BaseTransport) -> None:
    """Close a connection with a reset; the peer reads no orderly end."""
    if transport.is_closing():
        return
    connection: socket.socket = transport.get_extra_info('socket')
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    if isinstance(transport, asyncio.WriteTransport):
        transport.abort()
