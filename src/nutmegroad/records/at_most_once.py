"""The guard that prevents requests from being executed twice.

Model requests and calls to plain services both use it. ``claim`` decides
whether a request may be executed here, and ``settle`` records its outcome::

    claim = await once.claim(claim_request)
    if isinstance(claim, ExecutionGrant):
        reply = await work(claim.fence)
        reply = await once.settle(claim, reply)
"""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Final

from nutmegroad.contracts.fences import Fence, FenceTerms
from nutmegroad.contracts.platform import RowKey
from nutmegroad.contracts.upstreams import ServiceReply
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.invariants import Invariants
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    IdempotencyKey,
    Ran,
    RequestId,
    WorkspaceId,
)
from nutmegroad.records.intent_refusals import (
    intent_unavailable,
    key_reused,
    still_running,
)
from nutmegroad.records.intents import (
    Claim,
    FirstAnswer,
    IntentLedger,
    IntentSpec,
)
from nutmegroad.records.tickets import SpentTicket, Ticket, TicketIssuer

#: Seconds from the start of a claim within which its first byte must be sent.
LEASE: Final = 5.0
#: Maximum seconds that an answer is delayed while it is stored for repeats.
SETTLE_TIMEOUT: Final = 0.25
#: Seconds after a table failure during which claims are refused immediately.
TABLE_PAUSE: Final = 1.0
#: Maximum number of claims retained while their outcomes cannot be stored.
MAX_UNSETTLED: Final = 10_000

