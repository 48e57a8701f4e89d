"""Takes frames in: gives messages to handlers and replies to askers."""

import asyncio
import itertools
from typing import Any, Final

from nutmegroad.contracts.peers import Handler, Message, Sent
from nutmegroad.foundations._owned_tasks import OwnedTasks
from nutmegroad.foundations.accounting import Metered
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import HostId, Ran
from nutmegroad.membership._connection import (
    LINKS_PART,
    Frame,
    FrameKind,
    QueuedFrame,
    pack_frame,
)
from nutmegroad.membership._link_context import LinkContext, Roster
from nutmegroad.membership._peer_table import Peer
from nutmegroad.membership._wire import Kinds, as_plain

_Answer = asyncio.Future[Message | Refusal]

_LOG: Final = part_logger('links')


class PendingReplies:
    """The questions of one host that have no reply yet.

    Args:
        clock: For the timeouts.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._numbers = itertools.count(1)
        self._waiting: dict[int, tuple[HostId, _Answer]] = {}

    def __len__(self) -> int:
        """Return how many questions wait."""
        return len(self._waiting)

    def open(self, host: HostId) -> int:
        """Begin a question to a host and return its number."""
        number = next(self._numbers)
        answer: _Answer = asyncio.get_running_loop().create_future()
        self._waiting[number] = (host, answer)
        return number

    def answer(
        self,
        host: HostId,
        number: int,
        reply: Message | Refusal,
    ) -> bool:
        """Settle a question; false if this host was not asked it.

        A reply that comes late, twice or from another host is no reply.
        """
        asked, answer = self._waiting.get(number, (None, None))
        if answer is None or asked != host or answer.done():
            return False
        answer.set_result(reply)
        return True

    def fail(self, host: HostId, reason: str) -> None:
        """Settle all questions to a host whose link was lost."""
        refusal = Refusal(ResultCode.PEER_UNREACHABLE, reason, Ran.UNKNOWN)
        for asked, answer in self._waiting.values():
            if asked == host and not answer.done():
                answer.set_result(refusal)

    def close(self, number: int) -> None:
        """Give a question up that was never sent."""
        self._waiting.pop(number)

    async def wait(self, number: int, seconds: float) -> Message | Refusal:
        """Return the reply, or a refusal when the time is up."""
        host, answer = self._waiting[number]
        timeout = asyncio.ensure_future(self._expire(host, answer, seconds))
        try:
            return await answer
        finally:
            timeout.cancel()
            self._waiting.pop(number)

    async def _expire(
        self,
        host: HostId,
        answer: _Answer,
        seconds: float,
    ) -> None:
        await self._clock.sleep(seconds)
        if answer.done():
            return
        reason = f'Host {host} did not reply within {seconds:g} s.'
        refusal = Refusal(ResultCode.PEER_UNREACHABLE, reason, Ran.UNKNOWN)
        answer.set_result(refusal)


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
            _LOG.exception('a handler failed.')
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
