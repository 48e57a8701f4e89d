"""Links to other hosts: authenticated TCP streams of msgpack messages.

There is one link for each pair of hosts. Which hosts to connect to is said
by the membership (``aim``); what a message means is up to its handler.
"""

import asyncio
from asyncio import StreamReader, StreamWriter
from collections.abc import Iterable
from functools import partial
from types import TracebackType
from typing import Final, Self

from absl import logging

from nutmegroad._connection import (
    LINKS_PART,
    Connection,
    FrameKind,
    pack_frame,
)
from nutmegroad._dialer import Dialer
from nutmegroad._gate import Gate, Opened
from nutmegroad._inbox import Inbox
from nutmegroad._link_context import LinkContext, LinkListener, Roster
from nutmegroad._outbox import Parcel
from nutmegroad._peer_table import PeerTable
from nutmegroad._peer_tasks import OwnedTasks
from nutmegroad._questions import Questions
from nutmegroad._wire import Unpacker, as_plain
from nutmegroad.accounting import Metered
from nutmegroad.peers import Handler, Member, Message, Sent
from nutmegroad.results import Refusal, ResultCode
from nutmegroad.types import Address, HostId

_LOG_PREFIX: Final = 'links:'
_BACKLOG: Final = 256
#: Seconds between looks for links that are stuck.
_WATCH: Final = 2.0
#: Seconds between looks whether everything was sent at the end.
_FLUSH_STEP: Final = 0.01


