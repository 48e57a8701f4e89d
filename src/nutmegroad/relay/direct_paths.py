"""Whether this host reaches upstreams by connections of its own.

A network partition may separate a host from all upstreams while its callers,
the platform's store and the other hosts still reach it. Open connections may
live on meanwhile, and a proxy may accept new ones in vain, so only an answer on
a new connection shows that a path is open.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import ServiceName, UpstreamIncarnation
from nutmegroad.upstreams.directory import Upstream

_LOG: Final = part_logger('paths')

#: Number of upstreams of a service that a host has to fail to reach, without
#: reaching any other, before it counts as cut off from the service; fewer if
#: there are fewer. One alone may have terminated.
MIN_UNREACHED: Final = 2

#: Seconds for which a failure counts. After that, a host that only has requests
#: which may not be repeated connects directly again.
FAILURE_TTL: Final = 10.0

#: Seconds between the requests with which a host that is cut off finds out
#: whether it still is.
PROBE_INTERVAL: Final = 0.5

#: Called with an upstream that only other hosts reach.
DetourListener = Callable[[Upstream], None]


@dataclass(slots=True)
class _ServicePaths:
    """The paths to the upstreams of a service.

    Attributes:
        failed_at: Clock seconds of the last failure, by upstream, since the
            last answer of any on a new connection.
        probed_at: Clock seconds of the last probe.
        cut_off_since: Clock seconds since which the host is cut off.
    """

    failed_at: dict[UpstreamIncarnation, float] = field(default_factory=dict)
    probed_at: float = float('-inf')
    cut_off_since: float | None = None


class DirectPaths:
    """Which upstreams this host has failed to reach by new connections.

    Args:
        clock: The host's clock.
        upstream_count: Returns the number of known upstreams of a service.
    """

    def __init__(
        self, clock: Clock, upstream_count: Callable[[ServiceName], int]
    ) -> None:
        self._clock = clock
        self._upstream_count = upstream_count
        self._services: dict[ServiceName, _ServicePaths] = {}
        self._listeners: list[DetourListener] = []

    def is_cut_off(self, service: ServiceName) -> bool:
        """Return whether this host likely reaches no upstream of a service."""
        paths = self._services.get(service)
        if paths is None or not paths.failed_at:
            return False
        oldest = self._clock.now() - FAILURE_TTL
        recent = sum(at >= oldest for at in paths.failed_at.values())
        return recent >= min(MIN_UNREACHED, self._upstream_count(service))

    def has_failed(self, upstream: Upstream) -> bool:
        """Return whether this host has lately failed to reach an upstream."""
        paths = self._services.get(upstream.entry.service)
        if paths is None:
            return False
        never = float('-inf')
        failed_at = paths.failed_at.get(upstream.entry.incarnation, never)
        return self._clock.now() - failed_at <= FAILURE_TTL

    def count_cut_off(self) -> int:
        """Return the number of services that this host is cut off from."""
        return sum(self.is_cut_off(service) for service in self._services)

    def on_detour(self, listener: DetourListener) -> None:
        """Register a callback for upstreams that only other hosts reach."""
        self._listeners.append(listener)

    def record_failure(self, upstream: Upstream) -> None:
        """Record that a new connection failed or brought no answer."""
        now = self._clock.now()
        service = upstream.entry.service
        paths = self._services.setdefault(service, _ServicePaths())
        paths.failed_at[upstream.entry.incarnation] = now
        if self.is_cut_off(service) and paths.cut_off_since is None:
            paths.cut_off_since = now
            _LOG.decision(
                'host cut off',
                service=service,
                unreached=sorted(paths.failed_at),
            )

    def record_detour(self, upstream: Upstream) -> None:
        """Record that another host reaches an upstream and this one does not.

        What this host's own connections to it have shown is no evidence on the
        upstream.
        """
        upstream.refused_at = float('-inf')
        if not upstream.path_lost:
            upstream.path_lost = True
            _LOG.decision('path lost', upstream=upstream.entry.upstream)
        for listener in self._listeners:
            listener(upstream)

    def record_answer(self, upstream: Upstream) -> None:
        """Record an answer on a new connection."""
        if upstream.path_lost:
            upstream.path_lost = False
            _LOG.decision('path restored', upstream=upstream.entry.upstream)
        paths = self._services.get(upstream.entry.service)
        if paths is None:
            return
        paths.failed_at.clear()
        if paths.cut_off_since is not None:
            seconds = self._clock.now() - paths.cut_off_since
            paths.cut_off_since = None
            _LOG.decision(
                'host reaches upstreams',
                service=upstream.entry.service,
                after=round(seconds, 3),
            )

    def claim_probe(self, service: ServiceName) -> bool:
        """Return whether a request may be sent directly, to probe a path."""
        now = self._clock.now()
        paths = self._services.setdefault(service, _ServicePaths())
        if now - paths.probed_at < PROBE_INTERVAL:
            return False
        paths.probed_at = now
        return True
