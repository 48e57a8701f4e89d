"""What all hosts have seen of roll-outs, as far as this one knows.

Hosts tell each other their counts with their loads, also when there is nothing
poor to tell: counts that came only with poor answers would make any version
look poor.
"""

from nutmegroad.fleet.evidence import Evidence, total
from nutmegroad.foundations.types import HostId, ServiceName

#: Counts by service.
EvidenceByService = dict[ServiceName, Evidence]


class EvidenceBook:
    """Counts of this host, and of the others, by service."""

    def __init__(self) -> None:
        self._own: EvidenceByService = {}
        self._others: dict[ServiceName, dict[HostId, Evidence]] = {}

    @property
    def own_counts(self) -> EvidenceByService:
        """Return what this host has seen."""
        return self._own

    def own(self, service: ServiceName, order: int) -> Evidence:
        """Return what this host has seen of an order."""
        known = self._own.get(service)
        if known is None or known.order != order:
            return Evidence(order)
        return known

    def count(
        self,
        service: ServiceName,
        order: int,
        *,
        of_new: bool,
        poor: bool,
    ) -> None:
        """Count an answer that this host has seen."""
        known = self.own(service, order)
        self._own[service] = known.adding(of_new=of_new, poor=poor)

    def told(
        self,
        service: ServiceName,
        host: HostId,
        evidence: Evidence,
    ) -> None:
        """Take in what another host has seen, unless more is known of it."""
        hosts = self._others.setdefault(service, {})
        known = hosts.get(host)
        if known is None or known.is_before(evidence):
            hosts[host] = evidence

    def total(self, service: ServiceName, order: int) -> Evidence:
        """Return what all hosts have seen of an order."""
        others = self._others.get(service, {}).values()
        return total(order, (self.own(service, order), *others))

    def end(self, service: ServiceName) -> None:
        """Tell no more of a roll-out that has ended."""
        self._own.pop(service, None)
