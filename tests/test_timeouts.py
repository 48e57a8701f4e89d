"""Tests of timeouts in a process that was blocked or suspended.

They guard against input that has arrived meanwhile, but counts as missing
because timers expire before connections are read.
"""

import asyncio
import time
import unittest

from nutmegroad.foundations.timeouts import (
    MAX_EXTENSIONS,
    READ_GRACE,
    ReadTimeout,
    Watchdog,
)

#: Seconds for which the process does not run.
PAUSE = 3.0


class PausedClock:
    """A clock in a process that is suspended once, during the first sleep.

    Attributes:
        arrived: Set when the process reads the input that arrived meanwhile.
    """

    def __init__(self) -> None:
        self.arrived = asyncio.Event()
        self._now: float = 0
        self._sleeps = 0

    def now(self) -> float:
        """Return the seconds since the start."""
        return self._now

    def wall(self) -> float:
        """Return the seconds since the start."""
        return self._now

    async def sleep(self, seconds: float) -> None:
        """Advance the clock; the process reads its input a little later."""
        self._sleeps += 1
        self._now += seconds
        if self._sleeps == 1:
            self._now += PAUSE
        await asyncio.sleep(0)
        if self._sleeps > 1:
            self.arrived.set()
            await asyncio.sleep(0)
            await asyncio.sleep(0)


class WatchdogTest(unittest.IsolatedAsyncioTestCase):
    async def test_input_that_arrived_during_a_pause_counts(self) -> None:
        """It guards against attempts cut by the pause of their own host."""
        clock = PausedClock()
        async with Watchdog(clock, 1, 100):
            await clock.arrived.wait()

    async def test_missing_input_ends_the_block_after_a_pause(self) -> None:
        with self.assertRaises(TimeoutError):
            async with Watchdog(PausedClock(), 1, 100):
                await asyncio.Event().wait()


class ReadTimeoutTest(unittest.IsolatedAsyncioTestCase):
    async def test_input_that_arrived_while_blocked_counts(self) -> None:
        """It guards against answers lost to a blocked event loop."""
        loop = asyncio.get_running_loop()
        arrived = asyncio.Event()
        loop.call_later(READ_GRACE / 2, time.sleep, 2 * READ_GRACE)
        loop.call_later(3 * READ_GRACE, arrived.set)
        async with ReadTimeout(READ_GRACE):
            await arrived.wait()

    async def test_a_loop_that_is_always_blocked_times_out(self) -> None:
        """The timeout is extended a few times only."""
        blocks = 0

        def block() -> None:
            nonlocal blocks
            blocks += 1
            time.sleep(READ_GRACE * 2)
            asyncio.get_running_loop().call_soon(block)

        asyncio.get_running_loop().call_soon(block)
        with self.assertRaises(TimeoutError):
            async with ReadTimeout(READ_GRACE):
                await asyncio.Event().wait()
        self.assertGreaterEqual(blocks, MAX_EXTENSIONS)

    async def test_it_expires_without_a_pause(self) -> None:
        with self.assertRaises(TimeoutError):
            async with ReadTimeout(0):
                await asyncio.Event().wait()
