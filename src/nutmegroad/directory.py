"""The upstreams that this host knows, and what it knows of each."""

from collections.abc import Iterator
from contextlib import contextmanager

from nutmegroad.clocks import Clock
from nutmegroad.types import (
    Presence,
    ServiceName,
    UpstreamId,
    UpstreamInfo,
    UpstreamKind,
    VersionId,
)
from nutmegroad.upstreams import EngineReport, UpstreamState


class Directory:
    """Keeps the state of each upstream.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._states: dict[UpstreamId, UpstreamState] = {}

    def update(self, upstreams: tuple[UpstreamInfo, ...]) -> None:
        """Take the host list's entries; those left out are forgotten."""
        listed = {info.upstream for info in upstreams}
        for gone in set(self._states) - listed:
            state = self._states.pop(gone)
            # Requests that still hold this state must see it as leaving.
            state.leaving = True
        for info in upstreams:
            self._update_one(info)

    def states(self) -> tuple[UpstreamState, ...]:
        """Return all upstreams."""
        return tuple(self._states.values())

    def state(self, upstream: UpstreamId) -> UpstreamState | None:
        """Return one upstream, or None if it is not known."""
        return self._states.get(upstream)

    def engines(self, version: VersionId) -> tuple[UpstreamState, ...]:
        """Return live engines that have reported the version as loaded."""
        return tuple(
            state
            for state in self._states.values()
            if _is_open(state)
            and state.report is not None
            and version in state.report.versions
        )

    def services(self, service: ServiceName) -> tuple[UpstreamState, ...]:
        """Return live upstreams of a plain service."""
        return tuple(
            state
            for state in self._states.values()
            if _is_open(state) and state.info.service == service
        )

    def reported(self, upstream: UpstreamId, report: EngineReport) -> None:
        """Take an engine's report."""
        state = self._states.get(upstream)
        if state is None:
            return
        state.report = report
        state.reported = self._clock.now()
        if report.leaving:
            state.leaving = True

    def mark_leaving(self, upstream: UpstreamId) -> bool:
        """Note that an upstream leaves; tell whether that was new."""
        state = self._states.get(upstream)
        if state is None or state.leaving:
            return False
        state.leaving = True
        return True

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
        if known is None or known.info.address != info.address:
            # Another address is another run: what was known is void.
            self._states[info.upstream] = UpstreamState(
                info,
                first_seen=self._clock.now(),
            )
            return
        known.info = info


def _is_open(state: UpstreamState) -> bool:
    """Tell whether an upstream may get new work."""
    live = state.info.presence is Presence.LIVE
    return live and not state.leaving


def is_engine(state: UpstreamState) -> bool:
    """Tell whether an upstream is a model engine."""
    return state.info.kind is UpstreamKind.ENGINE
