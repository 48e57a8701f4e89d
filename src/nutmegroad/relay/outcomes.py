"""What an attempt is given, and what comes of it."""

from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from enum import Enum, unique

from nutmegroad.foundations.types import ModelName, Ran
from nutmegroad.relay.connections import ResponseHead, UpstreamConnection
from nutmegroad.upstreams.directory import Upstream
from nutmegroad.upstreams.selection import Choice


@unique
class AttemptEnd(Enum):
    """How an attempt failed."""

    UNREACHABLE = 'unreachable'
    REJECTED = 'rejected'
    MISDIRECTED = 'misdirected'
    BROKEN = 'broken'
    SILENT = 'silent'
    UNPROVED = 'unproved'
    ABANDONED = 'abandoned'


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """Why an attempt gave no head.

    It is false, as a refusal is.

    Attributes:
        end: How it failed.
        ran: What is known about whether the request ran.
        reason: One sentence for a person.
        retry_after: Seconds after which the upstream wants to be asked
            again; 0 if it did not say.
    """

    end: AttemptEnd
    ran: Ran
    reason: str
    retry_after: float = 0

    def __bool__(self) -> bool:
        """Return false, always."""
        return False


@dataclass(frozen=True, slots=True)
class AttemptPlan:
    """What one attempt adds to a request.

    Attributes:
        choice: Where it goes, and what is expected of it.
        model: The model to name; None to leave the caller's.
        last_event: Id of the last event that the caller has, or empty.
        patience: Seconds of silence after which other requests had better
            go elsewhere, and this one too if it may.
        leave: Tells, once, whether it may; if not, the attempt is waited
            for as long as there is time.
    """

    choice: Choice
    model: ModelName | None
    last_event: str
    patience: float
    leave: Callable[[], bool]

    @property
    def upstream(self) -> Upstream:
        """Return where it goes."""
        return self.choice.upstream


@dataclass(slots=True)
class Answering:
    """An upstream that has begun to answer.

    Attributes:
        choice: Which one, and what was expected of it.
        model: The model that it was asked for; None if the caller's.
        head: The beginning of its answer.
        connection: What the rest comes on.
        started: Clock seconds at which the attempt began.
        waited: Seconds until the head came.
        stack: Ends the attempt; the connection goes back or is closed.
    """

    choice: Choice
    model: ModelName | None
    head: ResponseHead
    connection: UpstreamConnection
    started: float
    waited: float
    stack: AsyncExitStack = field(repr=False)

    @property
    def upstream(self) -> Upstream:
        """Return the upstream that answers."""
        return self.choice.upstream

    async def close(self) -> None:
        """End the attempt; an answer that is not whole is broken off."""
        await self.stack.aclose()
