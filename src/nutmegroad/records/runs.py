"""Executes requests at most once: claims, executes, settles and bills them.

A request with a key or a ticket is executed to its end even if its caller
disconnects, so that a repeat gets the answer.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Final, Self

from nutmegroad.contracts.fences import Fence
from nutmegroad.contracts.upstreams import ServiceReply
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal
from nutmegroad.records.at_most_once import (
    AtMostOnce,
    ClaimRequest,
    ExecutionGrant,
    ForwardRequired,
)
from nutmegroad.records.billing import Biller, BillingRecord
from nutmegroad.records.intents import FirstAnswer
from nutmegroad.records.record_copies import RecordSender

_LOG: Final = part_logger('runs')

#: Seconds that requests with a key or a ticket have to finish at a stop.
STOP_TIMEOUT: Final = 2.0


@dataclass(frozen=True, slots=True)
class RequestResult:
    """The result of a request that was executed on this host.

    Attributes:
        reply: The answer, or the refusal that replaces it.
        record: The billing record.
    """

    reply: ServiceReply | Refusal
    record: BillingRecord


#: Executes a request; each of its attempts must pass the fence.
Execute = Callable[[Fence], Awaitable[RequestResult]]

#: Returns the billing record of a request that was cancelled.
CancelledRecord = Callable[[], BillingRecord]

#: The result of a request given to the runner.
Outcome = RequestResult | FirstAnswer | ForwardRequired | Refusal


class Runner:
    """Executes requests at most once and bills them.

    Args:
        once: Grants the right to execute a request.
        biller: Receives billing records.
        sender: Copies billing records to a peer.
    """

    def __init__(
        self, once: AtMostOnce, biller: Biller, sender: RecordSender
    ) -> None:
        self._once = once
        self._biller = biller
        self._sender = sender
        self._tasks: set[asyncio.Task[Outcome]] = set()

    async def __aenter__(self) -> Self:
        """Return the runner, which has no running requests."""
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Wait for running requests, then cancel the rest.

        Requests with a key or a ticket may still run although their callers
        have disconnected. They are given ``STOP_TIMEOUT`` seconds.
        """
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=STOP_TIMEOUT)
        left = tuple(self._tasks)
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)

    async def run(
        self,
        claim_request: ClaimRequest,
        work: Execute,
        cancelled_record: CancelledRecord,
    ) -> Outcome:
        """Execute a request unless it was executed or is running already.

        Args:
            claim_request: The request.
            work: Executes the request.
            cancelled_record: Returns the billing record if the request is
                cancelled.
        """
        execution = self._claim_and_execute(
            claim_request, work, cancelled_record
        )
        if claim_request.key or claim_request.ticket:
            return await self._shielded(execution)
        return await execution

    async def _shielded(
        self,
        execution: Coroutine[Any, Any, Outcome],
    ) -> Outcome:
        """Execute a request to its end, even if its caller disconnects."""
        task = asyncio.create_task(execution)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def _claim_and_execute(
        self,
        claim_request: ClaimRequest,
        work: Execute,
        cancelled_record: CancelledRecord,
    ) -> Outcome:
        """Claim a request, and execute it if the claim is granted."""
        claim = await self._once.claim(claim_request)
        if not isinstance(claim, ExecutionGrant):
            return claim
        return await self._execute(claim, work, cancelled_record)

    async def _execute(
        self,
        grant: ExecutionGrant,
        work: Execute,
        cancelled_record: CancelledRecord,
    ) -> RequestResult:
        """Execute a claimed request; it is always settled and billed."""
        ended: RequestResult | None = None
        try:
            ended = await work(grant.fence)
        finally:
            if ended is None:
                self._once.settle_unknown(grant)
                self._biller.record(cancelled_record())
        self._biller.record(ended.record)
        reply = await self._once.settle(grant, ended.reply)
        await self._sender.send_copies()
        return RequestResult(reply, ended.record)