class Links:
    """The real ``Mesh``: one TCP link for each other host that is wanted.

    Example::

        async with Links(context, roster) as links:
            links.handle(Hello, answer_hello)
            links.aim([Address('127.0.0.1', 7003)])

    Args:
        context: Key, time, randomness, account and limits.
        roster: Who we are and which incarnations are too old.
    """

    def __init__(self, context: LinkContext, roster: Roster) -> None:
        self._context = context
        self._roster = roster
        self._listener: LinkListener | None = None
        self._tasks = OwnedTasks()
        self._questions = Questions(context.clock)
        self._inbox = Inbox(context, roster, self._questions, self._tasks)
        host = roster.identity.host
        self._table = PeerTable(host, context.clock, context.limits)
        self._dialer = Dialer(context, self._dial, self._table.is_linked)
        self._gate = Gate(context, roster, self._outdated)
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        """Listen to other hosts."""
        own = self._roster.identity.address
        self._server = await asyncio.start_server(
            self._accept,
            own.ip,
            own.port,
            backlog=_BACKLOG,
        )
        port = self._server.sockets[0].getsockname()[1]
        self._roster.bind(Address(own.ip, port))
        self._tasks.start(self._watch())
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Send what is queued if it goes fast, and close all links."""
        await self._dialer.aclose()
        if self._server is not None:
            self._server.close()
        await self._flush()
        for peer in self._table:
            peer.connection.abort()
        await self._tasks.aclose()

    def listen(self, listener: LinkListener) -> None:
        """Tell a listener what becomes of links from now on."""
        self._listener = listener

    def aim(self, addresses: Iterable[Address]) -> None:
        """Keep links to whoever listens at these addresses."""
        wanted = self._dialer.aim(addresses)
        self._table.forget_aliases(wanted)

    def linked(self) -> dict[HostId, float]:
        """Return the hosts with a link, and when each was last heard."""
        return {peer.host: peer.connection.heard for peer in self._table}

    def drop(self, host: HostId) -> None:
        """Close the link to a host, if there is one."""
        peer = self._table.get(host)
        if peer is not None:
            peer.connection.abort()

    def members(self) -> tuple[Member, ...]:
        """Return the hosts that are live or leaving, as known now."""
        return self._roster.members()

    def handle(self, kind: type[Sent], handler: Handler[Sent]) -> None:
        """Register what is done with messages of a kind."""
        self._inbox.handle(kind, handler)

    def tell(self, host: HostId, message: Message) -> bool:
        """Queue a message to a host; false if there is no link or room."""
        return self.tell_each((host,), message) == 1

    def tell_all(self, message: Message) -> int:
        """Queue a message on every link, and return how many."""
        return self.tell_each([peer.host for peer in self._table], message)

    def tell_each(self, hosts: Iterable[HostId], message: Message) -> int:
        """Queue a message to several hosts; return to how many.

        It is packed once only.
        """
        parcel = self._pack(FrameKind.TELL, 0, message)
        if parcel is None:
            return 0
        return sum(self._put(host, parcel) for host in hosts)

    async def ask(
        self,
        host: HostId,
        message: Message,
        timeout: float,
    ) -> Message | Refusal:
        """Send a message and wait for its reply.

        Args:
            host: Whom to ask.
            message: The question.
            timeout: Seconds to wait.
        """
        number = self._questions.open(host)
        parcel = self._pack(FrameKind.ASK, number, message)
        if parcel is None or not self._put(host, parcel):
            self._questions.close(number)
            reason = f'There is no link to host {host}, or no room on it.'
            return Refusal(ResultCode.PEER_UNREACHABLE, reason)
        return await self._questions.wait(number, timeout)

    def _pack(
        self,
        kind: FrameKind,
        number: int,
        message: Message,
    ) -> Parcel | None:
        packed = pack_frame(kind, number, as_plain(message))
        if len(packed) > self._context.limits.message:
            self._context.account.count('links_message_too_large')
            return None
        return Parcel(packed, message.part, message.replaceable)

    def _put(self, host: HostId, parcel: Parcel) -> bool:
        peer = self._table.get(host)
        if peer is None:
            return False
        if peer.outbox.put(parcel):
            return True
        self._context.account.count('links_queue_full')
        return False

    def _accept(self, reader: StreamReader, writer: StreamWriter) -> None:
        work = self._welcome(reader, writer)
        self._tasks.start(Metered(self._context.account, LINKS_PART, work))

    async def _welcome(
        self,
        reader: StreamReader,
        writer: StreamWriter,
    ) -> None:
        opened = await self._gate.accept(reader, writer)
        if opened is not None:
            await self._run(opened)

    async def _dial(self, address: Address) -> bool:
        opened = await self._gate.connect(address)
        if opened is None:
            return False
        host = opened.connection.identity.host
        self._table.note_alias(address, host)
        work = self._run(opened)
        self._tasks.start(Metered(self._context.account, LINKS_PART, work))
        # The task enters the connection into the table when it first runs.
        await asyncio.sleep(0)
        return self._table.is_linked(address)

    async def _run(self, opened: Opened) -> None:
        connection = opened.connection
        account = self._context.account
        peer = self._table.enter(connection)
        if peer is None:
            account.count('links_doubled')
            connection.abort()
            return
        self._tell_opened(connection)
        writing = Metered(
            account,
            LINKS_PART,
            connection.write(peer.outbox, account),
        )
        connection.writing = self._tasks.start(writing)
        unpacker = Unpacker(self._context.limits.message)
        take = partial(self._inbox.take, peer)
        try:
            event = await connection.read(unpacker, opened.early, take)
        finally:
            connection.abort()
            self._leave(connection)
        account.count(event)

    def _tell_opened(self, connection: Connection) -> None:
        identity = connection.identity
        logging.info('%s host %s is linked.', _LOG_PREFIX, identity.host)
        if self._listener is not None:
            self._listener.link_opened(identity)

    def _leave(self, connection: Connection) -> None:
        if not self._table.leave(connection):
            return
        identity = connection.identity
        logging.info('%s host %s is lost.', _LOG_PREFIX, identity.host)
        reason = f'The link to host {identity.host} was lost.'
        self._questions.fail(identity.host, reason)
        self._dialer.link_lost()
        if self._listener is not None:
            self._listener.link_closed(identity)

    def _outdated(self, known: int) -> None:
        if self._listener is not None:
            self._listener.outdated(known)

    async def _watch(self) -> None:
        clock = self._context.clock
        while True:
            began = clock.now()
            await clock.sleep(_WATCH)
            # After a pause of our own, what others sent in the meantime
            # has not been read yet.
            if clock.now() - began < 2 * _WATCH:
                self._close_stuck(clock.now())

    def _close_stuck(self, now: float) -> None:
        limits = self._context.limits
        for peer in self._table:
            connection = peer.connection
            stalled = connection.stalled_since
            if stalled is not None and now - stalled > limits.stall:
                self._context.account.count('links_stalled')
                connection.abort()
            elif now - connection.heard > limits.silence:
                self._context.account.count('links_silent')
                connection.abort()

    async def _flush(self) -> None:
        waiting = [peer for peer in self._table if peer.outbox]
        clock = self._context.clock
        end = clock.now() + self._context.limits.flush
        while any(peer.is_busy for peer in waiting) and clock.now() < end:
            await clock.sleep(_FLUSH_STEP)
