"""Detects pauses of this process, and holds back dispatch after them.

A process that was suspended for a while continues with its queued work and
with a configuration as old as the pause. The detector ticks on the host's
clock; a long gap between two ticks is a pause. After a pause nothing is
dispatched until a read of the configuration that began after it has confirmed
the configuration. If no read succeeds within a lease, the host is isolated,
and the rules for isolated hosts apply.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode

_LOG: Final = part_logger('pauses')

#: Seconds between ticks.
TICK_INTERVAL: Final = 0.1

#: Seconds without a tick that count as a pause. A busy event loop delays
#: ticks by less.
MIN_PAUSE: Final = 1.0

#: Maximum seconds for which a request is held after a pause. A host that can't
#: confirm its configuration by then refuses, so that the caller can ask another
#: one.
CONFIRMATION_WAIT: Final = 0.5

#: Seconds between checks whether a held request may be dispatched.
CHECK_INTERVAL: Final = 0.01


class PauseDetector:
    """Detects pauses of its own process.

    Args:
        clock: The host's clock.
        configuration: The host's configuration; has the time of its last
            confirmation.
        lease: Seconds without a confirmation after which the host is isolated.
        min_pause: Seconds without a tick that count as a pause.
    """

    def __init__(
        self,
        clock: Clock,
        configuration: Configuration,
        lease: float,
        min_pause: float = MIN_PAUSE,
    ) -> None:
        #: Number of pauses detected since the start.
        self.pauses = 0
        self._clock = clock
        self._configuration = configuration
        self._lease = lease
        self._min_pause = min_pause
        self._last_tick_at = clock.now()
        #: End of the last pause; None while dispatch is not held back.
        self._resumed_at: float | None = None
        self._pause_detected = asyncio.Event()

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await self._clock.sleep(TICK_INTERVAL)

    async def confirm_after_pauses(
        self, poll: Callable[[], Awaitable[object]]
    ) -> None:
        """After each pause, poll until dispatch is allowed again.

        Args:
            poll: Reads the configuration anew.
        """
        while True:
            await self._pause_detected.wait()
            self._pause_detected.clear()
            while self.dispatch_refusal() is not None:
                await poll()
                await self._clock.sleep(TICK_INTERVAL)

    async def wait_until_confirmed(self) -> None:
        """Wait until dispatch is allowed, at most ``CONFIRMATION_WAIT``."""
        latest = self._clock.now() + CONFIRMATION_WAIT
        while self._is_held() and self._clock.now() < latest:
            await self._clock.sleep(CHECK_INTERVAL)

    def tick(self) -> None:
        """Record that the process runs, and detect a pause before now."""
        now = self._clock.now()
        gap = now - self._last_tick_at
        self._last_tick_at = now
        if gap >= self._min_pause:
            self.pauses += 1
            self._resumed_at = now
            self._pause_detected.set()
            _LOG.warning('this process was paused for %.2f s', gap)

    def dispatch_refusal(self) -> Refusal | None:
        """Return why nothing may be dispatched now, or None."""
        # Queued work may run before the next regular tick.
        self.tick()
        if self._resumed_at is None:
            return None
        now = self._clock.now()
        confirmed_at = now - self._configuration.confirmation_age
        is_confirmed = confirmed_at >= self._resumed_at
        # After a lease without a confirmation the host counts as isolated.
        if is_confirmed or now - self._resumed_at >= self._lease:
            self._resumed_at = None
            return None
        return Refusal(
            ResultCode.HOST_PAUSED,
            'This host was paused and has not confirmed its configuration '
            'since.',
            retry_after=1,
        )

    def _is_held(self) -> bool:
        """Return whether nothing may be dispatched now."""
        return self.dispatch_refusal() is not None
