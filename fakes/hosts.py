"""Stand-in for the host list, which shows changes after a delay."""

from dataclasses import dataclass

from aiohttp import web

from fakes.bodies import json_reply, no_content, read_body
from nutmegroad.adapters._platform_bodies import ListingBody
from nutmegroad.foundations.clocks import Clock


@dataclass(frozen=True, slots=True)
class _PendingListing:
    """A list and the clock time in seconds from which it is visible."""

    visible_at: float
    listing: ListingBody


class FakeHostList:
    """A list of hosts and upstreams that shows updates after a delay.

    Args:
        lag: Seconds until an update is visible.
        clock: Source of times.
    """

    def __init__(self, lag: float, clock: Clock) -> None:
        self._lag = lag
        self._clock = clock
        self._visible = ListingBody()
        self._pending: list[_PendingListing] = []

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of the host list to an application."""
        app.router.add_get('/hosts', self._handle_get)
        app.router.add_post('/hosts', self._handle_post)

    def update(self, listing: ListingBody) -> None:
        """Set the list, which becomes visible after the lag."""
        visible_at = self._clock.now() + self._lag
        self._pending.append(_PendingListing(visible_at, listing))

    def visible(self) -> ListingBody:
        """Return the list that is visible now."""
        now = self._clock.now()
        while self._pending and self._pending[0].visible_at <= now:
            self._visible = self._pending.pop(0).listing
        return self._visible

    async def _handle_get(self, _request: web.Request) -> web.Response:
        return json_reply(self.visible())

    async def _handle_post(self, request: web.Request) -> web.Response:
        self.update(await read_body(request, ListingBody))
        return no_content()
