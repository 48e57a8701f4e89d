"""Runs established connections, from the handshake to their end."""

from functools import partial
from typing import Final

from nutmegroad._connection import LINKS_PART, Connection
from nutmegroad._gate import Opened
from nutmegroad._inbox import MessageReceiver
from nutmegroad._link_context import LinkContext, LinkListener
from nutmegroad._owned_tasks import OwnedTasks
from nutmegroad._peer_table import Peer, PeerTable
from nutmegroad._wire import Unpacker
from nutmegroad.accounting import Metered
from nutmegroad.logs import part_logger

_LOG: Final = part_logger('links')
#: Seconds between looks for links that are stuck.
_WATCH: Final = 2.0
#: Seconds between looks whether everything was sent at the end.
_FLUSH_STEP: Final = 0.01


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
        take = partial(self._receiver.take, peer)
        ended = await opened.connection.read(unpacker, opened.early, take)
        self._context.account.count(ended)

    def _leave(self, connection: Connection) -> None:
        if self._table.leave(connection):
            _LOG.info('host %s is lost', connection.identity.host)
            self._listener.link_closed(connection.identity)

    def _close_stuck(self, now: float) -> None:
        limits = self._context.limits
        for finished in self._table.finished(now - limits.stall):
            finished.abort()
        for peer in self._table:
            connection = peer.connection
            stalled = connection.stalled_since
            if stalled is not None and now - stalled > limits.stall:
                self._context.account.count('links_stalled')
                connection.abort()
            elif now - connection.heard > limits.silence:
                self._context.account.count('links_silent')
                connection.abort()
