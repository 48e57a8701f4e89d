"""The one place that keeps requests from running twice.

Model requests and calls to plain services both come here: ``claim`` says
whether a request may go on, and ``settle`` how it ended::

    claim = await once.claim(order)
    if isinstance(claim, Run):
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
from nutmegroad.records.intents import (
    Claim,
    FirstAnswer,
    IntentLedger,
    IntentWish,
    intent_unavailable,
    key_reused,
    still_running,
)
from nutmegroad.records.tickets import SpentTicket, Ticket, TicketIssuer

#: Seconds from before a claim until its first byte must have gone out.
LEASE: Final = 5.0
#: Seconds that an answer may wait until it is stored for repeats.
SETTLE_WAIT: Final = 0.25
#: Seconds for which claims are refused at once after the table failed.
TABLE_REST: Final = 1.0
#: Claims that are kept while how they ended can not be stored.
MOST_UNSETTLED: Final = 10_000

_NO_KEY: Final = IdempotencyKey('')
_LOG: Final = part_logger('once')


@dataclass(frozen=True, slots=True)
class Order:
    """A request that asks whether it may run.

    Attributes:
        request: Its id.
        workspace: Who asks.
        fingerprint: Hash of its content.
        repeatable: Whether it may run twice.
        deadline: Clock seconds at which it has ended at the latest.
        key: The caller's idempotency key; empty for none.
        ticket: The caller's ticket; empty for none.
    """

    request: RequestId
    workspace: WorkspaceId
    fingerprint: str
    repeatable: bool
    deadline: float
    key: IdempotencyKey = _NO_KEY
    ticket: str = ''


@dataclass(slots=True)
class Run:
    """The right of one request to run here and now.

    Attributes:
        order: The request.
        fence: What its attempts must pass.
        claim: Its intent, if it has one.
        spent: Its ticket, if it has one.
    """

    order: Order
    fence: Fence
    claim: Claim | None = None
    spent: SpentTicket | None = None

    @property
    def is_held(self) -> bool:
        """Tell whether it goes on to its end although its caller leaves."""
        return self.claim is not None or self.spent is not None


@dataclass(frozen=True, slots=True)
class Elsewhere:
    """Only another host may run the request.

    Attributes:
        ticket: Names that host.
    """

    ticket: Ticket


@dataclass(slots=True)
class _Known:
    """A claim whose end is not in the table yet."""

    request: RequestId
    fingerprint: str
    claim: Claim | None = None
    reply: ServiceReply | Refusal | None = None
    storing: asyncio.Lock = field(default_factory=asyncio.Lock)


Claimed = Run | FirstAnswer | Elsewhere | Refusal


class Once:
    """Lets requests run, and remembers how they ended.

    Args:
        intents: Intents in the table.
        issuer: Tickets of this incarnation.
        clock: The host's clock.
        invariants: Told what the fences see.
        metrics: Where events are counted.
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
        self._known: OrderedDict[RowKey, _Known] = OrderedDict()
        self._abandoned: list[Claim] = []
        self._table_rests_until = float('-inf')

    @property
    def unsettled(self) -> int:
        """Return how many ends are not stored yet."""
        return len(self._ended()) + len(self._abandoned)

    async def claim(self, order: Order) -> Claimed:
        """Say whether a request may run here and now."""
        if order.ticket:
            return self._claim_ticket(order)
        if order.key:
            return await self._claim_key(order)
        return Run(order, self._fence(order, None))

    async def settle(
        self,
        run: Run,
        reply: ServiceReply | Refusal,
    ) -> ServiceReply | Refusal:
        """Take in how a run ended; return what its caller is told."""
        if isinstance(reply, Refusal):
            reply = run.fence.review(reply)
        if run.spent is not None:
            self._issuer.settle(run.spent, reply)
        if run.claim is not None:
            await self._settle_claim(run.claim, reply)
        return reply

    def give_up(self, run: Run) -> None:
        """Take in that a run was broken off and nobody knows how it ended."""
        refusal = Refusal(
            ResultCode.OUTCOME_UNKNOWN,
            'The request was broken off; whether it ran can not be told.',
            Ran.UNKNOWN,
        )
        if run.spent is not None:
            self._issuer.settle(run.spent, refusal)
        if run.claim is not None:
            self._known.pop(run.claim.row, None)

    async def settle_rest(self) -> None:
        """Store ends that could not be stored before."""
        self._abandoned.extend(self._intents.take_abandoned())
        while self._abandoned:
            claim = self._abandoned[0]
            refusal = await self._intents.release(claim)
            if refusal is not None:
                return
            self._abandoned.pop(0)
        for row in self._ended():
            known = self._known.get(row)
            if known is not None and not await self._store(row, known):
                return

    def _claim_ticket(self, order: Order) -> Claimed:
        """Claim a ticket's request."""
        ticket = self._issuer.read(order.ticket, order.workspace)
        if isinstance(ticket, Refusal):
            return ticket
        if ticket.incarnation != self._issuer.incarnation:
            return Elsewhere(ticket)
        began = self._clock.now()
        spent = self._issuer.spend(ticket, order.request, order.fingerprint)
        if not isinstance(spent, SpentTicket):
            return spent
        return Run(order, self._fence(order, began), spent=spent)

    async def _claim_key(self, order: Order) -> Claimed:
        """Claim a key in the table."""
        # The lease counts from before the write, not from its reply.
        began = self._clock.now()
        wish = IntentWish(
            order.workspace,
            order.key,
            order.request,
            order.fingerprint,
            order.repeatable,
            max(0, order.deadline - began),
        )
        if wish.row in self._known:
            return self._from_memory(self._known[wish.row], order)
        if began < self._table_rests_until:
            return self._without_table(order, intent_unavailable())
        known = _Known(order.request, order.fingerprint)
        self._known[wish.row] = known
        claim = await self._claim_row(wish)
        if isinstance(claim, Claim):
            known.claim = claim
            fence = self._fence(order, began)
            return Run(order, fence, claim)
        self._known.pop(wish.row, None)
        if isinstance(claim, Refusal):
            return self._without_table(order, claim)
        return claim

    async def _claim_row(
        self,
        wish: IntentWish,
    ) -> Claim | FirstAnswer | Refusal:
        """Write an intent to its end, even if the caller leaves."""
        claim = await self._intents.claim(wish)
        unavailable = ResultCode.INTENT_UNAVAILABLE
        if isinstance(claim, Refusal) and claim.code is unavailable:
            self._table_rests_until = self._clock.now() + TABLE_REST
            self._metrics.record_event('intent_not_written')
        return claim

    def _without_table(
        self,
        order: Order,
        refusal: Refusal,
    ) -> Run | Refusal:
        """Let what may be repeated go on though the table is down."""
        if refusal.code is not ResultCode.INTENT_UNAVAILABLE:
            return refusal
        if not order.repeatable:
            return refusal
        return Run(order, self._fence(order, None))

    def _from_memory(
        self,
        known: _Known,
        order: Order,
    ) -> FirstAnswer | Refusal:
        """Answer a repeat of what this host itself knows."""
        if known.fingerprint != order.fingerprint:
            return key_reused()
        if isinstance(known.reply, ServiceReply):
            return FirstAnswer(known.request, known.reply)
        return still_running(1)

    def _fence(self, order: Order, began: float | None) -> Fence:
        """Return the fence of a run."""
        send_by = None
        # A takeover of what may be repeated does no harm, so no lease.
        if began is not None and not order.repeatable:
            send_by = began + LEASE
        terms = FenceTerms(order.request, order.repeatable, send_by)
        return Fence(terms, self._clock, self._invariants)

    async def _settle_claim(
        self,
        claim: Claim,
        reply: ServiceReply | Refusal,
    ) -> None:
        """Store how a claim ended, now or later."""
        known = self._known.get(claim.row)
        if known is None:
            return
        if isinstance(reply, Refusal) and reply.ran is not Ran.NOT_RUN:
            # The row stays open: the outcome is unknown to all, for ever.
            self._known.pop(claim.row)
            return
        known.reply = reply
        self._bound()
        storing = asyncio.ensure_future(self._store(claim.row, known))
        waiting = asyncio.ensure_future(self._clock.sleep(SETTLE_WAIT))
        try:
            await asyncio.wait(
                (storing, waiting),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            waiting.cancel()

    async def _store(self, row: RowKey, known: _Known) -> bool:
        """Store one end; false if that failed."""
        async with known.storing:
            if known.claim is None or known.reply is None:
                return True
            refusal = await self._intents.settle(known.claim, known.reply)
            if refusal is not None:
                self._metrics.record_event('answer_not_stored')
                return False
            if self._known.get(row) is known:
                self._known.pop(row)
            return True

    def _ended(self) -> tuple[RowKey, ...]:
        """Return the rows whose end is known and not stored."""
        return tuple(
            row
            for row, known in self._known.items()
            # A refusal is false, so ``if known.reply`` would pass over it.
            if known.reply is not None
        )

    def _bound(self) -> None:
        """Forget the oldest ends if too many wait to be stored."""
        if len(self._known) <= MOST_UNSETTLED:
            return
        for row in self._ended()[: len(self._known) - MOST_UNSETTLED]:
            self._known.pop(row)
            self._metrics.record_event('answer_forgotten')
            _LOG.error('the end of %s could not be stored', row)
