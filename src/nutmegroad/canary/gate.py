"""Rollout gate: selects the upstreams that may run a request, by version.

Outside a rollout a service has one steady version. An upstream with any other
version gets no requests: it is probably the first upstream of a rollout whose
order this host has not received yet.
"""

from collections.abc import Iterable
from enum import Enum, unique
from typing import Final

from xxhash import xxh3_64_intdigest

from nutmegroad.canary.interrupted_attempts import InterruptedAttempts
from nutmegroad.canary.rollouts import (
    MAX_EXTRA_SHARE,
    Rollout,
    RolloutOrder,
    Stage,
)
from nutmegroad.canary.sessions import SessionVersions
from nutmegroad.canary.state import RolloutState
from nutmegroad.fleet.evidence import KindNumber
from nutmegroad.fleet.old_version_sessions import (
    OldVersionSessions,
    fingerprint_session,
)
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import ServiceName
from nutmegroad.routes.requests import CallerRequest, SessionName
from nutmegroad.upstreams.directory import (
    Directory,
    SoftwareVersion,
    Upstream,
)
from nutmegroad.upstreams.placement import Placement

_LOG: Final = part_logger('rollouts')

#: Bits of a hash value, and number of distinct hash values.
_HASH_BITS: Final = 64
_HASH_VALUES: Final = 1 << _HASH_BITS

#: Fraction of a rollout's duration during which no session may be moved to the
#: new version.
SESSION_PIN_FRACTION: Final = 0.5

#: Number of kinds of request. Each route is mapped to a kind. A service has
#: few routes. Where a configuration has more, some routes share a kind and are
#: judged together.
KIND_COUNT: Final = 8


@unique
class AttemptOutcome(Enum):
    """Outcome of an attempt, as evidence on the version that ran it."""

    ACCEPTABLE = 'sound'
    POOR = 'poor'
    INTERRUPTED = 'broken'


