"""The engine stand-in's batch: what runs, how long it takes, and its cache.

One task steps the whole batch. A step's length grows with the number of
requests that run; where steps are short, several are taken in one wake-up.
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

#: Shortest wait of the stepping task, seconds; it bounds the processor time.
SHORTEST_WAIT: Final = 0.01

#: Longest wait of the stepping task, seconds; callers who have gone are
#: noticed within it.
LONGEST_WAIT: Final = 0.05

#: Words of a prompt that name its prefix.
PREFIX_WORDS: Final = 64

#: Hexadecimal digits of a prefix's name.
NAME_LENGTH: Final = 16

#: Share of the cache's events that are never published.
EVENT_GAP: Final = 0.1

#: Events that are kept for readers.
EVENTS_KEPT: Final = 10_000


@dataclass(frozen=True, slots=True)
class BatchSpeed:
    """How fast a batch is.

    Attributes:
        slots: Requests that run at once.
        queue_limit: Requests that may wait.
        prefill_rate: Prompt tokens read a second, for each request.
        step_base: Seconds that a decode step takes at least.
        step_per_request: Seconds that each running request adds to a step.
    """

    slots: int = 8
    queue_limit: int = 16
    prefill_rate: float = 5000
    step_base: float = 0.02
    step_per_request: float = 0.001


@dataclass(eq=False, slots=True)
class Run:
    """A request in the batch.

    Attributes:
        total: Words that it is to write.
        is_abandoned: Tells whether its caller has gone.
        prefill: Seconds of reading the prompt that are left.
        slowness: Factor on all its times.
        written: Words written so far, those skipped included.
        progress: Set whenever there is more to send.
        ended: It left the batch, for whatever reason.
        is_cancelled: It left the batch before its last word.
        credit: Part of a word that is written already.
    """

    total: int
    prefill: float
    is_abandoned: Callable[[], bool] = bool
    slowness: float = 1
    written: int = 0
    progress: asyncio.Event = field(default_factory=asyncio.Event)
    ended: bool = False
    is_cancelled: bool = False
    credit: float = 0

    async def finished(self) -> None:
        """Wait until the last word is written, or the run cancelled."""
        while not self.ended:
            await self.progress.wait()
            self.progress.clear()

    def advance(self, seconds: float, step: float) -> None:
        """Let time pass: first the prompt is read, then words are written."""
        seconds /= self.slowness
        reading = min(self.prefill, seconds)
        self.prefill -= reading
        self.credit += (seconds - reading) / step
        words = int(self.credit)
        if not words:
            return
        self.credit -= words
        self.written = min(self.total, self.written + words)
        self.progress.set()


class Batch:
    """Requests that run together, and those that wait.

    Args:
        speed: How fast it is.
        clock: Time.
    """

    def __init__(self, speed: BatchSpeed, clock: Clock) -> None:
        self.speed = speed
        self.running: set[Run] = set()
        self._clock = clock
        self._waiting: list[tuple[int, int, Run]] = []
        self._arrivals = 0
        self._wanted = asyncio.Event()

    @property
    def queued(self) -> int:
        """Return how many requests wait."""
        return sum(not run.ended for _, _, run in self._waiting)

    @property
    def full(self) -> bool:
        """Tell whether one more request would have to be refused."""
        room = self.speed.slots + self.speed.queue_limit
        return len(self.running) + self.queued >= room

    def add(self, run: Run, priority: int) -> None:
        """Put a request in the queue; smaller priorities go first."""
        self._arrivals += 1
        heappush(self._waiting, (priority, self._arrivals, run))
        self._admit()
        self._wanted.set()

    def cancel(self, run: Run) -> None:
        """Stop a request, wherever it is."""
        run.is_cancelled = True
        self.remove(run)

    def remove(self, run: Run) -> None:
        """Take a request out, wherever it is."""
        run.ended = True
        run.progress.set()
        self.running.discard(run)
        self._admit()

    async def step_forever(self) -> None:
        """Step the batch; the owner cancels it."""
        while True:
            if not self.running:
                self._wanted.clear()
                await self._wanted.wait()
            await self._step()
            self._drop_abandoned()

    def _admit(self) -> None:
        """Fill free slots from the queue."""
        while self._waiting and len(self.running) < self.speed.slots:
            _, _, run = heappop(self._waiting)
            if not run.ended:
                self.running.add(run)

    def _drop_abandoned(self) -> None:
        """Take out the requests whose callers have gone."""
        queued = [run for _, _, run in self._waiting if not run.ended]
        for run in (*self.running, *queued):
            if run.is_abandoned():
                self.cancel(run)

    async def _step(self) -> None:
        """Take as many decode steps as fill the shortest wait."""
        step = self.speed.step_base
        step += self.speed.step_per_request * len(self.running)
        start = self._clock.now()
        wait = min(max(step, SHORTEST_WAIT), LONGEST_WAIT)
        await self._clock.sleep(wait)
        # Time that passed, not time asked for: a busy machine then writes
        # more words in a wake-up rather than fewer a second.
        passed = self._clock.now() - start
        for run in tuple(self.running):
            run.advance(passed, step)
            if run.written >= run.total:
                self.remove(run)


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of the prefix cache.

    Attributes:
        position: Place among all events; gaps are events that were lost.
        prefix: Name of the prefix.
        version: The version whose cache it is.
        kind: ``stored`` or ``evicted``.
    """

    position: int
    prefix: str
    version: str
    kind: str


