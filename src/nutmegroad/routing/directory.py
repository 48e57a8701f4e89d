"""The upstreams that this host knows, and what it knows of each.

Work is looked up by version or by service many times a second, and what is
known changes a few times a second; so both lookups go through an index that
is made anew after a change.
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

#: Connections refused in a row after which an upstream counts as leaving.
REFUSALS: Final = 2

#: Seconds for which an upstream's own report can lag behind what others
#: say of it; only a later one takes its leaving back.
REPORT_LAG: Final = 3.0

#: Seconds after which a plain service that refused connections is tried
#: again, as it has no report that could speak for it.
SERVICE_HOLD: Final = 10.0

#: Seconds after which an engine that has said nothing is not waited for.
SURVEY_LIMIT: Final = 5.0

#: Upstreams heard of as leaving before the host list named them.
MOST_HEARSAY: Final = 1000


@unique
class LeavingSource(Enum):
    """Who said that an upstream is leaving."""

    LIST = 'list'
    REPORT = 'report'
    REFUSED = 'refused'
    PEER = 'peer'


#: Is told of each upstream that has begun to leave.
LeavingListener = Callable[[UpstreamInfo, LeavingSource], None]


class _Hearsay:
    """What was said of upstreams that are not listed yet."""

    def __init__(self) -> None:
        self._leaving: OrderedDict[tuple[UpstreamId, Address], None]
        self._leaving = OrderedDict()

    def add(self, upstream: UpstreamId, address: Address) -> bool:
        """Note that an upstream is leaving; tell whether that is new."""
        key = (upstream, address)
        fresh = key not in self._leaving
        self._leaving[key] = None
        if len(self._leaving) > MOST_HEARSAY:
            self._leaving.popitem(last=False)
        return fresh

    def take(self, info: UpstreamInfo) -> bool:
        """Tell whether an upstream was said to leave, and forget that."""
        key = (info.upstream, info.address)
        known = key in self._leaving
        self._leaving.pop(key, None)
        return known


class Directory:
    """Keeps the state of each upstream.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._states: dict[UpstreamId, UpstreamState] = {}
        self._by_version: dict[VersionId, tuple[UpstreamState, ...]] = {}
        self._by_service: dict[ServiceName, tuple[UpstreamState, ...]] = {}
        self._stale = False
        self._hearsay = _Hearsay()
        self._listeners: list[LeavingListener] = []

    def listen(self, listener: LeavingListener) -> None:
        """Tell a listener of each upstream that begins to leave."""
        self._listeners.append(listener)

    def update(
        self,
        upstreams: tuple[UpstreamInfo, ...],
        *,
        whole: bool = True,
    ) -> None:
        """Take the host list's entries.

        Args:
            upstreams: The entries.
            whole: Whether they are the whole list, so that what is left
                out is to be forgotten.
        """
        listed = {info.upstream for info in upstreams}
        for gone in sorted(set(self._states) - listed) if whole else ():
            state = self._states.pop(gone)
            # Requests that still hold this state must see it as leaving.
            state.leaving = True
        for info in upstreams:
            self._update_one(info)
        self._stale = True

    def states(self) -> tuple[UpstreamState, ...]:
        """Return all upstreams."""
        return tuple(self._states.values())

    def state(self, upstream: UpstreamId) -> UpstreamState | None:
        """Return one upstream, or None if it is not known."""
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
        """Take an engine's report.

        Args:
            upstream: The engine.
            report: What it says.
            asked: Clock seconds before it was asked; None for now.
        """
        state = self._states.get(upstream)
        if state is None:
            return
        asked = self._clock.now() if asked is None else asked
        before = state.report
        state.report = report
        state.reported = asked
        state.refusals = 0
        if before is None or before.versions != report.versions:
            self._stale = True
        if report.leaving:
            # Others may have taken back already what is still held here.
            anew = before is not None and not before.leaving
            self._begin_leaving(state, LeavingSource.REPORT, anew=anew)
        elif state.leaving and asked >= state.leaving_since + REPORT_LAG:
            # Only its own word takes back what anybody has said.
            state.leaving = False
            self._stale = True

    def told(
        self,
        upstream: UpstreamId,
        report: EngineReport,
        asked: float,
    ) -> None:
        """Take a report that an engine gave to another host.

        It may make the engine leave, but takes no leaving back, and says
        nothing about connections from here.

        Args:
            upstream: The engine.
            report: What it says.
            asked: Clock seconds at which the other host asked.
        """
        state = self._states.get(upstream)
        if state is None:
            return
        if report.leaving:
            self._begin_leaving(state, LeavingSource.PEER)
        before = state.report
        if before is not None and asked <= state.reported:
            return
        state.report = report
        state.reported = asked
        if before is None or before.versions != report.versions:
            self._stale = True

    def mark_leaving(
        self,
        upstream: UpstreamId,
        address: Address | None = None,
        source: LeavingSource = LeavingSource.PEER,
    ) -> bool:
        """Note that an upstream leaves; tell whether that was new.

        Args:
            upstream: Its id.
            address: Where it listens; another address is another run of
                it, of which this says nothing. None for any.
            source: Who said so.
        """
        state = self._states.get(upstream)
        other = state and address is not None and state.info.address != address
        if state is None or other:
            return address is not None and self._hearsay.add(
                upstream,
                address,
            )
        return self._begin_leaving(state, source)

    def refused(self, upstream: UpstreamId) -> None:
        """Note that an upstream refused a connection."""
        state = self._states.get(upstream)
        if state is None:
            return
        state.refusals += 1
        if state.refusals >= REFUSALS:
            self._begin_leaving(state, LeavingSource.REFUSED)

    def answered(self, upstream: UpstreamId) -> None:
        """Note that an upstream took a request."""
        state = self._states.get(upstream)
        if state is not None:
            state.refusals = 0

    @contextmanager
    def in_flight(
        self,
        state: UpstreamState,
        version: VersionId,
    ) -> Iterator[None]:
        """Count a request at an upstream while it runs there."""
        counts = state.in_flight_versions
        state.in_flight += 1
        counts[version] = counts.get(version, 0) + 1
        try:
            yield
        finally:
            state.in_flight -= 1
            counts[version] -= 1

    def _update_one(self, info: UpstreamInfo) -> None:
        """Take one entry of the host list."""
        known = self._states.get(info.upstream)
        now = self._clock.now()
        if known is None or known.info.address != info.address:
            if known is not None:
                known.leaving = True
            # Another address is another run: what was known is void.
            known = UpstreamState(info, first_seen=now)
            self._states[info.upstream] = known
            if self._hearsay.take(info):
                self._begin_leaving(known, LeavingSource.PEER)
        was_live = known.info.presence is Presence.LIVE
        known.info = info
        if was_live and info.presence is not Presence.LIVE:
            self._begin_leaving(known, LeavingSource.LIST)
        _try_service_again(known, now)

    def _begin_leaving(
        self,
        state: UpstreamState,
        source: LeavingSource,
        *,
        anew: bool = False,
    ) -> bool:
        """Give an upstream no new work; tell whether that is new.

        Listeners are told of what is new, and of a word that was given anew.
        """
        state.leaving_since = self._clock.now()
        fresh = not state.leaving
        if fresh:
            state.leaving = True
            self._stale = True
        if fresh or anew:
            for listener in self._listeners:
                listener(state.info, source)
        return fresh

    def is_surveyed(self, domain: DomainId) -> bool:
        """Tell whether the engines of a domain are known well enough.

        An engine that has said nothing yet counts as having no slots, so a
        host that serves before it has heard of them refuses in vain.
        """
        oldest = self._clock.now() - SURVEY_LIMIT
        return bool(self._states) and all(
            state.report is not None
            or state.failures > 0
            or state.first_seen <= oldest
            for state in self._states.values()
            if is_engine(state) and state.info.domain == domain
        )

    def _refresh(self) -> None:
        """Make the index anew if something has changed."""
        if not self._stale:
            return
        versions: defaultdict[VersionId, list[UpstreamState]]
        versions = defaultdict(list)
        services: defaultdict[ServiceName, list[UpstreamState]]
        services = defaultdict(list)
        open_states = [one for one in self._states.values() if one.is_open]
        for state in open_states:
            if state.info.service:
                services[state.info.service].append(state)
            for version in state.report.versions if state.report else ():
                versions[version].append(state)
        self._by_version = {key: tuple(row) for key, row in versions.items()}
        self._by_service = {key: tuple(row) for key, row in services.items()}
        self._stale = False


def _try_service_again(state: UpstreamState, now: float) -> None:
    """Let a listed service that refused connections be tried again."""
    if state.info.kind is UpstreamKind.ENGINE or not state.refusals:
        return
    held = now - state.leaving_since
    if state.leaving and held >= SERVICE_HOLD:
        state.leaving = False
        # One more refusal is enough to hold it back again.
        state.refusals = REFUSALS - 1


def is_engine(state: UpstreamState) -> bool:
    """Tell whether an upstream is a model engine."""
    return state.info.kind is UpstreamKind.ENGINE
