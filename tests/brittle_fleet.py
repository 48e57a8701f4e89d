"""Simulation of hosts that send bursts to brittle upstreams."""

import heapq
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from functools import partial

from nutmegroad.fleet.duties import HostRing
from nutmegroad.fleet.loads import Load, LoadLedger
from nutmegroad.foundations.types import HostId
from nutmegroad.relay.tunnel_hosts import FAR_HOSTS_ASKED, NEAR_HOSTS_ASKED
from nutmegroad.testing.virtual import ManualClock
from nutmegroad.upstreams.brittle_limits import BrittleLimits, brittle_duty
from nutmegroad.upstreams.directory import Upstream
from tests.relay_samples import ENGINES, an_entry

#: Seconds for which an upstream that fell over is away.
DOWN_SECONDS = 3.0


@dataclass
class Worker:
    """A brittle upstream by the operators' description.

    Attributes:
        upstream: Its entry.
        limit: Rejections in a second that it tolerates.
        running: Requests that it executes.
        rejections: Times of its rejections in the last second.
        down_until: When it is back after it fell over.
        falls: How often it fell over.
    """

    upstream: Upstream
    limit: int
    running: int = 0
    rejections: deque[float] = field(default_factory=deque)
    down_until: float = 0
    falls: int = 0

    def accepts(self, now: float) -> bool:
        """Return whether a request is accepted; fall over if necessary."""
        if now < self.down_until:
            return False
        if self.running < self.upstream.entry.slots:
            self.running += 1
            return True
        self.rejections.append(now)
        while self.rejections[0] <= now - 1:
            self.rejections.popleft()
        if len(self.rejections) > self.limit:
            self.falls += 1
            self.down_until = now + DOWN_SECONDS
            self.rejections.clear()
        return False


@dataclass(frozen=True)
class Pattern:
    """A fleet, and a burst of requests.

    Attributes:
        hosts: Number of hosts.
        workers: Number of brittle upstreams.
        slots: Requests that each executes.
        limit: Rejections in a second that each tolerates.
        work: Seconds that a request takes.
        rate: Requests in a second during the burst.
    """

    hosts: int
    workers: int
    slots: int
    limit: int
    work: float
    rate: float


#: Bursts that ask for one and a half times what the workers can do. Hosts know
#: only their own requests: reports arrive after the burst has begun.
PATTERNS = {
    'few hosts, short calls': Pattern(9, 3, 6, 4, 0.06, 450),
    'few hosts, generations': Pattern(9, 9, 48, 8, 0.8, 810),
    'sixty hosts, short calls': Pattern(60, 3, 6, 4, 0.06, 450),
    'sixty hosts, generations': Pattern(60, 8, 32, 8, 0.8, 480),
    'more hosts than room': Pattern(195, 6, 12, 6, 0.4, 270),
}


#: When a request ends, its number, and what ends it.
_End = tuple[float, int, Callable[[], None]]


class Fleet:
    """Hosts that send a burst to brittle upstreams, on virtual time.

    Args:
        pattern: The fleet and its load.
        shared: Whether hosts share the limits; if not, each acts alone.
    """

    def __init__(self, pattern: Pattern, *, shared: bool) -> None:
        self.clock = ManualClock(start=100)
        self.pattern = pattern
        self._randomness = random.Random(1)
        self.workers = {
            f'u{number}': Worker(
                an_upstream(f'u{number}', pattern.slots), pattern.limit
            )
            for number in range(pattern.workers)
        }
        names = [HostId(f'host-{number}') for number in range(pattern.hosts)]
        self.hosts = {}
        for name in names:
            self._ring = _ring_of(name, names)
            limits = BrittleLimits(self.clock, LoadLedger(self.clock))
            if shared:
                limits.share_with(self._ring.rank, lambda: len(names))
            limits.observe(ENGINES, pattern.limit)
            self.hosts[name] = limits
        self.served = 0
        self.arrived = 0
        self._ends: list[_End] = []

    @property
    def falls(self) -> int:
        """How often upstreams fell over."""
        return sum(worker.falls for worker in self.workers.values())

    @property
    def tolerated(self) -> float:
        """How often the operator lets them fall over."""
        return 2 + len(self.workers) / 10

    def play(self, seconds: float) -> None:
        """Send the burst; a fifth of it arrives at one host."""
        end = self.clock.now() + seconds
        names = list(self.hosts)
        while self.clock.now() < end:
            self.clock._now += self._randomness.expovariate(self.pattern.rate)
            while self._ends and self._ends[0][0] <= self.clock.now():
                heapq.heappop(self._ends)[-1]()
            busiest = not self._randomness.randrange(5)
            name = names[0] if busiest else self._randomness.choice(names)
            self._send(self.hosts[name])

    def _send(self, limits: BrittleLimits) -> None:
        """Send one request to an upstream that the host may use."""
        self.arrived += 1
        limits.observe(ENGINES, self.pattern.limit)
        upstreams = [worker.upstream for worker in self.workers.values()]
        usable = list(limits.usable(upstreams))
        if not usable:
            return
        chosen = self._randomness.choice(usable)
        name = chosen.entry.incarnation
        if limits.has_share(chosen):
            load = Load(1)
            limits._ledger.begin(name, load)
            ended = partial(limits._ledger.end, name, load)
        else:
            loan = self._borrow(chosen, limits)
            if loan is None:
                limits.record_no_share(chosen)
                return
            ended = loan
        if not self.workers[name].accepts(self.clock.now()):
            limits.record_failure(chosen)
            ended()
            return
        self.served += 1

        def done() -> None:
            """End the request."""
            self.workers[name].running -= 1
            ended()

        at = self.clock.now() + self.pattern.work
        heapq.heappush(self._ends, (at, self.arrived, done))

    def _borrow(
        self, upstream: Upstream, limits: BrittleLimits
    ) -> Callable[[], None] | None:
        """Ask other hosts for a share."""
        lenders = list(self.hosts)
        count = limits.lender_count(upstream)
        if count is not None:
            lenders = list(self._ring.first(brittle_duty(upstream), count))
        self._randomness.shuffle(lenders)
        for lender in lenders[: NEAR_HOSTS_ASKED + FAR_HOSTS_ASKED]:
            loan = self.hosts[lender].lend(upstream)
            if loan is not None:
                return loan
        return None


def _ring_of(own: HostId, names: Iterable[HostId]) -> HostRing:
    """Return a host's ring of all hosts."""
    ring = HostRing(own)
    for name in names:
        ring.add(name)
    return ring


def an_upstream(name: str, slots: int) -> Upstream:
    """Return an upstream with a number of slots."""
    return Upstream(replace(an_entry(name), slots=slots))
