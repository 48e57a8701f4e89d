"""Sockets that listen; imports little, as hosts open them before all else."""

import socket
from typing import Final, Protocol

#: Maximum number of connections that wait to be accepted.
BACKLOG: Final = 1024

#: Bytes that the kernel may queue of what a caller has sent before it is read,
#: and of what the caller has not taken. It counts twice as much, for its own
#: overhead. By itself it would allow megabytes, and one read may return all.
RECEIVE_BUFFER: Final = 32_768
SEND_BUFFER: Final = 65_536


class _Socket(Protocol):
    """A socket whose options can be set."""

    def setsockopt(self, level: int, option: int, number: int, /) -> None:
        """Set an option to a number."""


def limit_buffers(sock: _Socket) -> None:
    """Limit what the kernel queues on a connection.

    Args:
        sock: The connection, or a listener whose connections inherit it.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)


def listening_socket(address: tuple[str, int]) -> socket.socket:
    """Return a non-blocking socket that listens at an address.

    Args:
        address: IP address and port.

    Raises:
        OSError: If the socket can't be opened.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener
