"""Watches upstreams: the host list, and what each engine says itself.

Each engine is asked by a task of its own, so that one which is frozen holds
up nobody else. How many are asked at the same moment is bounded. Which ones
this host asks is said by a plan, since the hosts share that work.
"""

import asyncio
import random
from collections.abc import Coroutine
from types import TracebackType
from typing import Any, Final, Protocol, Self

from nutmegroad.contracts._watch_rows import WATCH_PART
from nutmegroad.contracts.platform import HostList
from nutmegroad.contracts.upstreams import (
    EngineClient,
    EngineReport,
    UpstreamState,
)
from nutmegroad.foundations.accounting import Account, Metered
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import UpstreamId, UpstreamInfo
from nutmegroad.routing.directory import Directory, is_engine

_LOG: Final = part_logger('watch')

#: PendingReplies are spread over this share of their period.
JITTER: Final = 0.2

#: Engines that are asked at the same moment, at most.
MOST_QUESTIONS: Final = 64


class WatchPlan(Protocol):
    """Says what this host asks itself, and hands on what it hears.

    Attributes:
        account: Where processor time is written, if anywhere.
    """

    account: Account | None

    @property
    def list_period(self) -> float:
        """Return the seconds until the list has to be read again."""

    def refresh(self) -> None:
        """Work out anew, once a period, whom to ask."""

    def wants(self, state: UpstreamState) -> bool:
        """Tell whether this host has to ask an engine itself."""

    def pause(self, state: UpstreamState) -> float:
        """Return the seconds until the next question to an engine."""

    def answered(
        self,
        state: UpstreamState,
        answer: EngineReport | Refusal,
    ) -> None:
        """Note what an engine has said."""

    def tell(self) -> None:
        """Tell others, once a period, what is news."""

    def merge_list(
        self,
        upstreams: tuple[UpstreamInfo, ...],
    ) -> tuple[UpstreamInfo, ...]:
        """Return the list as it holds."""

    def tell_listed(self, changed: tuple[UpstreamInfo, ...]) -> None:
        """Tell others which entries of the list are new."""


class AskAll:
    """The plan of a host that shares with nobody.

    Args:
        period: Seconds between two questions to the same engine.
    """

    def __init__(self, period: float) -> None:
        self.account: Account | None = None
        self._period = period

    @property
    def list_period(self) -> float:
        """Return the period."""
        return self._period

    def refresh(self) -> None:
        """Work out nothing."""

    def wants(self, state: UpstreamState) -> bool:
        """Want every engine."""
        return True

    def pause(self, state: UpstreamState) -> float:
        """Return the period."""
        return self._period

    def answered(
        self,
        state: UpstreamState,
        answer: EngineReport | Refusal,
    ) -> None:
        """Note nothing."""

    def tell(self) -> None:
        """Tell nobody."""

    def merge_list(
        self,
        upstreams: tuple[UpstreamInfo, ...],
    ) -> tuple[UpstreamInfo, ...]:
        """Return the list as it was read."""
        return upstreams

    def tell_listed(self, changed: tuple[UpstreamInfo, ...]) -> None:
        """Tell nobody."""


class UpstreamWatcher:
    """Keeps the directory in step while it is open.

    Args:
        host_list: The platform's list.
        engines: How engines are asked.
        directory: What this host knows of upstreams.
        clock: The host's clock.
        randomness: Spreads the questions.
        period: Seconds between two looks at the plan.
        plan: Whom this host asks; None for every engine each period.
    """

    def __init__(
        self,
        host_list: HostList,
        engines: EngineClient,
        directory: Directory,
        clock: Clock,
        randomness: random.Random,
        period: float,
        plan: WatchPlan | None = None,
    ) -> None:
        self._host_list = host_list
        self._engines = engines
        self._directory = directory
        self._clock = clock
        self._randomness = randomness
        self._period = period
        self._plan = AskAll(period) if plan is None else plan
        self._room = asyncio.Semaphore(MOST_QUESTIONS)
        self._tasks: dict[UpstreamId, asyncio.Task[None]] = {}
        self._own_tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Self:
        """Begin to watch."""
        self._own_tasks.append(self._start(self._read_list()))
        self._own_tasks.append(self._start(self._keep_step()))
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop all tasks."""
        tasks = [*self._tasks.values(), *self._own_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def look(self) -> None:
        """Read the list once and ask every engine once, all together."""
        await self._take_list()
        engines = filter(is_engine, self._directory.states())
        asks = [self._ask(state.info.upstream) for state in engines]
        await asyncio.gather(*asks)

    async def _read_list(self) -> None:
        """Read the list again and again; watch whatever it names."""
        while True:
            await self._take_list()
            self._start_missing()
            await self._clock.sleep(self._spread(self._plan.list_period))

    async def _keep_step(self) -> None:
        """Follow the plan again and again."""
        while True:
            await self._clock.sleep(self._spread(self._period))
            self._start_missing()
            self._plan.tell()

    async def _take_list(self) -> None:
        """Read the list once."""
        listing = await self._host_list.listing()
        if isinstance(listing, Refusal):
            _LOG.info('host list not read: %s', listing.reason)
            return
        upstreams = self._plan.merge_list(listing.upstreams)
        was_empty = not self._directory.states()
        changed = tuple(filter(self._is_news, upstreams))
        self._directory.update(upstreams)
        if changed and not was_empty:
            self._plan.tell_listed(changed)

    def _is_news(self, info: UpstreamInfo) -> bool:
        """Tell whether an entry of the list differs from what is known."""
        state = self._directory.state(info.upstream)
        return state is None or state.info != info

    def _start_missing(self) -> None:
        """Have a task for each engine that this host has to ask."""
        self._plan.refresh()
        states = filter(is_engine, self._directory.states())
        wanted = {
            state.info.upstream for state in states if self._plan.wants(state)
        }
        for gone in self._tasks.keys() - wanted:
            self._tasks.pop(gone).cancel()
        # In order, so that what is drawn for each does not hang on hashes.
        for fresh in sorted(wanted - self._tasks.keys()):
            self._tasks[fresh] = self._start(self._follow(fresh))

    async def _follow(self, upstream: UpstreamId) -> None:
        """Ask one engine again and again."""
        await self._clock.sleep(self._randomness.random() * self._period)
        while True:
            await self._ask(upstream)
            state = self._directory.state(upstream)
            if state is None:
                return
            await self._clock.sleep(self._spread(self._plan.pause(state)))

    async def _ask(self, upstream: UpstreamId) -> None:
        """Ask one engine for its report."""
        state = self._directory.state(upstream)
        if state is None:
            return
        async with self._room:
            asked = self._clock.now()
            report = await self._engines.report(state.info)
        if isinstance(report, Refusal):
            state.failures += 1
            if report.code is ResultCode.UPSTREAM_UNREACHABLE:
                self._directory.refused(upstream)
            self._plan.answered(state, report)
            return
        state.failures = 0
        if self._directory.state(upstream) is state:
            self._directory.reported(upstream, report, asked)
            self._plan.answered(state, report)

    def _start(
        self,
        work: Coroutine[Any, Any, None],
    ) -> asyncio.Task[None]:
        """Run a task, and charge it to the watch."""
        account = self._plan.account
        if account is None:
            return asyncio.create_task(work)
        return asyncio.create_task(Metered(account, WATCH_PART, work))

    def _spread(self, seconds: float) -> float:
        """Return about as many seconds, spread at random."""
        return seconds * self._randomness.uniform(1 - JITTER, 1 + JITTER)
