"""Directory of the upstreams known to this host, with their state.

Upstreams are looked up by version or by service many times a second, while
the state changes a few times a second. Both lookups therefore use an index
that is rebuilt after a change.
"""

from collections import OrderedDict, defaultdict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum, unique
from typing import Final

from nutmegroad.contracts.upstreams import EngineReport, UpstreamState
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    Presence,
    ServiceName,
    UpstreamId,
    UpstreamInfo,
    UpstreamKind,
    VersionId,
)
from nutmegroad.upstreams.upstream_limits import UpstreamLimits

#: Consecutive refused connections after which an upstream counts as draining.
REFUSALS_UNTIL_DRAINING: Final = 2

#: Seconds by which an upstream's own report may lag behind other sources.
#: Only a report requested at least this long after the upstream was last
#: said to be draining clears that state.
REPORT_LAG: Final = 3.0

#: Seconds after which a plain service that refused connections gets requests
#: again; a plain service sends no report that could clear the state.
SERVICE_RETRY_DELAY: Final = 10.0

#: Seconds after which a host no longer waits for an engine's first report.
FIRST_REPORT_TIMEOUT: Final = 5.0

#: Maximum number of draining notices kept for upstreams that the host list
#: does not name yet.
MAX_UNLISTED_NOTICES: Final = 1000


@unique
class DrainingSource(Enum):
    """The source of the information that an upstream is draining."""

    LIST = 'list'
    REPORT = 'report'
    REFUSED = 'refused'
    PEER = 'peer'


#: Called for each upstream that starts to drain or announces that again.
DrainingListener = Callable[[UpstreamInfo, DrainingSource], None]


class _UnlistedNotices:
    """Draining notices for upstreams that are not listed yet."""

    def __init__(self) -> None:
        self._notices: OrderedDict[tuple[UpstreamId, Address], None]
        self._notices = OrderedDict()

    def add(self, upstream: UpstreamId, address: Address) -> bool:
        """Store a draining notice; return whether it is new."""
        key = (upstream, address)
        is_new = key not in self._notices
        self._notices[key] = None
        if len(self._notices) > MAX_UNLISTED_NOTICES:
            self._notices.popitem(last=False)
        return is_new

    def take(self, info: UpstreamInfo) -> bool:
        """Remove the notice for an upstream; return whether there was one."""
        key = (info.upstream, info.address)
        known = key in self._notices
        self._notices.pop(key, None)
        return known


