"""Connects to other hosts, and again after a wait when a link is lost.

One task for each wanted address keeps a link to whoever listens there. Waits
double and have jitter, and a host begins only so many connections a second.
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

#: More doublings of a wait would only overflow.
_MOST_DOUBLINGS: Final = 16

#: A link that lasted for so many seconds ends the row of failures.
_STEADY: Final = 10.0

Connect = Callable[[Address], Awaitable[bool]]


@dataclass(frozen=True, slots=True)
class Backoff:
    """Waits that double up to a bound, with jitter.

    The wait strategies of tenacity draw from the global random generator,
    so this is their like with one that is given.

    Attributes:
        first: Seconds that the first wait may last at most.
        most: Seconds that any wait may last at most.
        randomness: Source of the jitter.
    """

    first: float
    most: float
    randomness: random.Random

    def delay(self, failures: int) -> float:
        """Return the seconds to wait after so many failures in a row."""
        doublings = min(failures, _MOST_DOUBLINGS)
        bound = min(self.most, self.first * 2**doublings)
        return self.randomness.uniform(bound / 2, bound)


class Pacer:
    """Lets so many things a second begin, each in its turn.

    Args:
        clock: Time.
        rate: How many a second.
    """

    def __init__(self, clock: Clock, rate: float) -> None:
        self._clock = clock
        self._gap = 1 / rate
        self._next = clock.now()

    async def turn(self) -> None:
        """Wait until it is this caller's turn."""
        now = self._clock.now()
        wait = self._next - now
        self._next = max(now, self._next) + self._gap
        if wait > 0:
            await self._clock.sleep(wait)


async def within(
    clock: Clock,
    seconds: float,
    work: Coroutine[Any, Any, Outcome],
) -> Outcome:
    """Return what the work returns, if it ends in time.

    Raises:
        TimeoutError: If it did not; it is cancelled then.
    """
    worker = asyncio.ensure_future(work)
    timer = asyncio.ensure_future(clock.sleep(seconds))
    both = (worker, timer)
    try:
        await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
    finally:
        await _end(both)
    if worker.cancelled():
        raise TimeoutError
    return worker.result()


async def _end(tasks: tuple[asyncio.Future[Any], ...]) -> None:
    """Cancel what is not done, and wait until all have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


class Dialer:
    """Connects, and connects again after a wait with jitter.

    Args:
        context: Time, randomness and limits.
        connect: Connects to an address; true if there is a link then.
        is_linked: Tells whether there is a link to an address.
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
        self._pacer = Pacer(context.clock, limits.dials)
        self._backoff = Backoff(
            limits.first_wait,
            limits.most_wait,
            context.randomness,
        )
        self._tasks: dict[Address, asyncio.Task[None]] = {}
        self._lost: dict[Address, asyncio.Event] = {}

    def keep_links(self, addresses: Iterable[Address]) -> frozenset[Address]:
        """Keep links to these addresses, and no longer to others.

        Links that exist are left; only no new ones are made.
        """
        wanted = frozenset(addresses)
        for old in self._tasks.keys() - wanted:
            self._tasks.pop(old).cancel()
            self._lost.pop(old)
        for new in sorted(wanted - self._tasks.keys(), key=str):
            self._lost[new] = asyncio.Event()
            self._tasks[new] = asyncio.ensure_future(self._keep(new))
        return wanted

    def link_lost(self) -> None:
        """Let all tasks look again whether their link is there."""
        for lost in self._lost.values():
            lost.set()

    async def aclose(self) -> None:
        """End all tasks."""
        tasks = tuple(self._tasks.values())
        self.keep_links(())
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _keep(self, address: Address) -> None:
        failures = 0
        while True:
            await self._clock.sleep(self._backoff.delay(failures))
            if not await self._reach(address):
                failures += 1
                continue
            began = self._clock.now()
            await self._wait_until_lost(address)
            lasted = self._clock.now() - began
            failures = 0 if lasted > _STEADY else failures + 1

    async def _reach(self, address: Address) -> bool:
        if self._is_linked(address):
            return True
        await self._pacer.turn()
        if self._is_linked(address):
            return True
        return await self._connect(address)

    async def _wait_until_lost(self, address: Address) -> None:
        lost = self._lost[address]
        while self._is_linked(address):
            lost.clear()
            await lost.wait()
