"""Callers that don't take their answers while others need the memory.

They guard against a host whose memory is held by callers that read nothing: it
refused all others until those had been silent for half a minute.
"""

import unittest
from contextlib import ExitStack

from nutmegroad.overload.memory_budget import (
    EXCHANGE_BYTES,
    HeldPart,
    Holding,
    MemoryBudget,
)
from nutmegroad.overload.slow_callers import PATIENCE
from nutmegroad.testing.virtual import ManualClock


class SlowCallersTest(unittest.IsolatedAsyncioTestCase):
    """A budget for four exchanges, with callers that their answers wait for."""

    def setUp(self) -> None:
        """Open the budget."""
        self.clock = ManualClock(start=100)
        self.memory = MemoryBudget(4 * EXCHANGE_BYTES, self.clock)
        self.closed: list[int] = []
        self.stack = self.enterContext(ExitStack())

    async def wait_for(self, number: int) -> Holding:
        """Let an answer wait for a caller."""
        holding = self.memory.open()
        shortage = await holding.reserve(HeldPart.ANSWER, EXCHANGE_BYTES)
        self.assertIsNone(shortage)

        def close() -> None:
            """Close the connection; its request ends."""
            self.closed.append(number)
            holding.close()

        self.stack.enter_context(holding.awaiting_caller(close))
        self.clock._now += 1
        return holding

    async def test_those_leave_that_have_taken_nothing_for_longest(
        self,
    ) -> None:
        for number in range(4):
            await self.wait_for(number)
        self.clock._now += PATIENCE
        await self.wait_for(4)
        self.assertEqual(self.closed, [0])
        await self.wait_for(5)
        self.assertEqual(self.closed, [0, 1])

    async def test_callers_have_some_time_to_take_an_answer(self) -> None:
        """A request that finds no room meanwhile is refused."""
        for number in range(4):
            await self.wait_for(number)
        self.clock._now = 100 + PATIENCE - 0.1
        late = self.memory.open()
        self.assertIsNotNone(
            await late.reserve(HeldPart.ANSWER, EXCHANGE_BYTES)
        )
        self.assertEqual(self.closed, [])

    async def test_nobody_leaves_while_there_is_room(self) -> None:
        for number in range(3):
            await self.wait_for(number)
        self.clock._now += 10 * PATIENCE
        await self.wait_for(3)
        self.assertEqual(self.closed, [])

    async def test_who_takes_an_answer_is_no_longer_waited_for(self) -> None:
        with ExitStack() as taken:
            self.stack = taken
            for number in range(4):
                await self.wait_for(number)
        self.clock._now += PATIENCE
        late = self.memory.open()
        self.assertIsNotNone(
            await late.reserve(HeldPart.ANSWER, EXCHANGE_BYTES)
        )
        self.assertEqual(self.closed, [])


if __name__ == '__main__':
    unittest.main()
