"""A graceful stop: readiness falls, open requests end whole, then we close.

The phases follow one another. While *leaving*, the host is not ready any
more but still serves, as the balancer learns of it late. While *refusing*,
new work is refused as not run and what is open goes on. At the limit what
is still open is *ended* with an explicit error.
"""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import IntEnum, unique
from typing import Final

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Ran

_LOG: Final = part_logger('stop')

#: Seconds between looks at what is still open.
STEP: Final = 0.02

#: Seconds in which what is ended may still send its error.
LAST_WORDS: Final = 1.0


@unique
class Phase(IntEnum):
    """How far a host's stop has come."""

    SERVING = 0
    LEAVING = 1
    REFUSING = 2
    ENDING = 3


class GracefulStop:
    """Takes a host out of service without cutting a request.

    Args:
        clock: The host's clock.
        lame_duck: Seconds for which new work is still served.
        limit: Seconds that the stop may take in all.
    """

    def __init__(self, clock: Clock, lame_duck: float, limit: float) -> None:
        self._clock = clock
        self._lame_duck = lame_duck
        self._limit = limit
        self._phase = Phase.SERVING
        self._open: dict[asyncio.Task[object], int] = {}
        self._listeners: list[Callable[[], object]] = []
        self._asked: list[Callable[[], object]] = []

    @property
    def phase(self) -> Phase:
        """Return how far the stop has come."""
        return self._phase

    @property
    def is_ready(self) -> bool:
        """Tell whether the balancer may send callers here."""
        return self._phase is Phase.SERVING

    @property
    def open_requests(self) -> int:
        """Return how many requests are open."""
        return sum(self._open.values())

    def listen(self, listener: Callable[[], object]) -> None:
        """Call a function as soon as the stop begins."""
        self._listeners.append(listener)

    def when_asked(self, listener: Callable[[], object]) -> None:
        """Call a function when somebody asks that the host stop."""
        self._asked.append(listener)

    def ask(self) -> None:
        """Ask whoever runs this host to stop it, and return at once."""
        for listener in self._asked:
            listener()

    def refusal(self) -> Refusal | None:
        """Return why new work is not taken, or None."""
        if self._phase < Phase.REFUSING:
            return None
        return _stopping(Ran.NOT_RUN)

    def gate_refusal(self) -> Refusal | None:
        """Return why no first byte may go out any more, or None."""
        return _stopping(Ran.NOT_RUN) if self._phase is Phase.ENDING else None

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count the running task as an open request."""
        task = asyncio.current_task()
        if task is None:
            raise RuntimeError('requests run in tasks')
        self._open[task] = self._open.get(task, 0) + 1
        try:
            yield
        finally:
            self._open[task] -= 1
            if not self._open[task]:
                self._open.pop(task)

    async def run(self) -> int:
        """Stop; return how many requests had to be ended."""
        if self._phase is not Phase.SERVING:
            return 0
        began = self._clock.now()
        self._phase = Phase.LEAVING
        _LOG.info('stopping with %d open requests', self.open_requests)
        for listener in self._listeners:
            listener()
        await self._clock.sleep(min(self._lame_duck, self._limit))
        self._phase = Phase.REFUSING
        await self._wait(began + self._limit)
        left = self.open_requests
        self._phase = Phase.ENDING
        for task in tuple(self._open):
            task.cancel()
        await self._wait(self._clock.now() + LAST_WORDS)
        _LOG.info('stopped, %d requests were ended', left)
        return left

    async def _wait(self, until: float) -> None:
        """Wait until nothing is open, or until a moment."""
        while self._open and self._clock.now() < until:
            await self._clock.sleep(STEP)


def _stopping(ran: Ran) -> Refusal:
    """Say that this host is stopping."""
    return Refusal(
        ResultCode.HOST_STOPPING,
        'This host is stopping; another one will take the request.',
        ran,
        retry_after=1,
    )


def ended_by_stop() -> Refusal:
    """Say that a request was still open at the end of a stop."""
    return Refusal(
        ResultCode.HOST_STOPPING,
        'This host had to stop before the request had ended.',
        Ran.UNKNOWN,
        retry_after=1,
    )
