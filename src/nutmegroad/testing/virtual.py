"""Helpers for tests: a clock that is moved by hand, and a mesh in memory.

Both are deterministic: time moves only when a test advances it, and each
drop, delay and duplicate is drawn from the randomness that a test gives.
"""

import asyncio
import heapq
import itertools
import random
from collections.abc import Iterable
from dataclasses import dataclass, replace
from types import TracebackType
from typing import Final, Self

from nutmegroad.foundations._owned_tasks import OwnedTasks
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import DomainId, HostId, Incarnation, Presence
from nutmegroad.testing._memory_mesh import MemoryPeer, PeerNames

#: Turns of the event loop without a new sleeper after which every task
#: is taken to be waiting for the clock.
QUIET_TURNS: Final = 25

#: An arbitrary day, the same for every test.
_WALL_START: Final = 1_700_000_000.0

Pair = tuple[HostId, HostId]
#: When a sleeper is due, its place among those due then, and its future.
_Sleeper = tuple[float, int, asyncio.Future[None]]


class ManualClock:
    """A clock that stands still until a test advances it.

    Args:
        start: What ``now`` returns at first, in seconds.
        wall: What ``wall`` returns at first, in seconds since 1970.
    """

    def __init__(self, start: float = 0, wall: float = _WALL_START) -> None:
        self._now = start
        self._wall_offset = wall - start
        self._order = itertools.count()
        self._sleepers: list[_Sleeper] = []
        self._sleeps = 0

    @property
    def sleepers(self) -> int:
        """How many tasks wait for this clock."""
        return sum(1 for entry in self._sleepers if not entry[2].done())

    def now(self) -> float:
        """Return the seconds to which the clock was advanced."""
        return self._now

    def wall(self) -> float:
        """Return the same moment as seconds since 1970."""
        return self._now + self._wall_offset

    async def sleep(self, seconds: float) -> None:
        """Wait until the clock is advanced by so many seconds."""
        self._sleeps += 1
        if seconds <= 0:
            await asyncio.sleep(0)
            return
        waiter = asyncio.get_running_loop().create_future()
        due = self._now + seconds
        heapq.heappush(self._sleepers, (due, next(self._order), waiter))
        await waiter

    async def advance(self, seconds: float) -> None:
        """Move on, and wake each sleeper at its own moment in order."""
        end = self._now + seconds
        await self.settle()
        while self._sleepers and self._sleepers[0][0] <= end:
            self._now = max(self._now, self._sleepers[0][0])
            self._wake_due()
            await self.settle()
        self._now = end
        await self.settle()

    async def jump(self, seconds: float) -> None:
        """Move on at once, as if the whole process had been paused."""
        self._now += seconds
        self._wake_due()
        await self.settle()

    async def settle(self) -> None:
        """Let tasks run until all of them wait for the clock again."""
        quiet = 0
        while quiet < QUIET_TURNS:
            before = self._sleeps
            await asyncio.sleep(0)
            quiet = quiet + 1 if before == self._sleeps else 0

    def _wake_due(self) -> None:
        while self._sleepers and self._sleepers[0][0] <= self._now:
            waiter = heapq.heappop(self._sleepers)[2]
            if not waiter.done():
                waiter.set_result(None)


class PausableClock:
    """One host's view of a clock, under which the host can be paused.

    Time goes on during a pause, but no sleep of the host returns.

    Args:
        clock: The clock of all hosts.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._running = asyncio.Event()
        self._running.set()

    def now(self) -> float:
        """Return the seconds of the clock behind."""
        return self._clock.now()

    def wall(self) -> float:
        """Return the wall seconds of the clock behind."""
        return self._clock.wall()

    async def sleep(self, seconds: float) -> None:
        """Wait, and go on waiting while the host is paused."""
        await self._clock.sleep(seconds)
        await self._running.wait()

    def pause(self) -> None:
        """Let no sleep return from now on."""
        self._running.clear()

    def resume(self) -> None:
        """Let the sleeps return that are due."""
        self._running.set()


@dataclass(slots=True)
class NetworkFaults:
    """How the network of a :class:`MemoryMesh` treats messages.

    Attributes:
        delay: Least and greatest seconds that a message travels.
        drop: Share of messages that are lost.
        duplicate: Share of messages that arrive twice.
        reorder: Share of messages that later ones may overtake.
        reorder_delay: Seconds that such a message may be late.
    """

    delay: tuple[float, float] = (0.001, 0.001)
    drop: float = 0
    duplicate: float = 0
    reorder: float = 0
    reorder_delay: float = 0.1


class Cuts:
    """Which pairs of hosts can't talk; the base of :class:`MemoryMesh`."""

    def __init__(self) -> None:
        self._silent: set[Pair] = set()
        self._noticed: set[Pair] = set()
        self._peers: dict[HostId, MemoryPeer] = {}

    @property
    def peers(self) -> tuple[MemoryPeer, ...]:
        """The hosts that have joined and are not gone, in that order."""
        return tuple(self._peers.values())

    def cut(
        self,
        one: HostId,
        other: HostId,
        *,
        both: bool = True,
        noticed: bool = False,
    ) -> None:
        """Lose messages from one host to another.

        Args:
            one: Whose messages are lost.
            other: Whom they were for.
            both: Whether the other way is cut too.
            noticed: Whether both ends know it, so that ``tell`` is false.
        """
        cut = self._noticed if noticed else self._silent
        pairs = [(one, other), (other, one)]
        cut.update(pairs if both else pairs[:1])

    def cut_domain(self, domain: DomainId, *, noticed: bool = False) -> None:
        """Cut a failure domain off from all hosts of other domains."""
        for pair in self._borders(domain):
            self.cut(*pair, noticed=noticed)

    def heal(self, one: HostId, other: HostId) -> None:
        """Undo cuts between two hosts, both ways."""
        pairs = {(one, other), (other, one)}
        self._silent -= pairs
        self._noticed -= pairs

    def heal_domain(self, domain: DomainId) -> None:
        """Undo all cuts between a failure domain and the others."""
        for pair in self._borders(domain):
            self.heal(*pair)

    def heal_all(self) -> None:
        """Undo all cuts."""
        self._silent.clear()
        self._noticed.clear()

    def is_linked(self, one: HostId, other: HostId) -> bool:
        """Tell whether a host believes that it has a link to another."""
        both = {one, other} <= self._peers.keys()
        return both and (one, other) not in self._noticed

    def is_cut(self, one: HostId, other: HostId) -> bool:
        """Tell whether messages from one host to another are lost."""
        return (one, other) in self._silent | self._noticed

    def _borders(self, domain: DomainId) -> Iterable[tuple[HostId, HostId]]:
        inside = [peer.host for peer in self.peers if peer.domain == domain]
        outside = [peer.host for peer in self.peers if peer.domain != domain]
        return itertools.product(inside, outside)


