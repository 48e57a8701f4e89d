"""What all hosts have seen of roll-outs, as far as this one knows.

Hosts tell each other their counts with their loads, also when there is nothing
poor to tell: counts that came only with poor answers would make any version
look poor. The counts of a host that has lost its memory are told on by those
who had heard of them.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from itertools import islice
from typing import Final

from msgspec import Struct

from nutmegroad.fleet.evidence import (
    Answers,
    Evidence,
    KindNumber,
    RunNumber,
    add_kinds,
)
from nutmegroad.foundations.types import HostId, ServiceName

#: Counts by service.
EvidenceByService = dict[ServiceName, Evidence]

#: Counts of ended runs that one datagram tells on: some 100 bytes. Only while
#: a roll-out is under way in which hosts were lost.
TOLD_ON: Final = 3

#: Orders of a service whose counts are kept: after the store has come back, a
#: host that has just started may know the present one by another number.
MOST_ORDERS: Final = 2

#: Runs of hosts that are remembered for one service at most: those of a day of
#: the letter's fleet, 400 hosts and 140 that start again.
MOST_RUNS: Final = 540


class EndedRun(Struct, frozen=True, array_like=True):
    """What a host had seen before it started again.

    Attributes:
        service: The service that is rolled out.
        host: The host.
        evidence: What it had seen.
    """

    service: ServiceName
    host: HostId
    evidence: Evidence


@dataclass(slots=True)
class _Counts:
    """What is known of one order.

    Attributes:
        order: Its number.
        runs: Counts by host and run; a host's last one is its newest.
        sums: The sum of them by kind of request.
        ended: Hosts and runs that others have come after.
    """

    order: int
    runs: dict[tuple[HostId, RunNumber], Evidence] = field(default_factory=dict)
    sums: dict[KindNumber, Answers] = field(default_factory=dict)
    ended: dict[tuple[HostId, RunNumber], None] = field(default_factory=dict)

    def end_others(self, host: HostId, run: RunNumber) -> None:
        """Note that a run has come which ends a host's others."""
        if (host, run) in self.runs:
            return
        for name in self.runs:
            if name[0] == host:
                self.ended.setdefault(name)

    def take(self, host: HostId, evidence: Evidence) -> bool:
        """Take in a run's counts; tell whether they were news."""
        name = (host, evidence.run)
        known = self.runs.get(name)
        if known is not None:
            if known.count >= evidence.count:
                return False
            add_kinds(self.sums, known.kinds, -1)
        elif len(self.runs) >= MOST_RUNS:
            return False
        self.runs[name] = evidence
        add_kinds(self.sums, evidence.kinds)
        return True


class EvidenceBook:
    """Counts of this host, and of the others, by service.

    Args:
        host: This host.
        run: Which start of it this is.
    """

    @property
    def own_counts(self) -> EvidenceByService:
        """Return what this start of the host has seen."""
        return self._own

    def __init__(self, host: HostId, run: RunNumber) -> None:
        self._host = host
        self._run = run
        self._own: EvidenceByService = {}
        # Of the last orders; the latest one at the end.
        self._counts: dict[ServiceName, list[_Counts]] = {}
        #: Grows whenever there is news.
        self.changes = 0
        self._turn = 0

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
        self._take(service, self._host, grown)

    def told(
        self,
        service: ServiceName,
        host: HostId,
        evidence: Evidence,
    ) -> None:
        """Take in what another host has seen, unless more is known of it.

        A host that tells of a run which is not known yet has started again.
        """
        if host == self._host:
            # A row of an earlier start of this host.
            self.told_on(EndedRun(service, host, evidence))
            return
        known = self._of(service, evidence.order)
        if known is not None:
            known.end_others(host, evidence.run)
        self._take(service, host, evidence)

    def told_on(self, ended: EndedRun) -> None:
        """Take in what a host had seen before it started again."""
        evidence = ended.evidence
        if ended.host == self._host and evidence.run == self._run:
            return
        self._take(ended.service, ended.host, evidence)
        known = self._of(ended.service, evidence.order)
        name = (ended.host, evidence.run)
        if known is not None and name in known.runs:
            known.ended.setdefault(name)

    def ended_runs(self) -> tuple[EndedRun, ...]:
        """Return some of the ended runs that are to be told on, in turn."""
        known = [
            EndedRun(service, name[0], counts.runs[name])
            for service, counts in self._under_way()
            for name in counts.ended
        ]
        if not known:
            return ()
        begin = self._turn % len(known)
        self._turn += TOLD_ON
        return tuple(islice(known[begin:] + known[:begin], TOLD_ON))

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

    def _under_way(self) -> Iterator[tuple[ServiceName, _Counts]]:
        """Return what is known of services that this host counts for."""
        for service in self._own:
            for counts in self._counts.get(service, ()):
                yield service, counts

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
    ) -> None:
        """Take in counts of one of the last orders."""
        known = self._of(service, evidence.order)
        if known is None:
            known = _Counts(evidence.order)
            orders = self._counts.setdefault(service, [])
            orders.append(known)
            orders.sort(key=_number)
            self._counts[service] = orders[-MOST_ORDERS:]
        if known.take(host, evidence):
            self.changes += 1


def _number(counts: _Counts) -> int:
    """Return the number of the order that counts are of."""
    return counts.order
