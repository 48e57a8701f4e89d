"""Clocks that are injected into the parts of the program."""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """A source of time; parts read the time and sleep only through it."""

    def now(self) -> float:
        """Return monotonic seconds since an arbitrary start."""

    def wall(self) -> float:
        """Return seconds since 1970; only for display and records."""

    async def sleep(self, seconds: float) -> None:
        """Sleep for a number of seconds."""


class BootClock:
    """A monotonic clock that keeps running while the machine is suspended.

    Time limits that other parties apply, such as the revocation of a key or
    a caller's wait, go on during a suspension too.
    """

    def now(self) -> float:
        """Return seconds since the machine booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since 1970."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Sleep on the running event loop."""
        await asyncio.sleep(seconds)


class SystemClock:
    """The system's monotonic and wall clocks, and the running event loop."""

    def now(self) -> float:
        """Return the seconds of the monotonic clock."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since 1970."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Sleep on the running event loop."""
        await asyncio.sleep(seconds)
