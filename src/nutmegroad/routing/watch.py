"""Monitors upstreams: reads the host list and polls engines for reports.

Each engine is polled by a task of its own, so that an unresponsive engine
delays no other. The number of concurrent polls is bounded. The hosts share the
work; a plan decides which engines this host polls.
"""

import asyncio
import random
from functools import partial
from types import TracebackType
from typing import Final, Protocol, Self

from nutmegroad.contracts._report_rows import WATCH_PART
from nutmegroad.contracts.platform import HostList
from nutmegroad.contracts.upstreams import (
    EngineClient,
    EngineReport,
    UpstreamState,
)
from nutmegroad.foundations.accounting import Account, MeteredCoroutine
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.supervision import (
    Supervisor,
    TaskLabel,
    TaskStart,
)
from nutmegroad.foundations.types import UpstreamId, UpstreamInfo
from nutmegroad.routing.directory import Directory, is_engine

_LOG: Final = part_logger('watch')

#: Fraction by which the interval of polls varies at random.
JITTER: Final = 0.2

#: Maximum seconds until the first poll of an engine that has not reported to
#: this host: it gets no requests before. The delay keeps the hosts of a domain,
#: which learn of it at the same moment, from polling it in the same instant.
FIRST_POLL_SPREAD: Final = 0.1

#: Maximum number of concurrent polls.
MAX_CONCURRENT_POLLS: Final = 64


class WatchPlan(Protocol):
    """Decides what this host polls, and sends the results to other hosts.

    Attributes:
        account: Records the processor time of the tasks; None to record none.
    """

    account: Account | None

    @property
    def list_period(self) -> float:
        """Return the seconds between two reads of the host list."""

    def refresh(self) -> None:
        """Update the plan; called once a period."""

    def should_poll(self, state: UpstreamState) -> bool:
        """Return whether this host has to poll an engine itself."""

    def poll_interval(self, state: UpstreamState) -> float:
        """Return the seconds until the next poll of an engine."""

    def record_answer(
        self,
        state: UpstreamState,
        answer: EngineReport | Refusal,
    ) -> None:
        """Record an engine's report or refusal."""

    def broadcast_reports(self) -> None:
        """Send what has changed to other hosts; called once a period."""

    def merge_list(
        self,
        upstreams: tuple[UpstreamInfo, ...],
    ) -> tuple[UpstreamInfo, ...]:
        """Return the list, merged with entries from other hosts."""

    def broadcast_listed(self, changed: tuple[UpstreamInfo, ...]) -> None:
        """Send new or changed entries of the list to other hosts."""


class PollAll:
    """The plan of a host that shares its work with no other host.

    Args:
        period: Seconds between two polls of an engine.
    """

    def __init__(self, period: float) -> None:
        self.account: Account | None = None
        self._period = period

    @property
    def list_period(self) -> float:
        """Return the period."""
        return self._period

    def refresh(self) -> None:
        """Do nothing: the plan never changes."""

    def should_poll(self, state: UpstreamState) -> bool:
        """Return true, since this host polls every engine."""
        return True

    def poll_interval(self, state: UpstreamState) -> float:
        """Return the period."""
        return self._period

    def record_answer(
        self,
        state: UpstreamState,
        answer: EngineReport | Refusal,
    ) -> None:
        """Do nothing: nothing is sent to other hosts."""

    def broadcast_reports(self) -> None:
        """Do nothing: there is no other host."""

    def merge_list(
        self,
        upstreams: tuple[UpstreamInfo, ...],
    ) -> tuple[UpstreamInfo, ...]:
        """Return the list unchanged."""
        return upstreams

    def broadcast_listed(self, changed: tuple[UpstreamInfo, ...]) -> None:
        """Do nothing: there is no other host."""


