"""The links of one host in an in-memory mesh (see ``testing.virtual``)."""

import random
from dataclasses import dataclass
from typing import Any, Final, Protocol, Self

from nutmegroad.contracts.peers import Handler, Member, Message, Sent
from nutmegroad.foundations._owned_tasks import OwnedTasks
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    HostId,
    Incarnation,
    Presence,
    Ran,
)
from nutmegroad.membership._message_receiver import PendingReplies
from nutmegroad.membership._wire import MessageTypes, as_plain

_NONCE_BITS: Final = 64
#: Hosts in memory listen on no address.
_NO_ADDRESS: Final = Address('127.0.0.1', 0)


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """The identity of a host in memory.

    Attributes:
        host: The id of the host.
        domain: Its failure domain.
        incarnation: Its current incarnation.
    """

    host: HostId
    domain: DomainId
    incarnation: Incarnation

    @classmethod
    def fresh(
        cls,
        host: HostId,
        domain: DomainId,
        randomness: random.Random,
    ) -> Self:
        """Return an identity with a new random incarnation."""
        nonce = randomness.getrandbits(_NONCE_BITS)
        return cls(host, domain, Incarnation(f'{host}.{nonce:016x}'))


@dataclass(frozen=True, slots=True)
class _Frame:
    """A message in transit.

    Attributes:
        body: The message as plain data, or a refusal.
        request_id: Id of the request that it makes; 0 for none.
        reply_to: Id of the request that it replies to; 0 for none.
    """

    body: dict[str, Any] | Refusal | None
    request_id: int = 0
    reply_to: int = 0


class MemoryNetwork(Protocol):
    """The in-memory network that connects the hosts."""

    clock: Clock

    @property
    def peers(self) -> tuple['MemoryPeer', ...]:
        """All hosts on the network."""

    def is_linked(self, sender: HostId, receiver: HostId) -> bool:
        """Return whether a host believes that it has a link to another."""

    def send_frame(
        self, sender: HostId, receiver: HostId, frame: object
    ) -> None:
        """Send a frame from one host to another."""


class MemoryPeer:
    """A ``Mesh`` whose links are in memory.

    Attributes:
        presence: Live or leaving, as seen by the other hosts.

    Args:
        identity: The identity of the host.
        network: The network that delivers its messages.
        tasks: Runs its handlers.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        network: MemoryNetwork,
        tasks: OwnedTasks,
    ) -> None:
        self.presence = Presence.LIVE
        self._identity = identity
        self._network = network
        self._tasks = tasks
        self._kinds = MessageTypes()
        self._handlers: dict[type[Message], Handler[Any]] = {}
        self._pending = PendingReplies(network.clock)

    @property
    def host(self) -> HostId:
        """The id of the host."""
        return self._identity.host

    @property
    def domain(self) -> DomainId:
        """Its failure domain."""
        return self._identity.domain

    @property
    def incarnation(self) -> Incarnation:
        """Its current incarnation."""
        return self._identity.incarnation

    def members(self) -> tuple[Member, ...]:
        """Return the other hosts that this host has a link to."""
        return tuple(
            peer.as_member(self._network.clock.now())
            for peer in self._network.peers
            if peer is not self and self._is_linked(peer.host)
        )

    def as_member(self, last_seen: float) -> Member:
        """Return this host as seen by the others.

        Args:
            last_seen: Clock seconds at which it was last seen.
        """
        return Member(
            host=self.host,
            incarnation=self.incarnation,
            domain=self.domain,
            address=_NO_ADDRESS,
            presence=self.presence,
            last_seen=last_seen,
        )

    def handle(self, kind: type[Sent], handler: Handler[Sent]) -> None:
        """Register the handler for messages of a type."""
        self._kinds.add(kind)
        self._handlers[kind] = handler

    def send(self, host: HostId, message: Message) -> bool:
        """Send a message; return false if there is no link to the host."""
        if not self._is_linked(host):
            return False
        self._network.send_frame(self.host, host, _Frame(as_plain(message)))
        return True

    def broadcast(self, message: Message) -> int:
        """Send a message on every link; return the number of links."""
        hosts = [member.host for member in self.members()]
        return sum(self.send(host, message) for host in hosts)

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
        if not self._is_linked(host):
            reason = f'There is no link to host {host}.'
            return Refusal(ResultCode.PEER_UNREACHABLE, reason)
        request_id = self._pending.open(host)
        frame = _Frame(as_plain(message), request_id=request_id)
        self._network.send_frame(self.host, host, frame)
        return await self._pending.wait(request_id, timeout)

    def receive(self, sender: HostId, frame: object) -> None:
        """Process a received frame; called by the network."""
        if not isinstance(frame, _Frame):
            return
        if not frame.reply_to:
            self._tasks.start(self._handle_frame(sender, frame))
            return
        if isinstance(frame.body, Refusal):
            reply: Message | Refusal = frame.body
        else:
            unreadable = _refuse('The reply could not be decoded.')
            reply = self._kinds.decode(frame.body) or unreadable
        self._pending.resolve(sender, frame.reply_to, reply)

    async def _handle_frame(self, sender: HostId, frame: _Frame) -> None:
        message = self._kinds.decode(frame.body)
        handler = None if message is None else self._handlers.get(type(message))
        if handler is None:
            reply: Message | Refusal | None = _refuse(
                'The message has no handler.'
            )
        else:
            reply = await handler(sender, message)
        if frame.request_id:
            body = reply if isinstance(reply, Refusal) else _plain(reply)
            response = _Frame(body, reply_to=frame.request_id)
            self._network.send_frame(self.host, sender, response)

    def _is_linked(self, other: HostId) -> bool:
        return self._network.is_linked(self.host, other)


def _plain(message: Message | None) -> dict[str, Any] | Refusal:
    if message is None:
        return _refuse('The handler returned no reply.')
    plain: dict[str, Any] = as_plain(message)
    return plain


def _refuse(reason: str) -> Refusal:
    return Refusal(ResultCode.PEER_REFUSED, reason, Ran.UNKNOWN)
