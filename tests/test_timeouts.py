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
)


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
