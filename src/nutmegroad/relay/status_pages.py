"""Readiness and metrics pages of a host."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from operator import attrgetter
from typing import Final, Protocol

from aiohttp import web

from nutmegroad.ingress.connections import ConnectionState
from nutmegroad.ingress.timeouts import ConnectionTimeouts
from nutmegroad.relay.counters import RelayCounters

_OK: Final = 200
_NOT_FOUND: Final = 404
_NOT_READY: Final = 503


@dataclass(frozen=True, slots=True)
class HostStatus:
    """State of a host, as shown by its gauges.

    Attributes:
        configuration: Version of the configuration in force.
        age: Seconds since it was last confirmed as the newest.
        upstreams: Number of known upstreams.
        rollouts: Number of active rollouts.
        open_requests: Number of requests being answered.
        ready: Whether new connections are wanted.
        returns: Number of restores of the store from a backup since the start.
        harmful: Number of requests refused as harmful.
        hosts: Number of other hosts known.
        hosts_heard: Number of other hosts last seen a short time ago.
        session_marks: Number of sessions known to have run on an old version.
        cut_off: Number of services that it reaches by other hosts only.
        tunnels: Number of connections that are open for other hosts.
        limited: Number of upstreams that name a limit.
        iteration: Seconds that an iteration of the event loop takes.
        late: Seconds for which the host has been late.
        held_bodies: Bytes held for bodies of requests.
        held_answers: Bytes held for answers.
        held_limit: Maximum bytes that may be held.
        memory_waiting: Number of bodies that wait for room.
    """

    configuration: int
    age: float
    upstreams: int
    rollouts: int
    open_requests: int
    ready: bool
    returns: int
    harmful: int
    hosts: int
    hosts_heard: int
    session_marks: int
    cut_off: int
    tunnels: int
    limited: int
    iteration: float
    late: float
    held_bodies: int
    held_answers: int
    held_limit: int
    memory_waiting: int


class StatusSource(Protocol):
    """A host whose state is shown by gauges."""

    @property
    def status(self) -> HostStatus:
        """Its present state."""


class FollowedTable(Protocol):
    """A table that a host keeps its state in step with."""

    @property
    def table(self) -> str:
        """Its name."""

    @property
    def age(self) -> float:
        """Seconds since it was last known to be current."""


#: Returns the value of a gauge.
_Reader = Callable[[HostStatus], float]

_Gauge = tuple[str, str, _Reader]

#: Name, help text and reader of each gauge.
_GAUGES: Final[tuple[_Gauge, ...]] = (
    (
        'configuration_version',
        'Version of the configuration in force',
        attrgetter('configuration'),
    ),
    (
        'configuration_age_seconds',
        'Seconds since it was last known to be the newest',
        attrgetter('age'),
    ),
    ('upstreams', 'Upstreams known', attrgetter('upstreams')),
    ('rollouts', 'Roll-outs under way', attrgetter('rollouts')),
    ('open_requests', 'Requests being answered', attrgetter('open_requests')),
    ('ready', 'Whether new connections are wanted', attrgetter('ready')),
    (
        'store_returns',
        'Times that the store came back from a copy since this host started',
        attrgetter('returns'),
    ),
    (
        'harmful_requests',
        'Requests that are kept from upstreams, as several ended under them',
        attrgetter('harmful'),
    ),
    ('hosts', 'Other hosts known', attrgetter('hosts')),
    (
        'hosts_heard',
        'Other hosts that were heard a moment ago',
        attrgetter('hosts_heard'),
    ),
    (
        'session_marks',
        'Sessions known to have run on an old version',
        attrgetter('session_marks'),
    ),
    (
        'cut_off',
        'Services that are reached by way of other hosts only',
        attrgetter('cut_off'),
    ),
    (
        'open_tunnels',
        'Connections to upstreams that are open for other hosts',
        attrgetter('tunnels'),
    ),
    (
        'limited_upstreams',
        'Upstreams that name how many requests a second they take',
        attrgetter('limited'),
    ),
    (
        'loop_iteration_seconds',
        'Seconds that an iteration of the event loop takes',
        attrgetter('iteration'),
    ),
    (
        'late_seconds',
        'Seconds for which this host has been short of processor time',
        attrgetter('late'),
    ),
    (
        'held_body_bytes',
        'Bytes held for bodies of requests',
        attrgetter('held_bodies'),
    ),
    (
        'held_answer_bytes',
        'Bytes held for answers',
        attrgetter('held_answers'),
    ),
    (
        'held_bytes_limit',
        'Bytes that may be held for requests',
        attrgetter('held_limit'),
    ),
    (
        'bodies_waiting_for_memory',
        'Bodies that wait for room before they are read',
        attrgetter('memory_waiting'),
    ),
)


class StatusPages:
    """Answers the balancer and the operators' metrics collector.

    Args:
        ready_path: Path of the readiness check.
        ready: Returns whether new connections are wanted.
        counters: The host's metrics.
    """

    def __init__(
        self,
        ready_path: str,
        ready: Callable[[], bool],
        counters: RelayCounters,
    ) -> None:
        self._ready_path = ready_path
        self._ready = ready
        self._counters = counters

    async def answer_ready(self, http: web.BaseRequest) -> web.Response:
        """Answer whether this host is ready, by the HTTP status."""
        if http.path != self._ready_path:
            return web.Response(status=_NOT_FOUND)
        return web.Response(status=_OK if self._ready() else _NOT_READY)

    async def answer_metrics(self, http: web.BaseRequest) -> web.Response:
        """Answer with all metrics."""
        return web.Response(body=self._counters.render())


def register_gauges(counters: RelayCounters, source: StatusSource) -> None:
    """Register the gauges of a host's state."""
    for name, meaning, read in _GAUGES:
        counters.gauge(name, meaning, partial(_read, source, read))


def register_connection_gauges(
    counters: RelayCounters, timeouts: ConnectionTimeouts
) -> None:
    """Register gauges of callers' connections by what they wait for."""
    for state in ConnectionState:
        counters.gauge(
            f'connections_{state.value}',
            f"Callers' connections in the state {state.value!r}",
            partial(timeouts.count, state),
        )


def register_table_gauges(
    counters: RelayCounters, tables: Iterable[FollowedTable]
) -> None:
    """Register gauges of how old the host's state of each table is."""
    counters.gauges(
        'table_age_seconds',
        'Seconds since the table was last known to be current',
        'table',
        {each.table: partial(attrgetter('age'), each) for each in tables},
    )


def _read(source: StatusSource, read: _Reader) -> float:
    """Return the present value of a gauge."""
    return read(source.status)
