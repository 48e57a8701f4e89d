"""The part that follows the ratings of answers."""

from typing import Final

from nutmegroad.core import Kernel
from nutmegroad.decisions import Observers
from nutmegroad.duties import Duties
from nutmegroad.peers import Mesh
from nutmegroad.platform import Ratings
from nutmegroad.ratings import AnswerSampler, RatingFeed
from nutmegroad.registry import register

#: Seconds between reads of the feed, and between deliveries of answers.
RATING_PERIOD: Final = 1.0
#: Share of whole answers that are handed in for rating.
SAMPLING_SHARE: Final = 1.0


@register('part', 'ratings')
class RatingsPart:
    """Provides the feed, and hands answers in."""

    needs = (Ratings, Mesh, Duties, Observers)

    async def open(self, kernel: Kernel) -> None:
        """Begin to follow."""
        ratings = kernel.need(Ratings)
        feed = RatingFeed(
            ratings,
            kernel.need(Mesh),
            kernel.need(Duties),
            kernel.clock,
            kernel.randomness,
            RATING_PERIOD,
        )
        sampler = AnswerSampler(
            ratings,
            kernel.clock,
            kernel.randomness,
            SAMPLING_SHARE,
            RATING_PERIOD,
        )
        kernel.need(Observers).add(sampler)
        kernel.provide(RatingFeed, feed)
        kernel.spawn(feed.run(), 'rating feed')
        kernel.spawn(sampler.run(), 'answer sampler')
