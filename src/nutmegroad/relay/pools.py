"""A pool of idle connections to upstreams."""

from collections import defaultdict
from collections.abc import Container
from typing import Final

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import Address, UpstreamIncarnation
from nutmegroad.relay.connections import UpstreamConnection, connect

#: Assumed idle timeout in seconds of an upstream that does not announce one:
#: servers commonly use five or more, less one for the network.
DEFAULT_IDLE_TIMEOUT: Final = 4.0

#: Fraction of an upstream's idle timeout within which a connection is reused;
#: the rest is for timers that fire late on either side.
REUSE_FRACTION: Final = 0.6

#: Fraction for requests that can't be sent again: if the connection closes
#: while they are sent, they are lost.
LAST_ATTEMPT_FRACTION: Final = 0.3


class ConnectionPool:
    """Idle connections by upstream; the last used is taken first.

    Args:
        clock: The host's clock.
        source_ip: IP address to connect from, by which upstreams and their
            networks can tell hosts apart; empty to let the kernel choose.
    """

    def __init__(self, clock: Clock, source_ip: str = '') -> None:
        self._clock = clock
        self._source_ip = source_ip
        self._idle: dict[UpstreamIncarnation, list[UpstreamConnection]] = (
            defaultdict(
                list,
            )
        )
        self._repeatable: dict[
            UpstreamIncarnation,
            set[UpstreamConnection],
        ] = defaultdict(set)

    def acquire(
        self,
        upstream: UpstreamIncarnation,
        *,
        is_last: bool,
        excluded: Container[UpstreamConnection] = (),
    ) -> UpstreamConnection | None:
        """Return an idle connection that is likely still open, or None.

        Args:
            upstream: The upstream.
            is_last: Whether no other attempt of the request may follow if this
                one is executed.
            excluded: Connections that are left in the pool.
        """
        idle = self._idle.get(upstream, [])
        fraction = LAST_ATTEMPT_FRACTION if is_last else REUSE_FRACTION
        for connection in reversed(tuple(idle)):
            if not connection.reusable:
                idle.remove(connection)
                connection.abort()
                continue
            if connection in excluded:
                continue
            limit = (connection.idle_timeout or DEFAULT_IDLE_TIMEOUT) * fraction
            if self._clock.now() - connection.idle_since > limit:
                return None
            idle.remove(connection)
            return connection
        return None

    async def open(
        self,
        address: Address,
        timeout: float,
    ) -> UpstreamConnection:
        """Open a new connection.

        Args:
            address: Address of the upstream.
            timeout: Maximum seconds to wait.

        Raises:
            ConnectionFailedError: If it can't be opened in time.
        """
        return await connect(address, timeout, self._source_ip)

    def register_repeatable(
        self,
        upstream: UpstreamIncarnation,
        connection: UpstreamConnection,
    ) -> None:
        """Register an exchange of a request that may be repeated.

        It is aborted if its upstream restarts. The exchange of a request that
        may be executed only once is left to its connection, which closes with
        the process.
        """
        self._repeatable[upstream].add(connection)

    def abort_repeatable(self, upstream: UpstreamIncarnation) -> int:
        """Abort the registered exchanges of a terminated incarnation.

        Returns:
            The number of aborted exchanges.
        """
        exchanges = self._repeatable.pop(upstream, set())
        for connection in exchanges:
            connection.fail('upstream restarted')
        return len(exchanges)

    def release(
        self,
        upstream: UpstreamIncarnation,
        connection: UpstreamConnection,
    ) -> None:
        """Keep a connection, or close it if it can't be reused."""
        exchanges = self._repeatable.get(upstream)
        if exchanges is not None:
            exchanges.discard(connection)
        if connection.reusable:
            connection.idle_since = self._clock.now()
            connection.is_new = False
            self._idle[upstream].append(connection)
        else:
            connection.abort()

    def forget(self, upstream: UpstreamIncarnation) -> None:
        """Close the idle connections to an upstream that has terminated."""
        for connection in self._idle.pop(upstream, ()):
            connection.abort()
        if not self._repeatable.get(upstream):
            self._repeatable.pop(upstream, None)

    def sweep(self) -> None:
        """Close connections that have been idle for too long to be reused."""
        now = self._clock.now()
        for upstream, idle in self._idle.items():
            retained = []
            for connection in idle:
                limit = connection.idle_timeout or DEFAULT_IDLE_TIMEOUT
                if connection.reusable and now - connection.idle_since < limit:
                    retained.append(connection)
                else:
                    connection.abort()
            self._idle[upstream] = retained

    def close(self) -> None:
        """Close all idle connections."""
        for upstream in tuple(self._idle):
            self.forget(upstream)
