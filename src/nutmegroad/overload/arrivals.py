"""Asks the kernel how long received bytes have waited to be read."""

import asyncio
import socket
import struct
from typing import Final

#: Milliseconds since a segment with data was last received, and its offset in
#: the kernel's ``struct tcp_info``.
_LAST_DATA: Final = struct.Struct('I')
_LAST_DATA_OFFSET: Final = 52
_INFO_BYTES: Final = _LAST_DATA_OFFSET + _LAST_DATA.size

_MS_PER_SECOND: Final = 1000


def seconds_since_arrival(transport: asyncio.BaseTransport | None) -> float:
    """Return for how long the last bytes of a connection have been there.

    Args:
        transport: The connection; None if it is closed on this side.

    Returns:
        The seconds; 0 if the kernel does not tell.
    """
    sock = None if transport is None else transport.get_extra_info('socket')
    if sock is None:
        return 0
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES)
    except OSError:
        # The connection was reset, or is none of TCP.
        return 0
    if len(info) < _INFO_BYTES:
        return 0
    milliseconds: int = _LAST_DATA.unpack_from(info, _LAST_DATA_OFFSET)[0]
    return milliseconds / _MS_PER_SECOND
