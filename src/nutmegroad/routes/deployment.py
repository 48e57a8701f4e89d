"""The operator's configuration, in the form that the relay uses.

A routing table is one accepted configuration, compiled for lookups of the route
of a request and of the workspace of a key. It is immutable; a newer
configuration is another table.
"""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, unique
from functools import cached_property
from typing import Final, NewType

from nutmegroad.foundations.types import (
    ModelName,
    RegionId,
    ServiceName,
    WorkspaceId,
)
from nutmegroad.ingress.connections import ConnectionLimits

RouteName = NewType('RouteName', str)
#: Version of the operator's configuration. It increases, not always by one.
ConfigurationVersion = NewType('ConfigurationVersion', int)

NO_VERSION: Final = ConfigurationVersion(-1)


@unique
class RequestKind(Enum):
    """Kind of a route's requests; decides whether they may be repeated."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that receives a fraction of a route's traffic.

    Attributes:
        service: The service.
        weight: Its weight; its traffic share is this over the sum of the
            route's weights.
    """

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How the requests of one host and path prefix are handled.

    Attributes:
        name: The operator's name for it.
        host: Value of the Host header, in lower case, without a port.
        prefix: Beginning of the path, with a slash at both ends.
        kind: Decides whether its requests may be repeated.
        timeout: Seconds within which a caller gets its final answer.
        target_latency: Seconds within which an answer has its full value.
        priority: Rank; 0 is the most urgent.
        services: The services that its requests are split between.
        max_attempts: Maximum number of upstreams that may execute one request.
        models: Models to choose from, the smallest first; empty if the caller
            names the model.
        anonymous: Whether its requests need no key.
        resumable: Whether a stream may be resumed at another upstream.
        max_event_gap: Maximum seconds between two events of a stream; 0 if
            there is no limit.
        regions: Regions in which its requests may be executed; empty for all.
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
    max_event_gap: float = 0
    regions: frozenset[RegionId] = frozenset()

    @property
    def streaming(self) -> bool:
        """Whether answers are event streams."""
        return self.kind is RequestKind.STREAMING

    @property
    def repeatable(self) -> bool:
        """Whether a request may be executed more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class EngineFacts:
    """Properties of the engines of a service.

    Attributes:
        cache_tokens: Number of tokens that an engine's cache holds.
        event_tokens: Number of tokens in one event of a stream.
        token_fetch_seconds: Seconds to fetch one token from another engine's
            cache; None if that is not known.
    """

    cache_tokens: int
    event_tokens: int
    token_fetch_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class ColdStart:
    """Behaviour of a service's upstreams after they start.

    Attributes:
        seconds: Seconds for which an upstream stays cold.
        rate: Requests per second that a cold upstream tolerates.
    """

    seconds: float
    rate: float


@dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams that are interchangeable.

    Attributes:
        name: The operator's name for it.
        engine: Properties of its engines; None for a service of plain calls.
        cold_start: Behaviour of its upstreams after they start; None if they
            need no protection.
    """

    name: ServiceName
    engine: EngineFacts | None = None
    cold_start: ColdStart | None = None


@dataclass(frozen=True, slots=True)
class Limits:
    """What callers may send, and how long they may take.

    Attributes:
        header_bytes: Maximum size of all headers, in bytes.
        body_bytes: Maximum size of a body, in bytes.
        connections: How long callers may take on their connections.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    connections: ConnectionLimits = field(default_factory=ConnectionLimits)


@dataclass(frozen=True, slots=True)
class Workspace:
    """The workspace that a key belongs to.

    Attributes:
        name: Its id.
        priority: Rank of its requests; None for the rank of the route.
        regions: Regions in which its requests may be executed; empty for all.
    """

    name: WorkspaceId
    priority: int | None = None
    regions: frozenset[RegionId] = frozenset()


@dataclass(frozen=True)
class RoutingTable:
    """One accepted configuration.

    Attributes:
        version: Its version.
        routes: All routes.
        services: All services by name.
        limits: Maximum sizes of requests.
        keys: The workspace of each valid key.
        requires_key: Whether requests need a key, except on anonymous routes.
    """

    version: ConfigurationVersion
    routes: tuple[Route, ...]
    services: Mapping[ServiceName, Service]
    limits: Limits = field(default_factory=Limits)
    keys: Mapping[str, Workspace] = field(default_factory=dict)
    requires_key: bool = False

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None.

        Args:
            host: The Host header, in lower case, without a port.
            path: The path as received, without the query.
        """
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def service_of(self, name: ServiceName) -> Service:
        """Return a service; one that is not configured has no engine facts."""
        service = self.services.get(name)
        return Service(name) if service is None else service

    @cached_property
    def _by_host(self) -> Mapping[str, tuple[Route, ...]]:
        """The routes of each host, the longest prefix first."""
        grouped: dict[str, list[Route]] = defaultdict(list)
        for route in self.routes:
            grouped[route.host].append(route)
        return {
            host: tuple(sorted(routes, key=_prefix_length, reverse=True))
            for host, routes in grouped.items()
        }


def _prefix_length(route: Route) -> int:
    """Return the sort key of a host's routes."""
    return len(route.prefix)
