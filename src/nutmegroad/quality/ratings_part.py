"""Part that reads the feed of ratings and shares it with other hosts."""

from typing import Final

from nutmegroad.contracts.peers import Mesh
from nutmegroad.contracts.platform import Ratings
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.membership.duties import Duties
from nutmegroad.quality.ratings import RatingFeed

#: Seconds between reads of the feed.
RATING_PERIOD: Final = 1.0


@register('part', 'ratings')
class RatingsPart:
    """Provides the feed; ``rating_samples`` submits answers for rating."""

    needs = (Ratings, Mesh, Duties)

    async def open(self, kernel: Kernel) -> None:
        """Start to read the feed."""
        feed = RatingFeed(
            kernel.need(Ratings),
            kernel.need(Mesh),
            kernel.need(Duties),
            kernel.clock,
            kernel.randomness,
            RATING_PERIOD,
        )
        kernel.provide(RatingFeed, feed)
        kernel.spawn(feed.run, 'rating feed')
