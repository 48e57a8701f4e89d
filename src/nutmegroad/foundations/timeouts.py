"""Timeouts that count only time in which this process could read input.

Timers expire before connections are read. When an event loop was blocked or its
process suspended, input that arrived in time would count as missing. A timer
that expires late therefore first leaves some time for reading.
"""

import asyncio
import math
from contextlib import suppress
from types import TracebackType
from typing import Final, Self, TypeVar

from nutmegroad.foundations.clocks import Clock

_Result = TypeVar('_Result')

#: Seconds by which a timer may expire late on a busy machine. A later one shows
#: that the event loop was blocked.
MAX_TIMER_DELAY: Final = 0.02

#: Seconds in which input that has arrived meanwhile is read.
READ_GRACE: Final = 0.1

#: Maximum number of times that a timeout is extended. On a machine that may not
#: run for a tenth of a second at a time, timers are late again and again.
MAX_EXTENSIONS: Final = 2


class ReadTimeout:
    """A timeout for a block of code that awaits input.

    Like ``asyncio.timeout``, but extended if the event loop was blocked when it
    expired.

    Args:
        seconds: Seconds after which the block ends with ``TimeoutError``.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._due: float = 0
        self._extensions = 0
        self._timer: asyncio.TimerHandle | None = None
        self._timeout = asyncio.timeout(None)

    async def __aenter__(self) -> Self:
        """Start the timeout."""
        loop = asyncio.get_running_loop()
        await self._timeout.__aenter__()
        self._due = loop.time() + self._seconds
        self._timer = loop.call_at(self._due, self._expire, loop)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop the timeout.

        Raises:
            TimeoutError: If it has expired.
        """
        if self._timer is not None:
            self._timer.cancel()
        await self._timeout.__aexit__(exc_type, exc, traceback)

    def _expire(self, loop: asyncio.AbstractEventLoop) -> None:
        """End the block, or leave time for reading if this is called late."""
        now = loop.time()
        is_late = now - self._due > MAX_TIMER_DELAY
        if is_late and self._extensions < MAX_EXTENSIONS:
            self._extensions += 1
            self._due = now + READ_GRACE
            self._timer = loop.call_at(self._due, self._expire, loop)
        else:
            self._timeout.reschedule(now)


async def wait_done(awaited: asyncio.Future[_Result], seconds: float) -> bool:
    """Wait for a future until a ``ReadTimeout``; return whether it is done."""
    with suppress(TimeoutError):
        async with ReadTimeout(seconds):
            await asyncio.wait((awaited,))
    return awaited.done()


class Watchdog:
    """An idle timeout and a deadline for a block of code.

    Like ``ReadTimeout``, but on an injected clock; ``touch`` restarts the idle
    timeout. On expiry the block is cancelled and ends with ``TimeoutError``.

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
        extensions = 0
        while True:
            expires_at = min(
                self._touched_at + self._idle_timeout, self._deadline
            )
            seconds_left = expires_at - self._clock.now()
            if seconds_left <= 0:
                break
            is_late = await self._sleep(min(seconds_left, self._idle_timeout))
            if is_late and extensions < MAX_EXTENSIONS:
                extensions += 1
                await self._clock.sleep(READ_GRACE)
        self._expired = True
        if self._guarded is not None:
            self._guarded.cancel()

    async def _sleep(self, seconds: float) -> bool:
        """Sleep; return whether the process was paused meanwhile."""
        wakes_at = self._clock.now() + seconds
        await self._clock.sleep(seconds)
        return self._clock.now() - wakes_at > MAX_TIMER_DELAY
