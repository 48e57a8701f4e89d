"""The rating service's stand-in: it reads the score from the answer."""

import random
import re
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

from aiohttp import web

from fakes.bodies import json_reply, query_text, read_body
from fakes.faults import FaultKind, Faults, FaultTarget
from nutmegroad.adapters._platform_bodies import RatingsBody
from nutmegroad.contracts.platform import RatedAnswer, Rating
from nutmegroad.foundations.clocks import Clock

#: The most ratings that one read of the feed returns.
FEED_LIMIT: Final = 1000
#: Digits of a score that is drawn.
SCORE_DIGITS: Final = 2

_TARGET: Final = FaultTarget('ratings')
#: An engine stand-in's last word states the quality of its answer.
_QUALITY: Final = re.compile(r'(?:^|\s)q=(\d+(?:\.\d+)?)\s*$')


@dataclass(frozen=True, slots=True)
class _Pending:
    """A rating and the clock's second from which the feed has it."""

    due: float
    rating: Rating


class FakeRatings:
    """Rates answers after a delay.

    Args:
        delay: Seconds until a rating is in the feed.
        faults: Says which scores are wrong.
        clock: Tells when a rating is due.
        randomness: Draws wrong scores.
    """

    def __init__(
        self,
        delay: float,
        faults: Faults,
        clock: Clock,
        randomness: random.Random,
    ) -> None:
        self._delay = delay
        self._faults = faults
        self._clock = clock
        self._randomness = randomness
        self._rated: list[_Pending] = []

    def add_routes(self, app: web.Application) -> None:
        """Answer the rating service's calls in an application."""
        app.router.add_post('/ratings/answers', self._answer_submit)
        app.router.add_get('/ratings/feed', self._answer_feed)

    def submit(self, answer: RatedAnswer) -> None:
        """Rate an answer; one that is handed in twice is rated twice."""
        rating = Rating(
            position=len(self._rated) + 1,
            request=answer.request,
            task=answer.task,
            version=answer.version,
            score=self._score(answer),
        )
        due = self._clock.now() + self._delay
        self._rated.append(_Pending(due, rating))

    def feed(self, after: int) -> tuple[Rating, ...]:
        """Return the ratings that are due, from a position on."""
        now = self._clock.now()
        # Position N stands at index N - 1, so the next one is at N.
        start = max(after, 0)
        page = self._rated[start : start + FEED_LIMIT]
        return tuple(entry.rating for entry in page if entry.due <= now)

    def _score(self, answer: RatedAnswer) -> float:
        target = FaultTarget(_TARGET.scope, answer.version, answer.task)
        if self._faults.hit(FaultKind.WRONG, target):
            return round(self._randomness.random(), SCORE_DIGITS)
        found = _QUALITY.search(answer.text)
        # An answer that lost its last word was cut, and is worth nothing.
        return min(float(found.group(1)), 1) if found else 0

    async def _answer_submit(self, request: web.Request) -> web.Response:
        self.submit(await read_body(request, RatedAnswer))
        return web.Response(status=HTTPStatus.ACCEPTED)

    async def _answer_feed(self, request: web.Request) -> web.Response:
        after = query_text(request, 'after')
        if not after.isdecimal():
            raise web.HTTPBadRequest(text=f'after={after!r} is no position.')
        return json_reply(RatingsBody(self.feed(int(after))))
