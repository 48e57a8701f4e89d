"""Bounds on how long something may take, on the clock that is given."""

import asyncio
import math
from types import TracebackType
from typing import Self

from nutmegroad.foundations.clocks import Clock


class Watchdog:
    """Cancels the block that it guards when nothing was heard for long.

    Like ``asyncio.timeout``, but on an injected clock, and ``touch`` starts
    the time anew. The block ends with ``TimeoutError``.

    Args:
        clock: The clock.
        quiet: Seconds without a touch that are too long.
        deadline: Clock seconds at which the block ends in any case.
    """

    def __init__(self, clock: Clock, quiet: float, deadline: float) -> None:
        self._clock = clock
        self._quiet = quiet
        self._deadline = deadline
        self._touched = clock.now()
        self._expired = False
        self._guarded: asyncio.Task[object] | None = None
        self._watcher: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Begin to watch the running task."""
        self._guarded = asyncio.current_task()
        self._watcher = asyncio.create_task(self._watch())
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop watching; turn our own cancellation into a time-out.

        Raises:
            TimeoutError: If the block was cancelled by this watchdog.
        """
        if self._watcher is not None:
            self._watcher.cancel()
        if not self._expired or self._guarded is None:
            return
        foreign = self._guarded.uncancel() > 0
        if exc_type is asyncio.CancelledError and not foreign:
            raise TimeoutError from exc

    def touch(self) -> None:
        """Note that something was heard."""
        self._touched = self._clock.now()

    def hold(self) -> None:
        """Wait for somebody else; only the deadline counts until a touch."""
        self._touched = math.inf

    async def _watch(self) -> None:
        """Sleep until the bound, and again if it has moved."""
        while True:
            bound = min(self._touched + self._quiet, self._deadline)
            left = bound - self._clock.now()
            if left <= 0:
                break
            await self._clock.sleep(min(left, self._quiet))
        self._expired = True
        if self._guarded is not None:
            self._guarded.cancel()
