"""Connects to other hosts, and reconnects after a delay if a link is lost.

One task per wanted address maintains the link to the host that listens there.
Delays double and have jitter, and the rate of new connections is limited.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from dataclasses import dataclass
from typing import Any, Final, TypeVar

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import Address
from nutmegroad.membership._link_context import LinkContext

Outcome = TypeVar('Outcome')

#: Maximum number of doublings of a delay; more would only overflow.
_MAX_DOUBLINGS: Final = 16

#: Seconds after which a link counts as stable and the failure count is reset.
_STABLE_SECONDS: Final = 10.0

Connect = Callable[[Address], Awaitable[bool]]


@dataclass(frozen=True, slots=True)
class Backoff:
    """Exponential backoff with jitter.

    The wait strategies of tenacity use the global random generator; this is an
    equivalent that accepts a generator.

    Attributes:
        initial: Maximum seconds of the first delay.
        maximum: Maximum seconds of any delay.
        randomness: Source of jitter.
    """

    initial: float
    maximum: float
    randomness: random.Random

    def delay(self, failures: int) -> float:
        """Return the seconds to wait after consecutive failures."""
        doublings = min(failures, _MAX_DOUBLINGS)
        max_delay = min(self.maximum, self.initial * 2**doublings)
        return self.randomness.uniform(max_delay / 2, max_delay)


class RateLimiter:
    """Limits the rate at which callers proceed, in order of their calls.

    Args:
        clock: Source of time.
        rate: Maximum calls per second.
    """

    def __init__(self, clock: Clock, rate: float) -> None:
        self._clock = clock
        self._interval = 1 / rate
        self._next_start = clock.now()

    async def acquire(self) -> None:
        """Wait until the caller may proceed."""
        now = self._clock.now()
        delay = self._next_start - now
        self._next_start = max(now, self._next_start) + self._interval
        if delay > 0:
            await self._clock.sleep(delay)


async def run_with_timeout(
    clock: Clock,
    seconds: float,
    work: Coroutine[Any, Any, Outcome],
) -> Outcome:
    """Return the result of a coroutine if it ends in time.

    Raises:
        TimeoutError: If it did not; it has been cancelled.
    """
    task = asyncio.ensure_future(work)
    timer = asyncio.ensure_future(clock.sleep(seconds))
    tasks = (task, timer)
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        await _cancel_all(tasks)
    if task.cancelled():
        raise TimeoutError
    return task.result()


async def _cancel_all(tasks: tuple[asyncio.Future[Any], ...]) -> None:
    """Cancel all tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


class Dialer:
    """Connects to addresses, and reconnects with exponential backoff.

    Args:
        context: Clock, randomness and limits.
        connect: Connects to an address; returns whether there is a link.
        is_linked: Returns whether there is a link to an address.
    """

    def __init__(
        self,
        context: LinkContext,
        connect: Connect,
        is_linked: Callable[[Address], bool],
    ) -> None:
        limits = context.limits
        self._clock = context.clock
        self._connect = connect
        self._is_linked = is_linked
        self._rate_limiter = RateLimiter(
            context.clock, limits.connections_per_second
        )
        self._backoff = Backoff(
            limits.initial_backoff,
            limits.max_backoff,
            context.randomness,
        )
        self._tasks: dict[Address, asyncio.Task[None]] = {}
        self._lost_events: dict[Address, asyncio.Event] = {}

    def maintain_links(
        self, addresses: Iterable[Address]
    ) -> frozenset[Address]:
        """Maintain links to these addresses only.

        Existing links to other addresses stay open, but are not restored.
        """
        wanted = frozenset(addresses)
        for old in self._tasks.keys() - wanted:
            self._tasks.pop(old).cancel()
            self._lost_events.pop(old)
        for new in sorted(wanted - self._tasks.keys(), key=str):
            self._lost_events[new] = asyncio.Event()
            self._tasks[new] = asyncio.ensure_future(self._maintain_link(new))
        return wanted

    def link_lost(self) -> None:
        """Make all tasks check whether their link still exists."""
        for lost_event in self._lost_events.values():
            lost_event.set()

    async def aclose(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = tuple(self._tasks.values())
        self.maintain_links(())
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _maintain_link(self, address: Address) -> None:
        failures = 0
        while True:
            await self._clock.sleep(self._backoff.delay(failures))
            if not await self._ensure_linked(address):
                failures += 1
                continue
            linked_at = self._clock.now()
            await self._wait_until_link_lost(address)
            duration = self._clock.now() - linked_at
            failures = 0 if duration > _STABLE_SECONDS else failures + 1

    async def _ensure_linked(self, address: Address) -> bool:
        if self._is_linked(address):
            return True
        await self._rate_limiter.acquire()
        if self._is_linked(address):
            return True
        return await self._connect(address)

    async def _wait_until_link_lost(self, address: Address) -> None:
        lost_event = self._lost_events[address]
        while self._is_linked(address):
            lost_event.clear()
            await lost_event.wait()
