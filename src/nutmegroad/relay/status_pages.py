"""What a host shows of itself: whether it is ready, and its metrics."""

from collections.abc import Callable
from dataclasses import dataclass
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
    """

    configuration: int
    age: float
    upstreams: int
    rollouts: int
    open_requests: int
    ready: bool
    returns: int
    harmful: int


class Believer(Protocol):
    """A host, as far as its gauges need it."""

    @property
    def beliefs(self) -> Beliefs:
        """Return what it believes now."""


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
    counters.gauge(
        'configuration_version',
        'Version of the configuration in force',
        lambda: believer.beliefs.configuration,
    )
    counters.gauge(
        'configuration_age_seconds',
        'Seconds since it was last known to be the newest',
        lambda: believer.beliefs.age,
    )
    counters.gauge(
        'upstreams',
        'Upstreams known',
        lambda: believer.beliefs.upstreams,
    )
    counters.gauge(
        'rollouts',
        'Roll-outs under way',
        lambda: believer.beliefs.rollouts,
    )
    counters.gauge(
        'open_requests',
        'Requests being answered',
        lambda: believer.beliefs.open_requests,
    )
    counters.gauge(
        'ready',
        'Whether new connections are wanted',
        lambda: believer.beliefs.ready,
    )
    counters.gauge(
        'store_returns',
        'Times that the store came back from a copy since this host started',
        lambda: believer.beliefs.returns,
    )
    counters.gauge(
        'harmful_requests',
        'Requests that are kept from upstreams, as several ended under them',
        lambda: believer.beliefs.harmful,
    )
