"""Tests of the graceful stop: refuse new requests, let open ones complete."""

import asyncio
import unittest

from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Ran
from nutmegroad.kernel.stops import GracefulStop, StopPhase
from nutmegroad.testing.virtual import ManualClock


class StopTest(unittest.IsolatedAsyncioTestCase):
    """Tests of the phases of a stop."""

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.stop = GracefulStop(self.clock, lame_duck=1, limit=10)
        self.outcomes: list[str] = []

    def open_request(self, seconds: float) -> asyncio.Task[None]:
        async def work() -> None:
            with self.stop.track_request():
                try:
                    await self.clock.sleep(seconds)
                    self.outcomes.append('completed')
                except asyncio.CancelledError:
                    self.outcomes.append('cancelled')

        return asyncio.create_task(work())

    async def test_host_is_not_ready_before_it_refuses_requests(self) -> None:
        phases: list[StopPhase] = []
        self.stop.on_start(lambda: phases.append(self.stop.phase))
        task = asyncio.create_task(self.stop.run())
        await self.clock.settle()
        self.assertFalse(self.stop.is_ready)
        self.assertIsNone(self.stop.refusal())
        self.assertEqual(phases, [StopPhase.LAME_DUCK])
        await self.clock.advance(1)
        refusal = self.stop.refusal()
        assert refusal is not None
        self.assertEqual(refusal.code, ResultCode.HOST_STOPPING)
        self.assertIs(refusal.ran, Ran.NOT_RUN)
        self.assertGreater(refusal.retry_after, 0)
        self.assertEqual(await task, 0)

    async def test_a_pause_does_not_shorten_the_lame_duck_phase(self) -> None:
        """It guards against refusals before the load balancer has asked."""
        task = asyncio.create_task(self.stop.run())
        await self.clock.settle()
        await self.clock.jump(3)
        self.assertIsNone(self.stop.refusal())
        await self.clock.advance(0.9)
        self.assertIsNone(self.stop.refusal())
        await self.clock.advance(0.2)
        self.assertIsNotNone(self.stop.refusal())
        self.assertEqual(await task, 0)

    async def test_open_requests_complete_and_may_still_send(self) -> None:
        request = self.open_request(7)
        task = asyncio.create_task(self.stop.run())
        await self.clock.advance(6)
        self.assertFalse(task.done())
        self.assertIsNone(self.stop.gate_refusal())
        await self.clock.advance(2)
        await request
        self.assertEqual(await task, 0)
        self.assertEqual(self.outcomes, ['completed'])

    async def test_requests_open_at_the_limit_are_cancelled(self) -> None:
        request = self.open_request(99)
        task = asyncio.create_task(self.stop.run())
        await self.clock.advance(10.1)
        # Without this check a stop that cancels nothing would hang the test.
        self.assertEqual(self.outcomes, ['cancelled'])
        await request
        self.assertTrue(task.done())
        self.assertEqual(await task, 1)
        self.assertIsInstance(self.stop.gate_refusal(), Refusal)

    async def test_a_second_stop_changes_nothing(self) -> None:
        request = self.open_request(7)
        task = asyncio.create_task(self.stop.run())
        await self.clock.advance(2)
        second = asyncio.create_task(self.stop.run())
        await self.clock.settle()
        # Without this check a second stop that restarts would hang the test.
        self.assertTrue(second.done())
        self.assertEqual(await second, 0)
        self.assertFalse(request.done())
        await self.clock.advance(6)
        self.assertTrue(request.done())
        await request
        self.assertTrue(task.done())
        self.assertEqual(await task, 0)
        self.assertEqual(self.outcomes, ['completed'])
