"""Tracks the rollout evidence of all hosts.

Hosts exchange their counts even when none of the answers was poor: if counts
were sent with poor answers only, any version would look poor. Hosts also
forward the counts that they have received, so the counts reach all hosts and
survive the hosts that made them.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from nutmegroad.fleet.evidence import (
    Answers,
    Evidence,
    HostIncarnation,
    KindNumber,
    add_kinds,
)
from nutmegroad.fleet.evidence_gossip import (
    CountsGossip,
    CountsKey,
    CountsReport,
)
from nutmegroad.fleet.gossip_queue import Source
from nutmegroad.foundations.types import HostId, ServiceName

#: Orders of a service whose counts are retained. After a restore of the store,
#: a host that has just started may know the current order by another number.
MAX_ORDERS: Final = 2

#: Maximum number of services with counts: service names come from other hosts.
MAX_SERVICES: Final = 100

#: Lower than the number of any order.
_NO_ORDER: Final = -1

#: Maximum number of host incarnations tracked per service: those of one day in
#: the largest planned deployment, 400 hosts of which 140 restart.
MAX_INCARNATIONS: Final = 540


@dataclass(slots=True)
class _Counts:
    """Counts of one order.

    Attributes:
        order: Its number.
        by_incarnation: Counts by host and incarnation.
        sums: Their sum by kind of request.
    """

    order: int
    by_incarnation: dict[tuple[HostId, HostIncarnation], Evidence] = field(
        default_factory=dict
    )
    sums: dict[KindNumber, Answers] = field(default_factory=dict)

    def merge(self, host: HostId, evidence: Evidence) -> Evidence | None:
        """Merge the counts of an incarnation, unless as many or more are known.

        Returns:
            The counts known of that incarnation before; None if nothing was
            merged.
        """
        key = (host, evidence.run)
        known = self.by_incarnation.get(key)
        if known is None and len(self.by_incarnation) >= MAX_INCARNATIONS:
            return None
        before = known or Evidence(self.order, evidence.run)
        if before.size >= evidence.size:
            return None
        add_kinds(self.sums, before.kinds, -1)
        self.by_incarnation[key] = evidence
        add_kinds(self.sums, evidence.kinds)
        return before


class _RecentOrders:
    """Counts of the last orders of each service."""

    def __init__(self) -> None:
        # In ascending order of the orders' numbers.
        self._by_service: dict[ServiceName, list[_Counts]] = {}

    def of_service(self, service: ServiceName) -> list[_Counts]:
        """Return the counts of a service."""
        return self._by_service.get(service, [])

    def find(self, service: ServiceName, order: int) -> _Counts | None:
        """Return the counts of an order, or None if it is not a recent one."""
        for known in self.of_service(service):
            if known.order == order:
                return known
        return None

    def add(self, service: ServiceName, order: int) -> list[_Counts]:
        """Start counting for an order, if it is one of the last.

        Returns:
            The counts that are not kept, perhaps the new ones.
        """
        orders = self.of_service(service)
        added = _Counts(order)
        if not orders and len(self._by_service) >= MAX_SERVICES:
            return [added]
        kept = sorted((*orders, added), key=_order_number)[-MAX_ORDERS:]
        self._by_service[service] = kept
        return [each for each in (*orders, added) if each not in kept]


class EvidenceTracker:
    """Rollout counts of this host and of all others, by service.

    Args:
        host: This host.
        incarnation: The current incarnation of this host.
    """

    @property
    def in_progress(self) -> bool:
        """Whether there are counts of a rollout that has not ended."""
        return bool(self._gossip)

    @property
    def has_updates(self) -> bool:
        """Whether other failure domains may lack some counts."""
        return self._gossip.has_remote_updates

    def __init__(self, host: HostId, incarnation: HostIncarnation) -> None:
        self._host = host
        self._incarnation = incarnation
        self._own: dict[ServiceName, Evidence] = {}
        self._orders = _RecentOrders()
        #: Incremented whenever counts were merged.
        self.changes = 0
        self._gossip = CountsGossip(self._look_up, incarnation)
        # Number of the last order of each service that has ended.
        self._ended_orders: dict[ServiceName, int] = {}

    def own(self, service: ServiceName, order: int) -> Evidence:
        """Return the counts of this incarnation of the host for an order."""
        known = self._own.get(service)
        if known is None or known.order != order:
            return Evidence(order, self._incarnation)
        return known

    def count(
        self,
        service: ServiceName,
        order: int,
        kind: KindNumber,
        *,
        of_new: bool,
        poor: bool,
    ) -> None:
        """Count an answer that this host has seen.

        Args:
            service: The service that is rolled out.
            order: Number of the order.
            kind: Kind of the request.
            of_new: Whether the new version answered.
            poor: Whether the answer was poor.
        """
        known = self.own(service, order)
        self._grow(service, known.with_answer(kind, of_new=of_new, poor=poor))

    def count_sent(
        self, service: ServiceName, order: int, kind: KindNumber
    ) -> None:
        """Count a request that this host has sent.

        Args:
            service: The service that is rolled out.
            order: Number of the order.
            kind: Kind of the request.
        """
        self._grow(service, self.own(service, order).with_request(kind))

    def merge(
        self,
        service: ServiceName,
        host: HostId,
        evidence: Evidence,
        source: Source = Source.REMOTE,
    ) -> None:
        """Merge the counts of a host, unless newer ones are known.

        Args:
            service: The service that is rolled out.
            host: The host that counted; may be an earlier incarnation of this
                host.
            evidence: Its counts.
            source: Where the counts were made, seen from this host. Counts read
                from a row of the store may use the default.
        """
        if (host, evidence.run) != (self._host, self._incarnation):
            self._merge(service, host, evidence, source)

    def local_report(self) -> CountsReport:
        """Return counts for one datagram within the failure domain."""
        return self._gossip.local_report(self._own_keys())

    def remote_report(self) -> CountsReport:
        """Return counts for one datagram to another failure domain."""
        return self._gossip.remote_report(self._own_keys())

    def sums(
        self,
        service: ServiceName,
        order: int,
    ) -> Mapping[KindNumber, Answers]:
        """Return the counts of all hosts for an order, by kind of request."""
        known = self._orders.find(service, order)
        return {} if known is None else known.sums

    def count_hosts(self, service: ServiceName, order: int) -> int:
        """Return how many hosts have contributed counts for an order."""
        known = self._orders.find(service, order)
        if known is None:
            return 0
        return len({host for host, _ in known.by_incarnation})

    def stop(self, service: ServiceName) -> None:
        """Stop sending the counts of a rollout that has ended."""
        self._own.pop(service, None)
        for counts in self._orders.of_service(service):
            self._ended_orders[service] = counts.order
            self._gossip.drop(service, counts.order)

    def _grow(self, service: ServiceName, grown: Evidence) -> None:
        """Replace the counts of this incarnation of the host."""
        self._own[service] = grown
        self._merge(service, self._host, grown, Source.OWN)

    def _own_keys(self) -> list[CountsKey]:
        """Return the keys of the counts of this incarnation of the host."""
        return [
            CountsKey(service, evidence.order, self._host, self._incarnation)
            for service, evidence in self._own.items()
        ]

    def _look_up(self, key: CountsKey) -> Evidence:
        """Return the counts with a key."""
        known = self._orders.find(key.service, key.order)
        is_own = (key.host, key.incarnation) == (self._host, self._incarnation)
        if known is None or is_own:
            return self.own(key.service, key.order)
        return known.by_incarnation[key.host, key.incarnation]

    def _merge(
        self,
        service: ServiceName,
        host: HostId,
        evidence: Evidence,
        source: Source,
    ) -> None:
        """Merge counts if their order is one of the last ones."""
        known = self._orders.find(service, evidence.order)
        if known is None:
            for dropped in self._orders.add(service, evidence.order):
                self._gossip.drop(service, dropped.order)
            known = self._orders.find(service, evidence.order)
        before = None if known is None else known.merge(host, evidence)
        if before is None:
            return
        self.changes += 1
        if evidence.order <= self._ended_orders.get(service, _NO_ORDER):
            return
        self._gossip.add(
            CountsKey(service, evidence.order, host, evidence.run),
            source,
            # Other changes are sent in rotation, in time for the decision on
            # the rollout.
            urgent=evidence.total.new_poor > before.total.new_poor,
        )


def _order_number(counts: _Counts) -> int:
    """Return the order number of counts; a sort key."""
    return counts.order
