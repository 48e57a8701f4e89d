"""Middleware that holds new requests until a paused host may dispatch again.

After a pause of its process, a host reads its configuration anew before it
dispatches anything. That takes some milliseconds while the platform is
reachable, so a caller is better served by a short wait than by a refusal.
"""

from aiohttp.typedefs import Handler, Middleware
from aiohttp.web import Application, Request, StreamResponse, middleware

from nutmegroad.routing.gates import Gatekeeper


class PauseGuard:
    """Holds new requests while the host confirms its configuration.

    Args:
        gatekeeper: Knows whether the host may send.
    """

    def __init__(self, gatekeeper: Gatekeeper) -> None:
        self._gatekeeper = gatekeeper

    def install(self, app: Application) -> None:
        """Add the middleware to an application."""
        app.middlewares.append(self._make_middleware())

    def _make_middleware(self) -> Middleware:
        """Return the middleware function."""

        @middleware
        async def hold(request: Request, handler: Handler) -> StreamResponse:
            """Hand a request on once it may be dispatched."""
            await self._gatekeeper.wait_while_paused()
            return await handler(request)

        return hold
