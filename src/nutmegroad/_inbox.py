"""What is done with the frames that come in."""

from typing import Any, Final

from absl import logging

from nutmegroad._connection import LINKS_PART, Frame, FrameKind, pack_frame
from nutmegroad._link_context import LinkContext, Roster
from nutmegroad._outbox import QueuedFrame
from nutmegroad._owned_tasks import OwnedTasks
from nutmegroad._peer_table import Peer
from nutmegroad._questions import PendingReplies
from nutmegroad._wire import Kinds, as_plain
from nutmegroad.accounting import Metered
from nutmegroad.peers import Handler, Message, Sent
from nutmegroad.results import Refusal, ResultCode
from nutmegroad.types import Ran

_LOG_PREFIX: Final = 'links:'


class MessageReceiver:
    """Gives each message to its handler, and each reply to its asker.

    Args:
        context: Time, limits and account.
        roster: Says which incarnations are too old.
        pending: What waits for replies.
        tasks: Where handlers run.
    """

    def __init__(
        self,
        context: LinkContext,
        roster: Roster,
        pending: PendingReplies,
        tasks: OwnedTasks,
    ) -> None:
        self._context = context
        self._roster = roster
        self._pending = pending
        self._tasks = tasks
        self._kinds = Kinds()
        self._handlers: dict[type[Message], Handler[Any]] = {}

    def handle(self, kind: type[Sent], handler: Handler[Sent]) -> None:
        """Register what is done with messages of a kind."""
        self._kinds.add(kind)
        self._handlers[kind] = handler

    def take(self, peer: Peer, frame: Frame, size: int) -> None:
        """Take in one frame of a peer."""
        if self._roster.newer_generation(peer.identity):
            self._context.account.count('links_old_message')
            peer.connection.abort()
            return
        message = self._kinds.decode(frame.body)
        part = LINKS_PART if message is None else message.part
        self._context.account.received(part, size)
        if frame.kind in {FrameKind.REPLY, FrameKind.REFUSED}:
            self._settle(peer, frame, message)
            return
        self._start(peer, frame, message)

    def _settle(
        self,
        peer: Peer,
        frame: Frame,
        message: Message | None,
    ) -> None:
        reply: Message | Refusal | None = message
        if reply is None:
            reason = f'Host {peer.host} refused: {frame.body}'
            reply = Refusal(ResultCode.PEER_REFUSED, reason, Ran.UNKNOWN)
        if not self._pending.answer(peer.host, frame.number, reply):
            self._context.account.count('links_late_reply')

    def _start(self, peer: Peer, frame: Frame, message: Message | None) -> None:
        handler = None if message is None else self._handlers.get(type(message))
        if message is None or handler is None:
            self._refuse(peer, frame, 'links_unknown_message')
            return
        if peer.handling >= self._context.limits.handlers:
            self._refuse(peer, frame, 'links_handlers_busy')
            return
        peer.handling += 1
        work = self._work(peer, frame, message, handler)
        account = self._context.account
        self._tasks.start(Metered(account, message.part, work))

    async def _work(
        self,
        peer: Peer,
        frame: Frame,
        message: Message,
        handler: Handler[Any],
    ) -> None:
        try:
            reply = await handler(peer.host, message)
        except Exception:
            logging.exception('%s a handler failed.', _LOG_PREFIX)
            self._refuse(peer, frame, 'links_handler_failed')
            return
        finally:
            peer.handling -= 1
        if frame.kind is FrameKind.TELL:
            return
        if reply is None:
            self._refuse(peer, frame, 'links_no_reply')
            return
        packed = pack_frame(FrameKind.REPLY, frame.number, as_plain(reply))
        self._put(peer, QueuedFrame(packed, reply.part))

    def _refuse(self, peer: Peer, frame: Frame, event: str) -> None:
        self._context.account.count(event)
        if frame.kind is FrameKind.ASK:
            packed = pack_frame(FrameKind.REFUSED, frame.number, event)
            self._put(peer, QueuedFrame(packed, LINKS_PART))

    def _put(self, peer: Peer, queued: QueuedFrame) -> None:
        if not peer.queue.put(queued):
            self._context.account.count('links_queue_full')
