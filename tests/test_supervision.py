"""Tests of tasks that are started again when they end."""

import asyncio
import unittest
from contextlib import AsyncExitStack

from experiments.virtual_time import (
    VirtualClock,
    VirtualLoop,
    run_on_virtual_loop,
)

from nutmegroad.foundations.supervision import (
    MAX_RESTART_PAUSE,
    MIN_RESTART_PAUSE,
    STABLE_SECONDS,
    Supervisor,
    TaskLabel,
)

NAME = TaskLabel('table')


class SupervisorTest(unittest.TestCase):
    """A task that has to run as long as its host does not stay ended."""

    def setUp(self) -> None:
        self.starts: list[float] = []
        self.failed: list[str] = []

    def play(self, seconds: float, endings: list[Exception]) -> bool:
        """Run a task that ends some times, then runs on.

        Returns:
            Whether it counts as failing after some seconds.
        """
        loop = VirtualLoop()
        work = self._play(VirtualClock(loop), seconds, endings)
        return run_on_virtual_loop(loop, work)

    async def _play(
        self,
        clock: VirtualClock,
        seconds: float,
        endings: list[Exception],
    ) -> bool:
        supervisor = Supervisor(clock, self.failed.append)

        async def task() -> None:
            self.starts.append(clock.now())
            if not endings:
                await asyncio.Event().wait()
            raise endings.pop(0)

        async with AsyncExitStack() as stack:
            supervisor.start({NAME: task}, stack)
            await clock.sleep(seconds)
            return NAME in supervisor.failing

    # Guards against a task that has ended and is never started again: what it
    # kept current grows old, while its host says that it is ready.
    def test_a_task_that_ends_is_started_again(self) -> None:
        for problem in (RecursionError('nested'), ValueError('odd')):
            with self.subTest(problem=problem), self.assertLogs('absl'):
                self.starts.clear()
                self.assertTrue(self.play(1, [problem]))
                self.assertEqual(len(self.starts), 2)

    def test_it_no_longer_counts_as_failing_once_it_has_run(self) -> None:
        with self.assertLogs('absl'):
            self.assertFalse(self.play(STABLE_SECONDS + 1, [ValueError('x')]))
        self.assertEqual(self.failed, [NAME])

    def test_pauses_grow_up_to_a_limit(self) -> None:
        with self.assertLogs('absl'):
            self.play(60, [ValueError('x') for _ in range(12)])
        pauses = [
            round(after - before, 3)
            for before, after in zip(self.starts, self.starts[1:], strict=False)
        ]
        self.assertEqual(pauses[0], MIN_RESTART_PAUSE)
        self.assertEqual(max(pauses), MAX_RESTART_PAUSE)
        self.assertEqual(pauses, sorted(pauses))
