"""A queue model of an engine, with the stand-in's batching times.

The times are those of ``fakes.batching``: the prompt is read at a rate of
its own, and a decode step takes longer the more requests run.
"""

import asyncio
from bisect import bisect_right
from collections import OrderedDict
from dataclasses import dataclass
from heapq import heapify, heappop, heappush

from fakes.batching import BatchSpeed

from experiments.virtual_time import VirtualClock
from nutmegroad.contracts.upstreams import EngineReport
from nutmegroad.foundations.types import FencingNumber, VersionId

#: Prefixes that an engine keeps.
CACHE_ENTRIES = 40

_SOON = 1e-9


@dataclass(eq=False, slots=True)
class Job:
    """A request at an engine.

    Attributes:
        prompt: Prompt tokens.
        output: Tokens to write.
        prefix: Its prefix.
        shared: Prompt tokens that are the prefix's.
        priority: Smaller first.
        first_at: Clock seconds of the first token; negative before it.
        done: True for a whole answer, false for a broken one.
        reading: Seconds of reading the prompt that are left.
        left: Tokens left to write.
        cached: Prompt tokens that were found in the cache.
    """

    prompt: int
    output: int
    prefix: int
    shared: int
    priority: int
    done: asyncio.Future[bool]
    reading: float = 0
    left: float = 0
    cached: int = 0
    first_at: float = -1


class EngineModel:
    """An engine.

    Args:
        clock: Virtual time.
        versions: Versions that it has loaded.
        speed: How fast it is.
    """

    def __init__(
        self,
        clock: VirtualClock,
        versions: tuple[VersionId, ...],
        speed: BatchSpeed,
    ) -> None:
        self.speed = speed
        self.versions = versions
        self.slowness = 1.0
        self.is_down = False
        self.work: float = 0
        self._clock = clock
        self._running: list[Job] = []
        self._queue: list[tuple[int, int, Job]] = []
        self._order = 0
        self._moved: float = 0
        self._timer: asyncio.TimerHandle | None = None
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._times: list[float] = [-1.0]
        self._loads: list[tuple[int, int]] = [(0, 0)]

    def report(self, lag: float) -> EngineReport:
        """Return the load as it was some seconds ago."""
        place = bisect_right(self._times, self._clock.now() - lag) - 1
        running, queued = self._loads[max(0, place)]
        return EngineReport(
            self.versions,
            running,
            queued,
            self.speed.slots,
            leaving=False,
            checks_fencing=True,
            fencing=FencingNumber(0),
        )

    def submit(self, job: Job) -> bool:
        """Take a request; false if the queue is full."""
        self._advance()
        room = self.speed.slots + self.speed.queue_limit
        if len(self._running) + len(self._queue) >= room:
            return False
        self._order += 1
        heappush(self._queue, (job.priority, self._order, job))
        self._settle()
        return True

    def cancel(self, job: Job) -> None:
        """Stop a request, wherever it is."""
        self._advance()
        if job in self._running:
            self._running.remove(job)
        self._queue = [entry for entry in self._queue if entry[-1] is not job]
        heapify(self._queue)
        self._settle()

    def fail(self) -> None:
        """Break off all that runs; new requests find it down."""
        self.is_down = True
        jobs = [*self._running, *(entry[-1] for entry in self._queue)]
        self._running = []
        self._queue = []
        self._cache.clear()
        for job in jobs:
            if not job.done.done():
                job.done.set_result(False)
        self._settle()

    def slow_down(self, factor: float) -> None:
        """Make all its times longer from now on."""
        self._advance()
        self.slowness = factor
        self._settle()

    def _step(self) -> float:
        """Return the seconds of a decode step now."""
        speed = self.speed
        step = speed.step_base + speed.step_per_request * len(self._running)
        return step * self.slowness

    def _advance(self) -> None:
        """Let the time pass since the last change."""
        now = self._clock.now()
        passed = now - self._moved
        self._moved = now
        self.work += passed * len(self._running)
        step = self._step()
        for job in self._running:
            reading = min(job.reading, passed / self.slowness)
            job.reading -= reading
            job.left -= (passed - reading * self.slowness) / step

    def _settle(self) -> None:
        """End what is whole, fill slots, wait for the next change."""
        for job in tuple(self._running):
            if job.left <= job.output - 1 + _SOON and job.first_at < 0:
                job.first_at = self._clock.now()
            if job.left <= _SOON:
                self._running.remove(job)
                if not job.done.done():
                    job.done.set_result(True)
        while self._queue and len(self._running) < self.speed.slots:
            self._begin(heappop(self._queue)[-1])
        self._times.append(self._clock.now())
        self._loads.append((len(self._running), len(self._queue)))
        self._wait()

    def _begin(self, job: Job) -> None:
        """Put a request into the batch."""
        if job.prefix in self._cache:
            job.cached = min(job.shared, job.prompt)
        self._cache[job.prefix] = None
        self._cache.move_to_end(job.prefix)
        if len(self._cache) > CACHE_ENTRIES:
            self._cache.popitem(last=False)
        job.reading = (job.prompt - job.cached) / self.speed.prefill_rate
        job.left = job.output
        self._running.append(job)

    def _wait(self) -> None:
        """Set the timer for the next change."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._running:
            return
        step = self._step()
        soonest = min(self._seconds(job, step) for job in self._running)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(_SOON, soonest), self._tick)

    def _seconds(self, job: Job, step: float) -> float:
        """Return the seconds to a job's next event."""
        ahead = job.left if job.first_at >= 0 else job.left - job.output + 1
        return job.reading * self.slowness + ahead * step

    def _tick(self) -> None:
        """Move on to the change that is due."""
        self._timer = None
        self._advance()
        self._settle()