class Directory:
    """Holds the state of each upstream.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        #: Limits the requests to upstreams that say how many they take.
        self.limits = UpstreamLimits(clock)
        self._states: dict[UpstreamId, UpstreamState] = {}
        self._by_version: dict[VersionId, tuple[UpstreamState, ...]] = {}
        self._by_service: dict[ServiceName, tuple[UpstreamState, ...]] = {}
        self._stale = False
        self._unlisted = _UnlistedNotices()
        self._listeners: list[DrainingListener] = []

    def listen(self, listener: DrainingListener) -> None:
        """Add a listener; see ``DrainingListener``."""
        self._listeners.append(listener)

    def update(
        self,
        upstreams: tuple[UpstreamInfo, ...],
        *,
        whole: bool = True,
    ) -> None:
        """Apply entries of the host list.

        Args:
            upstreams: The entries.
            whole: Whether these are all entries of the list, so that
                upstreams without an entry are removed.
        """
        listed = {info.upstream for info in upstreams}
        for removed in sorted(set(self._states) - listed) if whole else ():
            state = self._states.pop(removed)
            # Requests that still refer to this state must see it as draining.
            state.draining = True
        for info in upstreams:
            self._update_one(info)
        self._stale = True

    def states(self) -> tuple[UpstreamState, ...]:
        """Return all upstreams."""
        return tuple(self._states.values())

    def state(self, upstream: UpstreamId) -> UpstreamState | None:
        """Return one upstream, or None if it is unknown."""
        return self._states.get(upstream)

    def engines(self, version: VersionId) -> tuple[UpstreamState, ...]:
        """Return live engines that have reported the version as loaded."""
        self._refresh()
        return self._by_version.get(version, ())

    def services(self, service: ServiceName) -> tuple[UpstreamState, ...]:
        """Return live upstreams of a plain service."""
        self._refresh()
        return self._by_service.get(service, ())

    def reported(
        self,
        upstream: UpstreamId,
        report: EngineReport,
        asked: float | None = None,
    ) -> None:
        """Apply an engine's report to this host.

        Args:
            upstream: The engine.
            report: The report.
            asked: Clock seconds just before the report was requested; None
                for the current time.
        """
        state = self._states.get(upstream)
        if state is None:
            return
        asked = self._clock.now() if asked is None else asked
        previous = state.report
        state.report = report
        state.report_requested_at = asked
        state.refused_connections = 0
        if previous is None or previous.versions != report.versions:
            self._stale = True
        if report.leaving:
            # Other hosts may already have cleared a draining state that is
            # still set here, so a new announcement is passed on again.
            announced_again = previous is not None and not previous.leaving
            self._begin_leaving(
                state, DrainingSource.REPORT, announced_again=announced_again
            )
        elif state.draining and asked >= state.draining_since + REPORT_LAG:
            # Only the upstream's own report clears the draining state,
            # whichever source has set it.
            state.draining = False
            self._stale = True

    def reported_by_peer(
        self,
        upstream: UpstreamId,
        report: EngineReport,
        asked: float,
    ) -> None:
        """Apply a report that an engine sent to another host.

        It can set the engine to draining but does not clear that state. It
        shows nothing about connections from this host.

        Args:
            upstream: The engine.
            report: The report.
            asked: Clock seconds at which the other host requested it.
        """
        state = self._states.get(upstream)
        if state is None:
            return
        if report.leaving:
            self._begin_leaving(state, DrainingSource.PEER)
        previous = state.report
        if previous is not None and asked <= state.report_requested_at:
            return
        state.report = report
        state.report_requested_at = asked
        if previous is None or previous.versions != report.versions:
            self._stale = True

    def mark_draining(
        self,
        upstream: UpstreamId,
        address: Address | None = None,
        source: DrainingSource = DrainingSource.PEER,
    ) -> bool:
        """Set an upstream to draining; return whether that is new.

        Args:
            upstream: Its id.
            address: The address of the incarnation that drains; the call has
                no effect on an incarnation at another address. None matches
                any address.
            source: Where the information comes from.
        """
        state = self._states.get(upstream)
        is_other = (
            state and address is not None and state.info.address != address
        )
        if state is None or is_other:
            return address is not None and self._unlisted.add(
                upstream,
                address,
            )
        return self._begin_leaving(state, source)

    def refused(self, upstream: UpstreamId) -> None:
        """Record that an upstream refused a connection."""
        state = self._states.get(upstream)
        if state is None:
            return
        state.refused_connections += 1
        if state.refused_connections >= REFUSALS_UNTIL_DRAINING:
            self._begin_leaving(state, DrainingSource.REFUSED)

    def answered(self, upstream: UpstreamId) -> None:
        """Record that an upstream accepted a request."""
        state = self._states.get(upstream)
        if state is not None:
            state.refused_connections = 0

    @contextmanager
    def in_flight(
        self,
        state: UpstreamState,
        version: VersionId,
    ) -> Iterator[None]:
        """Count a request as in flight at an upstream within the context."""
        counts = state.in_flight_by_version
        state.in_flight += 1
        counts[version] = counts.get(version, 0) + 1
        try:
            yield
        finally:
            state.in_flight -= 1
            counts[version] -= 1

    def _update_one(self, info: UpstreamInfo) -> None:
        """Apply one entry of the host list."""
        known = self._states.get(info.upstream)
        now = self._clock.now()
        if known is None or known.info.address != info.address:
            if known is not None:
                known.draining = True
            # A new address means a new incarnation: discard the old state.
            known = UpstreamState(info, first_seen=now)
            self._states[info.upstream] = known
            if self._unlisted.take(info):
                self._begin_leaving(known, DrainingSource.PEER)
        was_live = known.info.presence is Presence.LIVE
        known.info = info
        if was_live and info.presence is not Presence.LIVE:
            self._begin_leaving(known, DrainingSource.LIST)
        _retry_service(known, now)

    def _begin_leaving(
        self,
        state: UpstreamState,
        source: DrainingSource,
        *,
        announced_again: bool = False,
    ) -> bool:
        """Stop sending new work to an upstream; return whether that is new.

        Listeners are called if it is new or if the upstream has announced
        it again (``announced_again``).
        """
        state.draining_since = self._clock.now()
        is_new = not state.draining
        if is_new:
            state.draining = True
            self._stale = True
        if is_new or announced_again:
            for listener in self._listeners:
                listener(state.info, source)
        return is_new

    def knows_engines(self, domain: DomainId) -> bool:
        """Return whether enough engines of a domain are known to serve.

        Each engine must have reported, have failed to report, or have been
        known for ``FIRST_REPORT_TIMEOUT`` seconds. An engine without a report
        counts as having no slots, so a host that serves earlier refuses
        requests needlessly.
        """
        oldest = self._clock.now() - FIRST_REPORT_TIMEOUT
        return bool(self._states) and all(
            state.report is not None
            or state.failed_polls > 0
            or state.first_seen <= oldest
            for state in self._states.values()
            if is_engine(state) and state.info.domain == domain
        )

    def _refresh(self) -> None:
        """Rebuild the index if something has changed."""
        if not self._stale:
            return
        versions: defaultdict[VersionId, list[UpstreamState]]
        versions = defaultdict(list)
        services: defaultdict[ServiceName, list[UpstreamState]]
        services = defaultdict(list)
        open_states = [
            one for one in self._states.values() if one.accepts_requests
        ]
        for state in open_states:
            if state.info.service:
                services[state.info.service].append(state)
            for version in state.report.versions if state.report else ():
                versions[version].append(state)
        self._by_version = {key: tuple(row) for key, row in versions.items()}
        self._by_service = {key: tuple(row) for key, row in services.items()}
        self._stale = False


def _retry_service(state: UpstreamState, now: float) -> None:
    """Allow requests again to a listed service that refused connections."""
    if state.info.kind is UpstreamKind.ENGINE or not state.refused_connections:
        return
    excluded_for = now - state.draining_since
    if state.draining and excluded_for >= SERVICE_RETRY_DELAY:
        state.draining = False
        # A single further refusal excludes the service again.
        state.refused_connections = REFUSALS_UNTIL_DRAINING - 1


def is_engine(state: UpstreamState) -> bool:
    """Return whether an upstream is a model engine."""
    return state.info.kind is UpstreamKind.ENGINE
