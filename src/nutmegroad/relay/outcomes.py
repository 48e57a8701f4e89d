"""Inputs and outcomes of an attempt."""

from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final

from nutmegroad.foundations.types import HostId, ModelName, Ran
from nutmegroad.relay.connections import (
    AnswerIdentity,
    ResponseHead,
    UpstreamConnection,
)
from nutmegroad.upstreams.directory import Upstream
from nutmegroad.upstreams.selection import Choice


@unique
class AttemptEnd(Enum):
    """How an attempt failed."""

    #: No connection could be opened.
    UNREACHABLE = 'unreachable'
    #: The upstream proved that it did not execute the request.
    REJECTED = 'rejected'
    #: The upstream is brittle or limited, and no host that was asked has a
    #: share of it left.
    WITHHELD = 'withheld'
    #: The address belongs to another upstream, or its weights differ.
    MISDIRECTED = 'misdirected'
    #: The connection failed before a response head arrived.
    BROKEN = 'broken'
    #: No response head arrived in time, and another attempt may follow.
    UNRESPONSIVE = 'silent'
    #: The response lacked the upstream's signature, or was encoded.
    UNVERIFIED = 'unproved'
    #: The caller had left before the request was sent.
    CALLER_LEFT = 'caller left'
    #: The request ended first, by its deadline or by its caller.
    ABANDONED = 'abandoned'


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """Why an attempt gave no response head.

    It is false in a boolean context, like a ``Refusal``.

    Attributes:
        end: How it failed.
        ran: What is known about whether the request was executed.
        reason: Explanation for logs and refusals.
        retry_after: Seconds after which the upstream accepts a retry; 0 if it
            did not say.
        via: The host by way of which the request was sent; None if none.
        is_reserved: Whether the request has a reservation at that time.
        shows_nothing: Whether it is no evidence on the upstream, as the
            request had less time than a connection may take.
        exchange: Number of the exchange, for the log; None if nothing was
            sent.
        identity: Which request the answer named; None without an answer.
    """

    end: AttemptEnd
    ran: Ran
    reason: str
    retry_after: float = 0
    via: HostId | None = None
    is_reserved: bool = False
    shows_nothing: bool = False
    exchange: int | None = None
    identity: AnswerIdentity | None = None

    def __bool__(self) -> bool:
        """Return False, always."""
        return False


#: Outcome of an attempt whose request ended before a response head arrived.
ABANDONED: Final = AttemptFailure(
    AttemptEnd.ABANDONED,
    Ran.UNKNOWN,
    'the request ended before a response head arrived',
)

#: Outcome of an attempt whose caller has left before it was sent.
CALLER_LEFT: Final = AttemptFailure(
    AttemptEnd.CALLER_LEFT,
    Ran.NOT_RUN,
    'the caller has left',
)


@dataclass(frozen=True, slots=True)
class AttemptPlan:
    """Parameters of one attempt of a request.

    Attributes:
        choice: The chosen upstream and the estimates for it.
        model: The model to request; None to keep the caller's.
        last_event: Id of the last event that the caller has received, or empty.
        response_timeout: Seconds without a response after which the
            upstream counts as unresponsive and other requests should avoid it.
        may_abandon: Called once after that time; returns whether the
            attempt may be abandoned. If not, it goes on until the deadline.
        is_last: Whether no other attempt may follow if this one is executed.
        caller_left: Returns whether the caller has closed its connection.
    """

    choice: Choice
    model: ModelName | None
    last_event: str
    response_timeout: float
    may_abandon: Callable[[], bool]
    is_last: bool
    caller_left: Callable[[], bool]

    @property
    def upstream(self) -> Upstream:
        """The upstream that the request is sent to."""
        return self.choice.upstream


@dataclass(slots=True)
class UpstreamAnswer:
    """An answer whose response head has arrived.

    Attributes:
        choice: The chosen upstream and the estimates for it.
        model: The model that was requested; None if the caller's.
        head: The response head.
        connection: The connection of the exchange.
        started: Clock seconds at which the attempt began.
        waited: Seconds until the head arrived, without those by which this
            host delayed it.
        stack: Ends the attempt; the connection is closed.
    """

    choice: Choice
    model: ModelName | None
    head: ResponseHead
    connection: UpstreamConnection
    started: float
    waited: float
    stack: AsyncExitStack = field(repr=False)

    @property
    def via(self) -> HostId | None:
        """The host by way of which the request was sent; None if none."""
        return self.connection.via

    @property
    def exchange(self) -> int:
        """Number of the exchange, for the log."""
        return self.connection.number

    @property
    def identity(self) -> AnswerIdentity | None:
        """Which request the answer named."""
        return self.connection.identity

    @property
    def upstream(self) -> Upstream:
        """The upstream that answers."""
        return self.choice.upstream

    async def close(self) -> None:
        """End the attempt; an incomplete answer is aborted."""
        await self.stack.aclose()


def failure_on(
    connection: UpstreamConnection,
    end: AttemptEnd,
    reason: str,
    ran: Ran = Ran.UNKNOWN,
) -> AttemptFailure:
    """Return the failure of an attempt that had a connection."""
    return AttemptFailure(
        end,
        ran,
        reason,
        via=connection.via,
        exchange=connection.number,
    )
