"""Limits the requests at upstreams that terminate if they reject too many.

A brittle upstream states how many requests it may reject in a second. All hosts
together must not exceed that, without a shared counter. So each upstream's
slots are divided among the hosts: a host has at most its share of requests
there, and an upstream never gets more than it has room for. What it tolerates
is left for hosts that have joined, or have not had an answer that says so yet.

A host that needs more asks another one to send a request within its share. If
there are more hosts than slots, some hosts, chosen by hashing, have one slot
each and send for the others. Hosts are counted in the fleet table, so
a host that is cut off from others claims no larger share.
"""

from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Final

from nutmegroad.fleet.loads import NO_LOAD, LoadLedger
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import ServiceName, UpstreamIncarnation
from nutmegroad.upstreams.cold_starts import HostRank
from nutmegroad.upstreams.directory import Upstream

_LOG: Final = part_logger('upstreams')

#: Returns the number of hosts, including this one; None before they are known.
HostCount = Callable[[], int | None]

#: Seconds after a rejection in which the upstream gets no request of this host:
#: the time over which it counts rejections. The same after a request that it
#: did not answer in time: it may hold a slot for the request for a while.
REJECTION_PAUSE: Final = 1.0

#: Seconds for which no host is asked again for a share at an upstream after
#: none had one: a plain service ends a call about every so often.
NO_SHARE_PAUSE: Final = 0.02

#: Seconds without any answer of a service after which it no longer counts as
#: brittle.
STATEMENT_TTL: Final = 10.0


@dataclass(frozen=True, slots=True)
class _Statement:
    """What the upstreams of a service say about themselves.

    Attributes:
        limit: Rejections per second that each of them tolerates.
        received_at: Clock seconds of the last answer that said so.
    """

    limit: int
    received_at: float


class BrittleLimits:
    """Admits requests to brittle upstreams.

    Args:
        clock: The host's clock.
        ledger: Has the requests of this host at each upstream.
    """

    def __init__(self, clock: Clock, ledger: LoadLedger) -> None:
        self._clock = clock
        self._ledger = ledger
        self._rank: HostRank = _first_rank
        self._host_count: HostCount = _lone_host
        self._statements: dict[ServiceName, _Statement] = {}
        # Clock seconds until which an upstream gets no request.
        self._paused_until: dict[UpstreamIncarnation, float] = {}
        # Requests of this host that others send within their shares, and
        # requests of others that this host sends within its own.
        self._borrowed: Counter[UpstreamIncarnation] = Counter()
        self._lent: Counter[UpstreamIncarnation] = Counter()

    def share_with(self, rank: HostRank, host_count: HostCount) -> None:
        """Share the slots of upstreams with other hosts.

        Args:
            rank: This host's rank among all hosts for a duty.
            host_count: The number of hosts.
        """
        self._rank = rank
        self._host_count = host_count

    def observe(self, service: ServiceName, limit: int | None) -> None:
        """Record what an answer says about the upstreams of a service.

        Args:
            service: The service.
            limit: Rejections per second that each of them tolerates; None if
                they are not brittle.
        """
        known = self._statements.pop(service, None)
        if (known is None) != (limit is None):
            _LOG.decision('brittleness changed', service=service, limit=limit)
        if limit is not None:
            self._statements[service] = _Statement(limit, self._clock.now())

    def is_brittle(self, service: ServiceName) -> bool:
        """Return whether the upstreams of a service are brittle."""
        statement = self._statements.get(service)
        if statement is None:
            return False
        return self._clock.now() - statement.received_at <= STATEMENT_TTL

    def usable(self, upstreams: Collection[Upstream]) -> Collection[Upstream]:
        """Return the upstreams to which a request may be sent now.

        Those at which this host has a share left come first; if there are none,
        those at which another host may have one.
        """
        if not self._statements:
            return upstreams
        open_to_all = [each for each in upstreams if not self._is_paused(each)]
        return [
            each for each in open_to_all if self.has_share(each)
        ] or open_to_all

    def has_share(self, upstream: Upstream) -> bool:
        """Return whether this host may send one more request by itself."""
        if not self.is_brittle(upstream.entry.service):
            return True
        name = upstream.entry.incarnation
        own = self._ledger.own.get(name, NO_LOAD).running
        used = own - self._borrowed[name] + self._lent[name]
        return used < self._share(upstream)

    def lender_count(self, upstream: Upstream) -> int | None:
        """Return how many hosts, by rank, have a share; None if all have."""
        slots = upstream.entry.slots
        hosts = self._host_count()
        return slots if hosts is not None and slots < hosts else None

    def borrow(self, upstream: Upstream) -> Callable[[], None]:
        """Count a request that another host sends within its share.

        Returns:
            A function to call when the request has ended.
        """
        return _count(self._borrowed, upstream.entry.incarnation)

    def lend(self, upstream: Upstream) -> Callable[[], None] | None:
        """Send a request of another host within this host's share.

        Returns:
            A function to call when the request has ended; None if this host has
            no share left.
        """
        if self._is_paused(upstream) or not self.has_share(upstream):
            return None
        return _count(self._lent, upstream.entry.incarnation)

    def record_failure(self, upstream: Upstream) -> None:
        """Record that an upstream has rejected or not answered a request."""
        if self.is_brittle(upstream.entry.service):
            self._pause(upstream, REJECTION_PAUSE)

    def record_no_share(self, upstream: Upstream) -> None:
        """Record that no host had a share left at an upstream."""
        self._pause(upstream, NO_SHARE_PAUSE)

    def count_paused(self, upstreams: Collection[Upstream]) -> int:
        """Return the number of upstreams that get no request now."""
        return sum(self._is_paused(each) for each in upstreams)

    def _share(self, upstream: Upstream) -> int:
        """Return how many requests this host may have at an upstream."""
        hosts = self._host_count()
        if hosts is None:
            return 0
        share, remainder = divmod(upstream.entry.slots, hosts)
        rank = self._rank(brittle_duty(upstream))
        has_one_more = rank is not None and rank < remainder
        return share + has_one_more

    def _pause(self, upstream: Upstream, seconds: float) -> None:
        """Send nothing to an upstream for a while."""
        now = self._clock.now()
        name = upstream.entry.incarnation
        until = max(self._paused_until.get(name, 0), now + seconds)
        self._paused_until = {
            other: end for other, end in self._paused_until.items() if now < end
        }
        self._paused_until[name] = until

    def _is_paused(self, upstream: Upstream) -> bool:
        """Return whether nothing is sent to an upstream now."""
        until = self._paused_until.get(upstream.entry.incarnation, 0)
        return self._clock.now() < until


def brittle_duty(upstream: Upstream) -> str:
    """Return the duty of the hosts that rank first at a brittle upstream."""
    return f'brittle/{upstream.entry.incarnation}'


def _count(
    counter: Counter[UpstreamIncarnation], name: UpstreamIncarnation
) -> Callable[[], None]:
    """Count a request, and return a function that ends the count."""
    counter[name] += 1

    def end() -> None:
        """End the count."""
        counter[name] -= 1
        if not counter[name]:
            counter.pop(name)

    return end


def _first_rank(duty: str) -> int:
    """Return the rank of a host that is alone."""
    return 0


def _lone_host() -> int:
    """Return the number of hosts if there is only one."""
    return 1
