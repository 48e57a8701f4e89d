"""The Protocols of the decisions, and the events that they learn from.

Policies register themselves under the kinds ``planner``, ``selector``,
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
    """An attempt is about to send its first byte.

    Attributes:
        attempt: Its id.
        request: Its request.
        workspace: Who asks.
        task: The task class.
        version: The version that is to answer.
        upstream: Where it goes.
    """

    attempt: AttemptId
    request: RequestId
    workspace: WorkspaceId
    task: TaskName
    version: VersionId
    upstream: UpstreamId


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """An attempt has ended, well or not.

    Attributes:
        start: What was announced when it began.
        code: How it ended; ``OK`` for a whole answer.
        first_token: Seconds to the first piece; None if none came.
        seconds: Seconds from beginning to end.
        prompt_tokens: Tokens read.
        output_tokens: Tokens written.
        cost: What it cost.
        text: The whole answer, if there was one.
        cached_tokens: Prompt tokens that the engine had in its cache.
        out_of_time: Its caller's time was up, or its caller left, while the
            upstream was at work: this says nothing of version and upstream.
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
    out_of_time: bool = False


class Observer(Protocol):
    """Learns from attempts; it must be quick and never raise."""

    def started(self, start: AttemptStart) -> None:
        """Note that an attempt begins."""

    def ended(self, end: AttemptEnd) -> None:
        """Note how an attempt ended."""


class Observers:
    """Hands events of attempts to all that asked for them."""

    def __init__(self) -> None:
        self._observers: list[Observer] = []

    def add(self, observer: Observer) -> None:
        """Hand all later events to an observer too."""
        self._observers.append(observer)

    def started(self, start: AttemptStart) -> None:
        """Tell all observers that an attempt begins."""
        for observer in self._observers:
            observer.started(start)

    def ended(self, end: AttemptEnd) -> None:
        """Tell all observers how an attempt ended."""
        for observer in self._observers:
            observer.ended(end)


class Planner(Protocol):
    """Chooses the versions that a request is to be answered by."""

    def plan(self, request: ModelRequest) -> Plan | Refusal:
        """Return the cheapest plan that meets the request's target."""

    def estimate(self, request: ModelRequest, end: AttemptEnd) -> float:
        """Return the estimated quality of an answer of a cascade's step."""


@dataclass(frozen=True, slots=True)
class Choice:
    """The upstream that a selector chose.

    Attributes:
        state: The upstream.
        expected: Estimated seconds to the first token.
        reason: Why this one, in one sentence.
    """

    state: UpstreamState
    expected: float
    reason: str


class Selector(Protocol):
    """Chooses the upstream that an attempt goes to."""

    def choose(
        self,
        request: ModelRequest,
        version: VersionId,
        excluded: frozenset[UpstreamId],
    ) -> Choice | Refusal:
        """Return an upstream that has the version and is not excluded."""


class Admitter(Protocol):
    """Lets requests in, or refuses them at once."""

    async def admit(
        self,
        request: ModelRequest,
    ) -> AbstractContextManager[None] | Refusal:
        """Return a permit to hold while the request runs, or a refusal."""


class Spender(Protocol):
    """Whose retries they are: a model request, or a call to a service."""

    @property
    def request(self) -> RequestId:
        """Its id."""

    @property
    def workspace(self) -> WorkspaceId:
        """Who asks."""


class RetryBudget(Protocol):
    """Bounds retries to a share of the traffic."""

    def spend(self, request: Spender) -> bool:
        """Take one retry out of the budget, if there is one."""


class Quarantine(Protocol):
    """Versions that this host has stopped using on its own evidence."""

    def blocked(self, version: VersionId, task: TaskName) -> Refusal | None:
        """Return why a version gets no work of a task, or None."""
