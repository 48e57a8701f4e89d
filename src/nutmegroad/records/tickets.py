"""Tickets: a request that may not be repeated, without the table service.

A ticket names the incarnation that issued it and a sequence number, and is
signed. Only that incarnation ever runs the request that brings it, once,
and keeps the first answer in its memory. Any other host hands the request
on. Since nothing is written, tickets work while the platform is down.
"""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

import msgspec
from itsdangerous import BadData, URLSafeSerializer
from msgspec import Struct

from nutmegroad.contracts.upstreams import ServiceReply
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    HostId,
    Incarnation,
    Ran,
    RequestId,
    WorkspaceId,
)
from nutmegroad.records.intents import FirstAnswer, key_reused, still_running

#: Seconds for which a ticket may begin its request.
TICKET_LIFE: Final = 600.0
#: Seconds for which a spent ticket is remembered, so that one which is
#: older than its life is still known to be unspent.
MEMORY: Final = 1800.0
#: Tickets that are remembered; more are refused, not forgotten.
MOST_SPENT: Final = 50_000
#: Bytes of answers that are kept; the oldest go first.
MOST_ANSWER_BYTES: Final = 33_554_432

#: Seconds after which a host may remember fewer tickets.
_FULL_WAIT: Final = 30
_SALT: Final = 'nutmegroad-ticket'


class Ticket(Struct, frozen=True):
    """What a ticket holds.

    Attributes:
        workspace: Whose it is.
        host: The host that issued it.
        incarnation: The run of that host.
        number: Its place among that run's tickets.
        until: Seconds of that run's own clock at which it lapses; no
            other host judges it, so clocks need not agree.
    """

    workspace: str
    host: str
    incarnation: str
    number: int
    until: float


class TicketSigner:
    """Signs and reads tickets.

    Args:
        key: Secret that the deployment's hosts share.
        old_key: Another one that holds while the key is changed; empty for
            none.
    """

    def __init__(self, key: str, old_key: str = '') -> None:
        # It reads what any of these signed, and signs with the last.
        keys = [old_key, key] if old_key else [key]
        self._serializer = URLSafeSerializer(keys, salt=_SALT)

    def sign(self, ticket: Ticket) -> str:
        """Return a ticket as text."""
        signed = self._serializer.dumps(msgspec.to_builtins(ticket))
        return signed.decode() if isinstance(signed, bytes) else signed

    def read(self, text: str, workspace: WorkspaceId) -> Ticket | Refusal:
        """Return what a ticket holds, if it is ours and the workspace's."""
        try:
            ticket = msgspec.convert(self._serializer.loads(text), Ticket)
        except (BadData, msgspec.ValidationError):
            return ticket_invalid('is not one that this deployment signed')
        if ticket.workspace != workspace:
            return ticket_invalid('belongs to another workspace')
        return ticket


@dataclass(slots=True)
class SpentTicket:
    """A ticket that has begun its request.

    Attributes:
        number: Its number.
        request: The request.
        fingerprint: Hash of the request's content.
        until: Clock seconds at which it is forgotten.
        running: Whether the request runs now.
        reply: Its answer, if it is kept.
        refusal: Why there is no answer, if there is none.
    """

    number: int
    request: RequestId
    fingerprint: str
    until: float
    running: bool = True
    reply: ServiceReply | None = None
    refusal: Refusal | None = None


