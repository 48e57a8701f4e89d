"""Tests that each rating counts once, whichever host has read it."""

import random
import unittest

from nutmegroad.contracts.platform import RatedAnswer, Rating
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import (
    DomainId,
    HostId,
    RequestId,
    TaskName,
    VersionId,
)
from nutmegroad.membership.duties import DutyName
from nutmegroad.quality.ratings import RatingFeed, RatingTally
from nutmegroad.testing.virtual import ManualClock, MemoryMesh, NetworkFaults

VERSION = VersionId('a@1')
TASK = TaskName('tag')


class ListedRatings:
    """A rating service with a list of scores."""

    def __init__(self, scores: list[float]) -> None:
        self.scores = scores

    async def submit(self, answer: RatedAnswer) -> Refusal | None:
        """Accept the answer and ignore it."""

    async def feed(self, after: int) -> tuple[Rating, ...] | Refusal:
        """Return the ratings after a position."""
        return tuple(
            Rating(place + 1, RequestId(str(place)), TASK, VERSION, score)
            for place, score in enumerate(self.scores)
            if place >= after
        )


class AlwaysMine:
    """Duties all held by this host."""

    def is_mine(self, duty: DutyName, count: int = 1) -> bool:
        """Return true."""
        return True


def feed_of(
    service: ListedRatings,
    mesh: MemoryMesh,
    host: HostId,
) -> RatingFeed:
    """Return the feed of a host that has joined the mesh."""
    peer = mesh.join(host, DomainId('d'))
    randomness = random.Random(host)
    return RatingFeed(service, peer, AlwaysMine(), mesh.clock, randomness, 1)


class RatingFeedTest(unittest.IsolatedAsyncioTestCase):
    async def test_each_rating_counts_once_at_every_host(self) -> None:
        clock = ManualClock()
        faults = NetworkFaults(duplicate=0.5, reorder=0.5, reorder_delay=3)
        service = ListedRatings([0.5, 1.0])
        received: dict[int, list[RatingTally]] = {0: [], 1: [], 2: []}
        async with MemoryMesh(clock, random.Random(3), faults) as mesh:
            feeds = [
                feed_of(service, mesh, HostId(f'h{number}'))
                for number in received
            ]
            for number, feed in enumerate(feeds):
                feed.listen(received[number].append)
            for _ in range(8):
                await feeds[0].poll()
                await feeds[1].poll()
                service.scores.append(0.25)
                await clock.advance(0.5)
            await clock.advance(5)
        for tallies in received.values():
            self.assertEqual(sum(tally.count for tally in tallies), 9)
            total = sum(tally.total for tally in tallies)
            self.assertAlmostEqual(total, 1.5 + 7 * 0.25)
