"""Whether an upstream's process has ended, when exchanges with it break.

A connection that breaks may have broken on its way. A process that is gone
refuses new connections at once, so a try tells which it was. A proxy before it
may accept them all the same; then it has nobody to pass them on to, and closes.
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

#: Tries until one is answered: the packets of one may be lost.
TRIES: Final = 2

#: Seconds in which a proxy closes a connection that it can't pass on: it is
#: refused by return; the rest is for a busy machine. Servers that live keep a
#: connection on which nothing was asked yet for seconds.
CLOSED_AT_ONCE: Final = 0.2


@unique
class Life(Enum):
    """What a try to connect says of an upstream's process."""

    ENDED = 'ended'
    ALIVE = 'alive'
    #: Somebody answered for it, and had nobody to pass the connection on to.
    PASSED_ON_IN_VAIN = 'passed on in vain'
    #: Nothing came back: a cut, or a machine without power.
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class Found:
    """What a try to connect has shown.

    Attributes:
        life: What it says of the upstream's process.
        holding: Tells whether its connection was closed at once; None if none
            could be had.
    """

    life: Life
    holding: asyncio.Task[bool] | None = None

    async def passed_on_in_vain(self) -> bool:
        """Tell whether whoever took the connection closed it at once."""
        if self.holding is None:
            return False
        return await asyncio.shield(self.holding)


class EndWatch:
    """Finds out whether upstreams have ended.

    Args:
        pool: Connections to upstreams; it gets those that could be had.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._tries: dict[UpstreamIncarnation, asyncio.Task[Found]] = {}
        # Keeps them from being collected.
        self._holdings: set[asyncio.Task[bool]] = set()

    async def look(self, entry: UpstreamEntry) -> Found:
        """Return what became of an upstream whose exchange has broken.

        All exchanges that break together share the tries.
        """
        name = entry.incarnation
        running = self._tries.get(name)
        if running is None:
            running = asyncio.create_task(self._find_out(entry))
            self._tries[name] = running
            running.add_done_callback(lambda _: self._tries.pop(name, None))
        return await asyncio.shield(running)

    async def _find_out(self, entry: UpstreamEntry) -> Found:
        """Try until one try is answered."""
        for _ in range(TRIES):
            found = await self._try(entry)
            if found.life is not Life.UNKNOWN:
                return found
        return Found(Life.UNKNOWN)

    async def _try(self, entry: UpstreamEntry) -> Found:
        """Try to connect, once."""
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
        """Watch a new connection; keep it unless it is closed at once."""
        try:
            return await connection.closes_within(CLOSED_AT_ONCE)
        finally:
            # Closes it if it can't be used any more.
            self._pool.give_back(upstream, connection)
