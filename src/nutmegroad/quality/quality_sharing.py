"""How hosts read the ratings and share what they say.

One host of each failure domain reads the feed. The others learn from each
other: now and then a host tells a few others how far its state has read,
and whoever is behind asks for the cells that have changed since. A host
that starts asks the same question from position 0; if no peer answers it
takes the newest state from the object store, and reads on from there.
"""

import asyncio
import random
from collections.abc import Callable
from typing import ClassVar, Final, Protocol

import msgspec

from nutmegroad.contracts.peers import Mesh, Message
from nutmegroad.contracts.platform import Objects, Rating, Ratings
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import HostId
from nutmegroad.quality.estimates import Estimates
from nutmegroad.quality.quality_book import QualityState

_LOG: Final = part_logger('quality')
#: Whose cost the messages are.
QUALITY_PART: Final = 'quality'
#: Seconds between reads of the feed.
READ_PERIOD: Final = 5.0
#: Seconds between two rounds of telling others how far one has read.
MARK_PERIOD: Final = 5.0
#: Seconds between two fetches of what has changed: 18 KB at 22 versions and
#: 8 task classes if all have, so 1.8 KB a second at most.
FETCH_PERIOD: Final = 10.0
#: Hosts that are told in a round.
FANOUT: Final = 3
#: Seconds that a peer may take to answer.
ASK_TIMEOUT: Final = 2.0
#: Peers that a starting host asks.
MOST_ASKED: Final = 3
#: Pages of the feed that are read in one go.
MOST_PAGES: Final = 50
#: Seconds between two states in the object store, which never forgets.
STORE_PERIOD: Final = 3600.0
STORE_PREFIX: Final = 'quality/'
_DIGITS: Final = 20


class QualityMark(Message, frozen=True, tag='quality-mark'):
    """Tells how far the sender has read.

    Attributes:
        position: Feed position.
    """

    part: ClassVar[str] = QUALITY_PART
    lazy: ClassVar[bool] = True

    position: int


class QualityAsk(Message, frozen=True, tag='quality-ask'):
    """Asks for what has changed.

    Attributes:
        position: How far the asker has read.
    """

    part: ClassVar[str] = QUALITY_PART

    position: int


class QualityReply(Message, frozen=True, tag='quality-reply'):
    """Brings what has changed.

    Attributes:
        state: Cells that changed since the asker's position.
    """

    part: ClassVar[str] = QUALITY_PART

    state: QualityState


class RatingListener(Protocol):
    """Learns from ratings; it must be quick and never raise."""

    def take(self, ratings: tuple[Rating, ...]) -> bool:
        """Take a page of ratings in, in the feed's order."""


class FeedReader:
    """Reads the feed, if that is this host's duty.

    Args:
        ratings: The rating service.
        estimates: Take the ratings in.
        clock: The host's clock.
        is_mine: Tells whether this host is to read now.
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
        """Read until cancelled."""
        while True:
            await self.read()
            await self._clock.sleep(READ_PERIOD)

    async def read(self) -> None:
        """Read what is new, page by page."""
        if not self._is_mine():
            return
        for _ in range(MOST_PAGES):
            position = self._estimates.book.position
            page = await self._ratings.feed(position)
            if isinstance(page, Refusal):
                _LOG.warning('ratings not read: %s', page.reason)
                return
            # Meanwhile a peer's state may have come; old positions pass by.
            if not self._estimates.take(page):
                return


class QualitySharer:
    """Keeps the estimates of hosts in step.

    Args:
        mesh: Links to other hosts.
        estimates: What this host believes.
        clock: The host's clock.
        randomness: Chooses whom to tell.
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
        self._woken = asyncio.Event()
        mesh.handle(QualityMark, self._marked)
        mesh.handle(QualityAsk, self._asked)

    async def run(self) -> None:
        """Tell others how far this host has read until cancelled."""
        while True:
            await self._clock.sleep(MARK_PERIOD)
            self.mark()

    async def follow(self) -> None:
        """Ask whoever is ahead until cancelled."""
        while True:
            await self._woken.wait()
            self._woken.clear()
            ahead = self._ahead
            if ahead is not None:
                await self.ask(ahead)
                await self._clock.sleep(FETCH_PERIOD)

    def mark(self) -> None:
        """Tell a few hosts how far this one has read."""
        hosts = self._hosts()
        chosen = self._randomness.sample(hosts, min(FANOUT, len(hosts)))
        for host in chosen:
            self._mesh.tell(host, QualityMark(self._position))

    async def ask(self, host: HostId) -> bool:
        """Fetch what a host knows more; tell whether it was news."""
        question = QualityAsk(self._position)
        reply = await self._mesh.ask(host, question, ASK_TIMEOUT)
        if not isinstance(reply, QualityReply):
            return False
        return self._estimates.merge(reply.state)

    async def fetch(self) -> bool:
        """Fetch a state from any peer, for a host that starts."""
        hosts = self._hosts()
        for host in self._randomness.sample(hosts, min(MOST_ASKED, len(hosts))):
            if await self.ask(host):
                return True
        return False

    @property
    def _position(self) -> int:
        return self._estimates.book.position

    def _hosts(self) -> list[HostId]:
        return [member.host for member in self._mesh.members()]

    async def _marked(self, host: HostId, mark: QualityMark) -> None:
        """Remember who is ahead; answer one who is behind with a mark."""
        if mark.position > self._position:
            self._ahead = host
            self._woken.set()
        elif mark.position < self._position:
            self._mesh.tell(host, QualityMark(self._position))

    async def _asked(self, host: HostId, ask: QualityAsk) -> QualityReply:
        """Return what has changed since the asker's position."""
        return QualityReply(self._estimates.book.state(ask.position))


class QualityStore:
    """Keeps a state in the object store, for when all hosts restart.

    Args:
        objects: The object store.
        estimates: What this host believes.
    """

    def __init__(self, objects: Objects, estimates: Estimates) -> None:
        self._objects = objects
        self._estimates = estimates
        self._stored = 0

    async def save(self) -> None:
        """Store the state, unless nothing has come since."""
        book = self._estimates.book
        if book.position == self._stored:
            return
        content = msgspec.msgpack.encode(book.state())
        position = book.position
        name = f'{STORE_PREFIX}{position:0{_DIGITS}}'
        refusal = await self._objects.put(name, content)
        # Another host may have stored the same position a little otherwise.
        if refusal is None:
            self._stored = position
            return
        _LOG.warning('estimates not stored: %s', refusal.reason)

    async def load(self) -> bool:
        """Take the newest stored state in; tell whether it was news."""
        names = await self._objects.names(STORE_PREFIX)
        if isinstance(names, Refusal) or not names:
            return False
        content = await self._objects.fetch(names[-1])
        if isinstance(content, Refusal):
            return False
        try:
            state = msgspec.msgpack.decode(content, type=QualityState)
        except msgspec.DecodeError as problem:
            _LOG.error('stored estimates %s not read: %s', names[-1], problem)
            return False
        return self._estimates.merge(state)
