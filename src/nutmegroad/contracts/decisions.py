"""Protocols of the routing policies, and the attempt events they observe.

Policies are registered as plug-ins of the kinds ``planner``, ``selector``,
``admitter`` and ``retry budget``; a setting names the one that is used.
"""

from contextlib import AbstractContextManager
from dataclasses import dataclass
from typing import Protocol

from nutmegroad.contracts.requests import ModelRequest, Plan
from nutmegroad.contracts.upstreams import UpstreamState
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    AttemptId,
    RequestId,
    TaskName,
    UpstreamId,
    VersionId,
    WorkspaceId,
)


@dataclass(frozen=True, slots=True)
class AttemptStart:
    """The event that an attempt is about to send its first byte.

    Attributes:
        attempt: Id of the attempt.
        request: Id of the request that it belongs to.
        workspace: The workspace of the caller.
        task: The task class.
        version: The model version that is to answer.
        upstream: Id of the upstream that it is sent to.
    """

    attempt: AttemptId
    request: RequestId
    workspace: WorkspaceId
    task: TaskName
    version: VersionId
    upstream: UpstreamId


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """The event that an attempt has ended, successfully or not.

    Attributes:
        start: The event of its start.
        code: The result; ``OK`` for a complete answer.
        first_token: Seconds to the first piece; None if none was received.
        seconds: Seconds from start to end.
        prompt_tokens: Tokens in the prompt.
        output_tokens: Tokens in the answer.
        cost: Cost of the attempt.
        text: The complete answer, if there was one.
        cached_tokens: Prompt tokens found in the engine's prefix cache.
        abandoned: Whether the deadline passed or the caller disconnected
            while the upstream was working. Such an end is no evidence about
            the version or the upstream.
    """

    start: AttemptStart
    code: ResultCode
    first_token: float | None
    seconds: float
    prompt_tokens: int
    output_tokens: int
    cost: float
    text: str
    cached_tokens: int = 0
    abandoned: bool = False


class Observer(Protocol):
    """Receives attempt events; it must return fast and never raise."""

    def started(self, start: AttemptStart) -> None:
        """Process the start of an attempt."""

    def ended(self, end: AttemptEnd) -> None:
        """Process the end of an attempt."""


class Observers:
    """Forwards attempt events to all registered observers."""

    def __init__(self) -> None:
        self._observers: list[Observer] = []

    def add(self, observer: Observer) -> None:
        """Register an observer for all later events."""
        self._observers.append(observer)

    def started(self, start: AttemptStart) -> None:
        """Forward the start of an attempt."""
        for observer in self._observers:
            observer.started(start)

    def ended(self, end: AttemptEnd) -> None:
        """Forward the end of an attempt."""
        for observer in self._observers:
            observer.ended(end)


class Planner(Protocol):
    """Chooses the model versions that answer a request."""

    def plan(self, request: ModelRequest) -> Plan | Refusal:
        """Return the cheapest plan that meets the request's target."""

    def estimate(self, request: ModelRequest, end: AttemptEnd) -> float:
        """Return the estimated quality of the answer of a cascade step."""


@dataclass(frozen=True, slots=True)
class Choice:
    """The upstream that a selector chose.

    Attributes:
        state: The chosen upstream.
        expected: Estimated seconds to the first token.
        reason: Why it was chosen, in one sentence.
    """

    state: UpstreamState
    expected: float
    reason: str


class Selector(Protocol):
    """Chooses the upstream for an attempt."""

    def choose(
        self,
        request: ModelRequest,
        version: VersionId,
        excluded: frozenset[UpstreamId],
    ) -> Choice | Refusal:
        """Return an upstream that serves the version and is not excluded."""


class Admitter(Protocol):
    """Admits requests, or refuses them."""

    async def admit(
        self,
        request: ModelRequest,
    ) -> AbstractContextManager[None] | Refusal:
        """Return a permit to hold while the request runs, or a refusal."""


class RetryRequester(Protocol):
    """What a retry is charged to: a model request, or a service call."""

    @property
    def request(self) -> RequestId:
        """The id of the request."""

    @property
    def workspace(self) -> WorkspaceId:
        """The workspace of the caller."""


class RetryBudget(Protocol):
    """Limits retries to a fraction of the traffic."""

    def spend(self, request: RetryRequester) -> bool:
        """Take one retry out of the budget.

        Returns:
            Whether the budget had a retry left.
        """


class Quarantine(Protocol):
    """Versions that this host has blocked because of its own evidence."""

    def blocked(self, version: VersionId, task: TaskName) -> Refusal | None:
        """Return why a version is blocked for a task class, or None."""
