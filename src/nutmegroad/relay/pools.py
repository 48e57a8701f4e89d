"""Connections to upstreams that are kept open between requests."""

from collections import defaultdict
from typing import Final

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import Address, UpstreamIncarnation
from nutmegroad.relay.connections import UpstreamConnection, connect

#: Seconds that an upstream is taken to keep an idle connection if it does
#: not say: the shortest that servers are commonly set to is five, less one
#: for the way.
UNSAID_IDLE: Final = 4.0

#: Part of an upstream's idle time within which a connection is used again;
#: the rest is for timers that fire late, on either side.
USED_PART: Final = 0.6

#: The same for requests that may run only once: a connection that closes as
#: they are sent leaves their outcome unknown.
CAREFUL_PART: Final = 0.3


class ConnectionPool:
    """Keeps connections by upstream; the last used is taken first.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[UpstreamIncarnation, list[UpstreamConnection]] = (
            defaultdict(
                list,
            )
        )
        self._broken_off_at_restart: dict[
            UpstreamIncarnation,
            set[UpstreamConnection],
        ] = defaultdict(set)

    def take(
        self,
        upstream: UpstreamIncarnation,
        *,
        careful: bool,
    ) -> UpstreamConnection | None:
        """Return a kept connection that is likely still open, or None."""
        kept = self._idle.get(upstream, [])
        part = CAREFUL_PART if careful else USED_PART
        while kept:
            connection = kept[-1]
            if not connection.reusable:
                kept.pop()
                connection.abort()
                continue
            limit = (connection.keeps_idle or UNSAID_IDLE) * part
            if self._clock.now() - connection.idle_since > limit:
                return None
            return kept.pop()
        return None

    async def open(
        self,
        address: Address,
        timeout: float,
    ) -> UpstreamConnection:
        """Open a new connection.

        Raises:
            ConnectionFailedError: If it can't be had in time.
        """
        return await connect(address, timeout)

    def lend(
        self,
        upstream: UpstreamIncarnation,
        connection: UpstreamConnection,
    ) -> None:
        """Note an exchange that may be made again elsewhere.

        It is broken off if its upstream starts again; one that may run only
        once is left to its connection, which closes with its process.
        """
        self._broken_off_at_restart[upstream].add(connection)

    def restarted(self, upstream: UpstreamIncarnation) -> int:
        """Break off what an incarnation that is no more has under way.

        Returns:
            How many exchanges were broken off.
        """
        lent = self._broken_off_at_restart.pop(upstream, set())
        for connection in lent:
            connection.fail('the upstream has started again')
        return len(lent)

    def give_back(
        self,
        upstream: UpstreamIncarnation,
        connection: UpstreamConnection,
    ) -> None:
        """Keep a connection, or close it if it can't be used again."""
        lent = self._broken_off_at_restart.get(upstream)
        if lent is not None:
            lent.discard(connection)
        if connection.reusable:
            connection.idle_since = self._clock.now()
            self._idle[upstream].append(connection)
        else:
            connection.abort()

    def forget(self, upstream: UpstreamIncarnation) -> None:
        """Close the idle connections to an upstream that is gone."""
        for connection in self._idle.pop(upstream, ()):
            connection.abort()
        if not self._broken_off_at_restart.get(upstream):
            self._broken_off_at_restart.pop(upstream, None)

    def sweep(self) -> None:
        """Close what has been idle for too long to be used again."""
        now = self._clock.now()
        for upstream, kept in self._idle.items():
            fresh = []
            for connection in kept:
                limit = connection.keeps_idle or UNSAID_IDLE
                if connection.reusable and now - connection.idle_since < limit:
                    fresh.append(connection)
                else:
                    connection.abort()
            self._idle[upstream] = fresh

    def close(self) -> None:
        """Close all idle connections."""
        for upstream in tuple(self._idle):
            self.forget(upstream)
