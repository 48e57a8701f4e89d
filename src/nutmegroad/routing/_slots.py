"""Concurrency limits of this host, in total and for each lane."""

from dataclasses import dataclass
from typing import Final

from nutmegroad.contracts.upstreams import UpstreamState
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import ResultCode
from nutmegroad.foundations.types import DomainId, HostId
from nutmegroad.routing._engine_pools import slots_of
from nutmegroad.routing._fair_queue import Lane
from nutmegroad.routing.directory import Directory, is_engine
from nutmegroad.routing.fleet_load import FleetLoad
from nutmegroad.routing.shares import ShareLedger, static_part

#: Seconds for which counted slots are cached.
REFRESH_INTERVAL: Final = 0.5

#: Permits per slot. A permit is held slightly longer than a slot, and a host's
#: part is so small that random variation would leave slots empty.
OVERCOMMIT: Final = 1.2

#: Factor by which the limit decreases when an engine reports that it is full.
_DECREASE: Final = 0.95
#: Minimum fraction of the slots to use, and the recovery of the limit per
#: second.
_MIN_FACTOR: Final = 0.4
_INCREASE_PER_SECOND: Final = 0.05
#: Minimum seconds between two decreases of the limit.
_DECREASE_INTERVAL: Final = 0.5


class AdaptiveLimit:
    """Decreases the limit while engines are full and slowly restores it.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._factor = 1.0
        self._changed = clock.now()

    @property
    def factor(self) -> float:
        """Return the fraction of the slots to use now."""
        grown = _INCREASE_PER_SECOND * (self._clock.now() - self._changed)
        return min(1.0, self._factor + grown)

    def ended(self, code: ResultCode) -> None:
        """Record the end of an attempt."""
        if code is not ResultCode.UPSTREAM_BUSY:
            return
        now = self._clock.now()
        if now - self._changed >= _DECREASE_INTERVAL:
            self._factor = max(_MIN_FACTOR, self.factor * _DECREASE)
            self._changed = now


@dataclass(frozen=True, slots=True)
class Identity:
    """Identity of this host.

    Attributes:
        host: Its id.
        domain: Its failure domain.
    """

    host: HostId
    domain: DomainId


@dataclass(frozen=True, slots=True)
class SlotInputs:
    """The inputs of a host's limit, for its log lines.

    Attributes:
        permits: Permits of all hosts of the failure domain.
        hosts: Number of hosts that they are divided among.
        static: This host's static part of them.
        lent: Permits lent to other hosts.
        borrowed: Permits borrowed from other hosts.
        from_reports: Limit that follows from the engines' free slots.
        remote: Permits for slots of remote failure domains.
        factor: Fraction of the permits in use while engines are full.
    """

    permits: int
    hosts: int
    static: int
    lent: int
    borrowed: int
    from_reports: int
    remote: float
    factor: float


class HostSlots:
    """This host's part of its failure domain's slots.

    Args:
        identity: Id and failure domain of this host.
        directory: The upstreams.
        fleet: Load digests of the other hosts.
        ledger: Slots that this host has lent and borrowed.
        clock: The host's clock.
    """

    def __init__(
        self,
        identity: Identity,
        directory: Directory,
        fleet: FleetLoad,
        ledger: ShareLedger,
        clock: Clock,
    ) -> None:
        self.adaptive_limit = AdaptiveLimit(clock)
        self.identity = identity
        self._directory = directory
        self._fleet = fleet
        self._ledger = ledger
        self._clock = clock
        self._read_at = float('-inf')
        self._reported_limit = 0
        self._counted: dict[Lane | None, tuple[float, int]] = {}

    @property
    def permits(self) -> int:
        """Return the total permits of all hosts in this domain."""
        return int(self.domain_slots(None) * OVERCOMMIT)

    @property
    def allotment(self) -> int:
        """Return this host's permits, not reduced while engines are full."""
        balance = self._ledger.balance(self._clock.now())
        return max(1, self._static_part() + balance)

    @property
    def borrowable(self) -> float:
        """Return this host's even part of the spare slots of its domain.

        The spare slots are divided by the number of hosts, since any of them
        may borrow. 0 if the domain is shedding load.
        """
        return self._fleet.mean_spare(self.identity.domain)

    def limit(self, running: int) -> int:
        """Return how many requests may run concurrently.

        Args:
            running: Number of requests running now.
        """
        local = self.allotment * self.adaptive_limit.factor
        held = int(local + self._remote_slots())
        return max(1, held, self._limit_from_reports(running))

    def inputs(self, running: int) -> SlotInputs:
        """Return the inputs of the limit.

        Args:
            running: Number of requests running now.
        """
        now = self._clock.now()
        return SlotInputs(
            permits=self.permits,
            hosts=len(self._fleet.hosts(self.identity.domain)) + 1,
            static=self._static_part(),
            lent=self._ledger.lent_slots(now),
            borrowed=self._ledger.borrowed_slots(now),
            from_reports=self._limit_from_reports(running),
            remote=round(self._remote_slots(), 2),
            factor=round(self.adaptive_limit.factor, 2),
        )

    def lane_limit(self, lane: Lane, running: int) -> int:
        """Return how many requests of a lane may run concurrently.

        Args:
            lane: The lane.
            running: Number of requests running now, in all lanes.
        """
        limit = self.limit(running)
        total = self.domain_slots(None)
        slots = self.domain_slots(lane)
        if slots == total:
            return limit
        return max(1, limit * slots // max(1, total))

    def domain_slots(self, lane: Lane | None) -> int:
        """Return the slots of this domain's engines that serve a lane.

        Args:
            lane: The lane; None for all engines.
        """
        now = self._clock.now()
        counted = self._counted.get(lane)
        # A count of 0 is not cached. Otherwise a host that has just started
        # would refuse requests that it could serve from the next report on.
        if counted and counted[1] and now - counted[0] < REFRESH_INTERVAL:
            return counted[1]
        slots = sum(
            slots_of(state)
            for state in self._engines(lane)
            if state.info.domain == self.identity.domain
        )
        self._counted[lane] = (now, slots)
        return slots

    def _static_part(self) -> int:
        """Return this host's permits without loans."""
        others = self._fleet.hosts(self.identity.domain)
        return static_part(self.permits, self.identity.host, others)

    def _limit_from_reports(self, running: int) -> int:
        """Return the limit that follows from the free slots of the engines.

        Slots must not stay empty, however they are divided between hosts. Each
        host of the domain therefore adds its even part of the free slots to the
        number of requests it was running when it read the reports.
        """
        now = self._clock.now()
        if self._reported_limit and now - self._read_at < REFRESH_INTERVAL:
            return self._reported_limit
        self._read_at = now
        domain = self.identity.domain
        reports = [
            state.report
            for state in self._engines(None)
            if state.report and state.info.domain == domain
        ]
        busy = sum(report.running + report.queued for report in reports)
        empty = max(0, self.domain_slots(None) - busy)
        hosts = len(self._fleet.hosts(domain)) + 1
        self._reported_limit = running + int(
            empty * self.adaptive_limit.factor / hosts
        )
        return self._reported_limit

    def _engines(self, lane: Lane | None) -> tuple[UpstreamState, ...]:
        """Return the live engines that serve a lane; None for all lanes."""
        if lane is None:
            return tuple(
                state
                for state in self._directory.states()
                if is_engine(state) and state.report and state.accepts_requests
            )
        found = {
            state.info.upstream: state
            for version in lane
            for state in self._directory.engines(version)
        }
        return tuple(found.values())

    def _remote_slots(self) -> float:
        """Return the slots of remote domains that this host may use."""
        local = self.identity.domain
        others = [one for one in self._fleet.domains() if one != local]
        if not others:
            return 0
        # The free slots of a domain are shared by the hosts of all others.
        return sum(self._fleet.mean_spare(one) for one in others) / len(others)
