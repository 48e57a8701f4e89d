"""Intent rows: a request that may not be repeated runs at most once.

Before the first byte goes out, the host writes a row under the caller's
key that must not exist yet; only the host whose write took effect sends,
and only before its lease lapses. A host that dies after its intent leaves
it open: the outcome is unknown, and there is never a second run.
"""

import base64
import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

import msgspec
from msgspec import Struct
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
from nutmegroad.contracts.upstreams import ServiceReply
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    IdempotencyKey,
    Incarnation,
    Ran,
    RequestId,
    WorkspaceId,
)

_PREFIX: Final = 'intent/'
_ANSWERS: Final = 'answers/'
#: Bytes of an answer that still fit into a row.
SMALL_ANSWER: Final = 8192
#: Seconds after the latest end of a request for which its owner, unheard
#: of, is still taken to run it; wall clocks of hosts differ by less.
END_MARGIN: Final = 2.0


@unique
class IntentState(Enum):
    """Where an intent stands."""

    OPEN = 'open'
    DONE = 'done'
    NOT_RUN = 'not_run'


class Intent(Struct, frozen=True, omit_defaults=True):
    """The content of an intent row.

    Attributes:
        request: The request that wrote it.
        fingerprint: Hash of the request's content.
        nonce: Recognises the write whose reply was lost.
        owner: The incarnation that may send the request.
        ends: Wall-clock seconds at which the request has ended at the
            latest; only for telling callers when to come back.
        state: Where it stands.
        status: HTTP status of the answer, once done.
        content_type: Media type of the answer.
        answer: The answer's body in base 64, if it is small.
        stored: Name of the object that holds a large answer.
    """

    request: str
    fingerprint: str
    nonce: str
    owner: str
    ends: float
    state: IntentState = IntentState.OPEN
    status: int = 0
    content_type: str = ''
    answer: str = ''
    stored: str = ''


@dataclass(frozen=True, slots=True)
class IntentWish:
    """What a request needs an intent for.

    Attributes:
        workspace: Who asks.
        key: The caller's idempotency key.
        request: The request's id.
        fingerprint: Hash of its content.
        repeatable: Whether it may run twice.
        seconds: Seconds after which it has ended at the latest.
    """

    workspace: WorkspaceId
    key: IdempotencyKey
    request: RequestId
    fingerprint: str
    repeatable: bool
    seconds: float

    @property
    def row(self) -> RowKey:
        """Return the key of its row."""
        return RowKey(f'{_PREFIX}{self.workspace}/{self.key}')


@dataclass(frozen=True, slots=True)
class Claim:
    """The right to send a request, which one request alone gets.

    Attributes:
        intent: What was written.
        row: Key of the row.
        version: Version of the row.
    """

    intent: Intent
    row: RowKey
    version: RowVersion


@dataclass(frozen=True, slots=True)
class FirstAnswer:
    """The answer that an earlier request with the same key got.

    Attributes:
        request: That request.
        reply: Its answer.
    """

    request: RequestId
    reply: ServiceReply


#: Tells whether an incarnation is known to be gone for good.
IsGone = Callable[[Incarnation], bool]


@dataclass(frozen=True, slots=True)
class IntentOwner:
    """Who writes intents.

    Attributes:
        incarnation: This run of this host.
        nonces: Makes nonces that never repeat.
        is_gone: Tells whether another incarnation is gone for good; one
            that is merely not heard may be cut off.
    """

    incarnation: Incarnation
    nonces: Callable[[], str]
    is_gone: IsGone


