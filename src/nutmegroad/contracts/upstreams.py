"""What upstreams can do: the Protocol that each kind's adapter meets.

An adapter calls the attempt's ``gate`` in the same step of the event loop
in which the first byte goes out, with no ``await`` between. A gate that
returns a refusal means that nothing was sent.
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

#: Looks once more, right before the first byte; returns why not to send.
Gate = Callable[[], Refusal | None]


@dataclass(frozen=True, slots=True)
class Attempt:
    """One try at having an upstream answer.

    Attributes:
        attempt: Its id; each try has its own.
        upstream: Where it goes.
        version: The model version that is to answer.
        body: The request body, as JSON.
        gate: The last check before the first byte.
        timeout: Seconds that it may take in all.
        priority: Smaller numbers go first at the engine.
        skip: Pieces that the caller already has, when an answer is resumed.
    """

    attempt: AttemptId
    upstream: UpstreamInfo
    version: VersionId
    body: bytes
    gate: Gate
    timeout: float
    priority: int = 0
    skip: int = 0


@dataclass(frozen=True, slots=True)
class Piece:
    """A piece of an answer's text.

    Attributes:
        index: Place of the piece in the answer, counted from 0.
        text: What the engine wrote.
    """

    index: int
    text: str


@dataclass(frozen=True, slots=True)
class Ending:
    """The mark that an answer is whole.

    Attributes:
        reason: Why the engine stopped, such as ``stop`` or ``length``.
        prompt_tokens: Tokens read.
        output_tokens: Tokens written.
        cached_tokens: Prompt tokens that were found in the prefix cache.
    """

    reason: str
    prompt_tokens: int
    output_tokens: int
    cached_tokens: int = 0


#: A stream yields pieces, then one ending, or a refusal at any point.
AnswerEvent = Piece | Ending | Refusal


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of its load; it lags.

    Attributes:
        versions: Versions that it has loaded.
        running: Requests in its batch.
        queued: Requests that wait.
        slots: Requests that its batch can hold.
        leaving: It says itself that it is leaving.
        checks_fencing: It refuses orders with an old fencing number.
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
        """Whether a request that comes has to wait."""
        return self.running + self.queued >= self.slots


@unique
class OrderAction(Enum):
    """What an engine can be told to do."""

    LOAD = 'load'
    UNLOAD = 'unload'


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to an engine, given under a lease.

    Attributes:
        action: What to do.
        version: With which version.
        fencing: The lease's fencing number.
        gate: Looks at the lease right before the first byte.
    """

    action: OrderAction
    version: VersionId
    fencing: FencingNumber
    gate: Gate


class EngineClient(Protocol):
    """How engines are reached."""

    def answer(
        self,
        attempt: Attempt,
    ) -> AbstractAsyncContextManager[AsyncIterator[AnswerEvent]]:
        """Open an answer; leaving the context early cancels it."""

    async def report(self, upstream: UpstreamInfo) -> EngineReport | Refusal:
        """Ask an engine for its load."""

    async def order(
        self,
        upstream: UpstreamInfo,
        order: EngineOrder,
    ) -> Refusal | None:
        """Tell an engine to load or unload a version."""


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call to a plain service.

    Attributes:
        attempt: Its id.
        upstream: Where it goes.
        method: HTTP method.
        path: Path below the service, without a leading slash.
        body: Request body.
        content_type: Media type of the body.
        gate: The last check before the first byte.
        timeout: Seconds that it may take in all.
        key: The caller's idempotency key, handed on; empty for none.
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


@dataclass(frozen=True, slots=True)
class ServiceReply:
    """What a plain service answered.

    Attributes:
        status: HTTP status.
        body: Reply body.
        content_type: Media type of the body.
    """

    status: int
    body: bytes
    content_type: str


class ServiceClient(Protocol):
    """How plain services are reached."""

    async def call(self, call: ServiceCall) -> ServiceReply | Refusal:
        """Make a call, once."""


@dataclass(slots=True)
class UpstreamState:
    """What this host knows of an upstream, beside the list's entry.

    Attributes:
        info: The host list's entry.
        report: Last report of an engine, if there was one.
        reported: Clock seconds at which it was asked for.
        in_flight: Requests that this host has there now.
        failures: Failed attempts since the last good one.
        leaving: It gets no new work: somebody has said that it is leaving,
            or it refuses connections.
        leaving_since: Clock seconds at which that was last said.
        refusals: Connections that it refused since the last good one.
        first_seen: Clock seconds at which this host learned of it.
        in_flight_versions: This host's requests there by version.
    """

    info: UpstreamInfo
    report: EngineReport | None = None
    reported: float = 0
    in_flight: int = 0
    failures: int = 0
    leaving: bool = False
    leaving_since: float = 0
    refusals: int = 0
    first_seen: float = 0
    in_flight_versions: dict[VersionId, int] = field(default_factory=dict)

    @property
    def is_open(self) -> bool:
        """Whether it may get new work, by the list and by all else."""
        return self.info.presence is Presence.LIVE and not self.leaving
