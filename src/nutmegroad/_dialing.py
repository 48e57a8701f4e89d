"""When to connect: backoff with jitter, a rate, and a time limit."""

import asyncio
import random
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any, Final, TypeVar

from nutmegroad.clocks import Clock

Outcome = TypeVar('Outcome')

#: More doublings of a wait would only overflow.
_MOST_DOUBLINGS: Final = 16


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
