"""What a host shows of itself: whether it is ready, and its metrics."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from operator import attrgetter
from typing import Final, Protocol

from aiohttp import web

from nutmegroad.relay.counters import RelayCounters

_OK: Final = 200
_UNKNOWN: Final = 404
_NOT_READY: Final = 503


@dataclass(frozen=True, slots=True)
class Beliefs:
    """What a host believes at one moment.

    Attributes:
        configuration: Version of the configuration in force.
        age: Seconds since it was last known to be the newest.
        upstreams: Upstreams known.
        rollouts: Roll-outs under way.
        open_requests: Requests being answered.
        ready: Whether new connections are wanted.
        returns: How often the store has come back from a copy since the start.
        harmful: Requests that are kept from upstreams.
        hosts: Other hosts known.
        hosts_heard: Those of them that were heard a moment ago.
        session_marks: Sessions known to have run on an old version.
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


class Believer(Protocol):
    """A host, as far as its gauges need it."""

    @property
    def beliefs(self) -> Beliefs:
        """Return what it believes now."""


#: Returns one of a host's beliefs.
_Reader = Callable[[Beliefs], float]

_Gauge = tuple[str, str, _Reader]

#: Name, meaning and reader of each gauge.
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
)


class StatusPages:
    """Answers the balancer and the operators' metrics collector.

    Args:
        ready_path: Path of the balancer's question.
        ready: Tells whether new connections are wanted.
        counters: What is counted.
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
        """Tell the balancer whether this host is ready."""
        if http.path != self._ready_path:
            return web.Response(status=_UNKNOWN)
        return web.Response(status=_OK if self._ready() else _NOT_READY)

    async def answer_metrics(self, http: web.BaseRequest) -> web.Response:
        """Show metrics."""
        return web.Response(body=self._counters.render())


def show_beliefs(counters: RelayCounters, believer: Believer) -> None:
    """Show what a host believes as gauges."""
    for name, meaning, read in _GAUGES:
        counters.gauge(name, meaning, partial(_read, believer, read))


def _read(believer: Believer, read: _Reader) -> float:
    """Return one of a host's beliefs as they are now."""
    return read(believer.beliefs)