_NO_KEY: Final = IdempotencyKey('')
_LOG: Final = part_logger('once')


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A request for the right to execute a caller's request.

    Attributes:
        request: Id of the caller's request.
        workspace: The workspace of the caller.
        fingerprint: Hash of the request's content.
        repeatable: Whether the request may be executed twice.
        deadline: Time of the host's clock, in seconds, at which the request
            ends at the latest.
        key: The caller's idempotency key; empty if there is none.
        ticket: The caller's ticket; empty if there is none.
    """

    request: RequestId
    workspace: WorkspaceId
    fingerprint: str
    repeatable: bool
    deadline: float
    key: IdempotencyKey = _NO_KEY
    ticket: str = ''


@dataclass(slots=True)
class ExecutionGrant:
    """The right to execute one request on this host.

    Attributes:
        claim_request: The request for this right.
        fence: The fence that each attempt must pass.
        claim: The claimed intent of a request with a key, else None.
        spent: The spent ticket of a request with a ticket, else None.
    """

    claim_request: ClaimRequest
    fence: Fence
    claim: Claim | None = None
    spent: SpentTicket | None = None

    @property
    def outlives_caller(self) -> bool:
        """Whether the request continues after its caller disconnects."""
        return self.claim is not None or self.spent is not None


@dataclass(frozen=True, slots=True)
class ForwardRequired:
    """Result of a claim that only another host may execute.

    Attributes:
        ticket: The ticket; it names the other host.
    """

    ticket: Ticket


@dataclass(slots=True)
class _PendingClaim:
    """A claim whose outcome is not in the table yet.

    Attributes:
        request: Id of the request that made the claim.
        fingerprint: Hash of the request's content.
        claim: The claim; None until its row has been written.
        reply: The outcome; None until it is known.
        storing: Held while the outcome is written.
    """

    request: RequestId
    fingerprint: str
    claim: Claim | None = None
    reply: ServiceReply | Refusal | None = None
    storing: asyncio.Lock = field(default_factory=asyncio.Lock)


#: What a claim may result in.
ClaimResult = ExecutionGrant | FirstAnswer | ForwardRequired | Refusal


class AtMostOnce:
    """Grants the right to execute requests and records their outcomes.

    Args:
        intents: Intents in the table.
        issuer: Tickets of this incarnation.
        clock: The host's clock.
        invariants: Passed to the fences, which report violations.
        metrics: Counts failed writes and dropped answers.
    """

    def __init__(
        self,
        intents: IntentLedger,
        issuer: TicketIssuer,
        clock: Clock,
        invariants: Invariants,
        metrics: Metrics,
    ) -> None:
        self._intents = intents
        self._issuer = issuer
        self._clock = clock
        self._invariants = invariants
        self._metrics = metrics
        self._pending: OrderedDict[RowKey, _PendingClaim] = OrderedDict()
        self._abandoned: list[Claim] = []
        self._table_paused_until = float('-inf')

    @property
    def unsettled(self) -> int:
        """Number of outcomes that are not stored yet."""
        return len(self._unstored_rows()) + len(self._abandoned)

    async def claim(self, claim_request: ClaimRequest) -> ClaimResult:
        """Decide whether a request may be executed on this host now.

        Returns:
            The right to execute it, the first answer to an earlier request, a
            reference to the host that may execute it, or a refusal.
        """
        if claim_request.ticket:
            return self._claim_ticket(claim_request)
        if claim_request.key:
            return await self._claim_key(claim_request)
        return ExecutionGrant(claim_request, self._fence(claim_request, None))

    async def settle(
        self,
        grant: ExecutionGrant,
        reply: ServiceReply | Refusal,
    ) -> ServiceReply | Refusal:
        """Record the outcome of a request.

        Returns:
            The reply for the caller. A refusal that falsely says ``not run``
            is corrected.
        """
        if isinstance(reply, Refusal):
            reply = grant.fence.review(reply)
        if grant.spent is not None:
            self._issuer.settle(grant.spent, reply)
        if grant.claim is not None:
            await self._settle_claim(grant.claim, reply)
        return reply

    def settle_unknown(self, grant: ExecutionGrant) -> None:
        """Record that a request was aborted with unknown outcome."""
        refusal = Refusal(
            ResultCode.OUTCOME_UNKNOWN,
            'The request was aborted; it may have been executed.',
            Ran.UNKNOWN,
        )
        if grant.spent is not None:
            self._issuer.settle(grant.spent, refusal)
        if grant.claim is not None:
            self._pending.pop(grant.claim.row, None)

    async def settle_pending(self) -> None:
        """Retry storing outcomes that could not be stored before."""
        self._abandoned.extend(self._intents.take_abandoned())
        while self._abandoned:
            claim = self._abandoned[0]
            refusal = await self._intents.release(claim)
            if refusal is not None:
                return
            self._abandoned.pop(0)
        for row in self._unstored_rows():
            pending = self._pending.get(row)
            if pending is not None and not await self._store(row, pending):
                return

    def _claim_ticket(self, claim_request: ClaimRequest) -> ClaimResult:
        """Claim a request that carries a ticket."""
        ticket = self._issuer.read(
            claim_request.ticket, claim_request.workspace
        )
        if isinstance(ticket, Refusal):
            return ticket
        if ticket.incarnation != self._issuer.incarnation:
            return ForwardRequired(ticket)
        started_at = self._clock.now()
        spent = self._issuer.spend(
            ticket, claim_request.request, claim_request.fingerprint
        )
        if not isinstance(spent, SpentTicket):
            return spent
        return ExecutionGrant(
            claim_request, self._fence(claim_request, started_at), spent=spent
        )

    async def _claim_key(self, claim_request: ClaimRequest) -> ClaimResult:
        """Claim the idempotency key of a request in the table."""
        # The lease starts before the write, not when its reply arrives.
        started_at = self._clock.now()
        spec = IntentSpec(
            claim_request.workspace,
            claim_request.key,
            claim_request.request,
            claim_request.fingerprint,
            claim_request.repeatable,
            max(0, claim_request.deadline - started_at),
        )
        if spec.row in self._pending:
            return self._from_memory(self._pending[spec.row], claim_request)
        if started_at < self._table_paused_until:
            return self._without_table(claim_request, intent_unavailable())
        pending = _PendingClaim(
            claim_request.request, claim_request.fingerprint
        )
        self._pending[spec.row] = pending
        claim = await self._claim_row(spec)
        if isinstance(claim, Claim):
            pending.claim = claim
            fence = self._fence(claim_request, started_at)
            return ExecutionGrant(claim_request, fence, claim)
        self._pending.pop(spec.row, None)
        if isinstance(claim, Refusal):
            return self._without_table(claim_request, claim)
        return claim

    async def _claim_row(
        self,
        spec: IntentSpec,
    ) -> Claim | FirstAnswer | Refusal:
        """Write an intent; after a failure, pause writes for a while."""
        claim = await self._intents.claim(spec)
        unavailable = ResultCode.INTENT_UNAVAILABLE
        if isinstance(claim, Refusal) and claim.code is unavailable:
            self._table_paused_until = self._clock.now() + TABLE_PAUSE
            self._metrics.record_event('intent_not_written')
        return claim

    def _without_table(
        self,
        claim_request: ClaimRequest,
        refusal: Refusal,
    ) -> ExecutionGrant | Refusal:
        """Allow a repeatable request while the table is unavailable.

        Returns:
            The right to execute it; for any other request the refusal.
        """
        if refusal.code is not ResultCode.INTENT_UNAVAILABLE:
            return refusal
        if not claim_request.repeatable:
            return refusal
        return ExecutionGrant(claim_request, self._fence(claim_request, None))

    def _from_memory(
        self,
        pending: _PendingClaim,
        claim_request: ClaimRequest,
    ) -> FirstAnswer | Refusal:
        """Answer a repeat of a request that this host claimed before."""
        if pending.fingerprint != claim_request.fingerprint:
            return key_reused()
        if isinstance(pending.reply, ServiceReply):
            return FirstAnswer(pending.request, pending.reply)
        return still_running(1)

    def _fence(
        self, claim_request: ClaimRequest, started_at: float | None
    ) -> Fence:
        """Return the fence of a request.

        Args:
            claim_request: The request.
            started_at: Time of the host's clock, in seconds, at which its lease
                started; None for no lease.
        """
        send_by = None
        # A repeatable request may be taken over safely and needs no lease.
        if started_at is not None and not claim_request.repeatable:
            send_by = started_at + LEASE
        terms = FenceTerms(
            claim_request.request, claim_request.repeatable, send_by
        )
        return Fence(terms, self._clock, self._invariants)

    async def _settle_claim(
        self,
        claim: Claim,
        reply: ServiceReply | Refusal,
    ) -> None:
        """Store the outcome of a claim.

        If the write takes longer than ``SETTLE_TIMEOUT``, it continues in the
        background.
        """
        pending = self._pending.get(claim.row)
        if pending is None:
            return
        if isinstance(reply, Refusal) and reply.ran is not Ran.NOT_RUN:
            # The row stays open: the outcome is permanently unknown.
            self._pending.pop(claim.row)
            return
        pending.reply = reply
        self._drop_oldest()
        storing = asyncio.ensure_future(self._store(claim.row, pending))
        waiting = asyncio.ensure_future(self._clock.sleep(SETTLE_TIMEOUT))
        try:
            await asyncio.wait(
                (storing, waiting),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            waiting.cancel()

    async def _store(self, row: RowKey, pending: _PendingClaim) -> bool:
        """Store one outcome; return False if the write failed."""
        async with pending.storing:
            if pending.claim is None or pending.reply is None:
                return True
            refusal = await self._intents.settle(pending.claim, pending.reply)
            if refusal is not None:
                self._metrics.record_event('answer_not_stored')
                return False
            if self._pending.get(row) is pending:
                self._pending.pop(row)
            return True

    def _unstored_rows(self) -> tuple[RowKey, ...]:
        """Return the rows whose outcome is known but not stored."""
        return tuple(
            row
            for row, pending in self._pending.items()
            # A refusal is falsy, so ``if pending.reply`` would skip it.
            if pending.reply is not None
        )

    def _drop_oldest(self) -> None:
        """Drop the oldest unstored outcomes above the limit."""
        if len(self._pending) <= MAX_UNSETTLED:
            return
        for row in self._unstored_rows()[: len(self._pending) - MAX_UNSETTLED]:
            self._pending.pop(row)
            self._metrics.record_event('answer_forgotten')
            _LOG.error(
                'dropped the outcome of the intent row %r, which could not be '
                'stored',
                row,
            )
