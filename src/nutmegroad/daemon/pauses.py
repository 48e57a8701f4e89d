"""Notices that this host was paused, and holds dispatch until it has asked.

A process that was stopped for a while goes on with what it had queued, on
knowledge as old as the pause. The detector ticks on the host's clock; a gap
between ticks is a pause. From then on nothing is sent until a read of the
configuration, begun after the pause, has confirmed it. Where none succeeds
within a lease, the host is isolated and the rules of isolation hold.
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
TICK: Final = 0.1

#: Seconds without a tick that count as a pause; a busy event loop comes
#: late by less.
GAP: Final = 1.0


class PauseDetector:
    """Finds pauses of its own process.

    Args:
        clock: The host's clock.
        configuration: Tells when it was last confirmed.
        lease: Seconds after which unconfirmed means isolated.
        gap: Seconds without a tick that count as a pause.
    """

    def __init__(
        self,
        clock: Clock,
        configuration: Configuration,
        lease: float,
        gap: float = GAP,
    ) -> None:
        #: Pauses found since the start.
        self.pauses = 0
        self._clock = clock
        self._configuration = configuration
        self._lease = lease
        self._gap = gap
        self._ticked = clock.now()
        self._resumed: float | None = None
        self._found = asyncio.Event()

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await self._clock.sleep(TICK)

    async def confirm_after(self, ask: Callable[[], Awaitable[object]]) -> None:
        """Ask for a confirmation at once after each pause."""
        while True:
            await self._found.wait()
            self._found.clear()
            while self.refusal() is not None:
                await ask()
                await self._clock.sleep(TICK)

    def tick(self) -> None:
        """Note that the process runs, and whether it had been paused."""
        now = self._clock.now()
        quiet = now - self._ticked
        self._ticked = now
        if quiet >= self._gap:
            self.pauses += 1
            self._resumed = now
            self._found.set()
            _LOG.warning('this host was paused for %.2f s', quiet)

    def refusal(self) -> Refusal | None:
        """Return why nothing may be sent now, or None."""
        # The look comes first: queued work may run before the next tick.
        self.tick()
        if self._resumed is None:
            return None
        now = self._clock.now()
        confirmed = now - self._configuration.confirmation_age
        if confirmed >= self._resumed or now - self._resumed >= self._lease:
            self._resumed = None
            return None
        return Refusal(
            ResultCode.HOST_PAUSED,
            'This host was paused and has not confirmed its configuration '
            'since.',
            retry_after=1,
        )
