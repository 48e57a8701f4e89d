"""Links to other hosts: authenticated TCP streams of msgpack messages.

There is one link for each pair of hosts. The membership decides which hosts
to connect to (``maintain_links``); handlers decide what messages mean.
"""

import asyncio
from asyncio import StreamReader, StreamWriter
from collections.abc import Iterable
from types import TracebackType
from typing import Final, Self

from nutmegroad.contracts.peers import Handler, Member, Message, Sent
from nutmegroad.foundations._owned_tasks import OwnedTasks
from nutmegroad.foundations.accounting import MeteredCoroutine
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

#: Maximum incoming connections that wait to be accepted.
_BACKLOG: Final = 256


class LinkEvents:
    """Forwards link events to pending replies, the dialer and a listener.

    Attributes:
        listener: Additional listener, if any.

    Args:
        pending: Pending replies; those of a lost host are failed.
        dialer: Reconnects to a lost host.
    """

    def __init__(self, pending: PendingReplies, dialer: Dialer) -> None:
        self.listener: LinkListener | None = None
        self._pending = pending
        self._dialer = dialer

    def link_opened(self, identity: Identity) -> None:
        """Notify the listener that a link to a host is open."""
        if self.listener is not None:
            self.listener.link_opened(identity)

    def link_closed(self, identity: Identity) -> None:
        """Fail the pending replies, reconnect and notify the listener."""
        reason = f'The link to host {identity.host} was lost.'
        self._pending.fail(identity.host, reason)
        self._dialer.link_lost()
        if self.listener is not None:
            self.listener.link_closed(identity)

    def generation_outdated(self, known: int) -> None:
        """Notify the listener of a later generation of this host."""
        if self.listener is not None:
            self.listener.generation_outdated(known)


class Links:
    """``Mesh`` over TCP, with at most one link to each other host.

    Example::

        async with Links(context, roster) as links:
            links.handle(Hello, answer_hello)
            links.maintain_links([Address('127.0.0.1', 7003)])

    Args:
        context: Keys, clock, randomness, cost account and limits.
        roster: Own identity and the incarnations that are outdated.
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
        self._dialer = Dialer(
            context, self._connect_link, self._table.is_linked
        )
        self._events = LinkEvents(self._pending, self._dialer)
        self._sender = MessageSender(context, self._table)
        self._runner = LinkRunner(
            context, self._table, self._receiver, self._events
        )
        self._handshaker = Handshaker(
            context, roster, self._events.generation_outdated
        )
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        """Accept connections of other hosts."""
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
        """Flush the queues within a time limit, and close all links."""
        await self._dialer.aclose()
        if self._server is not None:
            self._server.close()
        await self._runner.flush()
        for peer in self._table:
            peer.connection.abort()
        await self._tasks.aclose()

    def listen(self, listener: LinkListener) -> None:
        """Set the listener that is notified when links open or close."""
        self._events.listener = listener

    def maintain_links(self, addresses: Iterable[Address]) -> None:
        """Maintain links to the hosts at these addresses from now on."""
        wanted = self._dialer.maintain_links(addresses)
        self._table.retain_aliases(wanted)

    def linked(self) -> dict[HostId, float]:
        """Return the linked hosts and when each last sent something."""
        return {
            peer.host: peer.connection.last_received for peer in self._table
        }

    def drop(self, host: HostId) -> None:
        """Close the link to a host, if there is one."""
        peer = self._table.get(host)
        if peer is not None:
            peer.connection.abort()

    def members(self) -> tuple[Member, ...]:
        """Return the other reachable hosts that are live or leaving."""
        return self._roster.members()

    def handle(self, kind: type[Sent], handler: Handler[Sent]) -> None:
        """Register the handler for a type of message."""
        self._receiver.handle(kind, handler)

    def send(self, host: HostId, message: Message) -> bool:
        """Queue a message; false if there is no link or no capacity."""
        return self.multicast((host,), message) == 1

    def broadcast(self, message: Message) -> int:
        """Queue a message on every link; return on how many."""
        return self.multicast([peer.host for peer in self._table], message)

    def multicast(self, hosts: Iterable[HostId], message: Message) -> int:
        """Queue a message for several hosts; return for how many.

        The message is serialised only once.
        """
        return self._sender.send(hosts, message)

    async def request(
        self,
        host: HostId,
        message: Message,
        timeout: float,
    ) -> Message | Refusal:
        """Send a request and wait for its reply.

        Args:
            host: Host to ask.
            message: The request.
            timeout: Seconds to wait for the reply.
        """
        number = self._pending.open(host)
        if not self._sender.send_request(host, number, message):
            self._pending.discard(number)
            reason = f'No link to host {host}, or its send queue is full.'
            return Refusal(ResultCode.PEER_UNREACHABLE, reason)
        return await self._pending.wait(number, timeout)

    def _accept(self, reader: StreamReader, writer: StreamWriter) -> None:
        work = self._run_accepted(reader, writer)
        self._tasks.start(
            MeteredCoroutine(self._context.account, LINKS_PART, work)
        )

    async def _run_accepted(
        self,
        reader: StreamReader,
        writer: StreamWriter,
    ) -> None:
        authenticated = await self._handshaker.accept(reader, writer)
        if authenticated is not None:
            await self._runner.run(authenticated, self._tasks)

    async def _connect_link(self, address: Address) -> bool:
        authenticated = await self._handshaker.connect(address)
        if authenticated is None:
            return False
        host = authenticated.connection.identity.host
        self._table.add_alias(address, host)
        work = self._runner.run(authenticated, self._tasks)
        self._tasks.start(
            MeteredCoroutine(self._context.account, LINKS_PART, work)
        )
        # The task adds the connection to the table when it first runs.
        await asyncio.sleep(0)
        return self._table.is_linked(address)
