"""Background tasks that are cancelled when their owner closes."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

from nutmegroad.foundations.logs import part_logger

_LOG: Final = part_logger('tasks')

Outcome = TypeVar('Outcome')


class OwnedTasks:
    """Starts tasks, keeps references to them, and cancels them on close."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()
        self._closed = False

    def __len__(self) -> int:
        """Return the number of running tasks."""
        return len(self._tasks)

    def start(
        self,
        work: Coroutine[Any, Any, Outcome],
    ) -> asyncio.Task[Outcome]:
        """Run a coroutine in a new task; after ``aclose``, cancel it."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._remove)
        if self._closed:
            task.cancel()
        return task

    async def aclose(self) -> None:
        """Cancel all tasks except the current one, and wait for their end."""
        self._closed = True
        current = asyncio.current_task()
        others = [task for task in self._tasks if task is not current]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    def _remove(self, task: asyncio.Task[Any]) -> None:
        """Drop the reference to a finished task; log its failure."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOG.error('background task failed: %r', task.exception())
