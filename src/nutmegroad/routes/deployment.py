"""What the operator has configured, as the relay uses it.

A routing table is one accepted configuration, compiled: the route of a
request and the workspace of a key are looked up here. It never changes; a
newer configuration is another table.
"""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, unique
from functools import cached_property
from typing import Final, NewType

from nutmegroad.foundations.types import ModelName, ServiceName, WorkspaceId

RouteName = NewType('RouteName', str)
#: Counts the operator's configurations; it grows in uneven steps.
ConfigurationVersion = NewType('ConfigurationVersion', int)

NO_VERSION: Final = ConfigurationVersion(-1)


@unique
class RequestKind(Enum):
    """What may be repeated."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A part of a route's traffic.

    Attributes:
        service: Where it goes.
        weight: Its part, against the sum of all weights of the route.
    """

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How one kind of request is to be handled.

    Attributes:
        name: The operator's name for it.
        host: Value of the Host header, in lower case, without a port.
        prefix: Beginning of the path; with a slash at both ends.
        kind: What may be repeated.
        timeout: Seconds after which a caller gets its final answer.
        target_latency: Seconds within which an answer has its full worth.
        priority: Rank; 0 is the most urgent.
        services: Where its requests go.
        max_attempts: Upstreams that one request may be sent to.
        models: Models to choose among, the smallest first; empty if the
            caller names one.
        anonymous: Whether a request needs no key.
        resumable: Whether a stream may go on at another upstream.
        longest_pause: Seconds between two events of a stream.
    """

    name: RouteName
    host: str
    prefix: str
    kind: RequestKind
    timeout: float
    target_latency: float
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int = 1
    models: tuple[ModelName, ...] = ()
    anonymous: bool = False
    resumable: bool = False
    longest_pause: float = 0

    @property
    def streaming(self) -> bool:
        """Tell whether answers are series of events."""
        return self.kind is RequestKind.STREAMING

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class EngineFacts:
    """What is known of the engines of a service.

    Attributes:
        memory: Tokens that its cache holds.
        event_tokens: Tokens in an event of a stream.
        fetch_time: Seconds to fetch a token that another engine keeps; None
            if that is not known.
    """

    memory: int
    event_tokens: int
    fetch_time: float | None = None


@dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams that answer alike.

    Attributes:
        name: The operator's name for it.
        engine: What its engines are like; None for a plain service.
    """

    name: ServiceName
    engine: EngineFacts | None = None


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what a caller may send.

    Attributes:
        header_bytes: Size of all headers.
        body_bytes: Size of a body.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304


@dataclass(frozen=True, slots=True)
class Workspace:
    """Who a key belongs to.

    Attributes:
        name: The workspace.
        priority: Rank of its requests; None for that of the route.
    """

    name: WorkspaceId
    priority: int | None = None


@dataclass(frozen=True)
class RoutingTable:
    """One accepted configuration.

    Attributes:
        version: Which one.
        routes: All routes.
        services: All services by name.
        limits: Bounds on requests.
        keys: The workspace of each key that holds.
        keyed: Whether requests need a key at all.
    """

    version: ConfigurationVersion
    routes: tuple[Route, ...]
    services: Mapping[ServiceName, Service]
    limits: Limits = field(default_factory=Limits)
    keys: Mapping[str, Workspace] = field(default_factory=dict)
    keyed: bool = False

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that fits, or None.

        Args:
            host: The Host header, in lower case, without a port.
            path: The path as it was sent, without the query.
        """
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def service_of(self, name: ServiceName) -> Service:
        """Return a service; one that is not configured has no facts."""
        found = self.services.get(name)
        return Service(name) if found is None else found

    @cached_property
    def _by_host(self) -> Mapping[str, tuple[Route, ...]]:
        """Return each host's routes, the longest prefix first."""
        grouped: dict[str, list[Route]] = defaultdict(list)
        for route in self.routes:
            grouped[route.host].append(route)
        return {
            host: tuple(sorted(routes, key=_prefix_length, reverse=True))
            for host, routes in grouped.items()
        }


def _prefix_length(route: Route) -> int:
    """Return what routes of a host are ordered by."""
    return len(route.prefix)
