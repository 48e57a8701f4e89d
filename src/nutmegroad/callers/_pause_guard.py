"""Middleware that holds new requests until a paused host may dispatch again.

After a pause of its process, a host reads its configuration anew before it
dispatches anything. That takes some milliseconds while the platform is
reachable, so a caller is better served by a short wait than by a refusal.
"""

from typing import Final

from aiohttp.typedefs import Handler, Middleware
from aiohttp.web import Application, Request, StreamResponse, middleware

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import ResultCode
from nutmegroad.routing.gates import Gatekeeper

#: Maximum seconds for which a request is held. A host that can't confirm its
#: configuration by then refuses, so that the caller can ask another one.
CONFIRMATION_WAIT: Final = 0.5

#: Seconds between checks whether dispatch is allowed again.
CHECK_INTERVAL: Final = 0.01


class PauseGuard:
    """Holds new requests while the host confirms its configuration.

    Args:
        gatekeeper: Knows why the host may send nothing now.
        clock: The host's clock.
    """

    def __init__(self, gatekeeper: Gatekeeper, clock: Clock) -> None:
        self._gatekeeper = gatekeeper
        self._clock = clock

    def install(self, app: Application) -> None:
        """Add the middleware to an application."""
        app.middlewares.append(self._make_middleware())

    async def wait(self) -> None:
        """Wait until dispatch is allowed, at most ``CONFIRMATION_WAIT``."""
        latest = self._clock.now() + CONFIRMATION_WAIT
        while self._is_paused() and self._clock.now() < latest:
            await self._clock.sleep(CHECK_INTERVAL)

    def _make_middleware(self) -> Middleware:
        """Return the middleware function."""

        @middleware
        async def hold(request: Request, handler: Handler) -> StreamResponse:
            """Hand a request on once it may be dispatched."""
            await self.wait()
            return await handler(request)

        return hold

    def _is_paused(self) -> bool:
        """Return whether nothing may be sent because of a pause."""
        refusal = self._gatekeeper.host_refusal()
        return refusal is not None and refusal.code is ResultCode.HOST_PAUSED
