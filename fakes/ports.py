"""Ports that nothing else takes before a test listens at them."""

import fcntl
import itertools
import os
import socket
import tempfile
from functools import cache
from pathlib import Path
from typing import Final

#: Lowest port that is handed out; well-known services are below.
_LOWEST: Final = 10_240

#: First and last of the ports that the kernel gives to sockets without one,
#: among them those of all outgoing connections.
_EPHEMERAL_RANGE: Final = Path('/proc/sys/net/ipv4/ip_local_port_range')

#: Ports between the first candidates of processes with consecutive ids.
_STRIDE: Final = 64

_LOOPBACK: Final = '127.0.0.1'

#: Ports that this process has reserved.
_reserved: set[int] = set()


def reserve_port() -> int:
    """Return a port for TCP and UDP that belongs to this process.

    A port that is only found to be free may be taken by another process, or by
    a connection, before it is listened at.
    """
    for port in _candidates():
        if port not in _reserved and _lock(port) and _is_free(port):
            _reserved.add(port)
            return port
    raise OSError(f'no port from {_LOWEST} on is free')


def _candidates() -> itertools.chain[int]:
    """Return all ports, from one that depends on the process."""
    end = int(_EPHEMERAL_RANGE.read_text().split()[0])
    first = _LOWEST + os.getpid() * _STRIDE % (end - _LOWEST)
    return itertools.chain(range(first, end), range(_LOWEST, first))


def _lock(port: int) -> bool:
    """Lock the byte of a port until the process ends, and return success."""
    try:
        fcntl.lockf(_lock_file(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        # Another process has it.
        return False
    return True


@cache
def _lock_file() -> int:
    """Return the descriptor of the file that processes lock bytes of."""
    name = f'nutmegroad-ports-{os.getuid()}'
    path = Path(tempfile.gettempdir(), name)
    return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)


def _is_free(port: int) -> bool:
    """Return whether no socket has a port."""
    with (
        socket.socket() as stream,
        socket.socket(type=socket.SOCK_DGRAM) as datagrams,
    ):
        try:
            stream.bind((_LOOPBACK, port))
            datagrams.bind((_LOOPBACK, port))
        except OSError:
            return False
    return True
