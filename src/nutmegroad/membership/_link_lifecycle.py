"""The life of a connection: its handshake, its use as a link, its end."""

import asyncio
from asyncio import StreamReader, StreamWriter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from functools import partial
from typing import Any, Final

from nutmegroad.foundations._owned_tasks import OwnedTasks
from nutmegroad.foundations.accounting import Metered
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import Address
from nutmegroad.membership._connection import LINKS_PART, Connection, Frame
from nutmegroad.membership._dialer import within
from nutmegroad.membership._handshake import (
    Credentials,
    HandshakeError,
    HandshakeStream,
    Identity,
    answer,
    greet,
)
from nutmegroad.membership._link_context import (
    LinkContext,
    LinkListener,
    Roster,
)
from nutmegroad.membership._message_receiver import MessageReceiver
from nutmegroad.membership._peer_table import Peer, PeerTable
from nutmegroad.membership._wire import Unpacker

_LOG: Final = part_logger('links')
#: Seconds between looks for links that are stuck.
_WATCH: Final = 2.0
#: Seconds between looks whether everything was sent at the end.
_FLUSH_STEP: Final = 0.01


@dataclass(frozen=True, slots=True)
class Opened:
    """A connection whose other side has proved who it is.

    Attributes:
        connection: The connection.
        early: Bytes that came after the handshake already.
    """

    connection: Connection
    early: bytes


class Handshaker:
    """Does the handshakes, within their limits.

    Args:
        context: Key, time, account and limits.
        roster: Who we are and which incarnations are too old.
        outdated: Called with the generation of us that others know, if
            they know a later one.
    """

    def __init__(
        self,
        context: LinkContext,
        roster: Roster,
        outdated: Callable[[int], None],
    ) -> None:
        self._context = context
        self._roster = roster
        self._outdated = outdated
        self._unauthenticated = 0

    async def connect(self, address: Address) -> Opened | None:
        """Connect to an address; None if there is no host of ours."""
        opening = asyncio.open_connection(address.ip, address.port)
        seconds = self._context.limits.handshake
        try:
            reader, writer = await within(self._context.clock, seconds, opening)
        except (OSError, TimeoutError):
            self._context.account.count('links_unreachable')
            return None
        stream = HandshakeStream(reader, writer)
        shaking = greet(stream, self._credentials())
        return await self._open(shaking, stream, initiator=True)

    async def accept(
        self,
        reader: StreamReader,
        writer: StreamWriter,
    ) -> Opened | None:
        """Take an incoming connection in; None if it is none of ours."""
        if self._unauthenticated >= self._context.limits.unauthenticated:
            self._context.account.count('links_too_many_unknown')
            writer.transport.abort()
            return None
        self._unauthenticated += 1
        stream = HandshakeStream(reader, writer)
        shaking = answer(stream, self._credentials())
        try:
            return await self._open(shaking, stream, initiator=False)
        finally:
            self._unauthenticated -= 1

    async def _open(
        self,
        shaking: Coroutine[Any, Any, Identity],
        stream: HandshakeStream,
        *,
        initiator: bool,
    ) -> Opened | None:
        identity = await self._shake(shaking)
        if identity is None:
            stream.abort()
            return None
        connection = Connection(
            identity,
            stream.streams,
            self._context.clock,
            initiator=initiator,
        )
        return Opened(connection, stream.rest())

    async def _shake(
        self,
        shaking: Coroutine[Any, Any, Identity],
    ) -> Identity | None:
        seconds = self._context.limits.handshake
        try:
            return await within(self._context.clock, seconds, shaking)
        except HandshakeError as fault:
            self._refuse(fault)
        except TimeoutError:
            self._context.account.count('links_handshake_slow')
        except OSError:
            self._context.account.count('links_handshake_cut')
        return None

    def _refuse(self, fault: HandshakeError) -> None:
        self._context.account.count(fault.event)
        _LOG.info('a handshake ended: %s.', fault.event)
        if fault.known:
            self._outdated(fault.known)

    def _credentials(self) -> Credentials:
        return Credentials(
            key=self._context.key,
            old_key=self._context.old_key,
            identity=self._roster.identity,
            nonces=self._context.nonces,
            admission=self._roster,
        )


class LinkRunner:
    """Reads and writes on connections, and closes those that are stuck.

    Args:
        context: Time, account and limits.
        table: The established links.
        receiver: Takes what comes in.
        listener: Is told of links that open and close.
    """

    def __init__(
        self,
        context: LinkContext,
        table: PeerTable,
        receiver: MessageReceiver,
        listener: LinkListener,
    ) -> None:
        self._context = context
        self._table = table
        self._receiver = receiver
        self._listener = listener

    async def run(self, opened: Opened, tasks: OwnedTasks) -> None:
        """Use a connection as the link to its host until it ends."""
        connection = opened.connection
        peer = self._table.enter(connection)
        if peer is None:
            self._context.account.count('links_old_incarnation')
            connection.abort()
            return
        if peer.connection is connection:
            self._begin(peer, tasks)
        else:
            self._context.account.count('links_doubled')
        try:
            await self._read(opened, peer)
        finally:
            connection.abort()
            self._leave(connection)

    async def watch(self) -> None:
        """Close links that are stuck, until cancelled."""
        clock = self._context.clock
        while True:
            began = clock.now()
            await clock.sleep(_WATCH)
            # After a pause of our own, what others sent in the meantime
            # has not been read yet.
            if clock.now() - began < 2 * _WATCH:
                self._close_stuck(clock.now())

    async def flush(self) -> None:
        """Wait until what is queued has been sent, but not for long."""
        clock = self._context.clock
        end = clock.now() + self._context.limits.flush
        while clock.now() < end and self._is_busy():
            await clock.sleep(_FLUSH_STEP)

    def _is_busy(self) -> bool:
        return any(peer.is_busy for peer in self._table)

    def _begin(self, peer: Peer, tasks: OwnedTasks) -> None:
        """Write on the connection that a peer has now."""
        account = self._context.account
        work = peer.connection.write(peer.queue, account)
        writing = Metered(account, LINKS_PART, work)
        peer.connection.writing = tasks.start(writing)
        _LOG.info('host %s is linked', peer.host)
        self._listener.link_opened(peer.identity)

    async def _read(self, opened: Opened, peer: Peer) -> None:
        unpacker = Unpacker(self._context.limits.message)
        take = partial(self._take, opened.connection, peer)
        ended = await opened.connection.read(unpacker, opened.early, take)
        self._context.account.count(ended)

    def _take(
        self,
        connection: Connection,
        peer: Peer,
        frame: Frame,
        size: int,
    ) -> None:
        self._table.used(peer, connection)
        self._receiver.take(peer, frame, size)

    def _leave(self, connection: Connection) -> None:
        if self._table.leave(connection):
            _LOG.info('host %s is lost', connection.identity.host)
            self._listener.link_closed(connection.identity)

    def _close_stuck(self, now: float) -> None:
        limits = self._context.limits
        for spare in self._table.spares(now - limits.stall):
            spare.abort()
        for peer in self._table:
            connection = peer.connection
            stalled = connection.stalled_since
            if stalled is not None and now - stalled > limits.stall:
                self._context.account.count('links_stalled')
                connection.abort()
            elif now - connection.heard > limits.silence:
                self._context.account.count('links_silent')
                connection.abort()
