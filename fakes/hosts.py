"""The host list's stand-in: it shows the truth late."""

from dataclasses import dataclass

from aiohttp import web

from fakes.bodies import json_reply, no_content, read_body
from nutmegroad.adapters._platform_bodies import ListingBody
from nutmegroad.foundations.clocks import Clock


@dataclass(frozen=True, slots=True)
class _Coming:
    """A list and the clock's second from which it is shown."""

    due: float
    listing: ListingBody


class FakeHostList:
    """A list that lags behind what it was told.

    Args:
        lag: Seconds until the list shows what it was told.
        clock: Tells when that is.
    """

    def __init__(self, lag: float, clock: Clock) -> None:
        self._lag = lag
        self._clock = clock
        self._shown = ListingBody()
        self._coming: list[_Coming] = []

    def add_routes(self, app: web.Application) -> None:
        """Answer the host list's calls in an application."""
        app.router.add_get('/hosts', self._answer_get)
        app.router.add_post('/hosts', self._answer_post)

    def tell(self, truth: ListingBody) -> None:
        """Set the truth, which the list shows after its lag."""
        due = self._clock.now() + self._lag
        self._coming.append(_Coming(due, truth))

    def shown(self) -> ListingBody:
        """Return what the list says now."""
        now = self._clock.now()
        while self._coming and self._coming[0].due <= now:
            self._shown = self._coming.pop(0).listing
        return self._shown

    async def _answer_get(self, _request: web.Request) -> web.Response:
        return json_reply(self.shown())

    async def _answer_post(self, request: web.Request) -> web.Response:
        self.tell(await read_body(request, ListingBody))
        return no_content()