class IntentLedger:
    """Writes and settles intents.

    Args:
        table: The table service.
        objects: The object store, for large answers.
        owner: Who writes.
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
        """Return claims that were not used and may stand in the table."""
        abandoned = tuple(self._abandoned)
        self._abandoned.clear()
        return abandoned

    async def claim(self, wish: IntentWish) -> Claim | FirstAnswer | Refusal:
        """Claim a key.

        Returns:
            A claim for the one that may send; the first answer if there is
            one; or why nothing may be sent.
        """
        wanted = Intent(
            wish.request,
            wish.fingerprint,
            self._owner.nonces(),
            self._owner.incarnation,
            self._clock.wall() + wish.seconds,
        )
        row = await self._put(wish.row, wanted, ABSENT)
        if isinstance(row, Refusal):
            return row
        found = msgspec.json.decode(row.text, type=Intent)
        if found.nonce == wanted.nonce:
            return Claim(wanted, row.key, row.version)
        if found.fingerprint != wanted.fingerprint:
            return key_reused()
        if found.state is IntentState.DONE:
            return await self._first_answer(found)
        return await self._again(row, found, wanted, wish)

    async def settle(
        self,
        claim: Claim,
        reply: ServiceReply | Refusal,
    ) -> Refusal | None:
        """Write how a claimed request ended; may be called again.

        An outcome that is unknown leaves the intent open for ever.
        """
        if isinstance(reply, Refusal):
            if reply.ran is not Ran.NOT_RUN:
                return None
            intent = replace(claim.intent, state=IntentState.NOT_RUN)
        else:
            answered = await self._answered(claim, reply)
            if isinstance(answered, Refusal):
                return answered
            intent = answered
        row = await self._put(claim.row, intent, claim.version)
        return row if isinstance(row, Refusal) else None

    async def release(self, claim: Claim) -> Refusal | None:
        """Settle a claim that was not used and may stand in the table.

        Nobody knows whether its write took effect. The row may be another
        host's by now, with the version that ours would have: that one runs
        or has run, so only a row with our own nonce is settled.
        """
        row = await self._table.read(claim.row)
        if isinstance(row, Refusal):
            return row
        if row.version >= claim.version and not _is_open(row, claim):
            return None
        # Where nothing stands yet, a write that comes late is in conflict.
        intent = replace(claim.intent, state=IntentState.NOT_RUN)
        present = await self._put(claim.row, intent, row.version)
        if isinstance(present, Refusal):
            return present
        return intent_unavailable() if _is_open(present, claim) else None

    async def _answered(
        self,
        claim: Claim,
        reply: ServiceReply,
    ) -> Intent | Refusal:
        """Return the intent with its answer, which is stored if large."""
        intent = replace(
            claim.intent,
            state=IntentState.DONE,
            status=reply.status,
            content_type=reply.content_type,
        )
        if len(reply.body) <= SMALL_ANSWER:
            text = base64.b64encode(reply.body).decode()
            return replace(intent, answer=text)
        digest = hashlib.sha256(reply.body).hexdigest()
        name = f'{_ANSWERS}{intent.request}/{digest}'
        refusal = await self._objects.put(name, reply.body)
        if refusal is not None:
            return refusal
        return replace(intent, stored=name)

    async def _first_answer(self, intent: Intent) -> FirstAnswer | Refusal:
        """Return the answer that an intent holds."""
        body: bytes | Refusal = base64.b64decode(intent.answer)
        if intent.stored:
            body = await self._objects.fetch(intent.stored)
        if isinstance(body, Refusal):
            return Refusal(
                ResultCode.STILL_RUNNING,
                'The request has run; its first answer can not be read now.',
                Ran.RAN,
                retry_after=5,
            )
        reply = ServiceReply(intent.status, body, intent.content_type)
        return FirstAnswer(RequestId(intent.request), reply)

    async def _again(
        self,
        row: Row,
        found: Intent,
        wanted: Intent,
        wish: IntentWish,
    ) -> Claim | Refusal:
        """Decide about a key whose first request has no answer."""
        open_until = self._open_until(found)
        free = found.state is IntentState.NOT_RUN
        # What may be repeated may also be taken over from the dead.
        if free or (wish.repeatable and open_until <= self._clock.wall()):
            again = await self._put(row.key, wanted, row.version)
            if isinstance(again, Refusal):
                return again
            present = msgspec.json.decode(again.text, type=Intent)
            if present.nonce == wanted.nonce:
                return Claim(wanted, row.key, again.version)
            open_until = self._open_until(present)
        left = open_until - self._clock.wall()
        return still_running(left) if left > 0 else outcome_unknown()

    def _open_until(self, intent: Intent) -> float:
        """Return until when an intent's request may run, wall seconds."""
        if self._owner.is_gone(Incarnation(intent.owner)):
            return 0
        return intent.ends + END_MARGIN

    async def _put(
        self,
        key: RowKey,
        intent: Intent,
        expected: RowVersion,
    ) -> Row | Refusal:
        """Write an intent, or return the row that stands in its way."""
        text = msgspec.json.encode(intent).decode()
        outcome = await self._table.commit((RowWrite(key, text, expected),))
        if isinstance(outcome, Conflict):
            return outcome.row
        if not isinstance(outcome, Refusal):
            return outcome[0]
        if outcome.ran is Ran.NOT_RUN:
            return intent_unavailable()
        # The write may have taken effect: our nonce would tell.
        row = await self._table.read(key)
        if not isinstance(row, Refusal) and row.version > expected:
            return row
        if intent.state is IntentState.OPEN:
            written = RowVersion(expected + 1)
            self._abandoned.append(Claim(intent, key, written))
        return intent_unavailable()


def _is_open(row: Row, claim: Claim) -> bool:
    """Tell whether a row holds a claim's own intent, not settled yet."""
    if row.version == ABSENT:
        return False
    intent = msgspec.json.decode(row.text, type=Intent)
    is_own = intent.nonce == claim.intent.nonce
    return is_own and intent.state is IntentState.OPEN


def key_reused() -> Refusal:
    """Say that a key or a ticket came with another request before."""
    return Refusal(
        ResultCode.KEY_REUSED,
        'The idempotency key was used for another request.',
    )


def still_running(seconds: float) -> Refusal:
    """Say that the first request may be running, for so many seconds."""
    return Refusal(
        ResultCode.STILL_RUNNING,
        'A request with this idempotency key is running.',
        Ran.UNKNOWN,
        retry_after=min(max(seconds, 0.1), 1),
    )


def outcome_unknown() -> Refusal:
    """Say that the first request may have run, and nobody will know."""
    return Refusal(
        ResultCode.OUTCOME_UNKNOWN,
        'A request with this idempotency key was begun and never settled; '
        'whether it ran can not be told, and it is not run again.',
        Ran.UNKNOWN,
    )


def intent_unavailable() -> Refusal:
    """Say that nothing may be sent, since nothing can be written down."""
    return Refusal(
        ResultCode.INTENT_UNAVAILABLE,
        'The request may not be repeated, and its intent can not be '
        'written now, so it was not sent.',
        retry_after=5,
    )
