"""Stand-in for the weight store, which limits the rate of loads."""

from typing import Final

from aiohttp import web

from fakes.bodies import json_reply, read_body
from nutmegroad.adapters._platform_bodies import FetchBody, LoadRateBody
from nutmegroad.foundations.clocks import Clock

_SECONDS_PER_MINUTE: Final = 60


class FakeWeights:
    """Starts loads at an even rate.

    Args:
        loads_per_minute: Rate of loads; greater than 0.
        clock: Clock that loads wait on.
    """

    def __init__(self, loads_per_minute: float, clock: Clock) -> None:
        self._loads_per_minute = loads_per_minute
        self._clock = clock
        self._next_start = clock.now()

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of the weight store to an application."""
        app.router.add_get('/weights/rate', self._handle_rate)
        app.router.add_post('/weights/fetch', self._handle_fetch)

    async def wait_for_start(self) -> None:
        """Wait until the rate allows another load."""
        now = self._clock.now()
        start = max(now, self._next_start)
        self._next_start = start + _SECONDS_PER_MINUTE / self._loads_per_minute
        await self._clock.sleep(start - now)

    async def _handle_rate(self, _request: web.Request) -> web.Response:
        return json_reply(LoadRateBody(self._loads_per_minute))

    async def _handle_fetch(self, request: web.Request) -> web.Response:
        body = await read_body(request, FetchBody)
        await self.wait_for_start()
        return json_reply(body)
