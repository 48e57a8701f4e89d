"""Intent rows: a request that may not be repeated runs at most once.

Before the first byte goes out, the host writes a row under the caller's
key that must not exist yet; only the host whose write took effect sends.
A host that dies after its intent leaves it open: the outcome is unknown,
and there is never a second run.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

import msgspec
from msgspec import Struct

from nutmegroad.platform import (
    ABSENT,
    Conflict,
    Row,
    RowKey,
    RowVersion,
    RowWrite,
    Table,
)
from nutmegroad.results import Refusal, ResultCode
from nutmegroad.types import IdempotencyKey, Ran, RequestId, WorkspaceId

_PREFIX: Final = 'intent/'


@unique
class IntentState(Enum):
    """Where an intent stands."""

    OPEN = 'open'
    DONE = 'done'
    NOT_RUN = 'not_run'


class Intent(Struct, frozen=True):
    """The content of an intent row.

    Attributes:
        request: The request that wrote it.
        fingerprint: Hash of the request's content.
        nonce: Recognises the write whose reply was lost.
        state: Where it stands.
        status: HTTP status of the answer, once done.
        content_type: Media type of the answer.
        answer: The answer's body, once done.
    """

    request: str
    fingerprint: str
    nonce: str
    state: IntentState = IntentState.OPEN
    status: int = 0
    content_type: str = ''
    answer: str = ''


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


class IntentLedger:
    """Writes and settles intents.

    Args:
        table: The table service.
        nonces: Makes nonces that never repeat.
    """

    def __init__(self, table: Table, nonces: Callable[[], str]) -> None:
        self._table = table
        self._nonces = nonces

    async def claim(
        self,
        workspace: WorkspaceId,
        key: IdempotencyKey,
        request: RequestId,
        fingerprint: str,
    ) -> Claim | Intent | Refusal:
        """Claim a key.

        Returns:
            A claim for the one that may send; the earlier intent if it is
            done; or why nothing may be sent.
        """
        row_key = RowKey(f'{_PREFIX}{workspace}/{key}')
        wanted = Intent(request, fingerprint, self._nonces())
        row = await self._put(row_key, wanted, ABSENT)
        if isinstance(row, Refusal):
            return row
        found = msgspec.json.decode(row.text, type=Intent)
        if found.nonce == wanted.nonce:
            return Claim(wanted, row_key, row.version)
        return await self._earlier(row, found, wanted)

    async def settle(self, claim: Claim, intent: Intent) -> Refusal | None:
        """Write how a claimed request ended."""
        row = await self._put(claim.row, intent, claim.version)
        return row if isinstance(row, Refusal) else None

    async def _earlier(
        self,
        row: Row,
        found: Intent,
        wanted: Intent,
    ) -> Claim | Intent | Refusal:
        """Decide about a key that was claimed before."""
        if found.fingerprint != wanted.fingerprint:
            return Refusal(
                ResultCode.KEY_REUSED,
                'The idempotency key was used for another request.',
            )
        if found.state is IntentState.DONE:
            return found
        if found.state is IntentState.NOT_RUN:
            again = await self._put(row.key, wanted, row.version)
            if isinstance(again, Refusal):
                return again
            present = msgspec.json.decode(again.text, type=Intent)
            if present.nonce == wanted.nonce:
                return Claim(wanted, row.key, again.version)
        return Refusal(
            ResultCode.OUTCOME_UNKNOWN,
            'A request with this idempotency key was begun before; it may '
            'be running still, or its outcome is unknown.',
            Ran.UNKNOWN,
            retry_after=5,
        )

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
        if outcome.ran is not Ran.NOT_RUN:
            # The write may have taken effect: our nonce would tell.
            row = await self._table.read(key)
            if not isinstance(row, Refusal) and row.version > expected:
                return row
        return Refusal(
            ResultCode.INTENT_UNAVAILABLE,
            'The request may not be repeated, and its intent can not be '
            'written now, so it was not sent.',
            retry_after=5,
        )
