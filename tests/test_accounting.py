"""Tests of the accounting of control costs per part.

Guards against charging a part for the processor time of other tasks.
"""

import asyncio
import unittest

from nutmegroad.foundations.accounting import Ledger, MeteredCoroutine, PartCost


class ManualProcessorTime:
    """Processor time that a test advances."""

    def __init__(self) -> None:
        self.seconds: float = 0

    def __call__(self) -> float:
        return self.seconds

    async def work(self) -> str:
        """Spend 3 seconds in two steps, while another task spends 50."""
        self.seconds += 1
        asyncio.get_running_loop().call_soon(self.spend, 50)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.seconds += 2
        return 'done'

    def spend(self, seconds: float) -> None:
        self.seconds += seconds


class LedgerTest(unittest.IsolatedAsyncioTestCase):
    """Totals per part, and processor time per task."""

    def test_totals_are_per_part(self) -> None:
        ledger = Ledger(ManualProcessorTime())
        ledger.add_sent('one', 10)
        ledger.add_sent('one', 5)
        ledger.add_received('two', 7)
        ledger.count_event('refused')
        self.assertEqual(
            ledger.costs(),
            {
                'one': PartCost(sent_bytes=15, sent_messages=2),
                'two': PartCost(received_bytes=7, received_messages=1),
            },
        )
        self.assertEqual(ledger.events(), {'refused': 1})

    async def test_task_is_charged_for_its_own_steps_only(self) -> None:
        processor = ManualProcessorTime()
        ledger = Ledger(processor)
        metered = MeteredCoroutine(ledger, 'part', processor.work())
        self.assertEqual(await asyncio.create_task(metered), 'done')
        self.assertEqual(processor.seconds, 53)
        self.assertEqual(ledger.costs()['part'].processor_seconds, 3)

    async def test_cancelled_task_ends(self) -> None:
        ledger = Ledger(ManualProcessorTime())
        metered = MeteredCoroutine(ledger, 'part', asyncio.sleep(1000))
        task = asyncio.create_task(metered)
        await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
