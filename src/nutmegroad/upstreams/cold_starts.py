"""Limits the requests that all hosts together send to a cold upstream.

An upstream that has just started tolerates few requests per second, and crashes
from many more. The limit holds for the whole fleet but needs no coordination:
a few hosts, chosen by hashing, may send to a cold upstream, each at
most a fixed share of its rate. The hosts are taken from the fleet table, not
from the hosts that are reachable, so a host that is cut off from the others
claims no larger share.
"""

from collections import deque
from collections.abc import Callable, Collection
from typing import Final

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import UpstreamIncarnation
from nutmegroad.routes.deployment import ColdStart
from nutmegroad.upstreams.directory import Upstream

#: Number of hosts that may send requests to a cold upstream. With one, nothing
#: would be sent if that host has failed. While hosts join the fleet, as many
#: again may count themselves among them.
COLD_SENDERS: Final = 3

#: Seconds over which the rate of a cold upstream is limited.
RATE_WINDOW: Final = 1.0

#: Returns this host's rank among all hosts for a duty; None before the hosts
#: are known.
HostRank = Callable[[str], int | None]


class ColdStarts:
    """Admits requests to cold upstreams.

    Args:
        clock: The host's clock.
        rank: This host's rank for a duty.
    """

    def __init__(self, clock: Clock, rank: HostRank) -> None:
        self._clock = clock
        self._rank = rank
        self._started = clock.now()
        self._sent: dict[UpstreamIncarnation, deque[float]] = {}

    def usable(
        self, upstreams: Collection[Upstream], cold_start: ColdStart | None
    ) -> Collection[Upstream]:
        """Return the upstreams to which this host may send a request now.

        Args:
            upstreams: Upstreams of one service.
            cold_start: Behaviour of a cold upstream of the service; None if it
                needs no limit.
        """
        if cold_start is None:
            return upstreams
        return tuple(
            each
            for each in upstreams
            if not self.is_cold(each, cold_start)
            or self._is_admitted(each, cold_start)
        )

    def is_cold(self, upstream: Upstream, cold_start: ColdStart | None) -> bool:
        """Return whether an upstream may be cold."""
        if cold_start is None:
            return False
        return self.seconds_cold(upstream, cold_start) > 0

    def seconds_cold(self, upstream: Upstream, cold_start: ColdStart) -> float:
        """Return for how many seconds an upstream may still be cold."""
        return upstream.warm_at(cold_start.seconds) - self._clock.now()

    def record_sent(self, upstream: Upstream) -> None:
        """Record that a request is sent; any upstream may become cold."""
        now = self._clock.now()
        self._sent.setdefault(upstream.entry.incarnation, deque()).append(now)
        self._forget_before(now - RATE_WINDOW)

    def _forget_before(self, oldest: float) -> None:
        """Forget the requests that were sent before a clock time."""
        for name, times in tuple(self._sent.items()):
            while times and times[0] <= oldest:
                times.popleft()
            if not times:
                self._sent.pop(name)

    def _is_admitted(self, upstream: Upstream, cold_start: ColdStart) -> bool:
        """Return whether this host may send one more request now.

        What a process of this host sent before the present one started is not
        known, so nothing is sent until the rate no longer counts it.
        """
        if self._clock.now() - self._started < RATE_WINDOW:
            return False
        senders = min(COLD_SENDERS, max(1, int(cold_start.rate)))
        name = upstream.entry.incarnation
        rank = self._rank(f'cold/{name}')
        if rank is None or rank >= senders:
            return False
        share = max(1, int(cold_start.rate / senders))
        oldest = self._clock.now() - RATE_WINDOW
        return sum(sent > oldest for sent in self._sent.get(name, ())) < share
