"""An event loop on virtual time: it advances to the next timer immediately."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

Result = TypeVar('Result')

#: Wall-clock time at virtual time 0, in seconds since 1970.
_WALL_START: Final = 1_700_000_000.0


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances virtual time by each time-out instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.now: float = 0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance virtual time by the time-out; no file is ever ready.

        Raises:
            RuntimeError: If no timer is scheduled, so that no task could ever
                resume.
        """
        if timeout is None:
            message = 'Deadlock: all tasks are waiting and no timer is set.'
            raise RuntimeError(message)
        self.now += max(0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is virtual."""

    def __init__(self) -> None:
        self._virtual = _VirtualTimeSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.now


class VirtualClock:
    """A clock that shows the time of a virtual event loop.

    Args:
        loop: The event loop.
    """

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self._loop.time()

    def wall(self) -> float:
        """Return the virtual wall-clock time in seconds since 1970."""
        return _WALL_START + self._loop.time()

    async def sleep(self, seconds: float) -> None:
        """Sleep for a number of virtual seconds."""
        await asyncio.sleep(seconds)


def run_and_close(loop: VirtualLoop, main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to completion on a virtual loop, then close the loop.

    Tasks that are still pending are not cancelled.
    """
    try:
        loop.run_until_complete(main)
    finally:
        loop.close()


def run_on_virtual_loop(
    loop: VirtualLoop,
    work: Coroutine[Any, Any, Result],
) -> Result:
    """Run a coroutine to completion, then cancel the tasks still pending.

    Returns:
        The coroutine's result.
    """
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(work)
