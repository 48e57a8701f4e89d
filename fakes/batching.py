"""Continuous batching and prefix caching of the engine stand-in.

One task steps the whole batch. A step takes longer the more requests run;
short steps are combined, several per wake-up of the task.
"""

import asyncio
import hashlib
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from typing import Final

from nutmegroad.foundations.clocks import Clock

#: Minimum sleep of the stepping task in seconds; limits its CPU time.
MIN_SLEEP: Final = 0.01

#: Maximum sleep of the stepping task in seconds; disconnected callers are
#: detected within it.
MAX_SLEEP: Final = 0.05

#: Number of words at the start of a prompt that form its prefix.
PREFIX_WORDS: Final = 64

#: Length of a prefix id in hexadecimal digits.
PREFIX_ID_LENGTH: Final = 16

#: Fraction of the cache events that are never published.
EVENT_LOSS: Final = 0.1

#: Maximum number of events retained for readers.
MAX_EVENTS: Final = 10_000


@dataclass(frozen=True, slots=True)
class BatchSpeed:
    """Speed and capacity of a batch.

    Attributes:
        slots: Number of requests that can run concurrently.
        queue_limit: Number of requests that can wait for a slot.
        prefill_rate: Prompt tokens processed per second and request.
        step_base: Seconds that every decode step takes.
        step_per_request: Seconds that each running request adds to a step.
    """

    slots: int = 8
    queue_limit: int = 16
    prefill_rate: float = 5000
    step_base: float = 0.02
    step_per_request: float = 0.001


@dataclass(eq=False, slots=True)
class Run:
    """A request that runs in the batch or waits for it.

    Attributes:
        total: Number of words in the complete answer.
        prefill: Remaining seconds of prompt processing.
        is_abandoned: Returns whether the caller has disconnected.
        slowdown: Factor by which the request is slowed down.
        written: Number of words generated so far, including skipped ones.
        progress: Set when more words are available, and at the end.
        ended: Whether the request has left the batch, for any reason.
        is_cancelled: Whether it was cancelled.
        partial_word: Generated fraction of the next word.
    """

    total: int
    prefill: float
    is_abandoned: Callable[[], bool] = bool
    slowdown: float = 1
    written: int = 0
    progress: asyncio.Event = field(default_factory=asyncio.Event)
    ended: bool = False
    is_cancelled: bool = False
    partial_word: float = 0

    async def wait_finished(self) -> None:
        """Wait until the run has completed or was cancelled."""
        while not self.ended:
            await self.progress.wait()
            self.progress.clear()

    def advance(self, seconds: float, step: float) -> None:
        """Advance the run: process the prompt first, then generate words.

        Args:
            seconds: Time that has passed.
            step: Seconds per decode step.
        """
        seconds /= self.slowdown
        prefill_time = min(self.prefill, seconds)
        self.prefill -= prefill_time
        self.partial_word += (seconds - prefill_time) / step
        words = int(self.partial_word)
        if not words:
            return
        self.partial_word -= words
        self.written = min(self.total, self.written + words)
        self.progress.set()