class UpstreamWatcher:
    """Keeps the directory up to date while it is open.

    Args:
        host_list: The platform's host list.
        engines: Client for engines.
        directory: The upstreams known to this host.
        clock: The host's clock.
        randomness: Source of jitter.
        period: Seconds between two updates of the plan.
        plan: Decides which engines to poll; None to poll each engine every
            period.
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
        self._plan = PollAll(period) if plan is None else plan
        self._poll_limit = asyncio.Semaphore(MAX_CONCURRENT_POLLS)
        self._tasks: dict[UpstreamId, asyncio.Task[None]] = {}
        self._own_tasks: list[asyncio.Task[None]] = []
        self._supervisor = Supervisor(clock)

    async def __aenter__(self) -> Self:
        """Start the tasks that monitor upstreams."""
        self._own_tasks.append(self._start('host list', self._read_list))
        self._own_tasks.append(self._start('watch plan', self._follow_plan))
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

    async def poll_once(self) -> None:
        """Read the host list once, then poll all engines once at a time."""
        await self._update_from_list()
        engines = filter(is_engine, self._directory.states())
        polls = [self._poll(state.info.upstream) for state in engines]
        await asyncio.gather(*polls)

    async def _read_list(self) -> None:
        """Read the host list regularly, and poll the engines it names."""
        while True:
            await self._update_from_list()
            self._update_tasks()
            await self._clock.sleep(self._jittered(self._plan.list_period))

    async def _follow_plan(self) -> None:
        """Apply the plan regularly."""
        while True:
            await self._clock.sleep(self._jittered(self._period))
            self._update_tasks()
            self._plan.broadcast_reports()

    async def _update_from_list(self) -> None:
        """Read the host list once and update the directory."""
        listing = await self._host_list.listing()
        if isinstance(listing, Refusal):
            _LOG.info('cannot read the host list: %s', listing.reason)
            return
        upstreams = self._plan.merge_list(listing.upstreams)
        was_empty = not self._directory.states()
        changed = tuple(filter(self._is_changed, upstreams))
        self._directory.update(upstreams)
        if changed and not was_empty:
            self._plan.broadcast_listed(changed)

    def _is_changed(self, info: UpstreamInfo) -> bool:
        """Return whether an entry of the list differs from the directory."""
        state = self._directory.state(info.upstream)
        return state is None or state.info != info

    def _update_tasks(self) -> None:
        """Start and stop tasks, so that each engine to poll has one."""
        self._plan.refresh()
        states = filter(is_engine, self._directory.states())
        wanted = {
            state.info.upstream
            for state in states
            if self._plan.should_poll(state)
        }
        for removed in self._tasks.keys() - wanted:
            self._tasks.pop(removed).cancel()
        # Sorted, so that the random delay of an engine does not depend on
        # hash order.
        for added in sorted(wanted - self._tasks.keys()):
            self._tasks[added] = self._start(
                f'reports of {added}', partial(self._poll_regularly, added)
            )

    async def _poll_regularly(self, upstream: UpstreamId) -> None:
        """Poll one engine regularly."""
        state = self._directory.state(upstream)
        is_known = state is not None and state.report is not None
        spread = self._period if is_known else FIRST_POLL_SPREAD
        await self._clock.sleep(self._randomness.random() * spread)
        while True:
            await self._poll(upstream)
            state = self._directory.state(upstream)
            if state is None:
                return
            await self._clock.sleep(
                self._jittered(self._plan.poll_interval(state))
            )

    async def _poll(self, upstream: UpstreamId) -> None:
        """Request one engine's report and apply it."""
        state = self._directory.state(upstream)
        if state is None:
            return
        async with self._poll_limit:
            requested_at = self._clock.now()
            report = await self._engines.report(state.info)
        if isinstance(report, Refusal):
            state.failed_polls += 1
            if report.code is ResultCode.UPSTREAM_UNREACHABLE:
                self._directory.refused(upstream)
            self._plan.record_answer(state, report)
            return
        state.failed_polls = 0
        if self._directory.state(upstream) is state:
            self._directory.reported(upstream, report, requested_at)
            self._plan.record_answer(state, report)

    def _start(self, name: str, start: TaskStart) -> asyncio.Task[None]:
        """Start a task whose processor time is charged to this module."""
        work = self._supervisor.run(TaskLabel(name), start)
        account = self._plan.account
        if account is None:
            return asyncio.create_task(work)
        return asyncio.create_task(MeteredCoroutine(account, WATCH_PART, work))

    def _jittered(self, seconds: float) -> float:
        """Return some seconds, varied at random."""
        return seconds * self._randomness.uniform(1 - JITTER, 1 + JITTER)
