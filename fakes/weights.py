"""The weight store's stand-in: it serves so many loads a minute."""

from typing import Final

from aiohttp import web

from fakes.bodies import json_reply, read_body
from nutmegroad.adapters._platform_bodies import FetchBody, LoadRateBody
from nutmegroad.foundations.clocks import Clock

_MINUTE: Final = 60


class FakeWeights:
    """Lets loads begin one after another, at an even rate.

    Args:
        loads_per_minute: The rate; greater than 0.
        clock: What loads wait on.
    """

    def __init__(self, loads_per_minute: float, clock: Clock) -> None:
        self._rate = loads_per_minute
        self._clock = clock
        self._next_turn = clock.now()

    def add_routes(self, app: web.Application) -> None:
        """Answer the weight store's calls in an application."""
        app.router.add_get('/weights/rate', self._answer_rate)
        app.router.add_post('/weights/fetch', self._answer_fetch)

    async def wait_turn(self) -> None:
        """Wait until the rate allows one more load."""
        now = self._clock.now()
        turn = max(now, self._next_turn)
        self._next_turn = turn + _MINUTE / self._rate
        await self._clock.sleep(turn - now)

    async def _answer_rate(self, _request: web.Request) -> web.Response:
        return json_reply(LoadRateBody(self._rate))

    async def _answer_fetch(self, request: web.Request) -> web.Response:
        body = await read_body(request, FetchBody)
        await self.wait_turn()
        return json_reply(body)
