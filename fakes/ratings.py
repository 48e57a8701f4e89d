"""Stand-in for the rating service; reads scores from the answers' text."""

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

#: Maximum number of ratings per page of the feed.
FEED_LIMIT: Final = 1000
#: Decimal places of a randomly drawn score.
SCORE_DIGITS: Final = 2

_TARGET: Final = FaultTarget('ratings')
#: The last word of the engine stand-in's answers states their quality.
_QUALITY_PATTERN: Final = re.compile(r'(?:^|\s)q=(\d+(?:\.\d+)?)\s*$')


@dataclass(frozen=True, slots=True)
class _PendingRating:
    """A rating and the clock time in seconds from which it is visible."""

    visible_at: float
    rating: Rating


class FakeRatings:
    """Rates answers and publishes the ratings after a delay.

    Args:
        delay: Seconds until a rating is visible in the feed.
        faults: Active faults; ``wrong`` replaces scores by random ones.
        clock: Source of times.
        randomness: Source of wrong scores.
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
        self._ratings: list[_PendingRating] = []

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of the rating service to an application."""
        app.router.add_post('/ratings/answers', self._handle_submit)
        app.router.add_get('/ratings/feed', self._handle_feed)

    def submit(self, answer: RatedAnswer) -> None:
        """Rate an answer; an answer that is submitted twice is rated twice."""
        rating = Rating(
            position=len(self._ratings) + 1,
            request=answer.request,
            task=answer.task,
            version=answer.version,
            score=self._score(answer),
        )
        visible_at = self._clock.now() + self._delay
        self._ratings.append(_PendingRating(visible_at, rating))

    def feed(self, after: int) -> tuple[Rating, ...]:
        """Return a page of the visible ratings after a position."""
        now = self._clock.now()
        # Position N is at index N - 1, so the next position is at index N.
        start = max(after, 0)
        page = self._ratings[start : start + FEED_LIMIT]
        return tuple(entry.rating for entry in page if entry.visible_at <= now)

    def _score(self, answer: RatedAnswer) -> float:
        target = FaultTarget(_TARGET.scope, answer.version, answer.task)
        if self._faults.hit(FaultKind.WRONG, target):
            return round(self._randomness.random(), SCORE_DIGITS)
        match = _QUALITY_PATTERN.search(answer.text)
        # An answer without the quality at its end was cut off; it scores 0.
        return min(float(match.group(1)), 1) if match else 0

    async def _handle_submit(self, request: web.Request) -> web.Response:
        self.submit(await read_body(request, RatedAnswer))
        return web.Response(status=HTTPStatus.ACCEPTED)

    async def _handle_feed(self, request: web.Request) -> web.Response:
        after = query_text(request, 'after')
        if not after.isdecimal():
            raise web.HTTPBadRequest(text=f'after={after!r} is not a position')
        return json_reply(RatingsBody(self.feed(int(after))))
