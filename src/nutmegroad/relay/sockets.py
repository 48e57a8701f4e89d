"""Sockets to upstreams and to other hosts, and how the loss of a peer shows."""

import asyncio
import os
import socket
from collections.abc import Callable
from typing import Final

from nutmegroad.foundations.timeouts import ReadTimeout
from nutmegroad.foundations.types import Address
from nutmegroad.overload.listening import limit_buffers

#: Seconds without data after which the kernel sends a keep-alive probe, and
#: between its probes. A connection may become unresponsive without a reset. The
#: strictest time limit of a deployment leaves three seconds to detect that, and
#: one of them is reserved for the reply.
KEEPALIVE_INTERVAL: Final = 1
KEEPALIVE_PROBES: Final = 2
#: Milliseconds for which sent bytes may stay unacknowledged before the kernel
#: closes the connection. It also ends the keep-alive probes, whatever their
#: number.
USER_TIMEOUT_MS: Final = 1500
#: The same for exchanges with upstreams, which may be silent for a second or so
#: and go on.
EXCHANGE_USER_TIMEOUT_MS: Final = 2500

#: Option of Linux that leaves the choice of a port to ``connect``, so that the
#: connections to different peers may share one; missing in this Python.
IP_BIND_ADDRESS_NO_PORT: Final = 24


class ConnectionFailedError(Exception):
    """An upstream connection failed, or received an invalid response.

    Attributes:
        sent: Whether bytes of the request may have reached the upstream.
        timed_out: Whether the peer did not accept the connection in time.
        refused: Whether the connection was refused because no process listens
            at the address.
        withheld: Whether it was not attempted, because no host has a share of a
            brittle or limited upstream left.
        retry_after: Seconds until one of the hosts that were asked has a share;
            0 if that is not known.
    """

    def __init__(
        self,
        reason: str,
        *,
        sent: bool,
        timed_out: bool = False,
        refused: bool = False,
        withheld: bool = False,
        retry_after: float = 0,
    ) -> None:
        super().__init__(reason)
        self.sent = sent
        self.timed_out = timed_out
        self.refused = refused
        self.withheld = withheld
        self.retry_after = retry_after


def prepare_socket(
    sock: socket.socket, user_timeout_ms: int = USER_TIMEOUT_MS
) -> None:
    """Set socket options by which the kernel detects a lost peer.

    Args:
        sock: The socket.
        user_timeout_ms: Milliseconds for which the peer may be silent.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    options = (
        (socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, user_timeout_ms),
    )
    for option, number in options:
        sock.setsockopt(socket.IPPROTO_TCP, option, number)


async def connect_protocol(
    address: Address,
    protocol: Callable[[], asyncio.BaseProtocol],
    timeout: float,
    source_ip: str,
) -> asyncio.Transport:
    """Connect a protocol to an address.

    Args:
        address: The address.
        protocol: Returns the protocol.
        timeout: Maximum seconds to wait.
        source_ip: IP address to connect from; empty to let the kernel choose.

    Raises:
        ConnectionFailedError: If it can't be connected in time.
    """
    loop = asyncio.get_running_loop()
    sock = _new_socket()
    prepare_socket(sock, EXCHANGE_USER_TIMEOUT_MS)
    limit_buffers(sock)
    try:
        sock.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
        sock.bind((source_ip, 0))
        async with ReadTimeout(timeout):
            await _connect(sock, address, loop)
            transport, _ = await loop.create_connection(protocol, sock=sock)
    except TimeoutError as expired:
        sock.close()
        reason = f'no connection within {timeout:.2f} s'
        raise ConnectionFailedError(
            reason, sent=False, timed_out=True
        ) from expired
    except (OSError, ValueError, OverflowError) as problem:
        # The last two are raised for an address that no machine can have.
        sock.close()
        raise ConnectionFailedError(
            str(problem),
            sent=False,
            refused=isinstance(problem, ConnectionRefusedError),
        ) from problem
    except asyncio.CancelledError:
        sock.close()
        raise
    return transport


def _new_socket() -> socket.socket:
    """Return a socket that does not block.

    Raises:
        ConnectionFailedError: If the process has no descriptor left.
    """
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as problem:
        raise ConnectionFailedError(str(problem), sent=False) from problem
    sock.setblocking(False)
    return sock


async def _connect(
    sock: socket.socket, address: Address, loop: asyncio.AbstractEventLoop
) -> None:
    """Connect a socket; the loop's own method takes half as long again.

    Raises:
        OSError: If the connection fails.
    """
    try:
        sock.connect((address.ip, address.port))
    except BlockingIOError:
        await _wait_writable(sock, loop)
    code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, os.strerror(code))


async def _wait_writable(
    sock: socket.socket, loop: asyncio.AbstractEventLoop
) -> None:
    """Wait until a socket can be written to, or has failed."""
    writable = asyncio.Event()
    loop.add_writer(sock.fileno(), writable.set)
    try:
        await writable.wait()
    finally:
        loop.remove_writer(sock.fileno())
