"""Requests that end the upstreams that run them, kept from doing it again."""

import asyncio
from collections import deque
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass
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
from nutmegroad.foundations.types import UpstreamIncarnation
from nutmegroad.relay.counters import RelayCounters
from nutmegroad.relay.ends import EndWatch, Life
from nutmegroad.relay.pools import ConnectionPool
from nutmegroad.routes.requests import CallerRequest
from nutmegroad.upstreams.directory import End, Upstream, UpstreamEntry

_LOG: Final = part_logger('crashes')

#: Seconds for which a request waits until it is known whether its upstream has
#: ended: some round trips. A machine without power does not say so; then the
#: request goes on, and the end counts when it is known.
LOOK_WAIT: Final = 0.05

#: Seconds within which the list of upstreams shows that one had started again
#: as its exchanges broke: its supervisor's pause, and a sign of life.
RESTART_SPAN: Final = 10.0

#: Breaks that are remembered for one upstream at most until then.
MOST_UNPROVED: Final = 200


@dataclass(frozen=True, slots=True)
class _Break:
    """An exchange that broke, of which it is not known yet why.

    Attributes:
        request: What was under way.
        entry: The upstream.
        under: Its end, if it was one.
    """

    request: CallerRequest
    entry: UpstreamEntry
    under: EndUnder


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
        self._unproved: dict[UpstreamIncarnation, deque[_Break]] = {}

    def guard(self, request: CallerRequest) -> 'CrashGuard':
        """Return what keeps one request from upstreams that it may end."""
        return CrashGuard(self, request)

    def harmful(self, request: CallerRequest) -> Harmful | None:
        """Return why a request is kept from upstreams, or None."""
        return self._book.harmful(request.content)

    async def claim(self, request: CallerRequest, harmful: Harmful) -> bool:
        """Tell whether this host may try a request that is kept out.

        Before it is kept out for long, one host tries it, alone of all that
        are suspected: it may only have run beside another one each time.
        """
        if harmful.pause or not await self._rows.claim(request.content):
            return False
        _LOG.decision(
            'tried once more',
            request=request.request,
            content=spell_mark(request.content),
            ends=harmful.ends,
        )
        return True

    async def broke(
        self,
        request: CallerRequest,
        upstream: Upstream,
        began: float,
    ) -> None:
        """Look into an exchange that has broken.

        Args:
            request: What was under way.
            upstream: Where it was.
            began: Clock seconds at which it was sent there.
        """
        mark = mark_upstream(upstream.entry.incarnation)
        under = EndUnder(mark, began, self._clock.now())
        broken = _Break(request, upstream.entry, under)
        looked = asyncio.Event()
        task = asyncio.create_task(self._look(upstream, broken, looked))
        self._looks.add(task)
        task.add_done_callback(self._looks.discard)
        with suppress(TimeoutError):
            async with asyncio.timeout(LOOK_WAIT):
                await looked.wait()

    def upstream_ended(self, upstream: UpstreamIncarnation, end: End) -> None:
        """Take in that an upstream has another start.

        A supervisor may be quicker than the try to connect, and a machine
        without power refuses nothing.
        """
        if end is not End.RESTARTED:
            return
        oldest = self._clock.now() - RESTART_SPAN
        for broken in self._unproved.pop(upstream, ()):
            if broken.under.ended >= oldest:
                self._take(broken)

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
        upstream: Upstream,
        broken: _Break,
        looked: asyncio.Event,
    ) -> None:
        """Find out whether the upstream has ended, and take that in.

        Args:
            upstream: The upstream.
            broken: The exchange that broke.
            looked: Set once the request need not wait any longer.
        """
        found = await self._ends.look(upstream.entry)
        life = found.life
        if upstream.restarted:
            # Whoever has answered the try is another start of it.
            life = Life.ENDED
        self._counters.broke(life.value)
        if life is Life.ENDED:
            await self._prove(broken)
            looked.set()
            return
        self._remember(broken)
        looked.set()
        if await found.passed_on_in_vain():
            self._counters.broke(Life.PASSED_ON_IN_VAIN.value)
            known = self._unproved.get(upstream.entry.incarnation)
            if known and broken in known:
                # Not explained by another start meanwhile.
                known.remove(broken)
                await self._prove(broken)

    async def _prove(self, broken: _Break) -> None:
        """Take in an end, and make it known if the request is harmful."""
        self._take(broken)
        if self._book.harmful(broken.request.content) is not None:
            await self._rows.write()

    def _take(self, broken: _Break) -> None:
        """Take in that an upstream has ended under a request."""
        request = broken.request
        self._book.ended(request.content, broken.under)
        harmful = self._book.harmful(request.content)
        _LOG.decision(
            'upstream ended under it',
            request=request.request,
            content=spell_mark(request.content),
            upstream=broken.entry.upstream,
            version=broken.entry.version,
            ran=round(broken.under.ended - broken.under.began, 3),
            ends=0 if harmful is None else harmful.ends,
        )

    def _remember(self, broken: _Break) -> None:
        """Remember a break that another start may yet explain."""
        oldest = self._clock.now() - RESTART_SPAN
        for other, breaks in tuple(self._unproved.items()):
            if not breaks or breaks[-1].under.ended < oldest:
                self._unproved.pop(other)
        name = broken.entry.incarnation
        known = self._unproved.setdefault(name, deque(maxlen=MOST_UNPROVED))
        known.append(broken)


class CrashGuard:
    """Keeps one request from the upstreams that it may end.

    Args:
        watch: Notes which requests upstreams have ended under.
        request: The request.
    """

    @property
    def on_trial(self) -> bool:
        """Tell whether the request is being tried, and at no upstream yet."""
        return self._on_trial

    def __init__(self, watch: CrashWatch, request: CallerRequest) -> None:
        self._watch = watch
        self._request = request
        self._on_trial = False

    async def keeps_out(self) -> Harmful | None:
        """Return why the request may not go to an upstream now, or None.

        A trial lasts until it has reached an upstream: attempts that nobody
        takes show nothing of the request.
        """
        if self._on_trial:
            return None
        harmful = self._watch.harmful(self._request)
        if harmful is None:
            return None
        self._on_trial = await self._watch.claim(self._request, harmful)
        return None if self._on_trial else harmful

    def reached(self) -> None:
        """Take in that an upstream may run the request: a trial has one."""
        self._on_trial = False

    async def broke(self, upstream: Upstream, began: float) -> None:
        """Take in that an exchange broke while the request may have run.

        Args:
            upstream: Where it was.
            began: Clock seconds at which it was sent there.
        """
        await self._watch.broke(self._request, upstream, began)

    def answered(self) -> None:
        """Take in that an upstream has answered whole, if with a failure."""
        self._watch.answered(self._request)