class Batch:
    """A batch of requests with a priority queue.

    Args:
        speed: Speed and capacity.
        clock: Source of times.

    Attributes:
        running: Requests that occupy a slot.
    """

    def __init__(self, speed: BatchSpeed, clock: Clock) -> None:
        self.speed = speed
        self.running: set[Run] = set()
        self._clock = clock
        self._queue: list[tuple[int, int, Run]] = []
        self._arrivals = 0
        self._has_requests = asyncio.Event()

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return sum(not run.ended for _, _, run in self._queue)

    @property
    def is_full(self) -> bool:
        """Whether both the slots and the queue are full."""
        capacity = self.speed.slots + self.speed.queue_limit
        return len(self.running) + self.queued >= capacity

    def add(self, run: Run, priority: int) -> None:
        """Add a request to the queue; lower priority numbers run first."""
        self._arrivals += 1
        heappush(self._queue, (priority, self._arrivals, run))
        self._admit()
        self._has_requests.set()

    def cancel(self, run: Run) -> None:
        """Cancel a running or waiting request."""
        run.is_cancelled = True
        self.remove(run)

    def remove(self, run: Run) -> None:
        """Remove a running or waiting request."""
        run.ended = True
        run.progress.set()
        self.running.discard(run)
        self._admit()

    async def step_forever(self) -> None:
        """Step the batch until this task is cancelled."""
        while True:
            if not self.running:
                self._has_requests.clear()
                await self._has_requests.wait()
            await self._step()
            self._cancel_abandoned()

    def _admit(self) -> None:
        """Move requests from the queue into free slots."""
        while self._queue and len(self.running) < self.speed.slots:
            _, _, run = heappop(self._queue)
            if not run.ended:
                self.running.add(run)

    def _cancel_abandoned(self) -> None:
        """Cancel the requests whose callers have disconnected."""
        queued = [run for _, _, run in self._queue if not run.ended]
        for run in (*self.running, *queued):
            if run.is_abandoned():
                self.cancel(run)

    async def _step(self) -> None:
        """Sleep for about a decode step, then advance the running requests."""
        step = self.speed.step_base
        step += self.speed.step_per_request * len(self.running)
        start = self._clock.now()
        sleep_time = min(max(step, MIN_SLEEP), MAX_SLEEP)
        await self._clock.sleep(sleep_time)
        # Uses the time that has passed, not the requested sleep: if the
        # machine is busy, a wake-up generates more words and the rate stays
        # the same.
        elapsed = self._clock.now() - start
        for run in tuple(self.running):
            run.advance(elapsed, step)
            if run.written >= run.total:
                self.remove(run)


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change to the prefix cache.

    Attributes:
        position: Sequence number, from 1; lost events leave gaps.
        prefix: Id of the prefix.
        version: Version that has processed the prefix.
        kind: ``stored`` or ``evicted``.
    """

    position: int
    prefix: str
    version: str
    kind: str


def prefix_id(words: tuple[str, ...]) -> str:
    """Return the id of a prompt's prefix, a hash of its words."""
    text = ' '.join(words[:PREFIX_WORDS])
    return hashlib.sha256(text.encode()).hexdigest()[:PREFIX_ID_LENGTH]


class PrefixCache:
    """LRU cache of the prompt prefixes that the engine has processed.

    Args:
        max_entries: Maximum number of prefixes.
        lag: Seconds after which an event becomes visible.
        clock: Source of times.
        randomness: Selects the events that are lost.
    """

    def __init__(
        self,
        max_entries: int,
        lag: float,
        clock: Clock,
        randomness: Random,
    ) -> None:
        self._max_entries = max_entries
        self._lag = lag
        self._clock = clock
        self._randomness = randomness
        self._cached: OrderedDict[tuple[str, str], None] = OrderedDict()
        # Events, each with the clock time from which it is visible.
        self._events: list[tuple[float, CacheEvent]] = []
        self._position = 0

    def read(self, version: str, words: tuple[str, ...]) -> int:
        """Look up a prompt and cache its prefix.

        Returns:
            Number of words at the start of the prompt that were cached.
        """
        key = (version, prefix_id(words))
        found = key in self._cached
        self._cached[key] = None
        self._cached.move_to_end(key)
        if found:
            return min(PREFIX_WORDS, len(words))
        self._record_event(key, 'stored')
        while len(self._cached) > self._max_entries:
            evicted, _ = self._cached.popitem(last=False)
            self._record_event(evicted, 'evicted')
        return 0

    def drop(self, version: str) -> None:
        """Evict all prefixes of a version, when it is unloaded."""
        for key in tuple(self._cached):
            if key[0] == version:
                self._cached.pop(key)
                self._record_event(key, 'evicted')

    def events(self, after: int) -> list[CacheEvent]:
        """Return the visible events after a position."""
        now = self._clock.now()
        return [
            event
            for visible_at, event in self._events
            if event.position > after and visible_at <= now
        ]

    def _record_event(self, key: tuple[str, str], kind: str) -> None:
        """Record an event, unless it is drawn to be lost."""
        self._position += 1
        if self._randomness.random() < EVENT_LOSS:
            return
        version, prefix = key
        visible_at = self._clock.now() + self._lag
        event = CacheEvent(self._position, prefix, version, kind)
        self._events.append((visible_at, event))
        self._events = self._events[-MAX_EVENTS:]
