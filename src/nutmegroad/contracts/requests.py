"""A caller's request, as every decision sees it."""

from dataclasses import dataclass

from nutmegroad.contracts.documents import Concern
from nutmegroad.contracts.fences import Fence
from nutmegroad.foundations.types import (
    Epoch,
    IdempotencyKey,
    RequestId,
    TaskName,
    VersionId,
    WorkspaceId,
)


@dataclass(frozen=True, slots=True)
class SessionClaim:
    """What a session is held to.

    Attributes:
        name: The session's name.
        version: The version that it keeps.
        epoch: The version's epoch when the session began.
    """

    name: str
    version: VersionId
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class ModelRequest:
    """A request to a model.

    Attributes:
        request: Its id.
        workspace: Who asks.
        concern: The measure that the workspace weighs most.
        task: The task class.
        target: Quality that the answer must reach, from 0 to 1.
        versions: Versions that may answer: allowed by the workspace, by
            the preset and by what the caller named.
        repeatable: Whether it may run twice.
        deadline: Clock seconds at which its caller gives up.
        priority: Smaller numbers go first.
        prompt_tokens: Estimated tokens of the prompt.
        output_tokens: Estimated tokens of the answer.
        prefix: Hash of the prompt's first part, for cache affinity.
        key: The caller's idempotency key; empty for none.
        session: What the session is held to; None for no session or for
            its first request.
        body: The body for the upstream, as JSON, without ``model``.
        fence: What each of its attempts must pass; None in tests only.
    """

    request: RequestId
    workspace: WorkspaceId
    concern: Concern
    task: TaskName
    target: float
    versions: tuple[VersionId, ...]
    repeatable: bool
    deadline: float
    priority: int
    prompt_tokens: int
    output_tokens: int
    prefix: int
    key: IdempotencyKey
    session: SessionClaim | None
    body: dict[str, object]
    fence: Fence | None = None


@dataclass(frozen=True, slots=True)
class Plan:
    """How a request is to be answered.

    Attributes:
        steps: Versions to be asked in turn; the last answer counts.
        accept: For each step but the last, the estimated quality of the
            answer above which the next step is spared.
        cost: Estimated cost.
        quality: Estimated quality, a lower bound.
        reason: Why this plan, in one sentence.
    """

    steps: tuple[VersionId, ...]
    accept: tuple[float, ...]
    cost: float
    quality: float
    reason: str
