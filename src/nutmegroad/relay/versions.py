"""Which versions of a service's software may run a request now.

Outside a roll-out a service has one steady version, and an upstream of
another one gets nothing: it is likely the first of a roll-out of which this
host has yet to hear.
"""

from collections.abc import Callable, Iterable
from typing import Final

from xxhash import xxh3_64_intdigest

from nutmegroad.fleet.evidence import Evidence
from nutmegroad.fleet.evidence_book import EvidenceBook
from nutmegroad.fleet.session_marks import SessionMarks, mark
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import HostId, ServiceName
from nutmegroad.relay.requests import CallerRequest, SessionName
from nutmegroad.relay.rollouts import Rollout, RolloutOrder, RolloutRow, Stage
from nutmegroad.relay.session_versions import SessionVersions
from nutmegroad.relay.upstreams import Directory, SoftwareVersion, Upstream

_LOG: Final = part_logger('rollouts')

#: Bits of the hash function's values, and how many values there are.
_HASH_BITS: Final = 64
_HASHES: Final = 1 << _HASH_BITS

#: Part of a roll-out in which no session may be moved to the new version.
SESSIONS_STAY: Final = 0.5


class RolloutState:
    """All roll-outs that a host knows, and the evidence on them.

    Args:
        host: This host.
        trial: Share of the traffic that a new version gets on trial.
        store_time: Returns the present seconds of the store's clock.
        book: What all hosts have seen.
    """

    def __init__(
        self,
        host: HostId,
        trial: float,
        store_time: Callable[[], float],
        book: EvidenceBook,
    ) -> None:
        self.host = host
        self.trial = trial
        self.store_time = store_time
        self._book = book
        self._rollouts: dict[ServiceName, Rollout] = {}
        self._rows: dict[ServiceName, tuple[RolloutRow, int]] = {}
        self._halted: set[int] = set()
        self._told_of_orders: list[Callable[[RolloutOrder], None]] = []

    @property
    def active(self) -> tuple[Rollout, ...]:
        """Return the roll-outs that have not ended."""
        return tuple(
            rollout
            for rollout in self._rollouts.values()
            if rollout.stage is None or not rollout.stage.ended
        )

    def rollout(self, service: ServiceName) -> Rollout | None:
        """Return a service's last roll-out, or None."""
        return self._rollouts.get(service)

    def order(self, order: RolloutOrder) -> None:
        """Take an order in, unless a later one is known."""
        known = self._rollouts.get(order.service)
        if known is not None and known.order.number >= order.number:
            return
        _LOG.decision(
            'roll-out ordered',
            service=order.service,
            version=order.to,
            duration=order.duration,
            number=order.number,
        )
        row, version = self._rows.get(order.service, (None, 0))
        self._rollouts[order.service] = Rollout(order, row, version)
        for tell in self._told_of_orders:
            tell(order)

    def tell_of_orders(self, tell: Callable[[RolloutOrder], None]) -> None:
        """Let somebody hear of each order that is taken in."""
        self._told_of_orders.append(tell)

    def progress(
        self,
        service: ServiceName,
        row: RolloutRow,
        version: int,
    ) -> None:
        """Take in how far the hosts have come."""
        self._rows[service] = (row, version)
        known = self._rollouts.get(service)
        if known is None or known.version >= version:
            return
        _LOG.decision(
            'roll-out stage',
            service=service,
            order=row.order,
            stage=row.stage,
            why=row.why,
            row_version=version,
        )
        changed = Rollout(known.order, row, version)
        self._rollouts[service] = changed
        if changed.stage is not None and changed.stage.ended:
            self._book.end(service)

    def told(
        self,
        service: ServiceName,
        host: HostId,
        evidence: Evidence,
    ) -> None:
        """Take in what another host has seen."""
        if host != self.host:
            self._book.told(service, host, evidence)

    def observe(
        self,
        service: ServiceName,
        version: SoftwareVersion,
        *,
        poor: bool,
    ) -> None:
        """Count an answer, if a roll-out of its service is under way."""
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.stage is None or rollout.stage.ended:
            return
        of_new = version == rollout.order.to
        number = rollout.order.number
        self._book.count(service, number, of_new=of_new, poor=poor)
        if of_new and poor:
            self._reconsider(rollout)

    def own(self, rollout: Rollout) -> Evidence:
        """Return what this host has seen of a roll-out."""
        return self._book.own(rollout.order.service, rollout.order.number)

    def evidence(self, rollout: Rollout) -> Evidence:
        """Return what all hosts have seen, as far as this one knows."""
        return self._book.total(rollout.order.service, rollout.order.number)

    def halted(self, rollout: Rollout) -> bool:
        """Tell whether this host sends the new version nothing any more."""
        if rollout.stage is Stage.ROLLED_BACK:
            return True
        if rollout.stage is Stage.SUCCEEDED:
            return False
        if rollout.order.number in self._halted:
            return True
        return self._reconsider(rollout)

    def _reconsider(self, rollout: Rollout) -> bool:
        """Halt a roll-out if its evidence speaks against it."""
        evidence = self.evidence(rollout)
        if not evidence.is_bad():
            return False
        self._halted.add(rollout.order.number)
        _LOG.decision(
            'roll-out halted here',
            service=rollout.order.service,
            version=rollout.order.to,
            new=evidence.new,
            new_poor=evidence.new_poor,
            old=evidence.old,
            old_poor=evidence.old_poor,
        )
        return True


