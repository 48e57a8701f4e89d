"""Ratings of answers, read back by a few hosts and told to the others.

The feed is one log in one order. What a host knows of it is a position and
the tallies of all ratings up to there, so the same position always means
the same tallies: of two states the further one holds, and a message that
is late, doubled or out of order does no harm. Two hosts of each failure
domain read the feed; every host that learns a further state passes it on.
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

#: Who reads the feed.
FEED_DUTY: Final = DutyName('ratings')
#: Hosts of a domain that read it, so that one may fail unnoticed.
FEED_HOLDERS: Final = 2
#: Hosts to which each host passes a state on: few enough for its budget of
#: bytes, and enough that a state reaches a domain of 44 in four steps.
FANOUT: Final = 3

#: Parts of the scale of scores: each is 0.05 wide.
BUCKETS: Final = 20

_SCORE_DIGITS: Final = 6

#: A version and a task class.
RatingKey = tuple[VersionId, TaskName]


class RatingTally(Struct, frozen=True, array_like=True):
    """Ratings of one version for one task class, summed.

    Attributes:
        version: The version that wrote the answers.
        task: Their task class.
        count: How many ratings.
        total: Sum of the scores.
        squares: Sum of the scores' squares.
        buckets: How many scores fell into each of ``BUCKETS`` equal parts
            of the scale, so that a test can look at single scores.
    """

    version: VersionId
    task: TaskName
    count: int = 0
    total: float = 0
    squares: float = 0
    buckets: tuple[int, ...] = (0,) * BUCKETS

    @property
    def key(self) -> RatingKey:
        """Return what it is about."""
        return self.version, self.task

    def plus(self, score: float) -> 'RatingTally':
        """Return it with one rating more."""
        return RatingTally(
            self.version,
            self.task,
            self.count + 1,
            round(self.total + score, _SCORE_DIGITS),
            round(self.squares + score * score, _SCORE_DIGITS),
            _drop_in(self.buckets, score),
        )

    def since(self, earlier: 'RatingTally') -> 'RatingTally':
        """Return what came after an earlier tally."""
        return RatingTally(
            self.version,
            self.task,
            self.count - earlier.count,
            self.total - earlier.total,
            self.squares - earlier.squares,
            tuple(map(sub, self.buckets, earlier.buckets)),
        )


#: Is told which ratings are new, summed by version and task class.
RatingListener = Callable[[RatingTally], None]


class RatingState(Message, frozen=True, tag='rating-state'):
    """What a host knows of the feed.

    Attributes:
        position: Last position that the tallies hold.
        tallies: All ratings up to there.
    """

    part: ClassVar[str] = 'ratings'
    replaceable: ClassVar[bool] = True

    position: int
    tallies: tuple[RatingTally, ...]


class FeedDuty(Protocol):
    """What the feed needs of the duties."""

    def is_mine(self, duty: DutyName, count: int = 1) -> bool:
        """Tell whether this host holds a duty."""


class RatingFeed:
    """Follows the feed, and tells listeners what is new.

    Args:
        ratings: The rating service.
        mesh: The other hosts.
        duties: Says whether this host reads the feed.
        clock: The host's clock.
        randomness: Chooses to whom a state is passed on.
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
        mesh.handle(RatingState, self._learn)

    @property
    def position(self) -> int:
        """Return the last position that is known here."""
        return self._position

    def tallies(self) -> tuple[RatingTally, ...]:
        """Return all ratings that are known, summed."""
        return tuple(self._tallies.values())

    def listen(self, listener: RatingListener) -> None:
        """Tell a listener what is new from now on, and what is known."""
        self._listeners.append(listener)
        for tally in self._tallies.values():
            listener(tally)

    async def run(self) -> None:
        """Read the feed until cancelled, while that is this host's duty."""
        while True:
            if self._duties.is_mine(FEED_DUTY, FEED_HOLDERS):
                await self.poll()
            await self._clock.sleep(self._period)

    async def poll(self) -> Refusal | None:
        """Read what is new in the feed, and pass it on."""
        page = await self._ratings.feed(self._position)
        if isinstance(page, Refusal):
            _LOG.info('feed not read: %s', page.reason)
            return page
        # A state may have come from another host while the read was away.
        fresh = [rating for rating in page if rating.position > self._position]
        if fresh:
            self._take(_fold(self._tallies, fresh), fresh[-1].position)
        return None

    async def _learn(self, sender: HostId, state: RatingState) -> None:
        if state.position <= self._position:
            return
        self._take(
            {tally.key: tally for tally in state.tallies}, state.position
        )

    def _take(
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
                self._tell(fresh)
        self._pass_on()

    def _tell(self, fresh: RatingTally) -> None:
        for listener in self._listeners:
            listener(fresh)

    def _pass_on(self) -> None:
        state = RatingState(self._position, self.tallies())
        hosts = [member.host for member in self._mesh.members()]
        count = min(FANOUT, len(hosts))
        for host in self._randomness.sample(hosts, count):
            self._mesh.tell(host, state)


def score_of(bucket: int) -> float:
    """Return the score in the middle of a bucket."""
    return (bucket + 0.5) / BUCKETS


def _drop_in(buckets: tuple[int, ...], score: float) -> tuple[int, ...]:
    """Return the buckets with one score more."""
    chosen = min(max(int(score * BUCKETS), 0), BUCKETS - 1)
    return tuple(
        count + (number == chosen) for number, count in enumerate(buckets)
    )


def _fold(
    tallies: dict[RatingKey, RatingTally],
    ratings: list[Rating],
) -> dict[RatingKey, RatingTally]:
    """Return the tallies with ratings added, in the order of the feed."""
    folded = dict(tallies)
    for rating in ratings:
        key = (rating.version, rating.task)
        tally = folded.get(key, RatingTally(*key))
        folded[key] = tally.plus(rating.score)
    return folded
