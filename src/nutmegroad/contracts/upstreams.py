"""Protocols of the clients for engines and plain services.

An adapter calls the ``gate`` of an attempt in the same event-loop step in
which it sends the first byte, with no ``await`` in between. If the gate
returns a refusal, nothing has been sent.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Protocol

from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import (
    AttemptId,
    FencingNumber,
    Presence,
    UpstreamInfo,
    VersionId,
)

#: The final check right before the first byte; returns why not to send, or
#: None.
Gate = Callable[[], Refusal | None]

#: Called with what the head of an answer says: how many requests in a second
#: the upstream takes from all hosts together, or None.
LimitCallback = Callable[[float | None], None]


def ignore_limit(limit: float | None) -> None:
    """Ignore what the head of an answer says."""


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt at sending a model request to an engine.

    Attributes:
        attempt: The id of the attempt.
        upstream: The engine.
        version: The model version that is asked.
        body: The request body, as JSON.
        gate: The final check before the first byte.
        timeout: Timeout of the whole attempt, in seconds.
        priority: Priority at the engine; smaller numbers are served first.
        skip: Number of pieces that the caller has received already, for an
            answer that is resumed.
        on_limit: Called with the limit that the answer's head names.
    """

    attempt: AttemptId
    upstream: UpstreamInfo
    version: VersionId
    body: bytes
    gate: Gate
    timeout: float
    priority: int = 0
    skip: int = 0
    on_limit: LimitCallback = ignore_limit


@dataclass(frozen=True, slots=True)
class Piece:
    """A piece of an answer's text.

    Attributes:
        index: Index of the piece in the answer, from 0.
        text: The text.
    """

    index: int
    text: str


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """The event that an answer is complete.

    Attributes:
        reason: Why the engine stopped, such as ``stop`` or ``length``.
        prompt_tokens: Tokens in the prompt.
        output_tokens: Tokens in the answer.
        cached_tokens: Prompt tokens found in the prefix cache.
    """

    reason: str
    prompt_tokens: int
    output_tokens: int
    cached_tokens: int = 0


#: A stream yields pieces and then one ending; a refusal may end it at any
#: point.
AnswerEvent = Piece | AnswerEnd | Refusal


@dataclass(frozen=True, slots=True)
class EngineReport:
    """The load that an engine reports, which may be out of date.

    Attributes:
        versions: Versions that it has loaded.
        running: Requests in its batch.
        queued: Requests in its queue.
        slots: Requests that its batch can hold.
        leaving: Whether it reports that it is draining.
        checks_fencing: Whether it refuses orders with an old fencing number.
        fencing: Highest fencing number that it has seen.
    """

    versions: tuple[VersionId, ...]
    running: int
    queued: int
    slots: int
    leaving: bool
    checks_fencing: bool
    fencing: FencingNumber = FencingNumber(0)

    @property
    def is_full(self) -> bool:
        """Whether a new request would have to wait."""
        return self.running + self.queued >= self.slots


@unique
class OrderAction(Enum):
    """An action that an engine can be ordered to take."""

    LOAD = 'load'
    UNLOAD = 'unload'


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to an engine, given under a lease.

    Attributes:
        action: The action.
        version: The version to load or unload.
        fencing: Fencing number of the lease.
        gate: Checks the lease right before the first byte.
    """

    action: OrderAction
    version: VersionId
    fencing: FencingNumber
    gate: Gate


class EngineClient(Protocol):
    """A client for engines."""

    def answer(
        self,
        attempt: Attempt,
    ) -> AbstractAsyncContextManager[AsyncIterator[AnswerEvent]]:
        """Request an answer; leaving the context early cancels it."""

    async def report(self, upstream: UpstreamInfo) -> EngineReport | Refusal:
        """Fetch the load report of an engine."""

    async def order(
        self,
        upstream: UpstreamInfo,
        order: EngineOrder,
    ) -> Refusal | None:
        """Order an engine to load or unload a version."""


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call to a plain service.

    Attributes:
        attempt: The id of the attempt.
        upstream: The service.
        method: HTTP method.
        path: Path relative to the service, without a leading slash.
        body: Request body.
        content_type: Media type of the body.
        gate: The final check before the first byte.
        timeout: Timeout of the whole call, in seconds.
        key: The caller's idempotency key, which is forwarded; empty for
            none.
        on_limit: Called with the limit that the reply's head names.
    """

    attempt: AttemptId
    upstream: UpstreamInfo
    method: str
    path: str
    body: bytes
    content_type: str
    gate: Gate
    timeout: float
    key: str = ''
    on_limit: LimitCallback = ignore_limit


@dataclass(frozen=True, slots=True)
class ServiceReply:
    """The reply of a plain service.

    Attributes:
        status: HTTP status.
        body: Response body.
        content_type: Media type of the body.
    """

    status: int
    body: bytes
    content_type: str


class ServiceClient(Protocol):
    """A client for plain services."""

    async def call(self, call: ServiceCall) -> ServiceReply | Refusal:
        """Send a call, without retries."""


@dataclass(slots=True)
class UpstreamState:
    """The state of an upstream, as known to this host.

    Attributes:
        info: Its entry in the host list.
        report: Last report of an engine; None if there is none.
        report_requested_at: Clock seconds at which that report was requested.
        in_flight: Requests from this host that it is executing.
        failed_polls: Failed polls of its load report since the last success.
        draining: Whether it gets no new requests because it is reported to
            be draining or refuses connections.
        draining_since: Clock seconds at which that was last reported or
            observed.
        refused_connections: Connections refused since the last one that was
            accepted.
        first_seen: Clock seconds at which this host learned of it.
        in_flight_by_version: Requests from this host that it is executing, by
            version.
    """

    info: UpstreamInfo
    report: EngineReport | None = None
    report_requested_at: float = 0
    in_flight: int = 0
    failed_polls: int = 0
    draining: bool = False
    draining_since: float = 0
    refused_connections: int = 0
    first_seen: float = 0
    in_flight_by_version: dict[VersionId, int] = field(default_factory=dict)

    @property
    def accepts_requests(self) -> bool:
        """Whether it may get new requests: listed as live and not draining."""
        return self.info.presence is Presence.LIVE and not self.draining
