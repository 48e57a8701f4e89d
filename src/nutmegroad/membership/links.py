"""Links to other hosts: authenticated TCP streams of msgpack messages.

There is one link for each pair of hosts. Which hosts to connect to is said
by the membership (``keep_links``); what a message means is up to its handler.
"""

import asyncio
from asyncio import StreamReader, StreamWriter
from collections.abc import Iterable
from types import TracebackType
from typing import Final, Self

from nutmegroad.contracts.peers import Handler, Member, Message, Sent
from nutmegroad.foundations._owned_tasks import OwnedTasks
from nutmegroad.foundations.accounting import Metered
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Address, HostId
from nutmegroad.membership._connection import LINKS_PART
from nutmegroad.membership._dialer import Dialer
from nutmegroad.membership._handshake import Identity
from nutmegroad.membership._link_context import (
    LinkContext,
    LinkListener,
    Roster,
)
from nutmegroad.membership._link_lifecycle import Handshaker, LinkRunner
from nutmegroad.membership._message_receiver import (
    MessageReceiver,
    PendingReplies,
)
from nutmegroad.membership._peer_table import MessageSender, PeerTable

_BACKLOG: Final = 256


class LinkEvents:
    """A ``LinkListener`` that hands on to pending replies, dialer and another.

    Attributes:
        listener: Who else is told, if anybody.

    Args:
        pending: Those to a lost host are settled.
        dialer: Connects to a lost host again.
    """

    def __init__(self, pending: PendingReplies, dialer: Dialer) -> None:
        self.listener: LinkListener | None = None
        self._pending = pending
        self._dialer = dialer

    def link_opened(self, identity: Identity) -> None:
        """Hand on that there is a link to a host now."""
        if self.listener is not None:
            self.listener.link_opened(identity)

    def link_closed(self, identity: Identity) -> None:
        """Take in that a link is lost, and hand it on."""
        reason = f'The link to host {identity.host} was lost.'
        self._pending.fail(identity.host, reason)
        self._dialer.link_lost()
        if self.listener is not None:
            self.listener.link_closed(identity)

    def outdated(self, known: int) -> None:
        """Hand on that others know a later generation of this host."""
        if self.listener is not None:
            self.listener.outdated(known)


class Links:
    """The real ``Mesh``: one TCP link for each other host that is wanted.

    Example::

        async with Links(context, roster) as links:
            links.handle(Hello, answer_hello)
            links.keep_links([Address('127.0.0.1', 7003)])

    Args:
        context: Key, time, randomness, account and limits.
        roster: Who we are and which incarnations are too old.
    """

    def __init__(self, context: LinkContext, roster: Roster) -> None:
        self._context = context
        self._roster = roster
        self._tasks = OwnedTasks()
        self._pending = PendingReplies(context.clock)
        self._receiver = MessageReceiver(
            context, roster, self._pending, self._tasks
        )
        host = roster.identity.host
        self._table = PeerTable(host, context.clock, context.limits)
        self._dialer = Dialer(context, self._dial, self._table.is_linked)
        self._events = LinkEvents(self._pending, self._dialer)
        self._sender = MessageSender(context, self._table)
        self._runner = LinkRunner(
            context, self._table, self._receiver, self._events
        )
        self._handshaker = Handshaker(context, roster, self._events.outdated)
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
        self._tasks.start(self._runner.watch())
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
        await self._runner.flush()
        for peer in self._table:
            peer.connection.abort()
        await self._tasks.aclose()

    def listen(self, listener: LinkListener) -> None:
        """Tell a listener what becomes of links from now on."""
        self._events.listener = listener

    def keep_links(self, addresses: Iterable[Address]) -> None:
        """Keep links to whoever listens at these addresses."""
        wanted = self._dialer.keep_links(addresses)
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
        self._receiver.handle(kind, handler)

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
        return self._sender.tell(hosts, message)

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
        number = self._pending.open(host)
        if not self._sender.ask(host, number, message):
            self._pending.close(number)
            reason = f'There is no link to host {host}, or no room on it.'
            return Refusal(ResultCode.PEER_UNREACHABLE, reason)
        return await self._pending.wait(number, timeout)

    def _accept(self, reader: StreamReader, writer: StreamWriter) -> None:
        work = self._welcome(reader, writer)
        self._tasks.start(Metered(self._context.account, LINKS_PART, work))

    async def _welcome(
        self,
        reader: StreamReader,
        writer: StreamWriter,
    ) -> None:
        opened = await self._handshaker.accept(reader, writer)
        if opened is not None:
            await self._runner.run(opened, self._tasks)

    async def _dial(self, address: Address) -> bool:
        opened = await self._handshaker.connect(address)
        if opened is None:
            return False
        host = opened.connection.identity.host
        self._table.note_alias(address, host)
        work = self._runner.run(opened, self._tasks)
        self._tasks.start(Metered(self._context.account, LINKS_PART, work))
        # The task enters the connection into the table when it first runs.
        await asyncio.sleep(0)
        return self._table.is_linked(address)
