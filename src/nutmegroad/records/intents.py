"""Intent rows: at-most-once execution of requests with an idempotency key.

Before a host sends the first byte of a request that may not be repeated,
it writes a row under the caller's key, on the condition that the row does
not exist. Only the host whose write succeeded may send the request, and
only before its lease expires. If that host terminates, its intent stays
open: the outcome is unknown, and the request is never executed again.
"""

import base64
import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Annotated, Final

import msgspec
from msgspec import Meta, Struct
from msgspec.structs import replace

from nutmegroad.contracts.platform import (
    ABSENT,
    Conflict,
    Objects,
    Row,
    RowKey,
    RowVersion,
    RowWrite,
    Table,
)
from nutmegroad.contracts.rows import decode_row
from nutmegroad.contracts.upstreams import ServiceReply
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.decoding import Measure
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    IdempotencyKey,
    Incarnation,
    Ran,
    RequestId,
    WorkspaceId,
)
from nutmegroad.records.intent_refusals import (
    intent_unavailable,
    key_reused,
    outcome_unknown,
    still_running,
)

_LOG: Final = part_logger('records')

#: Largest HTTP status.
MAX_STATUS: Final = 999

#: Key prefix of intent rows, and name prefix of objects with large answers.
_PREFIX: Final = 'intent/'
_ANSWERS: Final = 'answers/'
#: Maximum size in bytes of an answer that is stored in the row itself.
MAX_INLINE_ANSWER: Final = 8192
#: Seconds after a request's latest end during which its unresponsive owner is
#: still assumed to execute it. The wall clocks of hosts differ by less.
END_MARGIN: Final = 2.0


@unique
class IntentState(Enum):
    """State of an intent."""

    OPEN = 'open'
    DONE = 'done'
    NOT_RUN = 'not_run'


class Intent(Struct, frozen=True, omit_defaults=True):
    """The content of an intent row.

    Attributes:
        request: Id of the request that wrote the row.
        fingerprint: Hash of the request's content.
        nonce: Identifies the write, in case its reply is lost.
        owner: The incarnation that may send the request.
        ends: Latest wall-clock time, in seconds, at which the request ends.
            Used only to tell callers when to retry, and to take over
            repeatable requests.
        state: State of the request.
        status: HTTP status of the answer, if the state is ``DONE``.
        content_type: Media type of the answer.
        answer: Base64 body of the answer, if it is small.
        stored: Name of the object that contains a large answer.
    """

    request: str
    fingerprint: str
    nonce: str
    owner: str
    ends: Measure
    state: IntentState = IntentState.OPEN
    status: Annotated[int, Meta(ge=0, le=MAX_STATUS)] = 0
    content_type: str = ''
    answer: str = ''
    stored: str = ''


@dataclass(frozen=True, slots=True)
class IntentSpec:
    """The data of a request for which an intent is claimed.

    Attributes:
        workspace: The workspace of the caller.
        key: The caller's idempotency key.
        request: Id of the request.
        fingerprint: Hash of the request's content.
        repeatable: Whether the request may be executed twice.
        seconds: Maximum seconds from now until the request has ended.
    """

    workspace: WorkspaceId
    key: IdempotencyKey
    request: RequestId
    fingerprint: str
    repeatable: bool
    seconds: float

    @property
    def row(self) -> RowKey:
        """Key of the intent row."""
        return RowKey(f'{_PREFIX}{self.workspace}/{self.key}')


@dataclass(frozen=True, slots=True)
class Claim:
    """The exclusive right to send a request.

    Attributes:
        intent: The intent that was written.
        row: Key of the row.
        version: Version of the row after the write.
    """

    intent: Intent
    row: RowKey
    version: RowVersion


@dataclass(frozen=True, slots=True)
class FirstAnswer:
    """The answer to an earlier request with the same key or ticket.

    Attributes:
        request: Id of the earlier request.
        reply: Its answer.
    """

    request: RequestId
    reply: ServiceReply


