"""The graceful stop of a host, which lets open requests complete.

The phases follow one another. At first the host is no longer ready but still
accepts requests, since the load balancer learns of this with a delay (lame
duck). Then new requests are refused as not run, while open ones continue. At
the time limit, requests that are still open are cancelled with an explicit
error.
"""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import IntEnum, unique
from typing import Final

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.timeouts import MAX_TIMER_DELAY
from nutmegroad.foundations.types import Ran

_LOG: Final = part_logger('stop')

#: Seconds between two checks for open requests.
POLL_INTERVAL: Final = 0.02

#: Seconds within which cancelled requests may still send their error.
CANCELLATION_GRACE: Final = 1.0


@unique
class StopPhase(IntEnum):
    """The phase of a host's graceful stop."""

    SERVING = 0
    LAME_DUCK = 1
    REFUSING = 2
    CANCELLING = 3


class GracefulStop:
    """Takes a host out of service while open requests complete.

    Args:
        clock: The host's clock.
        lame_duck: Seconds for which new requests are still accepted.
        limit: Seconds after which open requests are cancelled, counted from
            the start of the stop.
    """

    def __init__(self, clock: Clock, lame_duck: float, limit: float) -> None:
        self._clock = clock
        self._lame_duck = lame_duck
        self._limit = limit
        self._phase = StopPhase.SERVING
        self._open: dict[asyncio.Task[object], int] = {}
        self._listeners: list[Callable[[], object]] = []
        self._request_listeners: list[Callable[[], object]] = []

    @property
    def phase(self) -> StopPhase:
        """The current phase."""
        return self._phase

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send requests to this host."""
        return self._phase is StopPhase.SERVING

    @property
    def open_requests(self) -> int:
        """The number of open requests."""
        return sum(self._open.values())

    def on_start(self, listener: Callable[[], object]) -> None:
        """Register a function that is called when the stop starts."""
        self._listeners.append(listener)

    def on_stop_request(self, listener: Callable[[], object]) -> None:
        """Register a function that is called when a stop is requested."""
        self._request_listeners.append(listener)

    def request_stop(self) -> None:
        """Request a stop from the process of this host, without waiting."""
        for listener in self._request_listeners:
            listener()

    def refusal(self) -> Refusal | None:
        """Return why new requests are refused; None if they are accepted."""
        if self._phase < StopPhase.REFUSING:
            return None
        return _stopping_refusal(Ran.NOT_RUN)

    def gate_refusal(self) -> Refusal | None:
        """Return why no attempt may be sent any more, or None."""
        if self._phase is not StopPhase.CANCELLING:
            return None
        return _stopping_refusal(Ran.NOT_RUN)

    @contextmanager
    def track_request(self) -> Iterator[None]:
        """Count the current task as an open request within the context."""
        task = asyncio.current_task()
        if task is None:
            raise RuntimeError('a request must run in an asyncio task')
        self._open[task] = self._open.get(task, 0) + 1
        try:
            yield
        finally:
            self._open[task] -= 1
            if not self._open[task]:
                self._open.pop(task)

    async def run(self) -> int:
        """Stop gracefully.

        Returns:
            The number of requests that were cancelled; 0 if a stop is under
            way already.
        """
        if self._phase is not StopPhase.SERVING:
            return 0
        started = self._clock.now()
        self._phase = StopPhase.LAME_DUCK
        _LOG.info('stopping with %d open requests', self.open_requests)
        for listener in self._listeners:
            listener()
        await self._accept_late_requests(started + self._limit)
        self._phase = StopPhase.REFUSING
        await self._wait(started + self._limit)
        cancelled = self.open_requests
        self._phase = StopPhase.CANCELLING
        for task in tuple(self._open):
            task.cancel()
        await self._wait(self._clock.now() + CANCELLATION_GRACE)
        _LOG.info('stopped, %d requests were cancelled', cancelled)
        return cancelled

    async def _accept_late_requests(self, until: float) -> None:
        """Let the lame duck phase pass, at most until a clock time.

        A host that was paused meanwhile has answered no probe of the load
        balancer, so the time of the pause does not count.
        """
        remaining = self._lame_duck
        while remaining > MAX_TIMER_DELAY and self._clock.now() < until:
            wakes_at = min(self._clock.now() + remaining, until)
            await self._clock.sleep(wakes_at - self._clock.now())
            late = self._clock.now() - wakes_at
            remaining = min(late, self._lame_duck)

    async def _wait(self, until: float) -> None:
        """Wait until no request is open, at most until a clock time."""
        while self._open and self._clock.now() < until:
            await self._clock.sleep(POLL_INTERVAL)


def _stopping_refusal(ran: Ran) -> Refusal:
    """Return the refusal of a stopping host."""
    return Refusal(
        ResultCode.HOST_STOPPING,
        'This host is stopping; another host can take the request.',
        ran,
        retry_after=1,
    )


def cancelled_by_stop() -> Refusal:
    """Return the refusal of a request that was cancelled by the stop."""
    return Refusal(
        ResultCode.HOST_STOPPING,
        'This host stopped before the request was complete.',
        Ran.UNKNOWN,
        retry_after=1,
    )
