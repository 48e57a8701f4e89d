"""Requests that end the upstreams that run them, kept from doing it again."""

import asyncio
from contextlib import AsyncExitStack
from typing import Final

from nutmegroad.fleet.content_marks import spell_mark
from nutmegroad.fleet.crash_book import (
    CrashBook,
    EndUnder,
    Harmful,
    mark_upstream,
)
from nutmegroad.fleet.crash_rows import CrashRows
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.relay.counters import RelayCounters
from nutmegroad.relay.ends import EndWatch, Life
from nutmegroad.relay.pools import ConnectionPool
from nutmegroad.routes.requests import CallerRequest
from nutmegroad.upstreams.directory import UpstreamEntry

_LOG: Final = part_logger('crashes')

#: Seconds for which a request waits until it is known whether its upstream has
#: ended: some round trips. A machine without power does not say so; then the
#: request goes on, and the end counts when it is known.
LOOK_WAIT: Final = 0.05


class CrashWatch:
    """Notes which requests were under way as upstreams ended.

    Args:
        pool: Connections to upstreams.
        book: What hosts know of such requests.
        rows: Says which host may try one.
        clock: The host's clock.
        counters: What is counted.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        book: CrashBook,
        rows: CrashRows,
        clock: Clock,
        counters: RelayCounters,
    ) -> None:
        self._ends = EndWatch(pool)
        self._book = book
        self._rows = rows
        self._clock = clock
        self._counters = counters
        self._looks: set[asyncio.Task[None]] = set()

    async def keeps_out(self, request: CallerRequest) -> Harmful | None:
        """Return why a request may not go to an upstream now, or None.

        Before it is kept out for long, one host tries it, alone of all that
        are suspected: it may only have run beside another one each time.
        """
        harmful = self._book.harmful(request.content)
        if harmful is None:
            return None
        if not harmful.pause and await self._rows.claim(request.content):
            _LOG.decision(
                'tried once more',
                request=request.request,
                content=spell_mark(request.content),
                ends=harmful.ends,
            )
            return None
        return harmful

    async def broke(
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
        self._looks.add(task)
        task.add_done_callback(self._looks.discard)
        await asyncio.wait((task,), timeout=LOOK_WAIT)

    def answered(self, request: CallerRequest) -> None:
        """Take in that an upstream has answered a request whole."""
        if request.content not in self._book:
            return
        if self._book.answered(request.content, self._clock.now()):
            _LOG.decision(
                'cleared by an answer',
                request=request.request,
                content=spell_mark(request.content),
            )

    def close_with(self, stack: AsyncExitStack) -> None:
        """End what is being looked into when a stack closes."""
        stack.callback(self._cancel)

    def _cancel(self) -> None:
        """End what is being looked into."""
        for task in self._looks:
            task.cancel()

    async def _look(
        self,
        request: CallerRequest,
        entry: UpstreamEntry,
        began: float,
        broke: float,
    ) -> None:
        """Find out whether the upstream has ended, and take that in."""
        life = await self._ends.look(entry)
        self._counters.broke(life.value)
        if life is Life.ALIVE:
            return
        if life is Life.ENDED:
            upstream = mark_upstream(entry.incarnation)
            end = EndUnder(upstream, began, broke)
            self._book.ended(request.content, end)
        harmful = self._book.harmful(request.content)
        _LOG.decision(
            'upstream ended under it',
            request=request.request,
            content=spell_mark(request.content),
            upstream=entry.upstream,
            version=entry.version,
            ran=round(broke - began, 3),
            life=life.value,
            ends=0 if harmful is None else harmful.ends,
        )
        if harmful is not None and life is Life.ENDED:
            await self._rows.write()
