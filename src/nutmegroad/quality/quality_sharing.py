"""Reads the ratings, and shares the estimates' state among the hosts.

One host of each failure domain reads the feed. The others receive its state by
gossip: hosts periodically advertise to a few peers the feed position up to
which they have read, and a host that is behind fetches the cells that have
changed since its own position. A starting host fetches from position 0; if no
peer answers, it loads the newest state from the object store. It reads on from
there.
"""

import asyncio
import random
from collections.abc import Callable
from typing import ClassVar, Final

import msgspec

from nutmegroad.contracts.peers import Mesh, Message
from nutmegroad.contracts.platform import Objects, Ratings
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.decoding import UndecodableError, decode_msgpack
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import HostId
from nutmegroad.quality.estimates import Estimates
from nutmegroad.quality.quality_tracker import QualityState

_LOG: Final = part_logger('quality')
#: Part to which the cost of the messages is charged.
QUALITY_PART: Final = 'quality'
#: Seconds between reads of the feed.
READ_PERIOD: Final = 5.0
#: Seconds between two rounds of advertising the host's feed position.
ADVERTISE_PERIOD: Final = 5.0
#: Seconds between two fetches of changed cells. With 22 versions and 8 task
#: classes a fetch is 18 KB if all cells have changed, thus 1.8 KB/s at most.
FETCH_PERIOD: Final = 10.0
#: Number of hosts to which a host advertises in a round.
FANOUT: Final = 3
#: Timeout of a fetch, in seconds.
ASK_TIMEOUT: Final = 2.0
#: Maximum number of peers that a starting host asks for their state.
MAX_ASKED_PEERS: Final = 3
#: Maximum number of pages of the feed read without a pause.
MAX_PAGES: Final = 50
#: Seconds between two stored states; the object store never deletes any.
STORE_PERIOD: Final = 3600.0
#: Prefix of the names of stored states.
STORE_PREFIX: Final = 'quality/'
#: Digits of the position in an object's name; makes names sort by position.
_POSITION_DIGITS: Final = 20


class QualityMark(Message, frozen=True, tag='quality-mark'):
    """Advertises the position up to which the sender has read the feed.

    Attributes:
        position: Feed position of the sender's state.
    """

    part: ClassVar[str] = QUALITY_PART
    lazy: ClassVar[bool] = True

    position: int


class QualityAsk(Message, frozen=True, tag='quality-ask'):
    """Requests the cells that have changed since a position.

    Attributes:
        position: Feed position of the requesting host's state.
    """

    part: ClassVar[str] = QUALITY_PART

    position: int


class QualityReply(Message, frozen=True, tag='quality-reply'):
    """Reply to ``QualityAsk``.

    Attributes:
        state: State with the cells changed since the requested position.
    """

    part: ClassVar[str] = QUALITY_PART

    state: QualityState


class FeedReader:
    """Reads the feed while this host holds the duty to do so.

    Args:
        ratings: The rating service.
        estimates: Estimates to which the ratings are added.
        clock: The host's clock.
        is_mine: Returns whether this host holds the duty.
    """

    def __init__(
        self,
        ratings: Ratings,
        estimates: Estimates,
        clock: Clock,
        is_mine: Callable[[], bool],
    ) -> None:
        self._ratings = ratings
        self._estimates = estimates
        self._clock = clock
        self._is_mine = is_mine

    async def run(self) -> None:
        """Read periodically until cancelled."""
        while True:
            await self.read()
            await self._clock.sleep(READ_PERIOD)

    async def read(self) -> None:
        """Read new ratings, page by page."""
        if not self._is_mine():
            return
        for _ in range(MAX_PAGES):
            position = self._estimates.tracker.position
            page = await self._ratings.feed(position)
            if isinstance(page, Refusal):
                _LOG.warning('cannot read the ratings feed: %s', page.reason)
                return
            # Ratings that a peer's state has brought meanwhile are skipped.
            if not self._estimates.add_ratings(page):
                return


