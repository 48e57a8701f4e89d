"""Adapters to model engines and plain services over HTTP.

They try once. Whatever happens becomes a refusal that says what is known:
a request whose first byte was not sent has not run.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing, asynccontextmanager
from http import HTTPStatus
from typing import Final, Self

import msgspec

from nutmegroad.adapters._gated_requests import Sending
from nutmegroad.adapters._http_answers import AnswerCall
from nutmegroad.adapters._http_costs import account_for
from nutmegroad.adapters._http_sessions import (
    FAILURES,
    JSON_HEADERS,
    HttpClient,
    refusal_of,
    url_of,
)
from nutmegroad.contracts._watch_rows import REPORTS_PART
from nutmegroad.contracts.upstreams import (
    AnswerEvent,
    Attempt,
    EngineOrder,
    EngineReport,
    ServiceCall,
    ServiceReply,
)
from nutmegroad.foundations.accounting import Account
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    AttemptId,
    FencingNumber,
    Ran,
    UpstreamInfo,
    VersionId,
)

#: Seconds for a report, an order or a cancellation.
CONTROL_TIMEOUT: Final = 2.0

_LOG: Final = part_logger('upstreams')


class ReportReply(msgspec.Struct, frozen=True):
    """An engine's report, as it is sent."""

    versions: tuple[str, ...]
    running: int
    queued: int
    slots: int
    leaving: bool
    checks_fencing: bool
    fencing: int = 0


class HttpEngineClient(HttpClient):
    """Reaches engines over HTTP, for every upstream of the host.

    Attributes:
        duplicates: Pieces dropped since they had come before.

    Args:
        account: Where the cost of reports is written, if anywhere.
    """

    def __init__(self, account: Account | None = None) -> None:
        super().__init__()
        self.duplicates = 0
        self._account = account
        self._cancels: dict[AttemptId, asyncio.Task[None]] = {}

    async def __aenter__(self) -> Self:
        """Open the session; close it after the last cancellation."""
        await super().__aenter__()
        self.stack.push_async_callback(self._finish_cancels)
        return self

    @asynccontextmanager
    async def answer(
        self,
        attempt: Attempt,
    ) -> AsyncIterator[AsyncIterator[AnswerEvent]]:
        """Open an answer; leaving the context early cancels it."""
        # A cancellation on its way would hit an attempt that is resumed.
        pending = self._cancels.get(attempt.attempt)
        if pending is not None:
            await asyncio.wait((pending,))
        call = AnswerCall(self, attempt)
        try:
            async with aclosing(call.events()) as events:
                yield events
        finally:
            self.duplicates += call.reader.duplicates
            if call.is_open:
                self._cancel_soon(attempt)

    async def report(self, upstream: UpstreamInfo) -> EngineReport | Refusal:
        """Ask an engine for its load."""
        sending = Sending()
        url = url_of(upstream, 'engine/report')
        try:
            async with await self.request(
                sending,
                'GET',
                url,
                CONTROL_TIMEOUT,
            ) as response:
                response.raise_for_status()
                body = await response.read()
                size = len(body)
                account_for(self._account, REPORTS_PART, response, 0, size)
            reply = msgspec.json.decode(body, type=ReportReply)
        except FAILURES as error:
            return refusal_of(error, sending)
        return EngineReport(
            versions=tuple(VersionId(name) for name in reply.versions),
            running=reply.running,
            queued=reply.queued,
            slots=reply.slots,
            leaving=reply.leaving,
            checks_fencing=reply.checks_fencing,
            fencing=FencingNumber(reply.fencing),
        )

    async def order(
        self,
        upstream: UpstreamInfo,
        order: EngineOrder,
    ) -> Refusal | None:
        """Tell an engine to load or unload a version."""
        sending = Sending(order.gate)
        body = {
            'action': order.action.value,
            'version': order.version,
            'fencing': order.fencing,
        }
        try:
            async with await self.request(
                sending,
                'POST',
                url_of(upstream, 'engine/orders'),
                CONTROL_TIMEOUT,
                data=msgspec.json.encode(body),
                headers=JSON_HEADERS,
            ) as response:
                status = response.status
        except FAILURES as error:
            return refusal_of(error, sending)
        if status == HTTPStatus.ACCEPTED:
            return None
        if status == HTTPStatus.CONFLICT:
            reason = f'The engine has seen a number above {order.fencing}.'
            return Refusal(ResultCode.ORDER_FENCED, reason)
        reason = f'The engine answered the order with status {status}.'
        return Refusal(ResultCode.UPSTREAM_ERROR, reason, Ran.UNKNOWN)

    def _cancel_soon(self, attempt: Attempt) -> None:
        """Tell the engine, in the background, to stop."""
        task = asyncio.create_task(
            self._cancel(attempt.upstream, attempt.attempt),
        )
        self._cancels[attempt.attempt] = task
        task.add_done_callback(lambda done: self._forget(attempt, done))

    def _forget(self, attempt: Attempt, done: asyncio.Task[None]) -> None:
        """Forget a cancellation that is over, unless another follows."""
        if self._cancels.get(attempt.attempt) is done:
            self._cancels.pop(attempt.attempt)

    async def _cancel(
        self,
        upstream: UpstreamInfo,
        attempt: AttemptId,
    ) -> None:
        """Tell an engine to stop an attempt; the timeout bounds it."""
        sending = Sending()
        try:
            async with await self.request(
                sending,
                'POST',
                url_of(upstream, 'engine/cancel'),
                CONTROL_TIMEOUT,
                data=msgspec.json.encode({'attempt': attempt}),
                headers=JSON_HEADERS,
            ) as response:
                response.release()
        except FAILURES as error:
            _LOG.info('%s not cancelled: %s', attempt, error)

    async def _finish_cancels(self) -> None:
        """Wait for cancellations under way."""
        await asyncio.gather(*self._cancels.values(), return_exceptions=True)


class HttpServiceClient(HttpClient):
    """Reaches plain services over HTTP."""

    async def call(self, call: ServiceCall) -> ServiceReply | Refusal:
        """Make a call, once."""
        sending = Sending(call.gate)
        headers = {'Content-Type': call.content_type}
        if call.key:
            headers['Idempotency-Key'] = call.key
        try:
            async with await self.request(
                sending,
                call.method,
                url_of(call.upstream, call.path),
                call.timeout,
                data=call.body or None,
                headers=headers,
            ) as response:
                return ServiceReply(
                    status=response.status,
                    body=await response.read(),
                    content_type=response.content_type,
                )
        except FAILURES as error:
            return refusal_of(error, sending)