#: Returns whether an incarnation is known to have terminated for good.
IsTerminated = Callable[[Incarnation], bool]


@dataclass(frozen=True, slots=True)
class IntentOwner:
    """The incarnation that writes intents, with the functions it needs.

    Attributes:
        incarnation: The incarnation of this host.
        nonces: Returns a nonce that is never repeated.
        is_terminated: Returns whether another incarnation has terminated; one
            that merely sends no messages may only be cut off.
    """

    incarnation: Incarnation
    nonces: Callable[[], str]
    is_terminated: IsTerminated


class IntentLedger:
    """Writes and settles intents.

    Args:
        table: The table service.
        objects: The object store, for large answers.
        owner: The incarnation that writes.
        clock: The host's clock.
    """

    def __init__(
        self,
        table: Table,
        objects: Objects,
        owner: IntentOwner,
        clock: Clock,
    ) -> None:
        self._table = table
        self._objects = objects
        self._owner = owner
        self._clock = clock
        self._abandoned: list[Claim] = []

    def take_abandoned(self) -> tuple[Claim, ...]:
        """Return and clear unused claims whose rows may be in the table."""
        abandoned = tuple(self._abandoned)
        self._abandoned.clear()
        return abandoned

    async def claim(self, spec: IntentSpec) -> Claim | FirstAnswer | Refusal:
        """Claim a key.

        Returns:
            A claim if the request may be sent, the first answer if the key
            already has one, or a refusal that says why nothing may be sent.
        """
        proposed = Intent(
            spec.request,
            spec.fingerprint,
            self._owner.nonces(),
            self._owner.incarnation,
            self._clock.wall() + spec.seconds,
        )
        row = await self._put(spec.row, proposed, ABSENT)
        if isinstance(row, Refusal):
            return row
        found = decode_row(row, Intent)
        if isinstance(found, Refusal):
            # An earlier request with the key may have run.
            _LOG.warning('intent can not be read: %s', found.reason)
            return outcome_unknown()
        if found.nonce == proposed.nonce:
            return Claim(proposed, row.key, row.version)
        if found.fingerprint != proposed.fingerprint:
            return key_reused()
        if found.state is IntentState.DONE:
            return await self._first_answer(found)
        return await self._reclaim(row, found, proposed, spec)

    async def settle(
        self,
        claim: Claim,
        reply: ServiceReply | Refusal,
    ) -> Refusal | None:
        """Write the outcome of a claimed request; safe to call repeatedly.

        If the outcome is unknown, the intent stays open permanently.
        """
        if isinstance(reply, Refusal):
            if reply.ran is not Ran.NOT_RUN:
                return None
            intent = replace(claim.intent, state=IntentState.NOT_RUN)
        else:
            answered = await self._with_answer(claim, reply)
            if isinstance(answered, Refusal):
                return answered
            intent = answered
        row = await self._put(claim.row, intent, claim.version)
        return row if isinstance(row, Refusal) else None

    async def release(self, claim: Claim) -> Refusal | None:
        """Settle an unused claim whose row may be in the table.

        It is unknown whether the write of the claim took effect. The row may
        belong to another host by now, with the version that the claim expects.
        That host executes or has executed its request, so a row is settled
        only if it contains the nonce of this claim.
        """
        row = await self._table.read(claim.row)
        if isinstance(row, Refusal):
            return row
        if row.version >= claim.version and not _is_open(row, claim):
            return None
        # If the row does not exist yet, creating it makes a late write of
        # the claim conflict.
        intent = replace(claim.intent, state=IntentState.NOT_RUN)
        present = await self._put(claim.row, intent, row.version)
        if isinstance(present, Refusal):
            return present
        return intent_unavailable() if _is_open(present, claim) else None

    async def _with_answer(
        self,
        claim: Claim,
        reply: ServiceReply,
    ) -> Intent | Refusal:
        """Return the intent with its answer; store a large answer."""
        intent = replace(
            claim.intent,
            state=IntentState.DONE,
            status=reply.status,
            content_type=reply.content_type,
        )
        if len(reply.body) <= MAX_INLINE_ANSWER:
            text = base64.b64encode(reply.body).decode()
            return replace(intent, answer=text)
        digest = hashlib.sha256(reply.body).hexdigest()
        name = f'{_ANSWERS}{intent.request}/{digest}'
        refusal = await self._objects.put(name, reply.body)
        if refusal is not None:
            return refusal
        return replace(intent, stored=name)

    async def _first_answer(self, intent: Intent) -> FirstAnswer | Refusal:
        """Return the answer that an intent contains."""
        body: bytes | Refusal = _decode_answer(intent)
        if intent.stored:
            body = await self._objects.fetch(intent.stored)
        if isinstance(body, Refusal):
            return Refusal(
                ResultCode.STILL_RUNNING,
                'The request has run; its first answer cannot be read now.',
                Ran.RAN,
                retry_after=5,
            )
        reply = ServiceReply(intent.status, body, intent.content_type)
        return FirstAnswer(RequestId(intent.request), reply)

    async def _reclaim(
        self,
        row: Row,
        found: Intent,
        proposed: Intent,
        spec: IntentSpec,
    ) -> Claim | Refusal:
        """Claim a key again whose first request has no answer, if allowed."""
        open_until = self._open_until(found)
        is_free = found.state is IntentState.NOT_RUN
        # A repeatable request may be taken over from a terminated owner.
        if is_free or (spec.repeatable and open_until <= self._clock.wall()):
            rewritten = await self._put(row.key, proposed, row.version)
            if isinstance(rewritten, Refusal):
                return rewritten
            present = decode_row(rewritten, Intent)
            if isinstance(present, Refusal):
                return outcome_unknown()
            if present.nonce == proposed.nonce:
                return Claim(proposed, row.key, rewritten.version)
            open_until = self._open_until(present)
        left = open_until - self._clock.wall()
        return still_running(left) if left > 0 else outcome_unknown()

    def _open_until(self, intent: Intent) -> float:
        """Return the wall time, in seconds, until which a request may run."""
        if self._owner.is_terminated(Incarnation(intent.owner)):
            return 0
        return intent.ends + END_MARGIN

    async def _put(
        self,
        key: RowKey,
        intent: Intent,
        expected: RowVersion,
    ) -> Row | Refusal:
        """Write an intent, or return the row that conflicts with it."""
        text = msgspec.json.encode(intent).decode()
        outcome = await self._table.commit((RowWrite(key, text, expected),))
        if isinstance(outcome, Conflict):
            return outcome.row
        if not isinstance(outcome, Refusal):
            return outcome[0]
        if outcome.ran is Ran.NOT_RUN:
            return intent_unavailable()
        # The write may have taken effect; the caller compares the nonce.
        row = await self._table.read(key)
        if not isinstance(row, Refusal) and row.version > expected:
            return row
        if intent.state is IntentState.OPEN:
            written = RowVersion(expected + 1)
            self._abandoned.append(Claim(intent, key, written))
        return intent_unavailable()


def _decode_answer(intent: Intent) -> bytes | Refusal:
    """Return the answer that an intent contains, unless it is invalid."""
    try:
        return base64.b64decode(intent.answer)
    except ValueError as problem:
        return Refusal(
            ResultCode.TABLE_ROW_INVALID,
            f'The answer in the row of an intent is invalid: {problem}.',
        )


def _is_open(row: Row, claim: Claim) -> bool:
    """Return whether a row contains the claim's own unsettled intent."""
    if row.version == ABSENT:
        return False
    intent = decode_row(row, Intent)
    if isinstance(intent, Refusal):
        return False
    is_own = intent.nonce == claim.intent.nonce
    return is_own and intent.state is IntentState.OPEN
