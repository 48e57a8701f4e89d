"""The established links, one for each other host, and sending on them."""

from collections.abc import Iterable, Iterator
from typing import Final

from nutmegroad.contracts.peers import Message
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import Address, HostId
from nutmegroad.membership._connection import (
    Connection,
    FrameKind,
    QueuedFrame,
    SendQueue,
    pack_frame,
)
from nutmegroad.membership._handshake import Identity
from nutmegroad.membership._link_context import LinkContext, LinkLimits
from nutmegroad.membership._wire import as_plain

#: Two hosts that connect to each other do so within this many seconds. A
#: connection that is older was lost by the other side if it makes another.
_SIMULTANEOUS: Final = 5.0


class Peer:
    """One incarnation of a host to which there is a link.

    Attributes:
        connection: The connection that is used.
        queue: What waits to be sent.
        handling: How many handlers run for it.
        spares: Connections beside it that are to end.
        heard_on: The connection on which its last frame came, if any.

    Args:
        connection: Its first connection.
        limits: Bounds on the queue.
    """

    def __init__(self, connection: Connection, limits: LinkLimits) -> None:
        self.connection = connection
        self.queue = SendQueue(limits.queue_messages, limits.queue_bytes)
        self.handling = 0
        self.spares: list[Connection] = []
        self.heard_on: Connection | None = None

    @property
    def identity(self) -> Identity:
        """Who it is."""
        return self.connection.identity

    @property
    def host(self) -> HostId:
        """Its host id."""
        return self.connection.identity.host

    @property
    def is_busy(self) -> bool:
        """Whether something has not yet gone to the system."""
        return bool(self.queue) or self.connection.stalled_since is not None

    def abort(self) -> None:
        """End all its connections at once."""
        for connection in (self.connection, *self.spares):
            connection.abort()


class PeerTable:
    """Keeps one link for each host.

    Args:
        host: Id of this host.
        clock: Time.
        limits: Bounds on queues.
    """

    def __init__(self, host: HostId, clock: Clock, limits: LinkLimits) -> None:
        self._host = host
        self._clock = clock
        self._limits = limits
        self._peers: dict[HostId, Peer] = {}
        self._aliases: dict[Address, HostId] = {}
        self._spares: dict[Connection, float] = {}

    def __iter__(self) -> Iterator[Peer]:
        """Iterate over the hosts to which there is a link."""
        return iter(tuple(self._peers.values()))

    def __len__(self) -> int:
        """Return how many links there are."""
        return len(self._peers)

    def get(self, host: HostId) -> Peer | None:
        """Return a host, if there is a link to it."""
        return self._peers.get(host)

    def is_linked(self, address: Address) -> bool:
        """Tell whether there is a link to whoever listens there."""
        if self._aliases.get(address) in self._peers:
            return True
        return any(peer.identity.address == address for peer in self)

    def note_alias(self, address: Address, host: HostId) -> None:
        """Remember which host answered at an address."""
        self._aliases[address] = host

    def forget_aliases(self, kept: frozenset[Address]) -> None:
        """Forget who answered at other addresses than these."""
        for address in self._aliases.keys() - kept:
            self._aliases.pop(address)

    def enter(self, connection: Connection) -> Peer | None:
        """Take a connection in, as the link to its host or beside it.

        Two hosts may connect to each other at once. Nothing more is
        written on the connection that is not used, but it is kept until
        the other side has sent something on the used one: before that the
        other side may know of no other, and would take its end for the
        loss of the link.

        Returns:
            The host; None for an old incarnation.
        """
        identity = connection.identity
        peer = self._peers.get(identity.host)
        if peer is None or identity.order > peer.identity.order:
            if peer is not None:
                peer.abort()
            peer = Peer(connection, self._limits)
            self._peers[identity.host] = peer
            return peer
        if identity.incarnation != peer.identity.incarnation:
            return None
        spare = connection
        if self._is_better(connection, peer.connection):
            spare = peer.connection
            peer.connection = connection
        spare.rest()
        peer.spares.append(spare)
        self._spares[spare] = self._clock.now()
        self._finish_spares(peer)
        return peer

    def used(self, peer: Peer, connection: Connection) -> None:
        """Learn that a host has sent something on a connection to it."""
        peer.heard_on = connection
        self._finish_spares(peer)

    def leave(self, connection: Connection) -> bool:
        """Drop a connection; true if its host has no link now."""
        self._spares.pop(connection, None)
        peer = self._peers.get(connection.identity.host)
        if peer is None or peer.connection is not connection:
            return False
        self._peers.pop(peer.host)
        # The other side may still use one of them as the link.
        peer.abort()
        return True

    def spares(self, before: float) -> tuple[Connection, ...]:
        """Return connections that are not used since before a moment."""
        return tuple(
            connection
            for connection, when in self._spares.items()
            if when < before
        )

    def _finish_spares(self, peer: Peer) -> None:
        """End what is not used, once the other side uses the same."""
        if peer.heard_on is not peer.connection:
            return
        for spare in peer.spares:
            spare.finish()
        peer.spares.clear()

    def _is_better(self, new: Connection, old: Connection) -> bool:
        if new.initiator == old.initiator:
            return True
        if self._clock.now() - old.opened > _SIMULTANEOUS:
            return True
        # Both connected at once. Both keep the connection that the host
        # with the lesser id began.
        return new.initiator == (self._host < new.identity.host)


class MessageSender:
    """Queues messages for peers, within the limits.

    Args:
        context: Account and limits.
        table: The established links.
    """

    def __init__(self, context: LinkContext, table: PeerTable) -> None:
        self._context = context
        self._table = table

    def tell(self, hosts: Iterable[HostId], message: Message) -> int:
        """Queue a message to hosts; return to how many it was."""
        return self._send(hosts, FrameKind.TELL, 0, message)

    def ask(self, host: HostId, number: int, message: Message) -> bool:
        """Queue a question; false if there is no link or no room."""
        return self._send((host,), FrameKind.ASK, number, message) == 1

    def _send(
        self,
        hosts: Iterable[HostId],
        kind: FrameKind,
        number: int,
        message: Message,
    ) -> int:
        packed = pack_frame(kind, number, as_plain(message))
        if len(packed) > self._context.limits.message:
            self._context.account.count('links_message_too_large')
            return 0
        lazy = message.lazy and kind is FrameKind.TELL
        frame = QueuedFrame(packed, message.part, message.replaceable, lazy)
        return sum(self._put(host, frame) for host in hosts)

    def _put(self, host: HostId, frame: QueuedFrame) -> bool:
        peer = self._table.get(host)
        if peer is None:
            return False
        if peer.queue.put(frame):
            return True
        self._context.account.count('links_queue_full')
        return False