class RolloutGate:
    """Says which upstreams may run a request.

    Args:
        directory: All upstreams.
        state: All roll-outs.
        sessions: On which version sessions are.
        marks: Sessions that other hosts have seen on the old version.
    """

    def __init__(
        self,
        directory: Directory,
        state: RolloutState,
        sessions: SessionVersions,
        marks: SessionMarks,
    ) -> None:
        self._directory = directory
        self._state = state
        self._sessions = sessions
        self._marks = marks
        self._steady: dict[ServiceName, frozenset[SoftwareVersion]] = {}
        state.tell_of_orders(self._mark_living)

    def permitted(
        self,
        request: CallerRequest,
        service: ServiceName,
    ) -> tuple[Upstream, ...]:
        """Return the upstreams that may run a request now."""
        upstreams = self._directory.of_service(service)
        rollout = self._state.rollout(service)
        if rollout is None:
            return self._of_steady(service, upstreams)
        to = rollout.order.to
        new = tuple(each for each in upstreams if each.entry.version == to)
        old = tuple(each for each in upstreams if each.entry.version != to)
        if self._state.halted(rollout):
            return old
        if rollout.stage is Stage.SUCCEEDED:
            return new or old
        if rollout.stage is None:
            return old
        if self._goes_to_new(request, rollout):
            return new or old
        return old or new

    def ran(
        self,
        request: CallerRequest,
        service: ServiceName,
        version: SoftwareVersion,
    ) -> None:
        """Remember on which version a request ran."""
        session = request.session
        if session is None:
            return
        self._sessions.ran(service, session, version)
        rollout = self._state.rollout(service)
        if rollout is None or version == rollout.order.to:
            return
        if self._stays(rollout) and self._may_be_moved(session):
            self._marks.saw(mark(service, session))

    def observe(
        self,
        service: ServiceName,
        version: SoftwareVersion,
        *,
        sound: bool,
    ) -> None:
        """Take in how a version answered a request."""
        self._state.observe(service, version, poor=not sound)

    def _of_steady(
        self,
        service: ServiceName,
        upstreams: tuple[Upstream, ...],
    ) -> tuple[Upstream, ...]:
        """Return the upstreams of the versions that a service has had."""
        steady = self._steady.get(service)
        found = tuple(
            each
            for each in upstreams
            if steady is None or each.entry.version in steady
        )
        if not found and upstreams:
            found = upstreams
            steady = None
        if steady is None and found:
            self._steady[service] = _versions(found)
        return found

    def _goes_to_new(self, request: CallerRequest, rollout: Rollout) -> bool:
        """Tell whether a request belongs to the new version's share."""
        now = self._state.store_time()
        share = rollout.share(now, self._state.trial)
        session = request.session
        if session is None:
            return _place(request.request) < share
        to = rollout.order.to
        present = self._sessions.version(rollout.order.service, session)
        if present == to:
            return True
        if self._stays(rollout):
            told = self._marks.alive(mark(rollout.order.service, session))
            if told or present is not None:
                return False
        return _place(session) < share

    def _mark_living(self, order: RolloutOrder) -> None:
        """Mark the sessions that were alive before an order was heard of."""
        for session, seen in self._sessions.living(order.service):
            if seen.version != order.to and self._may_be_moved(session):
                self._marks.saw(mark(order.service, session), seen.moment)

    def _may_be_moved(self, session: SessionName) -> bool:
        """Tell whether a trial might take a session; others need no mark."""
        return _place(session) < self._state.trial

    def _stays(self, rollout: Rollout) -> bool:
        """Tell whether sessions may not be moved to the new version."""
        if rollout.stage is None:
            return True
        if rollout.stage.ended:
            return False
        return rollout.elapsed(self._state.store_time()) < SESSIONS_STAY


def make_gate(
    directory: Directory,
    state: RolloutState,
    clock: Clock,
    span: float,
    marks: SessionMarks,
) -> RolloutGate:
    """Return a gate that remembers sessions.

    Args:
        directory: All upstreams.
        state: All roll-outs.
        clock: The host's clock.
        span: Seconds after which requests don't belong together any more.
        marks: Sessions that other hosts have seen on the old version.
    """
    sessions = SessionVersions(clock, span)
    return RolloutGate(directory, state, sessions, marks)


def _place(name: str) -> float:
    """Return a name's place between 0 and 1, the same on every host."""
    return xxh3_64_intdigest(name.encode()) / _HASHES


def _versions(upstreams: Iterable[Upstream]) -> frozenset[SoftwareVersion]:
    """Return the versions of upstreams."""
    return frozenset(each.entry.version for each in upstreams)
