"""One host's end of the mesh in memory (see ``testing``)."""

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
_NOWHERE: Final = Address('127.0.0.1', 0)


@dataclass(frozen=True, slots=True)
class PeerNames:
    """What a host in memory is called.

    Attributes:
        host: Its id.
        domain: Its failure domain.
        incarnation: This run of it.
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
        """Return names with an incarnation that was not used before."""
        nonce = randomness.getrandbits(_NONCE_BITS)
        return cls(host, domain, Incarnation(f'{host}.{nonce:016x}'))


@dataclass(frozen=True, slots=True)
class _Frame:
    """A message on its way.

    Attributes:
        body: The message as plain data, or a refusal.
        question: Number of the question that it asks; 0 for none.
        answers: Number of the question that it answers; 0 for none.
    """

    body: dict[str, Any] | Refusal | None
    question: int = 0
    answers: int = 0


class MemoryNetwork(Protocol):
    """What a host needs of the network in memory."""

    clock: Clock

    @property
    def peers(self) -> tuple['MemoryPeer', ...]:
        """All hosts on it."""

    def is_linked(self, one: HostId, other: HostId) -> bool:
        """Tell whether a host believes that it has a link to another."""

    def post(self, one: HostId, other: HostId, frame: object) -> None:
        """Let a frame travel."""


class MemoryPeer:
    """A ``Mesh`` whose links are in memory.

    Attributes:
        presence: Live or leaving, as the others see it.

    Args:
        names: Its host, domain and incarnation.
        network: What it stands on.
        tasks: Where its handlers run.
    """

    def __init__(
        self,
        names: PeerNames,
        network: MemoryNetwork,
        tasks: OwnedTasks,
    ) -> None:
        self.presence = Presence.LIVE
        self._names = names
        self._network = network
        self._tasks = tasks
        self._kinds = MessageTypes()
        self._handlers: dict[type[Message], Handler[Any]] = {}
        self._pending = PendingReplies(network.clock)

    @property
    def host(self) -> HostId:
        """Its id."""
        return self._names.host

    @property
    def domain(self) -> DomainId:
        """Its failure domain."""
        return self._names.domain

    @property
    def incarnation(self) -> Incarnation:
        """This run of it."""
        return self._names.incarnation

    def members(self) -> tuple[Member, ...]:
        """Return the other hosts to which this one has a link."""
        return tuple(
            peer.as_member(self._network.clock.now())
            for peer in self._network.peers
            if peer is not self and self._is_linked(peer.host)
        )

    def as_member(self, heard: float) -> Member:
        """Return this host as others see it."""
        return Member(
            host=self.host,
            incarnation=self.incarnation,
            domain=self.domain,
            address=_NOWHERE,
            presence=self.presence,
            heard=heard,
        )

    def handle(self, kind: type[Sent], handler: Handler[Sent]) -> None:
        """Register what is done with messages of a kind."""
        self._kinds.add(kind)
        self._handlers[kind] = handler

    def tell(self, host: HostId, message: Message) -> bool:
        """Send a message; false if the host knows of no link."""
        if not self._is_linked(host):
            return False
        self._network.post(self.host, host, _Frame(as_plain(message)))
        return True

    def tell_all(self, message: Message) -> int:
        """Send a message to all to whom there is a link."""
        hosts = [member.host for member in self.members()]
        return sum(self.tell(host, message) for host in hosts)

    async def ask(
        self,
        host: HostId,
        message: Message,
        timeout: float,
    ) -> Message | Refusal:
        """Send a message and wait for its reply."""
        if not self._is_linked(host):
            reason = f'There is no link to host {host}.'
            return Refusal(ResultCode.PEER_UNREACHABLE, reason)
        number = self._pending.open(host)
        frame = _Frame(as_plain(message), question=number)
        self._network.post(self.host, host, frame)
        return await self._pending.wait(number, timeout)

    def receive(self, sender: HostId, frame: object) -> None:
        """Take in what arrived; the network calls it."""
        if not isinstance(frame, _Frame):
            return
        if not frame.answers:
            self._tasks.start(self._work(sender, frame))
            return
        if isinstance(frame.body, Refusal):
            reply: Message | Refusal = frame.body
        else:
            unreadable = _refuse('The reply is unreadable.')
            reply = self._kinds.decode(frame.body) or unreadable
        self._pending.resolve(sender, frame.answers, reply)

    async def _work(self, sender: HostId, frame: _Frame) -> None:
        message = self._kinds.decode(frame.body)
        handler = None if message is None else self._handlers.get(type(message))
        if handler is None:
            reply: Message | Refusal | None = _refuse('It has no handler.')
        else:
            reply = await handler(sender, message)
        if frame.question:
            body = reply if isinstance(reply, Refusal) else _plain(reply)
            answer = _Frame(body, answers=frame.question)
            self._network.post(self.host, sender, answer)

    def _is_linked(self, other: HostId) -> bool:
        return self._network.is_linked(self.host, other)


def _plain(message: Message | None) -> dict[str, Any] | Refusal:
    if message is None:
        return _refuse('It has no reply.')
    plain: dict[str, Any] = as_plain(message)
    return plain


def _refuse(reason: str) -> Refusal:
    return Refusal(ResultCode.PEER_REFUSED, reason, Ran.UNKNOWN)
