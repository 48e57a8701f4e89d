"""Lifecycle of a connection: handshake, use as a link, and end."""

import asyncio
from asyncio import StreamReader, StreamWriter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from functools import partial
from typing import Any, Final

from nutmegroad.foundations._owned_tasks import OwnedTasks
from nutmegroad.foundations.accounting import MeteredCoroutine
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import Address
from nutmegroad.membership._connection import LINKS_PART, Connection, Frame
from nutmegroad.membership._dialer import run_with_timeout
from nutmegroad.membership._handshake import (
    Credentials,
    HandshakeError,
    HandshakeStream,
    Identity,
    accept_handshake,
    initiate_handshake,
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
#: Seconds between checks for unresponsive links.
_WATCH_INTERVAL: Final = 2.0
#: Seconds between checks on closing whether the queues have been sent.
_FLUSH_POLL_INTERVAL: Final = 0.01


@dataclass(frozen=True, slots=True)
class AuthenticatedConnection:
    """A connection whose other side has proved that it knows the cluster key.

    Attributes:
        connection: The connection.
        early_bytes: Bytes received after the end of the handshake.
    """

    connection: Connection
    early_bytes: bytes


class Handshaker:
    """Performs handshakes with a time limit and limited concurrency.

    Args:
        context: Keys, clock, cost account and limits.
        roster: Own identity and the incarnations that are outdated.
        generation_outdated: Called with the later generation of this host that
            others know, if there is one.
    """

    def __init__(
        self,
        context: LinkContext,
        roster: Roster,
        generation_outdated: Callable[[int], None],
    ) -> None:
        self._context = context
        self._roster = roster
        self._generation_outdated = generation_outdated
        self._unauthenticated = 0

    async def connect(self, address: Address) -> AuthenticatedConnection | None:
        """Connect to an address; None if this or the handshake fails."""
        opening = asyncio.open_connection(address.ip, address.port)
        seconds = self._context.limits.handshake_timeout
        try:
            reader, writer = await run_with_timeout(
                self._context.clock, seconds, opening
            )
        except (OSError, TimeoutError):
            self._context.account.count_event('links_unreachable')
            return None
        stream = HandshakeStream(reader, writer)
        handshake = initiate_handshake(stream, self._credentials())
        return await self._open(handshake, stream, is_initiator=True)

    async def accept(
        self,
        reader: StreamReader,
        writer: StreamWriter,
    ) -> AuthenticatedConnection | None:
        """Authenticate an incoming connection; None if it is rejected."""
        if self._unauthenticated >= self._context.limits.max_unauthenticated:
            self._context.account.count_event('links_too_many_unknown')
            writer.transport.abort()
            return None
        self._unauthenticated += 1
        stream = HandshakeStream(reader, writer)
        handshake = accept_handshake(stream, self._credentials())
        try:
            return await self._open(handshake, stream, is_initiator=False)
        finally:
            self._unauthenticated -= 1

    async def _open(
        self,
        handshake: Coroutine[Any, Any, Identity],
        stream: HandshakeStream,
        *,
        is_initiator: bool,
    ) -> AuthenticatedConnection | None:
        identity = await self._run_handshake(handshake)
        if identity is None:
            stream.abort()
            return None
        connection = Connection(
            identity,
            stream.streams,
            self._context.clock,
            is_initiator=is_initiator,
        )
        return AuthenticatedConnection(connection, stream.take_remaining())

    async def _run_handshake(
        self,
        handshake: Coroutine[Any, Any, Identity],
    ) -> Identity | None:
        seconds = self._context.limits.handshake_timeout
        try:
            return await run_with_timeout(
                self._context.clock, seconds, handshake
            )
        except HandshakeError as error:
            self._report_failure(error)
        except TimeoutError:
            self._context.account.count_event('links_handshake_slow')
        except OSError:
            self._context.account.count_event('links_handshake_cut')
        return None

    def _report_failure(self, error: HandshakeError) -> None:
        self._context.account.count_event(error.event)
        _LOG.info('handshake failed: %s', error.event)
        if error.known:
            self._generation_outdated(error.known)

    def _credentials(self) -> Credentials:
        return Credentials(
            key=self._context.key,
            old_key=self._context.old_key,
            identity=self._roster.identity,
            nonces=self._context.nonces,
            admission=self._roster,
        )


class LinkRunner:
    """Reads and writes on connections, and aborts those that are unresponsive.

    Args:
        context: Clock, cost account and limits.
        table: The established links.
        receiver: Processes incoming frames.
        listener: Notified when links open and close.
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

    async def run(
        self, authenticated: AuthenticatedConnection, tasks: OwnedTasks
    ) -> None:
        """Use a connection as the link to its host until it ends."""
        connection = authenticated.connection
        peer = self._table.add(connection)
        if peer is None:
            self._context.account.count_event('links_old_incarnation')
            connection.abort()
            return
        if peer.connection is connection:
            self._start_link(peer, tasks)
        else:
            self._context.account.count_event('links_doubled')
        try:
            await self._read(authenticated, peer)
        finally:
            connection.abort()
            self._remove(connection)

    async def watch(self) -> None:
        """Abort unresponsive links until cancelled."""
        clock = self._context.clock
        while True:
            started = clock.now()
            await clock.sleep(_WATCH_INTERVAL)
            # After a pause of this process, what others sent in the meantime
            # has not been read yet.
            if clock.now() - started < 2 * _WATCH_INTERVAL:
                self._abort_unresponsive(clock.now())

    async def flush(self) -> None:
        """Wait until the queues are sent or the time limit is reached."""
        clock = self._context.clock
        end = clock.now() + self._context.limits.flush_timeout
        while clock.now() < end and self._has_unsent():
            await clock.sleep(_FLUSH_POLL_INTERVAL)

    def _has_unsent(self) -> bool:
        return any(peer.has_unsent for peer in self._table)

    def _start_link(self, peer: Peer, tasks: OwnedTasks) -> None:
        """Start writing on the current connection of a peer."""
        account = self._context.account
        work = peer.connection.write(peer.queue, account)
        writing = MeteredCoroutine(account, LINKS_PART, work)
        peer.connection.write_task = tasks.start(writing)
        _LOG.info('link to host %s opened', peer.host)
        self._listener.link_opened(peer.identity)

    async def _read(
        self, authenticated: AuthenticatedConnection, peer: Peer
    ) -> None:
        unpacker = Unpacker(self._context.limits.max_message_bytes)
        receive = partial(self._receive, authenticated.connection, peer)
        event = await authenticated.connection.read(
            unpacker, authenticated.early_bytes, receive
        )
        self._context.account.count_event(event)

    def _receive(
        self,
        connection: Connection,
        peer: Peer,
        frame: Frame,
        size: int,
    ) -> None:
        self._table.note_received(peer, connection)
        self._receiver.receive(peer, frame, size)

    def _remove(self, connection: Connection) -> None:
        if self._table.remove(connection):
            _LOG.info('link to host %s closed', connection.identity.host)
            self._listener.link_closed(connection.identity)

    def _abort_unresponsive(self, now: float) -> None:
        limits = self._context.limits
        for redundant in self._table.redundant_connections(
            now - limits.write_timeout
        ):
            redundant.abort()
        for peer in self._table:
            connection = peer.connection
            pending_since = connection.write_pending_since
            if (
                pending_since is not None
                and now - pending_since > limits.write_timeout
            ):
                self._context.account.count_event('links_stalled')
                connection.abort()
            elif now - connection.last_received > limits.idle_timeout:
                self._context.account.count_event('links_silent')
                connection.abort()
