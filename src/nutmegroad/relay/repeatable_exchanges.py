"""Pending exchanges that are aborted if their upstream restarts."""

from collections import defaultdict
from collections.abc import Callable
from functools import partial

from nutmegroad.foundations.types import UpstreamIncarnation
from nutmegroad.relay.connections import UpstreamConnection


class RepeatableExchanges:
    """Connections with a request that may be repeated, by upstream.

    The exchange of a request that may be executed only once is left to its
    connection, which closes with the process.
    """

    def __init__(self) -> None:
        self._connections: dict[
            UpstreamIncarnation, set[UpstreamConnection]
        ] = defaultdict(set)

    def register(
        self, upstream: UpstreamIncarnation, connection: UpstreamConnection
    ) -> Callable[[], None]:
        """Register an exchange.

        Returns:
            A function to call at its end.
        """
        self._connections[upstream].add(connection)
        return partial(self._end, upstream, connection)

    def abort(self, upstream: UpstreamIncarnation) -> int:
        """Abort the exchanges with a terminated incarnation.

        Returns:
            The number of aborted exchanges.
        """
        aborted = self._connections.pop(upstream, set())
        for connection in aborted:
            connection.fail('upstream restarted')
        return len(aborted)

    def _end(
        self, upstream: UpstreamIncarnation, connection: UpstreamConnection
    ) -> None:
        """Remove an exchange that has ended."""
        connections = self._connections.get(upstream)
        if connections is None:
            return
        connections.discard(connection)
        if not connections:
            self._connections.pop(upstream)
