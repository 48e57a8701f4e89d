"""The base of messages between hosts, and the Protocol of their links."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import ClassVar, Protocol, TypeVar

from msgspec import Struct

from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    HostId,
    Incarnation,
    Presence,
)


class Message(Struct, frozen=True, tag_field='type'):
    """Base of the messages that hosts send to each other.

    A subclass sets ``tag='a-name'``; the links register the type when a
    handler for it is added. Its fields are plain data.

    Attributes:
        part: The name under which the cost of the type is accounted.
        replaceable: Whether a later message supersedes an earlier one, so
            that a full queue may drop the earlier one.
        lazy: Whether it may be delayed until the next message that is not
            lazy, such as a heartbeat, to be sent in the same segment.
    """

    part: ClassVar[str] = 'other'
    replaceable: ClassVar[bool] = False
    lazy: ClassVar[bool] = False


Sent = TypeVar('Sent', bound=Message)

#: Handles a message from a host, and returns the reply if there is one.
Handler = Callable[[HostId, Sent], Awaitable[Message | None]]


@dataclass(frozen=True, slots=True)
class Member:
    """The current state of another host, as known to this host.

    Attributes:
        host: The id of the host.
        incarnation: Its incarnation, which changes with each restart.
        domain: Its failure domain.
        address: The address on which it listens for peers.
        presence: Whether it is live, leaving or gone.
        last_seen: Clock seconds at which it was last seen.
    """

    host: HostId
    incarnation: Incarnation
    domain: DomainId
    address: Address
    presence: Presence
    last_seen: float


class Mesh(Protocol):
    """The links to all hosts of this failure domain and some of the others."""

    def members(self) -> tuple[Member, ...]:
        """Return the other hosts that are currently live or leaving."""

    def handle(self, kind: type[Sent], handler: Handler[Sent]) -> None:
        """Register the handler for messages of a type."""

    def send(self, host: HostId, message: Message) -> bool:
        """Queue a message to a host; return false if it has no link."""

    def broadcast(self, message: Message) -> int:
        """Queue a message on every link; return on how many it was queued."""

    async def request(
        self,
        host: HostId,
        message: Message,
        timeout: float,
    ) -> Message | Refusal:
        """Send a message and wait for its reply.

        Args:
            host: The receiver.
            message: The message.
            timeout: Seconds to wait for the reply.
        """
