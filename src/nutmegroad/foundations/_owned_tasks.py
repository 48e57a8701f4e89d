"""Background tasks that belong to one owner and end with it."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

from nutmegroad.foundations.logs import part_logger

_LOG: Final = part_logger('tasks')

Outcome = TypeVar('Outcome')


class OwnedTasks:
    """Starts tasks, keeps them referenced, and cancels them at the end."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()
        self._closed = False

    def __len__(self) -> int:
        """Return how many tasks are running."""
        return len(self._tasks)

    def start(
        self,
        work: Coroutine[Any, Any, Outcome],
    ) -> asyncio.Task[Outcome]:
        """Run work in a task of its own; after the end it is cancelled."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        if self._closed:
            task.cancel()
        return task

    async def aclose(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        self._closed = True
        current = asyncio.current_task()
        waiting = [task for task in self._tasks if task is not current]
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)

    def _finish(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOG.error('a task failed: %r', task.exception())
