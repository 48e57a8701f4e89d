"""Closes connections whose callers take too long, or send too much."""

import sys
from collections import Counter
from collections.abc import Iterable
from enum import Enum, unique
from typing import Final, Protocol

from aiohttp import web

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.ingress.connections import (
    CallerConnection,
    CallerServer,
    ConnectionState,
)
from nutmegroad.overload.quick_refusals import NO_ROOM, RefusalFormat

_LOG: Final = part_logger('ingress')

#: Seconds between two checks of all connections; a connection may outlast its
#: time by as much.
CHECK_INTERVAL: Final = 0.5


class ConnectionCounters(Protocol):
    """Counts callers' connections that a host closes."""

    def connection_closed(self, state: str, reason: str) -> None:
        """Count a connection that was closed in a state for a reason."""

    def refused(self, code: ResultCode) -> None:
        """Count a refusal by its result code."""


@unique
class CloseReason(Enum):
    """Why a host closes a caller's connection."""

    TIMEOUT = 'timeout'
    #: Its descriptor is needed for another one.
    ROOM = 'room'
    #: Its caller sends more than a limit allows.
    EXCESS = 'excess'


class ConnectionTimeouts:
    """Applies the operator's limits to open connections.

    Each check asks for the limits anew, so that a change of the configuration
    holds for open connections, too.

    Args:
        refusals: Writes the refusals.
        counters: The host's metrics.
        clock: The host's clock.
    """

    @property
    def total(self) -> int:
        """Number of open connections."""
        return sum(len(server.connections) for server in self._servers)

    def __init__(
        self,
        refusals: RefusalFormat,
        counters: ConnectionCounters,
        clock: Clock,
    ) -> None:
        self._refusals = refusals
        self._counters = counters
        self._clock = clock
        self._servers: list[web.Server] = []
        self._partial_heads: set[CallerConnection] = set()
        #: Maximum number of heads that have begun and are not complete.
        self.max_partial_heads = sys.maxsize

    def watch(self, server: web.Server) -> None:
        """Apply the limits to all connections of a server."""
        self._servers.append(server)
        if isinstance(server, CallerServer):
            server.guard = self

    def connections(self) -> Iterable[CallerConnection]:
        """Yield the open connections."""
        for server in self._servers:
            for connection in server.connections:
                if isinstance(connection, CallerConnection):
                    yield connection

    def count(self, state: ConnectionState) -> int:
        """Return the number of open connections in a state."""
        return sum(each.state is state for each in self.connections())

    async def run(self) -> None:
        """Check all connections periodically, until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL)
            self.check()

    def check(self) -> None:
        """Close the connections whose time has passed."""
        closed: Counter[ConnectionState] = Counter()
        for connection in self.connections():
            if self._is_due(connection) and not connection.has_unread:
                state = connection.state
                closed[state] += 1
                self.close(
                    connection, _slow_head(connection), CloseReason.TIMEOUT
                )
        if closed:
            _LOG.decision(
                'connections closed',
                silent=closed[ConnectionState.SILENT],
                head=closed[ConnectionState.HEAD],
                idle=closed[ConnectionState.IDLE],
            )

    def refuse_excess(
        self, connection: CallerConnection, refusal: Refusal
    ) -> None:
        """Refuse what a caller sends beyond a limit, and read no more of it.

        Args:
            connection: Its connection.
            refusal: The refusal. It is not sent while a request is answered,
                after which the connection is closed.
        """
        if connection.state is ConnectionState.REQUEST:
            self._counters.connection_closed(
                ConnectionState.REQUEST.value, CloseReason.EXCESS.value
            )
            connection.finish()
            return
        self.close(connection, refusal, CloseReason.EXCESS)

    def head_begun(self, connection: CallerConnection) -> None:
        """Count a connection with the beginning of a head, or refuse it."""
        self._partial_heads.add(connection)
        if len(self._partial_heads) > self.max_partial_heads:
            self.close(connection, NO_ROOM, CloseReason.ROOM)

    def head_ended(self, connection: CallerConnection) -> None:
        """No longer count a connection."""
        self._partial_heads.discard(connection)

    def _is_due(self, connection: CallerConnection) -> bool:
        """Return whether a caller has taken too long."""
        if connection.has_request:
            connection.waiting_since = None
            return False
        now = self._clock.now()
        limits = connection.limits()
        if connection.head_since is not None:
            return now - connection.head_since > limits.header_timeout
        if connection.waiting_since is None:
            connection.waiting_since = now
        return now - connection.waiting_since > limits.idle_timeout

    def close(
        self,
        connection: CallerConnection,
        refusal: Refusal,
        reason: CloseReason,
    ) -> None:
        """Close a connection, and refuse the request that has begun.

        Args:
            connection: A connection without a complete request.
            refusal: The refusal, which is sent if a request has begun.
            reason: Why it is closed.
        """
        state = connection.state
        self._counters.connection_closed(state.value, reason.value)
        if state is ConnectionState.BODY:
            # The handler of the request refuses it.
            connection.interrupt_body(refusal)
        elif state is ConnectionState.HEAD:
            self._counters.refused(refusal.code)
            request = self._refusals.request_id(b'')
            connection.end(self._refusals.encode(refusal, request))
        else:
            connection.end()


def _slow_head(connection: CallerConnection) -> Refusal:
    """Return the refusal of a head that was not complete in time."""
    return Refusal(
        ResultCode.HEADERS_TOO_SLOW,
        'The head of the request was not complete within '
        f'{connection.limits().header_timeout:g} s.',
    )
