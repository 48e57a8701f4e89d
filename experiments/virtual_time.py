"""An event loop on which waiting takes no time: it jumps to the next timer."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

Outcome = TypeVar('Outcome')

_WALL: Final = 1_700_000_000.0


class _JumpingSelector(selectors.SelectSelector):
    """Waits for nothing; the time asked for is taken as past."""

    def __init__(self) -> None:
        super().__init__()
        self.now: float = 0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Let the time pass at once.

        Raises:
            RuntimeError: If nothing is left that could ever happen.
        """
        if timeout is None:
            message = 'Every task waits for something that never comes.'
            raise RuntimeError(message)
        self.now += max(0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop with a time of its own."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual seconds."""
        return self._jumping.now


class VirtualClock:
    """The clock of a virtual loop.

    Args:
        loop: The loop.
    """

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def now(self) -> float:
        """Return the virtual seconds."""
        return self._loop.time()

    def wall(self) -> float:
        """Return virtual seconds since 1970."""
        return _WALL + self._loop.time()

    async def sleep(self, seconds: float) -> None:
        """Wait for virtual seconds."""
        await asyncio.sleep(seconds)


def run_virtual(loop: VirtualLoop, main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to its end on a virtual loop."""
    try:
        loop.run_until_complete(main)
    finally:
        loop.close()


def run_virtually(
    loop: VirtualLoop,
    work: Coroutine[Any, Any, Outcome],
) -> Outcome:
    """Run a coroutine to its end, and cancel what it left behind."""
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(work)
