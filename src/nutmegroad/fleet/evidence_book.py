"""What all hosts have seen of roll-outs, as far as this one knows.

Hosts tell each other their counts, also when there is nothing poor to tell:
counts that came only with poor answers would make any version look poor. What
they have heard they tell on, so it reaches all hosts, and outlives those that
have counted it.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from nutmegroad.fleet.evidence import (
    Answers,
    Evidence,
    KindNumber,
    RunNumber,
    add_kinds,
)
from nutmegroad.fleet.rumors import Source
from nutmegroad.fleet.told_counts import CountsTeller, RunName, ToldCounts
from nutmegroad.foundations.types import HostId, ServiceName

#: Orders of a service whose counts are kept: after the store has come back, a
#: host that has just started may know the present one by another number.
MOST_ORDERS: Final = 2

#: Services for which counts are kept at most: their names come from others.
MOST_SERVICES: Final = 100

#: Below any order's number.
_NO_ORDER: Final = -1

#: Runs of hosts that are remembered for one service at most: those of a day of
#: the letter's fleet, 400 hosts and 140 that start again.
MOST_RUNS: Final = 540


@dataclass(slots=True)
class _Counts:
    """What is known of one order.

    Attributes:
        order: Its number.
        runs: Counts by host and run.
        sums: The sum of them by kind of request.
    """

    order: int
    runs: dict[tuple[HostId, RunNumber], Evidence] = field(default_factory=dict)
    sums: dict[KindNumber, Answers] = field(default_factory=dict)

    def take(self, host: HostId, evidence: Evidence) -> Evidence | None:
        """Take in a run's counts, unless as much is known.

        Returns:
            What was known of that run before; None if nothing was taken in.
        """
        name = (host, evidence.run)
        known = self.runs.get(name)
        if known is None and len(self.runs) >= MOST_RUNS:
            return None
        before = known or Evidence(self.order, evidence.run)
        if before.count >= evidence.count:
            return None
        add_kinds(self.sums, before.kinds, -1)
        self.runs[name] = evidence
        add_kinds(self.sums, evidence.kinds)
        return before


class EvidenceBook:
    """Counts of this host, and of the others, by service.

    Args:
        host: This host.
        run: Which start of it this is.
    """

    @property
    def under_way(self) -> bool:
        """Tell whether there are counts of a roll-out that has not ended."""
        return bool(self._teller)

    @property
    def has_news(self) -> bool:
        """Tell whether other failure domains may not know of some counts."""
        return self._teller.has_far_news

    def __init__(self, host: HostId, run: RunNumber) -> None:
        self._host = host
        self._run = run
        self._own: dict[ServiceName, Evidence] = {}
        # Of the last orders; the latest one at the end.
        self._counts: dict[ServiceName, list[_Counts]] = {}
        #: Grows whenever there is news.
        self.changes = 0
        self._teller = CountsTeller(self._look_up, run)
        # The last order of each service that has ended.
        self._ended: dict[ServiceName, int] = {}

    def own(self, service: ServiceName, order: int) -> Evidence:
        """Return what this start of the host has seen of an order."""
        known = self._own.get(service)
        if known is None or known.order != order:
            return Evidence(order, self._run)
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
        """Count an answer that this host has seen."""
        known = self.own(service, order)
        grown = known.adding(kind, of_new=of_new, poor=poor)
        self._own[service] = grown
        self._take(service, self._host, grown, Source.OWN)

    def told(
        self,
        service: ServiceName,
        host: HostId,
        evidence: Evidence,
        source: Source = Source.AWAY,
    ) -> None:
        """Take in what a host has seen, unless more is known of it.

        Args:
            service: The service that is rolled out.
            host: Which host; it may be this one at an earlier start.
            evidence: What it has seen.
            source: Who has seen it; whoever reads a row of the store need not
                know.
        """
        if (host, evidence.run) != (self._host, self._run):
            self._take(service, host, evidence, source)

    def tell_near(self) -> ToldCounts:
        """Return counts for one datagram within the failure domain."""
        return self._teller.tell_near(self._own_names())

    def tell_far(self) -> ToldCounts:
        """Return counts for one datagram to another failure domain."""
        return self._teller.tell_far(self._own_names())

    def sums(
        self,
        service: ServiceName,
        order: int,
    ) -> Mapping[KindNumber, Answers]:
        """Return what all hosts have seen of an order, by kind of request."""
        known = self._of(service, order)
        return {} if known is None else known.sums

    def tellers(self, service: ServiceName, order: int) -> int:
        """Return how many hosts are known to have seen anything of an order."""
        known = self._of(service, order)
        if known is None:
            return 0
        return len({host for host, _ in known.runs})

    def end(self, service: ServiceName) -> None:
        """Tell no more of a roll-out that has ended."""
        self._own.pop(service, None)
        for counts in self._counts.get(service, ()):
            self._ended[service] = counts.order
            self._teller.drop(service, counts.order)

    def _own_names(self) -> list[RunName]:
        """Return the names of what this start of the host has seen."""
        return [
            RunName(service, evidence.order, self._host, self._run)
            for service, evidence in self._own.items()
        ]

    def _look_up(self, name: RunName) -> Evidence:
        """Return what is known of a start of a host."""
        known = self._of(name.service, name.order)
        is_own = (name.host, name.run) == (self._host, self._run)
        if known is None or is_own:
            return self.own(name.service, name.order)
        return known.runs[name.host, name.run]

    def _of(self, service: ServiceName, order: int) -> _Counts | None:
        """Return what is known of an order, if it is one of the last."""
        for known in self._counts.get(service, ()):
            if known.order == order:
                return known
        return None

    def _take(
        self,
        service: ServiceName,
        host: HostId,
        evidence: Evidence,
        source: Source,
    ) -> None:
        """Take in counts of one of the last orders."""
        known = self._of(service, evidence.order)
        if known is None:
            known = self._add(service, evidence.order)
        before = None if known is None else known.take(host, evidence)
        if before is None:
            return
        self.changes += 1
        if evidence.order <= self._ended.get(service, _NO_ORDER):
            return
        self._teller.add(
            RunName(service, evidence.order, host, evidence.run),
            source,
            # The rest comes in turn, early enough for a verdict.
            news=evidence.whole.new_poor > before.whole.new_poor,
        )

    def _add(self, service: ServiceName, order: int) -> _Counts | None:
        """Begin to count for an order, if it is one of the last."""
        orders = self._counts.get(service, [])
        if not orders and len(self._counts) >= MOST_SERVICES:
            return None
        added = _Counts(order)
        self._counts[service] = sorted((*orders, added), key=_number)[
            -MOST_ORDERS:
        ]
        for dropped in (*orders, added):
            if dropped not in self._counts[service]:
                self._teller.drop(service, dropped.order)
        return self._of(service, order)


def _number(counts: _Counts) -> int:
    """Return the number of the order that counts are of."""
    return counts.order
