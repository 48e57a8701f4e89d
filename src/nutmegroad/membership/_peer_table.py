"""Established links, one per other host, and sending on them."""

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

#: Maximum seconds between two connections that count as opened simultaneously,
#: one by each host. If the existing one is older, the peer has lost it.
_SIMULTANEOUS_WINDOW: Final = 5.0


class Peer:
    """One incarnation of a host to which there is a link.

    Attributes:
        connection: The connection in use.
        queue: Messages to send.
        running_handlers: Number of handlers that run for it.
        redundant_connections: Other connections to it, which are to be closed.
        last_received_on: The connection of its last frame, if any.

    Args:
        connection: Its first connection.
        limits: Limits of the queue.
    """

    def __init__(self, connection: Connection, limits: LinkLimits) -> None:
        self.connection = connection
        self.queue = SendQueue(
            limits.max_queued_messages, limits.max_queued_bytes
        )
        self.running_handlers = 0
        self.redundant_connections: list[Connection] = []
        self.last_received_on: Connection | None = None

    @property
    def identity(self) -> Identity:
        """Identity of the peer."""
        return self.connection.identity

    @property
    def host(self) -> HostId:
        """Host id of the peer."""
        return self.connection.identity.host

    @property
    def has_unsent(self) -> bool:
        """Whether data is queued or being written."""
        return (
            bool(self.queue) or self.connection.write_pending_since is not None
        )

    def abort(self) -> None:
        """Close all its connections immediately."""
        for connection in (self.connection, *self.redundant_connections):
            connection.abort()


class PeerTable:
    """Holds one link for each host.

    Args:
        host: Id of this host.
        clock: Source of time.
        limits: Limits of the queues.
    """

    def __init__(self, host: HostId, clock: Clock, limits: LinkLimits) -> None:
        self._host = host
        self._clock = clock
        self._limits = limits
        self._peers: dict[HostId, Peer] = {}
        self._aliases: dict[Address, HostId] = {}
        self._redundant_since: dict[Connection, float] = {}

    def __iter__(self) -> Iterator[Peer]:
        """Iterate over the linked peers."""
        return iter(tuple(self._peers.values()))

    def __len__(self) -> int:
        """Return the number of links."""
        return len(self._peers)

    def get(self, host: HostId) -> Peer | None:
        """Return the peer for a host, if there is a link to it."""
        return self._peers.get(host)

    def is_linked(self, address: Address) -> bool:
        """Return whether there is a link to the host at an address."""
        if self._aliases.get(address) in self._peers:
            return True
        return any(peer.identity.address == address for peer in self)

    def add_alias(self, address: Address, host: HostId) -> None:
        """Record which host answered at an address."""
        self._aliases[address] = host

    def retain_aliases(self, kept: frozenset[Address]) -> None:
        """Remove the aliases for all other addresses."""
        for address in self._aliases.keys() - kept:
            self._aliases.pop(address)

    def add(self, connection: Connection) -> Peer | None:
        """Add a connection, as the link to its host or as a redundant one.

        Two hosts may connect to each other simultaneously. Nothing more is
        written on the redundant connection, but it stays open until the peer
        has sent something on the one in use: before that the peer may know
        only the redundant one, and would take its end for the loss of the
        link.

        Returns:
            The peer; None for an outdated incarnation.
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
        redundant = connection
        if self._is_preferred(connection, peer.connection):
            redundant = peer.connection
            peer.connection = connection
        redundant.stop_writing()
        peer.redundant_connections.append(redundant)
        self._redundant_since[redundant] = self._clock.now()
        self._close_redundant(peer)
        return peer

    def note_received(self, peer: Peer, connection: Connection) -> None:
        """Record the connection on which a peer last sent."""
        peer.last_received_on = connection
        self._close_redundant(peer)

    def remove(self, connection: Connection) -> bool:
        """Remove a connection; return whether its host lost its link."""
        self._redundant_since.pop(connection, None)
        peer = self._peers.get(connection.identity.host)
        if peer is None or peer.connection is not connection:
            return False
        self._peers.pop(peer.host)
        # Also the redundant ones; the peer may still use one of them as its
        # link.
        peer.abort()
        return True

    def redundant_connections(self, before: float) -> tuple[Connection, ...]:
        """Return connections that became redundant before a time.

        Args:
            before: Clock seconds.
        """
        return tuple(
            connection
            for connection, added_at in self._redundant_since.items()
            if added_at < before
        )

    def _close_redundant(self, peer: Peer) -> None:
        """Close redundant connections once the peer uses the same one."""
        if peer.last_received_on is not peer.connection:
            return
        for redundant in peer.redundant_connections:
            redundant.close_writing()
        peer.redundant_connections.clear()

    def _is_preferred(self, new: Connection, old: Connection) -> bool:
        """Return whether a new connection replaces the one in use."""
        if new.is_initiator == old.is_initiator:
            return True
        if self._clock.now() - old.opened_at > _SIMULTANEOUS_WINDOW:
            return True
        # Both connected simultaneously. Both keep the connection that the host
        # with the smaller id opened.
        return new.is_initiator == (self._host < new.identity.host)


class MessageSender:
    """Queues messages for peers within the limits.

    Args:
        context: Cost account and limits.
        table: The established links.
    """

    def __init__(self, context: LinkContext, table: PeerTable) -> None:
        self._context = context
        self._table = table

    def send(self, hosts: Iterable[HostId], message: Message) -> int:
        """Queue a message for several hosts; return for how many."""
        return self._enqueue_all(hosts, FrameKind.NOTIFICATION, 0, message)

    def send_request(self, host: HostId, number: int, message: Message) -> bool:
        """Queue a request; false if there is no link or no capacity."""
        return (
            self._enqueue_all((host,), FrameKind.REQUEST, number, message) == 1
        )

    def _enqueue_all(
        self,
        hosts: Iterable[HostId],
        kind: FrameKind,
        number: int,
        message: Message,
    ) -> int:
        packed = pack_frame(kind, number, as_plain(message))
        if len(packed) > self._context.limits.max_message_bytes:
            self._context.account.count_event('links_message_too_large')
            return 0
        lazy = message.lazy and kind is FrameKind.NOTIFICATION
        frame = QueuedFrame(packed, message.part, message.replaceable, lazy)
        return sum(self._enqueue(host, frame) for host in hosts)

    def _enqueue(self, host: HostId, frame: QueuedFrame) -> bool:
        peer = self._table.get(host)
        if peer is None:
            return False
        if peer.queue.put(frame):
            return True
        self._context.account.count_event('links_queue_full')
        return False
