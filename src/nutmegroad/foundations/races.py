"""Staggered races between ways to reach the same goal.

The ways are started one after the other, each when the last one started has
failed or has not succeeded for a while; the first success wins. This is how
RFC 8305 ("Happy Eyeballs") connects to one of several addresses.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from typing import Any, Generic, TypeVar

from nutmegroad.foundations.timeouts import ReadTimeout

_Result = TypeVar('_Result')


#: Begins an attempt, and the seconds after which the next one is started.
Way = tuple[Callable[[], Awaitable[_Result]], float]


class StaggeredRace(Generic[_Result]):
    """A race whose losers are cancelled.

    Args:
        discard: Called with the result of a loser that can't be cancelled any
            more.
    """

    def __init__(self, discard: Callable[[_Result], None]) -> None:
        self._discard = discard
        self._running: set[asyncio.Task[_Result]] = set()
        #: Exceptions of the ways that have failed, in that order.
        self.errors: list[BaseException] = []

    async def run(self, ways: Iterable[Way[_Result]]) -> _Result | None:
        """Return the first result, or None if all ways have failed.

        Args:
            ways: The ways in order.
        """
        try:
            for start, head_start in ways:
                self._running.add(asyncio.ensure_future(start()))
                winner = await self._await_success(head_start)
                if winner is not None:
                    return winner.result()
            winner = await self._await_success(None)
            return None if winner is None else winner.result()
        finally:
            for loser in self._running:
                loser.add_done_callback(self._discard_result)
                loser.cancel()

    async def _await_success(
        self, seconds: float | None
    ) -> asyncio.Task[_Result] | None:
        """Wait until a way succeeds or the last one started has failed.

        Args:
            seconds: Maximum time to wait; None to wait until all have failed.
        """
        while self._running:
            await _wait_any(self._running, seconds)
            done = {each for each in self._running if each.done()}
            self._running.difference_update(done)
            for task in done:
                error = task.exception()
                if error is None:
                    self._running.update(done - {task})
                    return task
                self.errors.append(error)
            if seconds is not None:
                return None
        return None

    def _discard_result(self, task: asyncio.Task[_Result]) -> None:
        """Discard the result of a loser, if it has one."""
        if not task.cancelled() and task.exception() is None:
            self._discard(task.result())


async def _wait_any(
    tasks: set[asyncio.Task[Any]], seconds: float | None
) -> None:
    """Wait until one of some tasks is done, or until a ``ReadTimeout``."""
    first = asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    if seconds is None:
        await first
        return
    with suppress(TimeoutError):
        async with ReadTimeout(seconds):
            await first
