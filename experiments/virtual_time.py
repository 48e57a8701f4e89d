"""An event loop whose time passes only while every task waits.

When no task can run, the loop steps to the moment of the next timer. Hours
pass in seconds, timeouts of libraries included, and nothing depends on how
busy the machine is.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

Outcome = TypeVar('Outcome')

#: An arbitrary day, the same for every run.
WALL_START: Final = 1_700_000_000.0


class SteppingSelector(selectors.DefaultSelector):
    """Waits for nothing: it moves the time on instead.

    Attributes:
        now: Seconds that have passed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now: float = 0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Let the time until the next timer pass at once.

        Raises:
            RuntimeError: If there is none, so that all wait for ever.
        """
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError('Every task waits, and no timer is set.')
        self.now += max(0, timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on a time of its own."""

    def __init__(self) -> None:
        self._stepping = SteppingSelector()
        super().__init__(self._stepping)

    def time(self) -> float:
        """Return the seconds that have passed on this loop."""
        return self._stepping.now


class LoopClock:
    """The running loop's time, as parts of the program are given it."""

    def now(self) -> float:
        """Return the loop's seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return the same moment as seconds since 1970."""
        return WALL_START + self.now()

    async def sleep(self, seconds: float) -> None:
        """Wait on the loop."""
        await asyncio.sleep(max(0, seconds))


def run_virtually(work: Coroutine[Any, Any, Outcome]) -> Outcome:
    """Run a coroutine to its end on a loop of its own."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
