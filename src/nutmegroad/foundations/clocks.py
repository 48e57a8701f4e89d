"""Time, as the parts of the program are given it."""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """The only way in which a part may learn the time or wait."""

    def now(self) -> float:
        """Return seconds since an arbitrary start; it never goes back."""

    def wall(self) -> float:
        """Return seconds since 1970, for people and for records only."""

    async def sleep(self, seconds: float) -> None:
        """Wait for so many seconds."""


class BootClock:
    """A steady clock that goes on while the machine is suspended.

    What others hold against us counts that time too: a key that was taken
    away, a caller who waits.
    """

    def now(self) -> float:
        """Return seconds since the machine booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return the wall clock's seconds."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Wait on the event loop."""
        await asyncio.sleep(seconds)


class SystemClock:
    """The machine's own clocks and the running event loop."""

    def now(self) -> float:
        """Return the monotonic clock's seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the wall clock's seconds."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Wait on the event loop."""
        await asyncio.sleep(seconds)
