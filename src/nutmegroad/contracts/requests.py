"""A model request of a caller, and the plan for answering it."""

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
class SessionBinding:
    """The version that a session is bound to.

    Attributes:
        name: Name of the session.
        version: The version that answers all requests of the session.
        epoch: The epoch of the version when the session started.
    """

    name: str
    version: VersionId
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class ModelRequest:
    """A request to a model.

    Attributes:
        request: The id of the request.
        workspace: The workspace of the caller.
        concern: The measure that matters most to the workspace.
        task: The task class.
        target: Quality that the answer must reach, from 0 to 1.
        versions: Versions that may answer: those allowed by the workspace,
            by the preset and by the model that the caller named.
        repeatable: Whether the request may be executed more than once.
        deadline: Clock seconds at which the caller gives up.
        priority: Priority; smaller numbers are served first.
        prompt_tokens: Estimated number of tokens in the prompt.
        output_tokens: Estimated number of tokens in the answer.
        prefix: Hash of the start of the prompt, for cache affinity.
        key: The caller's idempotency key; empty for none.
        session: The version that the session is bound to; None if there is
            no session or this is its first request.
        body: The JSON body for the upstream, without ``model``.
        fence: The fence that each attempt must pass; None only in tests.
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
    session: SessionBinding | None
    body: dict[str, object]
    fence: Fence | None = None


@dataclass(frozen=True, slots=True)
class Plan:
    """The versions that answer a request, as one step or a cascade.

    Attributes:
        steps: Versions to ask in order; the last answer is returned.
        accept: For each step but the last, the estimated quality of the
            answer above which the next step is skipped.
        cost: Estimated cost.
        quality: Lower bound of the estimated quality.
        reason: Why this plan was chosen, in one sentence.
    """

    steps: tuple[VersionId, ...]
    accept: tuple[float, ...]
    cost: float
    quality: float
    reason: str