class MemoryMesh(Cuts):
    """An in-memory network of hosts, each with a ``Mesh`` of its own.

    A message that is lost is lost without a sign, as on a real network;
    ``cut(..., noticed=True)`` gives links whose ends know that they are
    down. Messages pass through the same typed encoding as on a wire.

    Example::

        async with MemoryMesh(clock, random.Random(7)) as mesh:
            one = mesh.join(HostId('a'), DomainId('shah-alam'))
            two = mesh.join(HostId('b'), DomainId('petaling'))
            two.handle(Hello, answer_hello)
            mesh.cut_domain(DomainId('petaling'))

    Args:
        clock: Time; usually a :class:`ManualClock`.
        randomness: From which drops, delays and duplicates are drawn.
        faults: How messages are treated; may be changed at any time.
    """

    def __init__(
        self,
        clock: Clock,
        randomness: random.Random,
        faults: NetworkFaults | None = None,
    ) -> None:
        super().__init__()
        self.faults = faults or NetworkFaults()
        self.clock = clock
        self._randomness = randomness
        self._tasks = OwnedTasks()
        self._last_due: dict[Pair, float] = {}

    async def __aenter__(self) -> Self:
        """Start with no host."""
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End what is under way."""
        await self._tasks.aclose()

    def join(
        self,
        host: HostId,
        domain: DomainId,
        incarnation: Incarnation | None = None,
    ) -> MemoryPeer:
        """Add a host, or a new incarnation of one, and return its mesh.

        Args:
            host: The host.
            domain: Its failure domain.
            incarnation: What this run of it is called; None makes one up.
        """
        names = PeerNames.fresh(host, domain, self._randomness)
        if incarnation is not None:
            names = replace(names, incarnation=incarnation)
        peer = MemoryPeer(names, self, self._tasks)
        self._peers[host] = peer
        return peer

    def leave(self, host: HostId) -> None:
        """Mark a host as leaving; it still sends and receives."""
        self._peers[host].presence = Presence.LEAVING

    def remove(self, host: HostId) -> None:
        """Take a host away; what is under way to it is lost."""
        self._peers.pop(host, None)

    def peer(self, host: HostId) -> MemoryPeer | None:
        """Return a host's mesh, or None if it is not there."""
        return self._peers.get(host)

    def post(self, one: HostId, other: HostId, frame: object) -> None:
        """Let a frame travel; the peers call it."""
        copies = 2 if self._draws(self.faults.duplicate) else 1
        for _ in range(copies):
            if not self._draws(self.faults.drop):
                self._tasks.start(self._carry(one, other, frame))

    async def _carry(self, one: HostId, other: HostId, frame: object) -> None:
        await self.clock.sleep(self._delay(one, other))
        receiver = self._peers.get(other)
        if receiver is not None and not self.is_cut(one, other):
            receiver.receive(one, frame)

    def _delay(self, one: HostId, other: HostId) -> float:
        delay = self._randomness.uniform(*self.faults.delay)
        if self._draws(self.faults.reorder):
            late = self._randomness.uniform(0, self.faults.reorder_delay)
            return delay + late
        # Otherwise a link keeps the order of what is sent on it.
        now = self.clock.now()
        earliest = self._last_due.get((one, other), now)
        due = max(now + delay, earliest)
        self._last_due[one, other] = due
        return due - now

    def _draws(self, share: float) -> bool:
        return share > 0 and self._randomness.random() < share
