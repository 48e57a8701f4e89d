"""Dispatches frames: messages to handlers, replies to waiting requests."""

import asyncio
import itertools
from typing import Any, Final

from nutmegroad.contracts.peers import Handler, Message, Sent
from nutmegroad.foundations._owned_tasks import OwnedTasks
from nutmegroad.foundations.accounting import MeteredCoroutine
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
from nutmegroad.membership._wire import MessageTypes, as_plain

_ReplyFuture = asyncio.Future[Message | Refusal]

_LOG: Final = part_logger('links')


class PendingReplies:
    """Requests of this host that wait for a reply.

    Args:
        clock: Source of time for the timeouts.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._numbers = itertools.count(1)
        self._pending: dict[int, tuple[HostId, _ReplyFuture]] = {}

    def __len__(self) -> int:
        """Return the number of pending requests."""
        return len(self._pending)

    def open(self, host: HostId) -> int:
        """Register a request to a host and return its number."""
        number = next(self._numbers)
        reply_future: _ReplyFuture = asyncio.get_running_loop().create_future()
        self._pending[number] = (host, reply_future)
        return number

    def resolve(
        self,
        host: HostId,
        number: int,
        reply: Message | Refusal,
    ) -> bool:
        """Complete a request; false if none is pending with this host.

        Late and duplicate replies, and replies from another host, are ignored.
        """
        expected_host, reply_future = self._pending.get(number, (None, None))
        if reply_future is None or expected_host != host or reply_future.done():
            return False
        reply_future.set_result(reply)
        return True

    def fail(self, host: HostId, reason: str) -> None:
        """Complete all requests to a host whose link was lost."""
        refusal = Refusal(ResultCode.PEER_UNREACHABLE, reason, Ran.UNKNOWN)
        for expected_host, reply_future in self._pending.values():
            if expected_host == host and not reply_future.done():
                reply_future.set_result(refusal)

    def discard(self, number: int) -> None:
        """Remove a request that was never sent."""
        self._pending.pop(number)

    async def wait(self, number: int, seconds: float) -> Message | Refusal:
        """Return the reply, or a refusal after the timeout."""
        host, reply_future = self._pending[number]
        timeout = asyncio.ensure_future(
            self._expire(host, reply_future, seconds)
        )
        try:
            return await reply_future
        finally:
            timeout.cancel()
            self._pending.pop(number)

    async def _expire(
        self,
        host: HostId,
        reply_future: _ReplyFuture,
        seconds: float,
    ) -> None:
        await self._clock.sleep(seconds)
        if reply_future.done():
            return
        reason = f'Host {host} did not reply within {seconds:g} s.'
        refusal = Refusal(ResultCode.PEER_UNREACHABLE, reason, Ran.UNKNOWN)
        reply_future.set_result(refusal)


class MessageReceiver:
    """Passes each message to its handler, and each reply to its request.

    Args:
        context: Clock, limits and cost account.
        roster: Decides which incarnations are outdated.
        pending: Requests that wait for a reply.
        tasks: Task group in which handlers run.
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
        self._message_types = MessageTypes()
        self._handlers: dict[type[Message], Handler[Any]] = {}

    def handle(self, kind: type[Sent], handler: Handler[Sent]) -> None:
        """Register the handler for a type of message."""
        self._message_types.add(kind)
        self._handlers[kind] = handler

    def receive(self, peer: Peer, frame: Frame, size: int) -> None:
        """Process one frame of a peer."""
        if self._roster.newer_generation(peer.identity):
            self._context.account.count_event('links_old_message')
            peer.connection.abort()
            return
        message = self._message_types.decode(frame.body)
        part = LINKS_PART if message is None else message.part
        self._context.account.add_received(part, size)
        if frame.kind in {FrameKind.REPLY, FrameKind.REFUSED}:
            self._resolve_reply(peer, frame, message)
            return
        self._start_handler(peer, frame, message)

    def _resolve_reply(
        self,
        peer: Peer,
        frame: Frame,
        message: Message | None,
    ) -> None:
        reply: Message | Refusal | None = message
        if reply is None:
            reason = f'Host {peer.host} refused: {frame.body}'
            reply = Refusal(ResultCode.PEER_REFUSED, reason, Ran.UNKNOWN)
        if not self._pending.resolve(peer.host, frame.number, reply):
            self._context.account.count_event('links_late_reply')

    def _start_handler(
        self, peer: Peer, frame: Frame, message: Message | None
    ) -> None:
        handler = None if message is None else self._handlers.get(type(message))
        if message is None or handler is None:
            self._refuse(peer, frame, 'links_unknown_message')
            return
        if peer.running_handlers >= self._context.limits.max_handlers:
            self._refuse(peer, frame, 'links_handlers_busy')
            return
        peer.running_handlers += 1
        work = self._run_handler(peer, frame, message, handler)
        account = self._context.account
        self._tasks.start(MeteredCoroutine(account, message.part, work))

    async def _run_handler(
        self,
        peer: Peer,
        frame: Frame,
        message: Message,
        handler: Handler[Any],
    ) -> None:
        try:
            reply = await handler(peer.host, message)
        except Exception:
            _LOG.exception(
                'message handler failed for %s from host %s',
                type(message).__name__,
                peer.host,
            )
            self._refuse(peer, frame, 'links_handler_failed')
            return
        finally:
            peer.running_handlers -= 1
        if frame.kind is FrameKind.NOTIFICATION:
            return
        if reply is None:
            self._refuse(peer, frame, 'links_no_reply')
            return
        packed = pack_frame(FrameKind.REPLY, frame.number, as_plain(reply))
        self._enqueue(peer, QueuedFrame(packed, reply.part))

    def _refuse(self, peer: Peer, frame: Frame, event: str) -> None:
        self._context.account.count_event(event)
        if frame.kind is FrameKind.REQUEST:
            packed = pack_frame(FrameKind.REFUSED, frame.number, event)
            self._enqueue(peer, QueuedFrame(packed, LINKS_PART))

    def _enqueue(self, peer: Peer, queued: QueuedFrame) -> None:
        if not peer.queue.put(queued):
            self._context.account.count_event('links_queue_full')
