"""Asks the kernel whether the peer of a connection has closed it.

An event loop reads a close only after the bytes before it, and a late one reads
both late. Until then the handler of a request does not know that its caller has
left; the kernel does.
"""

import asyncio
import select
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from contextvars import ContextVar
from typing import Final

from nutmegroad.foundations.results import Refusal, ResultCode

#: The peer has closed its side of the connection, or has reset it.
_CLOSED: Final = select.POLLRDHUP | select.POLLHUP | select.POLLERR

#: The connection of the caller that the current task serves, if any.
_CALLER: ContextVar[asyncio.BaseTransport | None] = ContextVar(
    'caller', default=None
)

#: Refusal of a request whose caller has left.
DEPARTED: Final = Refusal(ResultCode.CALLER_LEFT, 'The caller has left.')

#: A descriptor that is closed on this side.
_NO_SOCKET: Final = -1


def has_departed(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether the peer of a connection has closed it.

    Args:
        transport: The connection; None if it is closed on this side.
    """
    if transport is None or transport.is_closing():
        return True
    sock = transport.get_extra_info('socket')
    return sock is not None and is_closed_by_peer(sock.fileno())


def is_closed_by_peer(descriptor: int) -> bool:
    """Return whether the peer of a socket has closed it, without waiting.

    Args:
        descriptor: Descriptor of the socket.
    """
    if descriptor == _NO_SOCKET:
        return True
    return bool(_poll(descriptor, select.POLLRDHUP) & _CLOSED)


def has_unread(descriptor: int) -> bool:
    """Return whether bytes of a socket, or its end, wait to be read.

    Args:
        descriptor: Descriptor of the socket.
    """
    return descriptor != _NO_SOCKET and bool(_poll(descriptor, select.POLLIN))


def _poll(descriptor: int, events: int) -> int:
    """Return which events a descriptor has at present, without waiting."""
    poll = select.poll()
    poll.register(descriptor, events)
    with suppress(InterruptedError):
        return sum(event for _, event in poll.poll(0))
    return 0


@contextmanager
def caller_connection(
    transport: asyncio.BaseTransport | None,
) -> Iterator[None]:
    """Serve the caller of a connection in a block and in its tasks.

    Args:
        transport: The connection; None if the block goes on without a caller.
    """
    token = _CALLER.set(transport)
    try:
        yield
    finally:
        _CALLER.reset(token)


def departed_caller_refusal() -> Refusal | None:
    """Return the refusal of a request whose caller has left, or None."""
    transport = _CALLER.get()
    if transport is None or not has_departed(transport):
        return None
    return DEPARTED
