"""Which versions of a service's software may run a request now.

Outside a roll-out a service has one steady version, and an upstream of
another one gets nothing: it is likely the first of a roll-out of which this
host has yet to hear.
"""

from collections.abc import Iterable
from enum import Enum, unique
from typing import Final

from xxhash import xxh3_64_intdigest

from nutmegroad.canary.rollouts import (
    MOST_BEYOND,
    Rollout,
    RolloutOrder,
    Stage,
)
from nutmegroad.canary.sessions import SessionVersions
from nutmegroad.canary.state import RolloutState
from nutmegroad.canary.suspicions import Suspicions
from nutmegroad.fleet.evidence import KindNumber
from nutmegroad.fleet.session_marks import SessionMarks, mark
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import ServiceName
from nutmegroad.routes.requests import CallerRequest, SessionName
from nutmegroad.upstreams.directory import (
    Directory,
    SoftwareVersion,
    Upstream,
)

_LOG: Final = part_logger('rollouts')

#: Bits of the hash function's values, and how many values there are.
_HASH_BITS: Final = 64
_HASHES: Final = 1 << _HASH_BITS

#: Part of a roll-out in which no session may be moved to the new version.
SESSIONS_STAY: Final = 0.5

#: Numbers for kinds of request. A service has a few; where a configuration has
#: more routes, some share a number, and are judged together.
KINDS: Final = 8


@unique
class Observed(Enum):
    """How an attempt went, as far as it speaks of a version."""

    SOUND = 'sound'
    POOR = 'poor'
    BROKEN = 'broken'


class RolloutGate:
    """Says which upstreams may run a request.

    Args:
        directory: All upstreams.
        state: All roll-outs.
        sessions: On which version sessions are.
        marks: Sessions that other hosts have seen on the old version.
        suspicions: Attempts that broke off for a cause not known yet.
    """

    def __init__(
        self,
        directory: Directory,
        state: RolloutState,
        sessions: SessionVersions,
        marks: SessionMarks,
        suspicions: Suspicions,
    ) -> None:
        self._directory = directory
        self._state = state
        self._sessions = sessions
        self._marks = marks
        self._suspicions = suspicions
        self._steady: dict[ServiceName, frozenset[SoftwareVersion]] = {}
        state.orders.tell_of_orders(self._mark_living)

    def permitted(
        self,
        request: CallerRequest,
        service: ServiceName,
    ) -> tuple[Upstream, ...]:
        """Return the upstreams that may run a request now."""
        upstreams = self._directory.of_service(service)
        rollout = self._state.orders.rollout(service)
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

    def sent(
        self,
        request: CallerRequest,
        service: ServiceName,
        version: SoftwareVersion,
    ) -> None:
        """Remember to which version a request is sent.

        The next one of its session may come before this one is answered.
        """
        session = request.session
        if session is None:
            return
        if self._trial_of(service, session) is not None:
            self._note_known(request, service, version)
        self._remember(service, session, version)

    def ended(
        self,
        request: CallerRequest,
        service: ServiceName,
        version: SoftwareVersion,
    ) -> None:
        """Remember that a request that may have run is over.

        Its session lives on from now; where another request of it has gone to
        another version meanwhile, that one holds.
        """
        session = request.session
        if session is None:
            return
        if self._sessions.version(service, session) in {version, None}:
            self._remember(service, session, version)

    def observe(
        self,
        request: CallerRequest,
        upstream: Upstream,
        observed: Observed,
    ) -> None:
        """Take in how an upstream's version answered a request."""
        entry = upstream.entry
        kind = kind_number(request.route.name)
        if observed is Observed.BROKEN:
            self._suspicions.broke(entry.incarnation, kind)
            return
        for broken in self._suspicions.answered(entry.incarnation):
            self._state.observe(
                entry.service,
                entry.version,
                broken,
                poor=True,
            )
        self._state.observe(
            entry.service,
            entry.version,
            kind,
            poor=observed is Observed.POOR,
        )

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

    def _remember(
        self,
        service: ServiceName,
        session: SessionName,
        version: SoftwareVersion,
    ) -> None:
        """Remember that a session is on a version now."""
        self._sessions.ran(service, session, version)
        trial = self._trial_of(service, session)
        if trial is not None and version != trial.order.to:
            self._marks.saw(mark(service, session))

    def _trial_of(
        self,
        service: ServiceName,
        session: SessionName,
    ) -> Rollout | None:
        """Return the roll-out that might take a session but must not."""
        rollout = self._state.orders.rollout(service)
        if rollout is None or not self._stays(rollout):
            return None
        return rollout if self._may_be_moved(session) else None

    def _note_known(
        self,
        request: CallerRequest,
        service: ServiceName,
        version: SoftwareVersion,
    ) -> None:
        """Log what was known of a session that a trial might take."""
        session = request.session
        if session is None:
            return
        marked = self._marks.age(mark(service, session))
        _LOG.decision(
            'session sent',
            request=request.request,
            session=session,
            version=version,
            before=self._sessions.version(service, session),
            old_age=None if marked is None else round(marked, 3),
            marks=len(self._marks),
        )

    def _mark_living(self, order: RolloutOrder) -> None:
        """Mark the sessions that were alive before an order was heard of."""
        for session, seen in self._sessions.living(order.service):
            if seen.version != order.to and self._may_be_moved(session):
                self._marks.saw(mark(order.service, session), seen.moment)

    def _may_be_moved(self, session: SessionName) -> bool:
        """Tell whether a trial might take a session; others need no mark."""
        return _place(session) < self._state.trial + MOST_BEYOND

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
    return RolloutGate(
        directory,
        state,
        SessionVersions(clock, span),
        marks,
        Suspicions(clock),
    )


def kind_number(name: str) -> KindNumber:
    """Return the number of a kind of request, the same on every host."""
    return KindNumber(xxh3_64_intdigest(name.encode()) % KINDS)


def _place(name: str) -> float:
    """Return a name's place between 0 and 1, the same on every host."""
    return xxh3_64_intdigest(name.encode()) / _HASHES


def _versions(upstreams: Iterable[Upstream]) -> frozenset[SoftwareVersion]:
    """Return the versions of upstreams."""
    return frozenset(each.entry.version for each in upstreams)
