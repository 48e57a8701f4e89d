"""Tickets: at-most-once execution without the table service.

A ticket is signed and names the incarnation that issued it and a sequence
number. Only that incarnation executes the request that carries the ticket,
once, and retains the first answer in memory. Other hosts forward the
request to it. Nothing is written to the platform, so tickets also work
while the platform is unavailable.
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
from nutmegroad.records.intent_refusals import key_reused, still_running
from nutmegroad.records.intents import FirstAnswer

#: Seconds after its issue during which a ticket can be spent.
TICKET_LIFETIME: Final = 600.0
#: Seconds for which a spent ticket is retained. Longer than the lifetime, so
#: that an expired ticket can still be known to be unspent.
SPENT_RETENTION: Final = 1800.0
#: Maximum number of spent tickets retained. Beyond it, tickets are refused;
#: no spent ticket is dropped early.
MAX_SPENT: Final = 50_000
#: Maximum total size of retained answers in bytes; the oldest are dropped.
MAX_ANSWER_BYTES: Final = 33_554_432

#: Seconds after which a caller may retry when the limit is reached.
_FULL_RETRY_AFTER: Final = 30
#: Separates these signatures from others made with the same key.
_SALT: Final = 'nutmegroad-ticket'


class Ticket(Struct, frozen=True):
    """The content of a ticket.

    Attributes:
        workspace: The workspace that the ticket was issued to.
        host: The host that issued it.
        incarnation: The incarnation of that host.
        number: Sequence number among the tickets of that incarnation.
        until: Time at which it expires, in seconds of the issuing
            incarnation's clock. No other host evaluates it, so clocks need
            not agree.
    """

    workspace: str
    host: str
    incarnation: str
    number: int
    until: float


class TicketSigner:
    """Signs and verifies tickets.

    Args:
        key: Secret shared by the hosts of the deployment.
        old_key: Previous secret, accepted while the key is rotated; empty if
            there is none.
    """

    def __init__(self, key: str, old_key: str = '') -> None:
        # The serializer accepts any of these keys and signs with the last.
        keys = [old_key, key] if old_key else [key]
        self._serializer = URLSafeSerializer(keys, salt=_SALT)

    def sign(self, ticket: Ticket) -> str:
        """Return a signed ticket as text."""
        signed = self._serializer.dumps(msgspec.to_builtins(ticket))
        return signed.decode() if isinstance(signed, bytes) else signed

    def read(self, text: str, workspace: WorkspaceId) -> Ticket | Refusal:
        """Verify a ticket and its workspace, and return its content."""
        try:
            ticket = msgspec.convert(self._serializer.loads(text), Ticket)
        except (BadData, msgspec.ValidationError):
            return ticket_invalid('is not one that this deployment signed')
        if ticket.workspace != workspace:
            return ticket_invalid('belongs to another workspace')
        return ticket


@dataclass(slots=True)
class SpentTicket:
    """A ticket whose request has started.

    Attributes:
        number: Sequence number of the ticket.
        request: Id of the request.
        fingerprint: Hash of the request's content.
        until: Time of the host's clock, in seconds, until which the entry
            is retained.
        running: Whether the request is running.
        reply: The answer, if it is retained.
        refusal: The refusal of the request, if there was no answer.
    """

    number: int
    request: RequestId
    fingerprint: str
    until: float
    running: bool = True
    reply: ServiceReply | None = None
    refusal: Refusal | None = None


class TicketIssuer:
    """Issues tickets of this incarnation and lets each be spent once.

    Args:
        host: This host.
        incarnation: The incarnation of this host.
        signer: Signs and verifies tickets.
        clock: The host's clock.
        max_spent: Maximum number of spent tickets retained.
    """

    def __init__(
        self,
        host: HostId,
        incarnation: Incarnation,
        signer: TicketSigner,
        clock: Clock,
        max_spent: int = MAX_SPENT,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._signer = signer
        self._clock = clock
        self._max_spent = max_spent
        self._issued = 0
        self._spent: OrderedDict[int, SpentTicket] = OrderedDict()
        self._answers: OrderedDict[int, int] = OrderedDict()
        self._answer_bytes = 0

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation whose tickets can be spent here."""
        return self._incarnation

    def issue(self, workspace: WorkspaceId) -> str | Refusal:
        """Return a new ticket; needs no write and no message."""
        self._drop_expired()
        if len(self._spent) >= self._max_spent:
            return _limit_reached()
        self._issued += 1
        ticket = Ticket(
            workspace,
            self._host,
            self._incarnation,
            self._issued,
            self._clock.now() + TICKET_LIFETIME,
        )
        return self._signer.sign(ticket)

    def read(self, text: str, workspace: WorkspaceId) -> Ticket | Refusal:
        """Verify a ticket and return its content."""
        return self._signer.read(text, workspace)

    def spend(
        self,
        ticket: Ticket,
        request: RequestId,
        fingerprint: str,
    ) -> SpentTicket | FirstAnswer | Refusal:
        """Spend a ticket of this incarnation.

        Returns:
            The spent ticket if the request may be executed, the first answer
            if there is one, or a refusal that says why nothing may be sent.
        """
        self._drop_expired()
        spent = self._spent.get(ticket.number)
        if spent is not None:
            return self._repeat(spent, fingerprint)
        now = self._clock.now()
        if now >= ticket.until + SPENT_RETENTION - TICKET_LIFETIME:
            return _outcome_forgotten()
        if now >= ticket.until:
            return ticket_invalid('has expired and was never used')
        if len(self._spent) >= self._max_spent:
            return _limit_reached()
        # Retained for at least as long as an expired ticket can still be
        # reported as unspent.
        until = now + SPENT_RETENTION
        spent = SpentTicket(ticket.number, request, fingerprint, until)
        self._spent[ticket.number] = spent
        return spent

    def settle(
        self,
        spent: SpentTicket,
        reply: ServiceReply | Refusal,
    ) -> None:
        """Record the outcome of a request.

        If the request was not executed, its ticket can be spent again.
        """
        spent.running = False
        if isinstance(reply, Refusal):
            spent.refusal = reply
            if reply.ran is Ran.NOT_RUN:
                self._spent.pop(spent.number, None)
            return
        spent.reply = reply
        self._answers[spent.number] = len(reply.body)
        self._answer_bytes += len(reply.body)
        while self._answer_bytes > MAX_ANSWER_BYTES:
            self._drop_answer(next(iter(self._answers)))

    def _repeat(
        self,
        spent: SpentTicket,
        fingerprint: str,
    ) -> FirstAnswer | Refusal:
        """Answer a request whose ticket has been spent before."""
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
            'The request has run; its first answer is no longer retained.',
            Ran.RAN,
        )

    def _drop_expired(self) -> None:
        """Drop spent tickets whose retention has ended, oldest first."""
        now = self._clock.now()
        while self._spent:
            spent = next(iter(self._spent.values()))
            if spent.until > now or spent.running:
                return
            self._spent.pop(spent.number)
            self._drop_answer(spent.number)

    def _drop_answer(self, number: int) -> None:
        """Drop a retained answer; the ticket remains spent."""
        self._answer_bytes -= self._answers.pop(number, 0)
        spent = self._spent.get(number)
        if spent is not None:
            spent.reply = None


def ticket_invalid(why: str) -> Refusal:
    """Return the refusal for a ticket that cannot be used.

    Args:
        why: Rest of the sentence that begins with ``The ticket``.
    """
    return Refusal(ResultCode.TICKET_INVALID, f'The ticket {why}.')


def _outcome_forgotten() -> Refusal:
    """Return the refusal for a ticket older than the retention period."""
    return Refusal(
        ResultCode.OUTCOME_UNKNOWN,
        'The ticket is too old; its request may have been executed.',
        Ran.UNKNOWN,
    )


def _limit_reached() -> Refusal:
    """Return the refusal for when no more tickets can be retained."""
    return Refusal(
        ResultCode.OVERLOADED,
        'This host has reached its limit of spent tickets.',
        retry_after=_FULL_RETRY_AFTER,
    )