class QualitySharer:
    """Synchronizes the estimates of the hosts.

    Args:
        mesh: Links to the other hosts.
        estimates: Estimates of this host.
        clock: The host's clock.
        randomness: Selects the hosts to advertise to and to fetch from.
    """

    def __init__(
        self,
        mesh: Mesh,
        estimates: Estimates,
        clock: Clock,
        randomness: random.Random,
    ) -> None:
        self._mesh = mesh
        self._estimates = estimates
        self._clock = clock
        self._randomness = randomness
        self._ahead: HostId | None = None
        self._ahead_found = asyncio.Event()
        mesh.handle(QualityMark, self._receive_mark)
        mesh.handle(QualityAsk, self._answer_ask)

    async def run(self) -> None:
        """Advertise the feed position periodically until cancelled."""
        while True:
            await self._clock.sleep(ADVERTISE_PERIOD)
            self.advertise()

    async def run_fetches(self) -> None:
        """Fetch from hosts that are ahead until cancelled."""
        while True:
            await self._ahead_found.wait()
            self._ahead_found.clear()
            ahead = self._ahead
            if ahead is not None:
                await self.fetch_from(ahead)
                await self._clock.sleep(FETCH_PERIOD)

    def advertise(self) -> None:
        """Advertise this host's feed position to a few hosts."""
        hosts = self._hosts()
        chosen = self._randomness.sample(hosts, min(FANOUT, len(hosts)))
        for host in chosen:
            self._mesh.send(host, QualityMark(self._position))

    async def fetch_from(self, host: HostId) -> bool:
        """Fetch the changes from a host; return whether it had any."""
        question = QualityAsk(self._position)
        reply = await self._mesh.request(host, question, ASK_TIMEOUT)
        if not isinstance(reply, QualityReply):
            return False
        return self._estimates.merge(reply.state)

    async def fetch_initial(self) -> bool:
        """Fetch a state from any peer; return whether one was ahead.

        A starting host does so once.
        """
        hosts = self._hosts()
        for host in self._randomness.sample(
            hosts, min(MAX_ASKED_PEERS, len(hosts))
        ):
            if await self.fetch_from(host):
                return True
        return False

    @property
    def _position(self) -> int:
        return self._estimates.tracker.position

    def _hosts(self) -> list[HostId]:
        return [member.host for member in self._mesh.members()]

    async def _receive_mark(self, host: HostId, mark: QualityMark) -> None:
        """Note a host that is ahead; advertise to one that is behind."""
        if mark.position > self._position:
            self._ahead = host
            self._ahead_found.set()
        elif mark.position < self._position:
            self._mesh.send(host, QualityMark(self._position))

    async def _answer_ask(self, host: HostId, ask: QualityAsk) -> QualityReply:
        """Return the state with the cells changed since a position."""
        return QualityReply(self._estimates.tracker.state(ask.position))


class QualityStore:
    """Stores the state in the object store, for a restart of all hosts.

    Args:
        objects: The object store.
        estimates: Estimates of this host.
    """

    def __init__(self, objects: Objects, estimates: Estimates) -> None:
        self._objects = objects
        self._estimates = estimates
        self._stored = 0

    async def save(self) -> None:
        """Store the state, unless it is unchanged since the last time."""
        tracker = self._estimates.tracker
        if tracker.position == self._stored:
            return
        content = msgspec.msgpack.encode(tracker.state())
        position = tracker.position
        name = f'{STORE_PREFIX}{position:0{_POSITION_DIGITS}}'
        refusal = await self._objects.put(name, content)
        # Another host may have stored a slightly different state for the same
        # position.
        if refusal is None:
            self._stored = position
            return
        _LOG.warning('cannot store the estimates: %s', refusal.reason)

    async def load(self) -> bool:
        """Load the newest stored state; return whether it was ahead."""
        names = await self._objects.names(STORE_PREFIX)
        if isinstance(names, Refusal) or not names:
            return False
        content = await self._objects.fetch(names[-1])
        if isinstance(content, Refusal):
            return False
        try:
            state = decode_msgpack(content, QualityState)
        except UndecodableError as problem:
            _LOG.error(
                'cannot decode the stored estimates %s: %s', names[-1], problem
            )
            return False
        return self._estimates.merge(state)
