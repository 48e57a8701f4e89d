"""Watches upstreams: the host list, and what each engine says itself.

Each engine is asked by a task of its own, so that one which is frozen holds
up nobody else. How many are asked at the same moment is bounded.
"""

import asyncio
import random
from types import TracebackType
from typing import Final, Self

from nutmegroad.clocks import Clock
from nutmegroad.directory import Directory, is_engine
from nutmegroad.logs import part_logger
from nutmegroad.platform import HostList
from nutmegroad.results import Refusal, ResultCode
from nutmegroad.types import UpstreamId
from nutmegroad.upstreams import EngineClient

_LOG: Final = part_logger('watch')

#: PendingReplies are spread over this share of their period.
JITTER: Final = 0.2

#: Engines that are asked at the same moment, at most.
MOST_QUESTIONS: Final = 64


class UpstreamWatcher:
    """Keeps the directory in step while it is open.

    Args:
        host_list: The platform's list.
        engines: How engines are asked.
        directory: What this host knows of upstreams.
        clock: The host's clock.
        randomness: Spreads the questions.
        period: Seconds between two questions to the same one.
    """

    def __init__(
        self,
        host_list: HostList,
        engines: EngineClient,
        directory: Directory,
        clock: Clock,
        randomness: random.Random,
        period: float,
    ) -> None:
        self._host_list = host_list
        self._engines = engines
        self._directory = directory
        self._clock = clock
        self._randomness = randomness
        self._period = period
        self._room = asyncio.Semaphore(MOST_QUESTIONS)
        self._tasks: dict[UpstreamId, asyncio.Task[None]] = {}
        self._reader: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Begin to watch."""
        self._reader = asyncio.create_task(self._read_list())
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop all tasks."""
        tasks = list(self._tasks.values())
        if self._reader is not None:
            tasks.append(self._reader)
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
            await self._clock.sleep(self._pause())

    async def _take_list(self) -> None:
        """Read the list once."""
        listing = await self._host_list.listing()
        if isinstance(listing, Refusal):
            _LOG.info('host list not read: %s', listing.reason)
            return
        self._directory.update(listing.upstreams)

    def _start_missing(self) -> None:
        """Have a task for each engine, and none for what is gone."""
        states = filter(is_engine, self._directory.states())
        wanted = {state.info.upstream for state in states}
        for gone in self._tasks.keys() - wanted:
            self._tasks.pop(gone).cancel()
        for fresh in wanted - self._tasks.keys():
            self._tasks[fresh] = asyncio.create_task(self._follow(fresh))

    async def _follow(self, upstream: UpstreamId) -> None:
        """Ask one engine again and again."""
        await self._clock.sleep(self._randomness.random() * self._period)
        while True:
            await self._ask(upstream)
            await self._clock.sleep(self._pause())

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
            return
        state.failures = 0
        if self._directory.state(upstream) is state:
            self._directory.reported(upstream, report, asked)

    def _pause(self) -> float:
        """Return the seconds until the next question."""
        spread = self._randomness.uniform(-JITTER, JITTER)
        return self._period * (1 + spread)
