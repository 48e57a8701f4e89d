"""Checks whether an upstream's process has terminated.

A connection may break because of the network, too. If the process has
terminated, its machine refuses new connections at once, so a connection attempt
distinguishes the two cases. A proxy in front of the process may accept the
connection all the same; since it has no process to forward to, it closes the
connection soon.
"""

import asyncio
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from nutmegroad.foundations.types import UpstreamIncarnation
from nutmegroad.relay.attempts import CONNECT_TIMEOUT
from nutmegroad.relay.connections import (
    ConnectionFailedError,
    UpstreamConnection,
)
from nutmegroad.relay.pools import ConnectionPool
from nutmegroad.upstreams.directory import UpstreamEntry

#: Connection attempts until one is answered: packets of one may be lost.
TRIES: Final = 2

#: Seconds within which a proxy closes a connection that it can't forward. Its
#: own connection is refused within a round trip; the rest is for a loaded
#: machine. Live servers keep a connection without a request open for seconds.
CLOSED_AT_ONCE: Final = 0.2


@unique
class Life(Enum):
    """State of an upstream's process, as shown by a connection attempt."""

    ENDED = 'ended'
    ALIVE = 'alive'
    #: A proxy accepted the connection, then closed it: no process behind it.
    PASSED_ON_IN_VAIN = 'passed on in vain'
    #: No response: a network partition, or a machine without power.
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class Found:
    """Result of a connection attempt.

    Attributes:
        life: State of the upstream's process.
        holding: Returns whether the connection was closed at once; None if no
            connection was accepted.
    """

    life: Life
    holding: asyncio.Task[bool] | None = None

    async def passed_on_in_vain(self) -> bool:
        """Return whether the accepted connection was closed at once."""
        if self.holding is None:
            return False
        return await asyncio.shield(self.holding)


class EndWatch:
    """Checks upstreams by connection attempts.

    Args:
        pool: Connections to upstreams; receives the connections that were
            accepted.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._tries: dict[UpstreamIncarnation, asyncio.Task[Found]] = {}
        # References that keep the tasks from being garbage-collected.
        self._holdings: set[asyncio.Task[bool]] = set()

    async def look(self, entry: UpstreamEntry) -> Found:
        """Return the state of an upstream after a broken exchange.

        Exchanges that break at the same time share the connection attempts.
        """
        name = entry.incarnation
        running = self._tries.get(name)
        if running is None:
            running = asyncio.create_task(self._find_out(entry))
            self._tries[name] = running
            running.add_done_callback(lambda _: self._tries.pop(name, None))
        return await asyncio.shield(running)

    async def _find_out(self, entry: UpstreamEntry) -> Found:
        """Attempt to connect until an attempt is answered."""
        for _ in range(TRIES):
            found = await self._try(entry)
            if found.life is not Life.UNKNOWN:
                return found
        return Found(Life.UNKNOWN)

    async def _try(self, entry: UpstreamEntry) -> Found:
        """Make one connection attempt."""
        try:
            connection = await self._pool.open(entry.address, CONNECT_TIMEOUT)
        except ConnectionFailedError as problem:
            return Found(Life.ENDED if problem.refused else Life.UNKNOWN)
        holding = asyncio.create_task(
            self._hold(entry.incarnation, connection),
        )
        self._holdings.add(holding)
        holding.add_done_callback(self._holdings.discard)
        return Found(Life.ALIVE, holding)

    async def _hold(
        self,
        upstream: UpstreamIncarnation,
        connection: UpstreamConnection,
    ) -> bool:
        """Observe a new connection; pool it unless it is closed at once."""
        try:
            return await connection.closes_within(CLOSED_AT_ONCE)
        finally:
            # Closes the connection if it can't be reused.
            self._pool.give_back(upstream, connection)
