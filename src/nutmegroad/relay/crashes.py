"""Upstreams that end while requests run there, and who ran there."""

import asyncio
from typing import Final

from nutmegroad.fleet.content_marks import spell_mark
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.relay.counters import RelayCounters
from nutmegroad.relay.ends import EndWatch, Life
from nutmegroad.relay.pools import ConnectionPool
from nutmegroad.routes.requests import CallerRequest
from nutmegroad.upstreams.directory import UpstreamEntry

_LOG: Final = part_logger('crashes')


class CrashWatch:
    """Notes which requests were under way as upstreams ended.

    Args:
        pool: Connections to upstreams.
        clock: The host's clock.
        counters: What is counted.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        clock: Clock,
        counters: RelayCounters,
    ) -> None:
        self._ends = EndWatch(pool)
        self._clock = clock
        self._counters = counters
        self._tasks: set[asyncio.Task[None]] = set()

    def broke(
        self,
        request: CallerRequest,
        entry: UpstreamEntry,
        began: float,
    ) -> None:
        """Look into an exchange that has broken.

        Args:
            request: What was under way.
            entry: The upstream.
            began: Clock seconds at which it was sent there.
        """
        look = self._look(request, entry, began, self._clock.now())
        task = asyncio.create_task(look)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _look(
        self,
        request: CallerRequest,
        entry: UpstreamEntry,
        began: float,
        broke: float,
    ) -> None:
        """Find out whether the upstream has ended, and write that down."""
        life = await self._ends.look(entry)
        self._counters.broke(life.value)
        if life is Life.ALIVE:
            return
        _LOG.decision(
            'upstream ended under it',
            request=request.request,
            content=spell_mark(request.content),
            upstream=entry.upstream,
            version=entry.version,
            ran=round(broke - began, 3),
            life=life.value,
        )
