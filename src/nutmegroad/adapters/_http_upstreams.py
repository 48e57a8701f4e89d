"""HTTP clients for model engines and plain services.

Each request is sent once. A failure becomes a refusal that tells whether the
request may have run: it has not if its first byte was not sent.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing, asynccontextmanager
from http import HTTPStatus
from typing import Final, Self

import msgspec

from nutmegroad.adapters._gated_requests import SendState
from nutmegroad.adapters._http_answers import AnswerCall
from nutmegroad.adapters._http_sessions import (
    FAILURES,
    JSON_HEADERS,
    HttpClient,
    notify_limit,
    refusal_for_error,
    upstream_url,
)
from nutmegroad.adapters._http_traffic import record_exchange
from nutmegroad.contracts._report_rows import REPORTS_PART
from nutmegroad.contracts.upstreams import (
    AnswerEvent,
    Attempt,
    EngineOrder,
    EngineReport,
    ServiceCall,
    ServiceReply,
)
from nutmegroad.foundations.accounting import Account
from nutmegroad.foundations.decoding import Count, decode_json
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    AttemptId,
    FencingNumber,
    Ran,
    UpstreamInfo,
    VersionId,
)

#: Timeout of a report, an order or a cancellation in seconds.
CONTROL_TIMEOUT: Final = 2.0

#: Maximum bytes of a load report, and of the reply of a plain service. An
#: upstream with a fault may send without end.
MAX_REPORT_BYTES: Final = 1_048_576
MAX_REPLY_BYTES: Final = 4_194_304

_LOG: Final = part_logger('upstreams')


class ReportReply(msgspec.Struct, frozen=True):
    """Body of an engine's load report."""

    versions: tuple[str, ...]
    running: Count
    queued: Count
    slots: Count
    leaving: bool
    checks_fencing: bool
    fencing: Count = 0


class HttpEngineClient(HttpClient):
    """HTTP client for all engines of the host.

    Attributes:
        duplicates: Number of chunks that were dropped as duplicates.

    Args:
        account: Records the traffic of reports; None to record nothing.
    """

    def __init__(self, account: Account | None = None) -> None:
        super().__init__()
        self.duplicates = 0
        self._account = account
        self._cancels: dict[AttemptId, asyncio.Task[None]] = {}

    async def __aenter__(self) -> Self:
        """Open the session; it is closed after the last cancellation."""
        await super().__aenter__()
        self.stack.push_async_callback(self._finish_cancels)
        return self

    @asynccontextmanager
    async def answer(
        self,
        attempt: Attempt,
    ) -> AsyncIterator[AsyncIterator[AnswerEvent]]:
        """Request an answer; leaving the context early cancels it."""
        # A pending cancellation would also cancel the resumed attempt, which
        # has the same id.
        pending = self._cancels.get(attempt.attempt)
        if pending is not None:
            await asyncio.wait((pending,))
        call = AnswerCall(self, attempt)
        try:
            async with aclosing(call.events()) as events:
                yield events
        finally:
            self.duplicates += call.reader.duplicates
            if call.may_be_running:
                self._start_cancel(attempt)

    async def report(self, upstream: UpstreamInfo) -> EngineReport | Refusal:
        """Return an engine's load report."""
        send_state = SendState()
        url = upstream_url(upstream, 'engine/report')
        try:
            async with await self.request(
                send_state,
                'GET',
                url,
                CONTROL_TIMEOUT,
            ) as response:
                response.raise_for_status()
                body = await response.read_at_most(MAX_REPORT_BYTES)
                size = len(body)
                record_exchange(self._account, REPORTS_PART, response, 0, size)
            reply = decode_json(body, ReportReply)
        except FAILURES as error:
            return refusal_for_error(error, send_state)
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
        """Order an engine to load or unload a version."""
        send_state = SendState(order.gate)
        body = {
            'action': order.action.value,
            'version': order.version,
            'fencing': order.fencing,
        }
        try:
            async with await self.request(
                send_state,
                'POST',
                upstream_url(upstream, 'engine/orders'),
                CONTROL_TIMEOUT,
                data=msgspec.json.encode(body),
                headers=JSON_HEADERS,
            ) as response:
                status = response.status
        except FAILURES as error:
            return refusal_for_error(error, send_state)
        if status == HTTPStatus.ACCEPTED:
            return None
        if status == HTTPStatus.CONFLICT:
            reason = (
                'The engine has received a fencing number above '
                f'{order.fencing}.'
            )
            return Refusal(ResultCode.ORDER_FENCED, reason)
        reason = f'The engine returned status {status} for the order.'
        return Refusal(ResultCode.UPSTREAM_ERROR, reason, Ran.UNKNOWN)

    def _start_cancel(self, attempt: Attempt) -> None:
        """Start a task that tells the engine to cancel an attempt."""
        task = asyncio.create_task(
            self._cancel(attempt.upstream, attempt.attempt),
        )
        self._cancels[attempt.attempt] = task
        task.add_done_callback(lambda done: self._drop_cancel(attempt, done))

    def _drop_cancel(self, attempt: Attempt, done: asyncio.Task[None]) -> None:
        """Drop a finished cancellation unless a newer one has replaced it."""
        if self._cancels.get(attempt.attempt) is done:
            self._cancels.pop(attempt.attempt)

    async def _cancel(
        self,
        upstream: UpstreamInfo,
        attempt: AttemptId,
    ) -> None:
        """Tell an engine to cancel an attempt, within ``CONTROL_TIMEOUT``."""
        send_state = SendState()
        try:
            async with await self.request(
                send_state,
                'POST',
                upstream_url(upstream, 'engine/cancel'),
                CONTROL_TIMEOUT,
                data=msgspec.json.encode({'attempt': attempt}),
                headers=JSON_HEADERS,
            ) as response:
                response.release()
        except FAILURES as error:
            _LOG.info('could not cancel attempt %s: %s', attempt, error)

    async def _finish_cancels(self) -> None:
        """Wait for the pending cancellations."""
        await asyncio.gather(*self._cancels.values(), return_exceptions=True)


class HttpServiceClient(HttpClient):
    """HTTP client for plain services."""

    async def call(self, call: ServiceCall) -> ServiceReply | Refusal:
        """Make a call once; a failure becomes a refusal."""
        send_state = SendState(call.gate)
        headers = {'Content-Type': call.content_type}
        if call.key:
            headers['Idempotency-Key'] = call.key
        try:
            async with await self.request(
                send_state,
                call.method,
                upstream_url(call.upstream, call.path),
                call.timeout,
                data=call.body or None,
                headers=headers,
            ) as response:
                notify_limit(response, call.on_limit)
                return ServiceReply(
                    status=response.status,
                    body=await response.read_at_most(MAX_REPLY_BYTES),
                    content_type=response.content_type,
                )
        except FAILURES as error:
            return refusal_for_error(error, send_state)
