"""Ratings of answers, read by a few hosts and forwarded to the others.

The feed is a totally ordered log. The state of a host is a position and the
tallies of all ratings up to it, so equal positions mean equal tallies: of two
states the one with the higher position is kept, and a message that is late,
duplicated or out of order does no harm. Two hosts of each failure domain read
the feed; every host that receives a higher position forwards the state.
"""

import random
from collections.abc import Callable
from operator import sub
from typing import ClassVar, Final, Protocol

from msgspec import Struct

from nutmegroad.contracts.peers import Mesh, Message
from nutmegroad.contracts.platform import Rating, Ratings
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import HostId, TaskName, VersionId
from nutmegroad.membership.duties import DutyName

_LOG: Final = part_logger('ratings')

#: Duty of reading the feed.
FEED_DUTY: Final = DutyName('ratings')
#: Number of hosts per domain that read the feed, so that one may fail without
#: effect.
FEED_READERS: Final = 2
#: Number of hosts to which each host forwards a state: small enough for its
#: budget of bytes, and large enough for a state to reach a domain of 44 hosts
#: in four steps.
FANOUT: Final = 3

#: Number of buckets of scores, each 0.05 wide.
BUCKETS: Final = 20

#: Decimal digits to which sums of scores are rounded.
_SCORE_DIGITS: Final = 6

#: A version and a task class.
RatingKey = tuple[VersionId, TaskName]


class RatingTally(Struct, frozen=True, array_like=True):
    """Sums of the ratings of one version for one task class.

    Attributes:
        version: The version that wrote the answers.
        task: Task class of the answers.
        count: Number of ratings.
        total: Sum of the scores.
        squares: Sum of the squared scores.
        buckets: Histogram of the scores in ``BUCKETS`` equal buckets, for
            statistical tests that need single scores.
    """

    version: VersionId
    task: TaskName
    count: int = 0
    total: float = 0
    squares: float = 0
    buckets: tuple[int, ...] = (0,) * BUCKETS

    @property
    def key(self) -> RatingKey:
        """Version and task class of the ratings."""
        return self.version, self.task

    def plus(self, score: float) -> 'RatingTally':
        """Return the tally with one more rating."""
        return RatingTally(
            self.version,
            self.task,
            self.count + 1,
            round(self.total + score, _SCORE_DIGITS),
            round(self.squares + score * score, _SCORE_DIGITS),
            _increment_bucket(self.buckets, score),
        )

    def since(self, earlier: 'RatingTally') -> 'RatingTally':
        """Return the difference to an earlier tally."""
        return RatingTally(
            self.version,
            self.task,
            self.count - earlier.count,
            self.total - earlier.total,
            self.squares - earlier.squares,
            tuple(map(sub, self.buckets, earlier.buckets)),
        )


#: Called with new ratings, summed by version and task class.
RatingListener = Callable[[RatingTally], None]


class RatingState(Message, frozen=True, tag='rating-state'):
    """State of a host: all ratings up to a position of the feed.

    Attributes:
        position: Last position that the tallies include.
        tallies: Tallies of all ratings up to the position.
    """

    part: ClassVar[str] = 'ratings'
    replaceable: ClassVar[bool] = True

    position: int
    tallies: tuple[RatingTally, ...]


class FeedDuty(Protocol):
    """The part of ``Duties`` that the feed uses."""

    def is_mine(self, duty: DutyName, count: int = 1) -> bool:
        """Return whether this host is one of ``count`` holders of a duty."""


class RatingFeed:
    """Tracks the feed, and notifies listeners of new ratings.

    Args:
        ratings: The rating service.
        mesh: Links to the other hosts.
        duties: Duties of this host; decide whether it reads the feed.
        clock: The host's clock.
        randomness: Selects the hosts to which a state is forwarded.
        period: Seconds between reads.
    """

    def __init__(
        self,
        ratings: Ratings,
        mesh: Mesh,
        duties: FeedDuty,
        clock: Clock,
        randomness: random.Random,
        period: float,
    ) -> None:
        self._ratings = ratings
        self._mesh = mesh
        self._duties = duties
        self._clock = clock
        self._randomness = randomness
        self._period = period
        self._position = 0
        self._tallies: dict[RatingKey, RatingTally] = {}
        self._listeners: list[RatingListener] = []
        mesh.handle(RatingState, self._receive_state)

    @property
    def position(self) -> int:
        """Last position whose ratings this host has received."""
        return self._position

    def tallies(self) -> tuple[RatingTally, ...]:
        """Return the tallies of all ratings received."""
        return tuple(self._tallies.values())

    def listen(self, listener: RatingListener) -> None:
        """Add a listener; call it with all known and later new ratings."""
        self._listeners.append(listener)
        for tally in self._tallies.values():
            listener(tally)

    async def run(self) -> None:
        """Read the feed until cancelled, whenever this host holds the duty."""
        while True:
            if self._duties.is_mine(FEED_DUTY, FEED_READERS):
                await self.poll()
            await self._clock.sleep(self._period)

    async def poll(self) -> Refusal | None:
        """Read new ratings from the feed, and forward them.

        Returns:
            The refusal if the feed could not be read.
        """
        page = await self._ratings.feed(self._position)
        if isinstance(page, Refusal):
            _LOG.info('cannot read the ratings feed: %s', page.reason)
            return page
        # Another host's state may have been received during the read.
        fresh = [rating for rating in page if rating.position > self._position]
        if fresh:
            self._apply(_add_ratings(self._tallies, fresh), fresh[-1].position)
        return None

    async def _receive_state(self, sender: HostId, state: RatingState) -> None:
        if state.position <= self._position:
            return
        self._apply(
            {tally.key: tally for tally in state.tallies}, state.position
        )

    def _apply(
        self,
        tallies: dict[RatingKey, RatingTally],
        position: int,
    ) -> None:
        before = self._tallies
        self._tallies = tallies
        self._position = position
        for tally in tallies.values():
            earlier = before.get(tally.key, RatingTally(*tally.key))
            fresh = tally.since(earlier)
            if fresh.count > 0:
                self._notify(fresh)
        self._forward_state()

    def _notify(self, fresh: RatingTally) -> None:
        for listener in self._listeners:
            listener(fresh)

    def _forward_state(self) -> None:
        state = RatingState(self._position, self.tallies())
        hosts = [member.host for member in self._mesh.members()]
        count = min(FANOUT, len(hosts))
        for host in self._randomness.sample(hosts, count):
            self._mesh.send(host, state)


def score_of(bucket: int) -> float:
    """Return the score at the centre of a bucket."""
    return (bucket + 0.5) / BUCKETS


def _increment_bucket(
    buckets: tuple[int, ...], score: float
) -> tuple[int, ...]:
    """Return the histogram with one more score."""
    chosen = min(max(int(score * BUCKETS), 0), BUCKETS - 1)
    return tuple(
        count + (number == chosen) for number, count in enumerate(buckets)
    )


def _add_ratings(
    tallies: dict[RatingKey, RatingTally],
    ratings: list[Rating],
) -> dict[RatingKey, RatingTally]:
    """Return the tallies with ratings added, in the order of the feed."""
    updated = dict(tallies)
    for rating in ratings:
        key = (rating.version, rating.task)
        tally = updated.get(key, RatingTally(*key))
        updated[key] = tally.plus(rating.score)
    return updated
