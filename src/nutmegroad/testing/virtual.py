"""Test helpers: a manually advanced clock and an in-memory mesh.

Both are deterministic: time advances only when a test says so, and each
dropped, delayed or duplicated message is decided by the random generator that
the test passes in.
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
from nutmegroad.testing._memory_mesh import MemoryPeer, PeerIdentity

#: Iterations of the event loop without a new sleep after which every task is
#: assumed to be waiting for the clock.
IDLE_ITERATIONS: Final = 25

#: An arbitrary date, the same for all tests.
_WALL_START: Final = 1_700_000_000.0

#: The sender and the receiver of messages.
Pair = tuple[HostId, HostId]
#: The time at which a sleep ends, a tie-breaker for equal times that keeps
#: the order of the calls, and the future to resolve.
_Sleeper = tuple[float, int, asyncio.Future[None]]


class ManualClock:
    """A clock that advances only when a test says so.

    Args:
        start: Initial value of ``now``, in seconds.
        wall: Initial value of ``wall``, in seconds since 1970.
    """

    def __init__(self, start: float = 0, wall: float = _WALL_START) -> None:
        self._now = start
        self._wall_offset = wall - start
        self._order = itertools.count()
        self._sleepers: list[_Sleeper] = []
        self._sleeps = 0

    @property
    def sleepers(self) -> int:
        """The number of tasks that sleep on this clock."""
        return sum(1 for entry in self._sleepers if not entry[2].done())

    def now(self) -> float:
        """Return the current clock time in seconds."""
        return self._now

    def wall(self) -> float:
        """Return the current time in seconds since 1970."""
        return self._now + self._wall_offset

    async def sleep(self, seconds: float) -> None:
        """Wait until the clock has been advanced by a number of seconds."""
        self._sleeps += 1
        if seconds <= 0:
            await asyncio.sleep(0)
            return
        waiter = asyncio.get_running_loop().create_future()
        due = self._now + seconds
        heapq.heappush(self._sleepers, (due, next(self._order), waiter))
        await waiter

    async def advance(self, seconds: float) -> None:
        """Advance the clock, waking each sleeper at its own time, in order."""
        end = self._now + seconds
        await self.settle()
        while self._sleepers and self._sleepers[0][0] <= end:
            self._now = max(self._now, self._sleepers[0][0])
            self._wake_due()
            await self.settle()
        self._now = end
        await self.settle()

    async def jump(self, seconds: float) -> None:
        """Advance the clock in one step, as after a pause of the process."""
        self._now += seconds
        self._wake_due()
        await self.settle()

    async def settle(self) -> None:
        """Let tasks run until all of them are waiting for the clock."""
        idle = 0
        while idle < IDLE_ITERATIONS:
            before = self._sleeps
            await asyncio.sleep(0)
            idle = idle + 1 if before == self._sleeps else 0

    def _wake_due(self) -> None:
        while self._sleepers and self._sleepers[0][0] <= self._now:
            waiter = heapq.heappop(self._sleepers)[2]
            if not waiter.done():
                waiter.set_result(None)


class PausableClock:
    """The clock of one host, which simulates pauses of that host.

    Time advances during a pause, but no sleep of the host returns.

    Args:
        clock: The clock that all hosts share.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._running = asyncio.Event()
        self._running.set()

    def now(self) -> float:
        """Return the time of the shared clock, in seconds."""
        return self._clock.now()

    def wall(self) -> float:
        """Return the wall-clock time of the shared clock, in seconds."""
        return self._clock.wall()

    async def sleep(self, seconds: float) -> None:
        """Sleep, and then wait until the host is not paused."""
        await self._clock.sleep(seconds)
        await self._running.wait()

    def pause(self) -> None:
        """Pause the host: no sleep returns until it is resumed."""
        self._running.clear()

    def resume(self) -> None:
        """Resume the host: sleeps that are due return."""
        self._running.set()


@dataclass(slots=True)
class NetworkFaults:
    """How the network of a :class:`MemoryMesh` treats messages.

    Attributes:
        delay: Minimum and maximum latency of a message, in seconds.
        drop: Fraction of messages that are lost.
        duplicate: Fraction of messages that are delivered twice.
        reorder: Fraction of messages that later ones may overtake.
        reorder_delay: Maximum additional latency of these, in seconds.
    """

    delay: tuple[float, float] = (0.001, 0.001)
    drop: float = 0
    duplicate: float = 0
    reorder: float = 0
    reorder_delay: float = 0.1


