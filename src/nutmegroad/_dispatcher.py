"""Packs messages and puts them into the outboxes of peers."""

from collections.abc import Iterable

from nutmegroad._connection import FrameKind, pack_frame
from nutmegroad._link_context import LinkContext
from nutmegroad._outbox import QueuedFrame
from nutmegroad._peer_table import PeerTable
from nutmegroad._wire import as_plain
from nutmegroad.peers import Message
from nutmegroad.types import HostId


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
        frame = QueuedFrame(packed, message.part, message.replaceable)
        return sum(self._put(host, frame) for host in hosts)

    def _put(self, host: HostId, frame: QueuedFrame) -> bool:
        peer = self._table.get(host)
        if peer is None:
            return False
        if peer.queue.put(frame):
            return True
        self._context.account.count('links_queue_full')
        return False
