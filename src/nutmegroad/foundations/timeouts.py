"""Timeouts on an injected clock."""

import asyncio
import math
from types import TracebackType
from typing import Self

from nutmegroad.foundations.clocks import Clock


class Watchdog:
    """An idle timeout and a deadline for a block of code.

    Like ``asyncio.timeout``, but on an injected clock; ``touch`` restarts the
    idle timeout. On expiry the block is cancelled and ends with
    ``TimeoutError``.

    Args:
        clock: The clock.
        idle_timeout: Seconds that may pass without a touch.
        deadline: Clock seconds at which the block ends in any case.
    """

    def __init__(
        self, clock: Clock, idle_timeout: float, deadline: float
    ) -> None:
        self._clock = clock
        self._idle_timeout = idle_timeout
        self._deadline = deadline
        self._touched_at = clock.now()
        self._expired = False
        self._guarded: asyncio.Task[object] | None = None
        self._watcher: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Start to watch the current task."""
        self._guarded = asyncio.current_task()
        self._watcher = asyncio.create_task(self._watch())
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop watching; turn this watchdog's cancellation into a timeout.

        Raises:
            TimeoutError: If the block was cancelled by this watchdog.
        """
        if self._watcher is not None:
            self._watcher.cancel()
        if not self._expired or self._guarded is None:
            return
        cancelled_by_others = self._guarded.uncancel() > 0
        if exc_type is asyncio.CancelledError and not cancelled_by_others:
            raise TimeoutError from exc

    def touch(self) -> None:
        """Restart the idle timeout, since there was activity."""
        self._touched_at = self._clock.now()

    def suspend(self) -> None:
        """Suspend the idle timeout until a touch; the deadline still holds."""
        self._touched_at = math.inf

    async def _watch(self) -> None:
        """Cancel the guarded task once a limit has been reached."""
        while True:
            expires_at = min(
                self._touched_at + self._idle_timeout, self._deadline
            )
            seconds_left = expires_at - self._clock.now()
            if seconds_left <= 0:
                break
            await self._clock.sleep(min(seconds_left, self._idle_timeout))
        self._expired = True
        if self._guarded is not None:
            self._guarded.cancel()