class LinkCuts:
    """The broken links between hosts; the base of :class:`MemoryMesh`."""

    def __init__(self) -> None:
        self._silent_cuts: set[Pair] = set()
        self._noticed_cuts: set[Pair] = set()
        self._peers: dict[HostId, MemoryPeer] = {}

    @property
    def peers(self) -> tuple[MemoryPeer, ...]:
        """The hosts that have joined and were not removed, in that order."""
        return tuple(self._peers.values())

    def cut(
        self,
        one: HostId,
        other: HostId,
        *,
        both: bool = True,
        noticed: bool = False,
    ) -> None:
        """Cut the link between two hosts, so that messages are lost.

        Args:
            one: The sender whose messages are lost.
            other: The receiver of those messages.
            both: Whether messages in the opposite direction are lost too.
            noticed: Whether the senders know of the cut, so that sending
                fails; otherwise messages are lost silently.
        """
        cuts = self._noticed_cuts if noticed else self._silent_cuts
        pairs = [(one, other), (other, one)]
        cuts.update(pairs if both else pairs[:1])

    def cut_domain(self, domain: DomainId, *, noticed: bool = False) -> None:
        """Cut all links between a failure domain and the others."""
        for pair in self._pairs_across(domain):
            self.cut(*pair, noticed=noticed)

    def heal(self, one: HostId, other: HostId) -> None:
        """Restore the link between two hosts, in both directions."""
        pairs = {(one, other), (other, one)}
        self._silent_cuts -= pairs
        self._noticed_cuts -= pairs

    def heal_domain(self, domain: DomainId) -> None:
        """Restore all links between a failure domain and the others."""
        for pair in self._pairs_across(domain):
            self.heal(*pair)

    def heal_all(self) -> None:
        """Restore all links."""
        self._silent_cuts.clear()
        self._noticed_cuts.clear()

    def is_linked(self, sender: HostId, receiver: HostId) -> bool:
        """Return whether a host believes that it has a link to another."""
        have_joined = {sender, receiver} <= self._peers.keys()
        return have_joined and (sender, receiver) not in self._noticed_cuts

    def is_cut(self, sender: HostId, receiver: HostId) -> bool:
        """Return whether messages from one host to another are lost."""
        return (sender, receiver) in self._silent_cuts | self._noticed_cuts

    def _pairs_across(self, domain: DomainId) -> Iterable[Pair]:
        inside = [peer.host for peer in self.peers if peer.domain == domain]
        outside = [peer.host for peer in self.peers if peer.domain != domain]
        return itertools.product(inside, outside)


class MemoryMesh(LinkCuts):
    """An in-memory network of hosts, each with its own ``Mesh``.

    Messages are lost silently, as on a real network; after
    ``cut(..., noticed=True)`` the senders know that the link is down.
    Messages are encoded and decoded by type as on real links.

    Example::

        async with MemoryMesh(clock, random.Random(7)) as mesh:
            one = mesh.join(HostId('a'), DomainId('shah-alam'))
            two = mesh.join(HostId('b'), DomainId('petaling'))
            two.handle(Hello, answer_hello)
            mesh.cut_domain(DomainId('petaling'))

    Args:
        clock: The clock; usually a :class:`ManualClock`.
        randomness: Decides which messages are dropped, delayed or
            duplicated.
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
        """Return the network, without hosts."""
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Cancel the messages in transit and the running handlers."""
        await self._tasks.aclose()

    def join(
        self,
        host: HostId,
        domain: DomainId,
        incarnation: Incarnation | None = None,
    ) -> MemoryPeer:
        """Add a host, or a new incarnation of one, and return its mesh.

        Args:
            host: The id of the host.
            domain: Its failure domain.
            incarnation: Its incarnation; None for a random one.
        """
        identity = PeerIdentity.fresh(host, domain, self._randomness)
        if incarnation is not None:
            identity = replace(identity, incarnation=incarnation)
        peer = MemoryPeer(identity, self, self._tasks)
        self._peers[host] = peer
        return peer

    def leave(self, host: HostId) -> None:
        """Mark a host as leaving; it can still send and receive."""
        self._peers[host].presence = Presence.LEAVING

    def remove(self, host: HostId) -> None:
        """Remove a host; messages in transit to it are lost."""
        self._peers.pop(host, None)

    def peer(self, host: HostId) -> MemoryPeer | None:
        """Return the mesh of a host, or None if it has not joined."""
        return self._peers.get(host)

    def send_frame(
        self, sender: HostId, receiver: HostId, frame: object
    ) -> None:
        """Send a frame; called by the peers."""
        copies = 2 if self._occurs(self.faults.duplicate) else 1
        for _ in range(copies):
            if not self._occurs(self.faults.drop):
                self._tasks.start(self._deliver(sender, receiver, frame))

    async def _deliver(
        self, sender: HostId, receiver: HostId, frame: object
    ) -> None:
        await self.clock.sleep(self._delay(sender, receiver))
        peer = self._peers.get(receiver)
        if peer is not None and not self.is_cut(sender, receiver):
            peer.receive(sender, frame)

    def _delay(self, sender: HostId, receiver: HostId) -> float:
        delay = self._randomness.uniform(*self.faults.delay)
        if self._occurs(self.faults.reorder):
            extra = self._randomness.uniform(0, self.faults.reorder_delay)
            return delay + extra
        # Otherwise a link preserves the order of its messages.
        now = self.clock.now()
        earliest = self._last_due.get((sender, receiver), now)
        due = max(now + delay, earliest)
        self._last_due[sender, receiver] = due
        return due - now

    def _occurs(self, probability: float) -> bool:
        return probability > 0 and self._randomness.random() < probability
