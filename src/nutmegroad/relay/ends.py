"""Whether an upstream's process has ended, when exchanges with it break.

A connection that breaks may have broken on its way. A process that is gone
refuses new connections at once, so a try tells which it was.
"""

import asyncio
from enum import Enum, unique
from typing import Final

from nutmegroad.foundations.types import UpstreamIncarnation
from nutmegroad.relay.connections import ConnectionFailedError
from nutmegroad.relay.pools import ConnectionPool
from nutmegroad.upstreams.directory import UpstreamEntry

#: Seconds for a try: as for any new connection.
TRY_TIMEOUT: Final = 0.3

#: Tries until one is answered: the packets of one may be lost.
TRIES: Final = 2


@unique
class Life(Enum):
    """What a try to connect says of an upstream's process."""

    ENDED = 'ended'
    ALIVE = 'alive'
    #: Nothing came back: a cut, or a machine without power.
    UNKNOWN = 'unknown'


class EndWatch:
    """Finds out whether upstreams have ended.

    Args:
        pool: Connections to upstreams; it gets those that could be had.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._tries: dict[UpstreamIncarnation, asyncio.Task[Life]] = {}

    async def look(self, entry: UpstreamEntry) -> Life:
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

    async def _find_out(self, entry: UpstreamEntry) -> Life:
        """Try until one try is answered."""
        for _ in range(TRIES):
            life = await self._try(entry)
            if life is not Life.UNKNOWN:
                return life
        return Life.UNKNOWN

    async def _try(self, entry: UpstreamEntry) -> Life:
        """Try to connect, once."""
        try:
            connection = await self._pool.open(entry.address, TRY_TIMEOUT)
        except ConnectionFailedError as problem:
            return Life.ENDED if problem.refused else Life.UNKNOWN
        self._pool.give_back(entry.incarnation, connection)
        return Life.ALIVE
