"""Messages between hosts, and the Protocol of the links that carry them."""

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
    """Base of what hosts say to each other.

    A subclass states ``tag='a-name'``; the links register it when a
    handler for it is added. Its fields are plain data.

    Attributes:
        part: Whose control cost the kind is.
        replaceable: Whether a later message makes an earlier one needless,
            so that a full queue may drop it.
        lazy: Whether it may wait for the next message that is not, such as
            a heartbeat, and go out in the same segment.
    """

    part: ClassVar[str] = 'other'
    replaceable: ClassVar[bool] = False
    lazy: ClassVar[bool] = False


Sent = TypeVar('Sent', bound=Message)

#: Handles a message from a host; a message returned is the reply.
Handler = Callable[[HostId, Sent], Awaitable[Message | None]]


@dataclass(frozen=True, slots=True)
class Member:
    """Another host, as the links know it now.

    Attributes:
        host: Its id.
        incarnation: Which run of it.
        domain: Its failure domain.
        address: Where it listens to peers.
        presence: Live, leaving or gone.
        heard: Clock seconds at which it was last heard.
    """

    host: HostId
    incarnation: Incarnation
    domain: DomainId
    address: Address
    presence: Presence
    heard: float


class Mesh(Protocol):
    """Links to other hosts: all of this domain, a few of the others."""

    def members(self) -> tuple[Member, ...]:
        """Return the hosts that are live or leaving, as known now."""

    def handle(self, kind: type[Sent], handler: Handler[Sent]) -> None:
        """Register what is done with messages of a kind."""

    def tell(self, host: HostId, message: Message) -> bool:
        """Queue a message to a host; false if there is no link to it."""

    def tell_all(self, message: Message) -> int:
        """Queue a message on every link, and return how many."""

    async def ask(
        self,
        host: HostId,
        message: Message,
        timeout: float,
    ) -> Message | Refusal:
        """Send a message and wait for its reply."""
