"""Divides the file descriptors of a host between callers and its own use.

Callers may hold connections without a request. When descriptors, or the memory
for connections, run short, connections leave first that cost their callers
nothing, or the least.
"""

import resource
import sys
from collections import Counter
from itertools import islice
from types import MappingProxyType
from typing import Final

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.ingress.connections import CallerConnection, ConnectionState
from nutmegroad.ingress.timeouts import CloseReason, ConnectionTimeouts
from nutmegroad.overload.quick_refusals import NO_ROOM

_LOG: Final = part_logger('ingress')

#: Descriptors that are kept free for files, and for this host's listeners and
#: its connections to the store, to other hosts and for checks; less of a small
#: number of descriptors.
RESERVED: Final = 300
RESERVED_FRACTION: Final = 0.25

#: Bytes that a connection may hold without a request, and those that it may
#: hold in addition for a head that is not complete: the head, and one read.
CONNECTION_BYTES: Final = 32_768
PARTIAL_HEAD_BYTES: Final = 65_536

#: Fraction of the memory for connections that is for such heads.
HEADS_FRACTION: Final = 0.5

#: Fraction of the callers' descriptors that is freed at once: finding those to
#: close looks at all connections.
FREED_FRACTION: Final = 0.05

#: Seconds for which a count of the requests is used.
COUNT_TTL: Final = 0.1

#: The order in which connections are closed, by what they wait for; those with
#: a request are not. A caller whose connection is idle opens another one; one
#: that has said nothing loses the time to connect, one with the beginning of a
#: head or of a body what it has sent.
_ORDER: Final = MappingProxyType(
    {
        ConnectionState.IDLE: 0,
        ConnectionState.SILENT: 1,
        ConnectionState.HEAD: 2,
        ConnectionState.BODY: 3,
    }
)


class DescriptorAccount:
    """Makes room for new connections of callers.

    Args:
        total: Number of file descriptors that the process may have.
        timeouts: Knows the open connections, and closes some.
        clock: The host's clock.
        memory: Bytes that connections may hold beside those of the requests
            that were admitted.
    """

    @property
    def limit(self) -> int:
        """Number of descriptors for callers and for the sending of requests."""
        reserved = min(RESERVED, int(self._total * RESERVED_FRACTION))
        return max(1, self._total - reserved)

    def __init__(
        self,
        total: int,
        timeouts: ConnectionTimeouts,
        clock: Clock,
        memory: int = sys.maxsize,
    ) -> None:
        self._total = total
        for_heads = int(memory * HEADS_FRACTION)
        #: Maximum number of connections for which there is memory.
        self.max_connections = (memory - for_heads) // CONNECTION_BYTES
        timeouts.max_partial_heads = for_heads // PARTIAL_HEAD_BYTES
        self._timeouts = timeouts
        self._clock = clock
        self._requests = 0
        self._counted_at = float('-inf')
        self._full_until = float('-inf')

    def has_room(self, queued: int) -> bool:
        """Return whether one more connection may be kept; close some if not.

        Args:
            queued: Number of connections that wait to be served.
        """
        used = self._timeouts.total + queued
        if used < self.max_connections and self._has_descriptors(used):
            return True
        if self._clock.now() < self._full_until:
            return False
        return self._free() > 0

    def _has_descriptors(self, used: int) -> bool:
        """Return whether one more descriptor is free beside those in use."""
        # Each request may need a connection to an upstream.
        if 2 * used < self.limit:
            return True
        return used + self._count_requests() < self.limit

    def _count_requests(self) -> int:
        """Return the number of requests that are read or answered."""
        now = self._clock.now()
        if now - self._counted_at >= COUNT_TTL:
            self._requests = self._timeouts.count(ConnectionState.REQUEST)
            self._counted_at = now
        return self._requests

    def _free(self) -> int:
        """Close connections, and return how many."""
        waiting = sorted(
            (each for each in self._timeouts.connections() if _may_close(each)),
            key=_closing_order,
        )
        # Asking the kernel costs more than the rest, so few are asked about.
        quiet = (each for each in waiting if not each.has_unread)
        chosen = islice(quiet, max(1, int(self.limit * FREED_FRACTION)))
        closed: Counter[ConnectionState] = Counter()
        for connection in chosen:
            closed[connection.state] += 1
            self._timeouts.close(connection, NO_ROOM, CloseReason.ROOM)
        if not closed:
            self._full_until = self._clock.now() + COUNT_TTL
        _LOG.decision(
            'connections short',
            limit=min(self.limit, self.max_connections),
            open=self._timeouts.total,
            idle=closed[ConnectionState.IDLE],
            silent=closed[ConnectionState.SILENT],
            head=closed[ConnectionState.HEAD],
            body=closed[ConnectionState.BODY],
        )
        return closed.total()


def _may_close(connection: CallerConnection) -> bool:
    """Return whether a connection has no complete request."""
    return connection.state in _ORDER


def _closing_order(connection: CallerConnection) -> tuple[int, float]:
    """Return the sort key of a connection; the lowest is closed first."""
    return _ORDER[connection.state], connection.since


def descriptor_limit(configured: int) -> int:
    """Return how many file descriptors the process may have.

    Args:
        configured: The number in the settings; 0 if they don't say.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return configured or sys.maxsize
    return min(soft, configured) if configured else soft