class RolloutGate:
    """Selects the upstreams that may run a request.

    Args:
        directory: All upstreams.
        state: Rollouts and the evidence on them.
        sessions: Version on which each session last ran at this host.
        fingerprints: Fingerprints of sessions that other hosts have seen on the
            old version.
        interruptions: Interrupted attempts whose cause is not known yet.
        placement: Failure domains and regions in which requests may run.
    """

    def __init__(
        self,
        directory: Directory,
        state: RolloutState,
        sessions: SessionVersions,
        fingerprints: OldVersionSessions,
        interruptions: InterruptedAttempts,
        placement: Placement,
    ) -> None:
        self._placement = placement
        self._directory = directory
        self._state = state
        self._sessions = sessions
        self._fingerprints = fingerprints
        self._interruptions = interruptions
        self._steady: dict[ServiceName, frozenset[SoftwareVersion]] = {}
        state.registry.add_order_listener(self._fingerprint_active)

    def permitted(
        self,
        request: CallerRequest,
        service: ServiceName,
    ) -> tuple[Upstream, ...]:
        """Return the upstreams that may run a request now."""
        listed = self._directory.of_service(service)
        rollout = self._state.registry.rollout(service)
        if rollout is None:
            # Upstreams that are out of use for now still define which versions
            # are steady.
            return self._placement.permitted(
                request, self._steady_upstreams(service, listed)
            )
        upstreams = self._placement.permitted(request, listed)
        to = rollout.order.to
        new = tuple(each for each in upstreams if each.entry.version == to)
        old = tuple(each for each in upstreams if each.entry.version != to)
        if self._state.halted(rollout):
            return old
        if rollout.stage is Stage.SUCCEEDED:
            return new or old
        if rollout.stage is None:
            return old
        if self._is_in_share(request, rollout):
            return new or old
        return old or new

    def sent(
        self,
        request: CallerRequest,
        service: ServiceName,
        version: SoftwareVersion,
    ) -> None:
        """Record the version to which a request is sent.

        It is recorded before the answer, because the next request of the
        session may arrive first.
        """
        self._state.record_sent(service, kind_number(request.route.name))
        session = request.session
        if session is None:
            return
        if self._pinning_rollout(service, session) is not None:
            self._log_session(request, service, version)
        self._record_version(service, session, version)

    def ended(
        self,
        request: CallerRequest,
        service: ServiceName,
        version: SoftwareVersion,
    ) -> None:
        """Record that a request that may have been executed has ended.

        The lifetime of its session restarts now. If another request of the
        session has been sent to a different version meanwhile, the session
        stays on that version.
        """
        session = request.session
        if session is None:
            return
        if self._sessions.version(service, session) in {version, None}:
            self._record_version(service, session, version)

    def observe(
        self,
        request: CallerRequest,
        upstream: Upstream,
        outcome: AttemptOutcome,
    ) -> None:
        """Count the outcome of an attempt as evidence on its version.

        An interrupted attempt counts only once its upstream has answered
        something else, and not if this host has lost its path to it.
        """
        entry = upstream.entry
        kind = kind_number(request.route.name)
        if outcome is AttemptOutcome.INTERRUPTED:
            if not upstream.path_lost:
                self._interruptions.record(entry.incarnation, kind)
            return
        for interrupted_kind in self._interruptions.pop_interrupted(
            entry.incarnation
        ):
            self._state.observe(
                entry.service,
                entry.version,
                interrupted_kind,
                poor=True,
            )
        self._state.observe(
            entry.service,
            entry.version,
            kind,
            poor=outcome is AttemptOutcome.POOR,
        )

    def on_detour(self, upstream: Upstream) -> None:
        """Forget the interruptions that the loss of a path explains."""
        self._interruptions.forget(upstream.entry.incarnation)

    def _steady_upstreams(
        self,
        service: ServiceName,
        upstreams: tuple[Upstream, ...],
    ) -> tuple[Upstream, ...]:
        """Return the upstreams of a service's steady versions.

        If no upstream of a steady version is left, the versions of the present
        upstreams become the steady ones.
        """
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

    def _is_in_share(self, request: CallerRequest, rollout: Rollout) -> bool:
        """Return whether a request is in the new version's traffic share."""
        now = self._state.store_time()
        share = rollout.share(now, self._state.canary_share)
        session = request.session
        if session is None:
            return _hash_fraction(request.request_id) < share
        to = rollout.order.to
        current = self._sessions.version(rollout.order.service, session)
        if current == to:
            return True
        if self._pins_sessions(rollout):
            on_old_version = self._fingerprints.is_live(
                fingerprint_session(rollout.order.service, session)
            )
            if on_old_version or current is not None:
                return False
        return _hash_fraction(session) < share

    def _record_version(
        self,
        service: ServiceName,
        session: SessionName,
        version: SoftwareVersion,
    ) -> None:
        """Record the version on which a session is now."""
        self._sessions.record(service, session, version)
        rollout = self._pinning_rollout(service, session)
        if rollout is not None and version != rollout.order.to:
            self._fingerprints.record(fingerprint_session(service, session))

    def _pinning_rollout(
        self,
        service: ServiceName,
        session: SessionName,
    ) -> Rollout | None:
        """Return the rollout whose canary share may include a session.

        None if there is none, or if it no longer pins sessions.
        """
        rollout = self._state.registry.rollout(service)
        if rollout is None or not self._pins_sessions(rollout):
            return None
        return rollout if self._may_be_in_canary(session) else None

    def _log_session(
        self,
        request: CallerRequest,
        service: ServiceName,
        version: SoftwareVersion,
    ) -> None:
        """Log the version that a session gets, and what was known before.

        Called for sessions that the canary share may include.
        """
        session = request.session
        if session is None:
            return
        age = self._fingerprints.age(fingerprint_session(service, session))
        _LOG.decision(
            'session sent',
            request=request.request_id,
            session=session,
            version=version,
            before=self._sessions.version(service, session),
            old_age=None if age is None else round(age, 3),
            marks=len(self._fingerprints),
        )

    def _fingerprint_active(self, order: RolloutOrder) -> None:
        """Fingerprint the sessions that were active before an order arrived."""
        for session, seen in self._sessions.active(order.service):
            if seen.version != order.to and self._may_be_in_canary(session):
                self._fingerprints.record(
                    fingerprint_session(order.service, session), seen.timestamp
                )

    def _may_be_in_canary(self, session: SessionName) -> bool:
        """Return whether the largest canary share would include a session.

        Other sessions need no fingerprint.
        """
        return (
            _hash_fraction(session) < self._state.canary_share + MAX_EXTRA_SHARE
        )

    def _pins_sessions(self, rollout: Rollout) -> bool:
        """Return whether sessions must stay on the version they run on."""
        if rollout.stage is None:
            return True
        if rollout.stage.ended:
            return False
        return rollout.elapsed(self._state.store_time()) < SESSION_PIN_FRACTION


def make_gate(
    directory: Directory,
    state: RolloutState,
    clock: Clock,
    session_timeout: float,
    fingerprints: OldVersionSessions,
    placement: Placement,
) -> RolloutGate:
    """Create a gate that remembers sessions.

    Args:
        directory: All upstreams.
        state: Rollouts and the evidence on them.
        clock: The host's clock.
        session_timeout: Seconds after which requests no longer belong to one
            session.
        fingerprints: Fingerprints of sessions that other hosts have seen on the
            old version.
        placement: Failure domains and regions in which requests may run.
    """
    return RolloutGate(
        directory,
        state,
        SessionVersions(clock, session_timeout),
        fingerprints,
        InterruptedAttempts(clock),
        placement,
    )


def kind_number(name: str) -> KindNumber:
    """Return the number of the kind of request that a route is mapped to.

    All hosts compute the same number.

    Args:
        name: Name of the route.
    """
    return KindNumber(xxh3_64_intdigest(name.encode()) % KIND_COUNT)


def _hash_fraction(name: str) -> float:
    """Map a name to a number between 0 and 1.

    All hosts compute the same number from a name.
    """
    return xxh3_64_intdigest(name.encode()) / _HASH_VALUES


def _versions(upstreams: Iterable[Upstream]) -> frozenset[SoftwareVersion]:
    """Return the versions of upstreams."""
    return frozenset(each.entry.version for each in upstreams)
