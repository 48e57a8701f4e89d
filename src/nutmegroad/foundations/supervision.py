"""Supervision of tasks that have to run for as long as their host.

What such a task keeps current grows old once it has failed. It is therefore
started again, and its owner can tell which tasks do not run as they should.
"""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any, Final, NewType

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger

_LOG: Final = part_logger('tasks')

TaskLabel = NewType('TaskLabel', str)

#: Seconds until a task that has failed is started again. The pause doubles with
#: each further failure.
MIN_RESTART_PAUSE: Final = 0.1
MAX_RESTART_PAUSE: Final = 5.0

#: Seconds for which a task has to run until its failures are forgotten; longer
#: than any of them waits between two steps.
STABLE_SECONDS: Final = 30.0

#: Runs a task from its beginning.
TaskStart = Callable[[], Coroutine[Any, Any, None]]


@dataclass(slots=True)
class _Failures:
    """The failures of one task.

    Attributes:
        count: Number of failures since it last ran for long enough.
        last: Clock seconds of the last one.
        pause: Seconds from it until the task is started again.
    """

    count: int = 0
    last: float = float('-inf')
    pause: float = 0

    def record(self, now: float) -> float:
        """Record a failure, and return the pause in seconds after it."""
        if now - self.last >= STABLE_SECONDS:
            self.count = 0
            self.pause = MIN_RESTART_PAUSE / 2
        self.count += 1
        self.last = now
        self.pause = min(MAX_RESTART_PAUSE, self.pause * 2)
        return self.pause


class Supervisor:
    """Starts tasks again that fail.

    Args:
        clock: The host's clock.
        on_failure: Called with the name of each task that has failed.
    """

    @property
    def failing(self) -> tuple[TaskLabel, ...]:
        """Names of the tasks that have failed a short time ago."""
        oldest = self._clock.now() - STABLE_SECONDS
        return tuple(
            name
            for name, failures in self._failures.items()
            if failures.last > oldest
        )

    def __init__(
        self,
        clock: Clock,
        on_failure: Callable[[TaskLabel], None] | None = None,
    ) -> None:
        self._clock = clock
        self._on_failure = on_failure
        self._failures: dict[TaskLabel, _Failures] = {}

    def start(
        self, tasks: Mapping[TaskLabel, TaskStart], stack: AsyncExitStack
    ) -> None:
        """Start tasks by their names, and end them when a stack closes."""
        for name, start in tasks.items():
            task = asyncio.create_task(self.run(name, start), name=name)
            stack.callback(task.cancel)

    async def run(self, name: TaskLabel, start: TaskStart) -> None:
        """Run a task to its end, and start it again whenever it fails.

        Args:
            name: Name of the task.
            start: Runs it from its beginning.
        """
        while True:
            try:
                return await start()
            except Exception as problem:
                pause = self._record(name, problem)
            await self._clock.sleep(pause)

    def _record(self, name: TaskLabel, problem: Exception) -> float:
        """Record a failure of a task, and return the pause until its start."""
        failures = self._failures.setdefault(name, _Failures())
        pause = failures.record(self._clock.now())
        if self._on_failure is not None:
            self._on_failure(name)
        _LOG.exception(
            'task %s failed (%d in a row), is started again in %.1f s',
            name,
            failures.count,
            pause,
            cause=problem,
        )
        return pause