class TicketIssuer:
    """Issues tickets of this incarnation, and lets each be spent once.

    Args:
        host: This host.
        incarnation: This run of it.
        signer: Signs tickets.
        clock: The host's clock.
        most_spent: Tickets that are remembered.
    """

    def __init__(
        self,
        host: HostId,
        incarnation: Incarnation,
        signer: TicketSigner,
        clock: Clock,
        most_spent: int = MOST_SPENT,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._signer = signer
        self._clock = clock
        self._most_spent = most_spent
        self._issued = 0
        self._spent: OrderedDict[int, SpentTicket] = OrderedDict()
        self._answers: OrderedDict[int, int] = OrderedDict()
        self._answer_bytes = 0

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation whose tickets may be spent here."""
        return self._incarnation

    def issue(self, workspace: WorkspaceId) -> str | Refusal:
        """Return a new ticket; it costs no write and no message."""
        self._forget()
        if len(self._spent) >= self._most_spent:
            return _full()
        self._issued += 1
        ticket = Ticket(
            workspace,
            self._host,
            self._incarnation,
            self._issued,
            self._clock.now() + TICKET_LIFE,
        )
        return self._signer.sign(ticket)

    def read(self, text: str, workspace: WorkspaceId) -> Ticket | Refusal:
        """Return what a ticket holds."""
        return self._signer.read(text, workspace)

    def spend(
        self,
        ticket: Ticket,
        request: RequestId,
        fingerprint: str,
    ) -> SpentTicket | FirstAnswer | Refusal:
        """Spend a ticket of this incarnation.

        Returns:
            The spent ticket for the one request that may run; the first
            answer if there is one; or why nothing may be sent.
        """
        self._forget()
        spent = self._spent.get(ticket.number)
        if spent is not None:
            return self._repeat(spent, fingerprint)
        now = self._clock.now()
        if now >= ticket.until + MEMORY - TICKET_LIFE:
            return _forgotten()
        if now >= ticket.until:
            return ticket_invalid('has lapsed, and was never used')
        if len(self._spent) >= self._most_spent:
            return _full()
        # Kept for longer than the ticket can still be said to be unspent.
        until = now + MEMORY
        spent = SpentTicket(ticket.number, request, fingerprint, until)
        self._spent[ticket.number] = spent
        return spent

    def settle(
        self,
        spent: SpentTicket,
        reply: ServiceReply | Refusal,
    ) -> None:
        """Take in how the request ended; one not run frees its ticket."""
        spent.running = False
        if isinstance(reply, Refusal):
            spent.refusal = reply
            if reply.ran is Ran.NOT_RUN:
                self._spent.pop(spent.number, None)
            return
        spent.reply = reply
        self._answers[spent.number] = len(reply.body)
        self._answer_bytes += len(reply.body)
        while self._answer_bytes > MOST_ANSWER_BYTES:
            self._drop_answer(next(iter(self._answers)))

    def _repeat(
        self,
        spent: SpentTicket,
        fingerprint: str,
    ) -> FirstAnswer | Refusal:
        """Answer a request whose ticket was spent before."""
        if spent.fingerprint != fingerprint:
            return key_reused()
        if spent.running:
            return still_running(1)
        if spent.reply is not None:
            return FirstAnswer(spent.request, spent.reply)
        if spent.refusal is not None:
            return spent.refusal
        return Refusal(
            ResultCode.TICKET_SPENT,
            'The request has run; its first answer is no longer kept.',
            Ran.RAN,
        )

    def _forget(self) -> None:
        """Forget tickets whose time is over, the oldest first."""
        now = self._clock.now()
        while self._spent:
            spent = next(iter(self._spent.values()))
            if spent.until > now or spent.running:
                return
            self._spent.pop(spent.number)
            self._drop_answer(spent.number)

    def _drop_answer(self, number: int) -> None:
        """Keep an answer no longer, but that its ticket is spent."""
        self._answer_bytes -= self._answers.pop(number, 0)
        spent = self._spent.get(number)
        if spent is not None:
            spent.reply = None


def ticket_invalid(why: str) -> Refusal:
    """Say why a ticket can not be used; it was not."""
    return Refusal(ResultCode.TICKET_INVALID, f'The ticket {why}.')


def _forgotten() -> Refusal:
    """Say that a ticket is so old that nothing is known of it."""
    return Refusal(
        ResultCode.OUTCOME_UNKNOWN,
        'The ticket is too old to tell whether its request ran.',
        Ran.UNKNOWN,
    )


def _full() -> Refusal:
    """Say that no more tickets can be remembered now."""
    return Refusal(
        ResultCode.OVERLOADED,
        'This host remembers as many tickets as it may.',
        retry_after=_FULL_WAIT,
    )