def name_prefix(words: tuple[str, ...]) -> str:
    """Return the name of a prompt's prefix."""
    text = ' '.join(words[:PREFIX_WORDS])
    return hashlib.sha256(text.encode()).hexdigest()[:NAME_LENGTH]


class PrefixCache:
    """The last prefixes that the engine has read.

    Args:
        entries: How many it keeps.
        lag: Seconds until an event is shown.
        clock: Time.
        randomness: Decides which events are lost.
    """

    def __init__(
        self,
        entries: int,
        lag: float,
        clock: Clock,
        randomness: Random,
    ) -> None:
        self._entries = entries
        self._lag = lag
        self._clock = clock
        self._randomness = randomness
        self._kept: OrderedDict[tuple[str, str], None] = OrderedDict()
        # Each with the clock seconds from which on it is shown.
        self._events: list[tuple[float, CacheEvent]] = []
        self._position = 0

    def read(self, version: str, words: tuple[str, ...]) -> int:
        """Look a prompt up and keep its prefix.

        Returns:
            Words of the prompt that were found in the cache.
        """
        key = (version, name_prefix(words))
        found = key in self._kept
        self._kept[key] = None
        self._kept.move_to_end(key)
        if found:
            return min(PREFIX_WORDS, len(words))
        self._publish(key, 'stored')
        while len(self._kept) > self._entries:
            evicted, _ = self._kept.popitem(last=False)
            self._publish(evicted, 'evicted')
        return 0

    def drop(self, version: str) -> None:
        """Forget what a version that is unloaded had cached."""
        for key in tuple(self._kept):
            if key[0] == version:
                self._kept.pop(key)
                self._publish(key, 'evicted')

    def events(self, after: int) -> list[CacheEvent]:
        """Return the events behind a position that are shown by now."""
        now = self._clock.now()
        return [
            event
            for published, event in self._events
            if event.position > after and published <= now
        ]

    def _publish(self, key: tuple[str, str], kind: str) -> None:
        """Note an event, unless it is lost."""
        self._position += 1
        if self._randomness.random() < EVENT_GAP:
            return
        version, prefix = key
        published = self._clock.now() + self._lag
        event = CacheEvent(self._position, prefix, version, kind)
        self._events.append((published, event))
        self._events = self._events[-EVENTS_KEPT:]
