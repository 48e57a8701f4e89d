"""Models an engine as a queue, with the batching times of its stand-in.

The times are those of ``fakes.batching``: each prompt is processed at a fixed
rate, and a decode step takes longer the more requests run.
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

#: Maximum number of prefixes in an engine's cache.
CACHE_ENTRIES = 40

#: Shortest timer in seconds, and tolerance for rounding errors of work left.
_EPSILON = 1e-9


@dataclass(eq=False, slots=True)
class Job:
    """A request at an engine.

    Attributes:
        prompt: Number of prompt tokens.
        output: Number of tokens to generate.
        prefix: Identifies the prefix of the prompt.
        shared: Number of prompt tokens that belong to the prefix.
        priority: Requests with smaller numbers are served first.
        done: Result: True for a complete answer, False for one cut off.
        prefill_left: Seconds of prefill that are left at normal speed.
        tokens_left: Tokens left to generate.
        cached: Prompt tokens that were found in the cache.
        first_at: Clock seconds of the first token; negative before it.
    """

    prompt: int
    output: int
    prefix: int
    shared: int
    priority: int
    done: asyncio.Future[bool]
    prefill_left: float = 0
    tokens_left: float = 0
    cached: int = 0
    first_at: float = -1


class EngineModel:
    """An engine that runs a batch of requests and queues the others.

    Args:
        clock: Virtual clock.
        versions: Loaded versions.
        speed: Times and limits of the batch.
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
        self._clock = clock
        self._running: list[Job] = []
        self._queue: list[tuple[int, int, Job]] = []
        self._sequence = 0
        self._updated_at: float = 0
        self._timer: asyncio.TimerHandle | None = None
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._times: list[float] = [-1.0]
        self._loads: list[tuple[int, int]] = [(0, 0)]

    def report(self, lag: float) -> EngineReport:
        """Return the engine's report as of ``lag`` seconds ago."""
        index = bisect_right(self._times, self._clock.now() - lag) - 1
        running, queued = self._loads[max(0, index)]
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
        """Queue a request; return False if the queue is full."""
        self._advance()
        capacity = self.speed.slots + self.speed.queue_limit
        if len(self._running) + len(self._queue) >= capacity:
            return False
        self._sequence += 1
        heappush(self._queue, (job.priority, self._sequence, job))
        self._update_batch()
        return True

    def cancel(self, job: Job) -> None:
        """Remove a request from the batch or the queue."""
        self._advance()
        if job in self._running:
            self._running.remove(job)
        self._queue = [entry for entry in self._queue if entry[-1] is not job]
        heapify(self._queue)
        self._update_batch()

    def fail(self) -> None:
        """Go down: cut off all requests, and clear the cache.

        Callers check ``is_down`` before they submit new requests.
        """
        self.is_down = True
        jobs = [*self._running, *(entry[-1] for entry in self._queue)]
        self._running = []
        self._queue = []
        self._cache.clear()
        for job in jobs:
            if not job.done.done():
                job.done.set_result(False)
        self._update_batch()

    def slow_down(self, factor: float) -> None:
        """Scale all times by a factor from now on."""
        self._advance()
        self.slowness = factor
        self._update_batch()

    def _step(self) -> float:
        """Return the present duration of a decode step in seconds."""
        speed = self.speed
        step = speed.step_base + speed.step_per_request * len(self._running)
        return step * self.slowness

    def _advance(self) -> None:
        """Account for the work done since the last change."""
        now = self._clock.now()
        elapsed = now - self._updated_at
        self._updated_at = now
        step = self._step()
        for job in self._running:
            prefill = min(job.prefill_left, elapsed / self.slowness)
            job.prefill_left -= prefill
            job.tokens_left -= (elapsed - prefill * self.slowness) / step

    def _update_batch(self) -> None:
        """Complete finished jobs, fill free slots, and set the timer."""
        for job in tuple(self._running):
            if (
                job.tokens_left <= job.output - 1 + _EPSILON
                and job.first_at < 0
            ):
                job.first_at = self._clock.now()
            if job.tokens_left <= _EPSILON:
                self._running.remove(job)
                if not job.done.done():
                    job.done.set_result(True)
        while self._queue and len(self._running) < self.speed.slots:
            self._start(heappop(self._queue)[-1])
        self._times.append(self._clock.now())
        self._loads.append((len(self._running), len(self._queue)))
        self._set_timer()

    def _start(self, job: Job) -> None:
        """Move a request into the batch."""
        if job.prefix in self._cache:
            job.cached = min(job.shared, job.prompt)
        self._cache[job.prefix] = None
        self._cache.move_to_end(job.prefix)
        if len(self._cache) > CACHE_ENTRIES:
            self._cache.popitem(last=False)
        job.prefill_left = (job.prompt - job.cached) / self.speed.prefill_rate
        job.tokens_left = job.output
        self._running.append(job)

    def _set_timer(self) -> None:
        """Set the timer for the next change."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._running:
            return
        step = self._step()
        delay = min(self._until_next_event(job, step) for job in self._running)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(_EPSILON, delay), self._on_timer)

    def _until_next_event(self, job: Job, step: float) -> float:
        """Return the seconds until a job's first or last token."""
        tokens = (
            job.tokens_left
            if job.first_at >= 0
            else job.tokens_left - job.output + 1
        )
        return job.prefill_left * self.slowness + tokens * step

    def _on_timer(self) -> None:
        """Handle the change that the timer was set for."""
        self._timer = None
        self._advance()
        self._update_batch()
