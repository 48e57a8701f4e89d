"""The head row, which names the configuration in force.

The head is moved from one revision to the next by compare-and-set. The
document is an immutable object named by its digest. The preset in force and
the withdrawals are part of the same row, so that one read returns everything,
and of two operators with concurrent changes one succeeds and one gets a
conflict.

Each move also writes a history row in the same transaction. Every host polls
the head, which therefore stays small. The history is only read to find out
whether a move whose reply was lost took effect, even if others have moved the
head since.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import msgspec
from msgspec import Struct
from msgspec.structs import replace

from nutmegroad.configuration.in_force import AcceptedConfiguration
from nutmegroad.configuration.withdrawals import Withdrawals, union
from nutmegroad.contracts.documents import (
    Document,
    Withdrawal,
    decode_document,
    digest_of,
    encode_document,
)
from nutmegroad.contracts.platform import (
    Conflict,
    Objects,
    Row,
    RowKey,
    RowWrite,
    Table,
)
from nutmegroad.contracts.rows import decode_row
from nutmegroad.foundations.decoding import Count
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Digest, PresetName, Ran, Revision

HEAD_KEY: Final = RowKey('configuration/head')
HISTORY_KEY: Final = RowKey('configuration/history')
#: Moves that the history row retains.
MAX_MOVES: Final = 64

#: Times that a write is sent if it is not known whether it took effect, and
#: that a merge is repeated after conflicts.
_MAX_ATTEMPTS: Final = 3
_OBJECT_PREFIX: Final = 'configuration/'


class Head(Struct, frozen=True):
    """The content of the head row.

    Attributes:
        revision: Increases by one with each accepted change.
        digest: Digest of the document, which names its object.
        preset: The preset in force.
        author: The operator who made the change.
        nonce: Identifies a write whose reply was lost.
        summary: Description of the change, in one phrase.
        withdrawals: All withdrawals so far.
    """

    revision: Count = 0
    digest: str = ''
    preset: str = ''
    author: str = ''
    nonce: str = ''
    summary: str = ''
    withdrawals: tuple[Withdrawal, ...] = ()


class Move(Struct, frozen=True):
    """One move of the head to a new revision.

    Attributes:
        revision: The new revision.
        nonce: The nonce of its write.
        author: The operator who made it.
        summary: Description of the change, in one phrase.
    """

    revision: Count
    nonce: str
    author: str
    summary: str


class History(Struct, frozen=True):
    """The content of the history row.

    Attributes:
        moves: The most recent moves, oldest first.
    """

    moves: tuple[Move, ...] = ()

    @property
    def revision(self) -> int:
        """The revision of the most recent move; 0 without moves."""
        return self.moves[-1].revision if self.moves else 0

    def find(self, revision: int) -> Move | None:
        """Return the move that made a revision, if it is still retained."""
        return next(
            (move for move in self.moves if move.revision == revision),
            None,
        )

    def extended(self, head: Head) -> 'History':
        """Return the history with the move to a head appended."""
        move = Move(head.revision, head.nonce, head.author, head.summary)
        return History((*self.moves, move)[-MAX_MOVES:])


@dataclass(frozen=True, slots=True)
class _HeadRows:
    """The head and history rows that a move is based on, and their content."""

    head_row: Row
    history_row: Row
    head: Head
    history: History

    def writes(self, new_head: Head) -> tuple[RowWrite, ...]:
        """Return the row writes that move the head."""
        history = self.history.extended(new_head)
        return (
            _write_of(self.head_row, new_head),
            _write_of(self.history_row, history),
        )


#: Returns the next head for the current one, or why there is none.
HeadChange = Callable[[Head], Head | Refusal]


class HeadStore:
    """Reads and moves the head row.

    Args:
        table: The table service.
        objects: The object store.
        nonces: Generates unique nonces.
    """

    def __init__(
        self,
        table: Table,
        objects: Objects,
        nonces: Callable[[], str],
    ) -> None:
        self._table = table
        self._objects = objects
        self._nonces = nonces

    async def read(self) -> Head | Refusal:
        """Read the current head from the table."""
        row = await self._table.read(HEAD_KEY)
        if isinstance(row, Refusal):
            return row
        return _decode(row)

    async def history(self) -> History | Refusal:
        """Read the most recent moves of the head from the table."""
        row = await self._table.read(HISTORY_KEY)
        if isinstance(row, Refusal):
            return row
        return _decode_history(row)

    async def fetch_document(self, digest: Digest) -> bytes | Refusal:
        """Fetch a document's content from the object store."""
        return await self._objects.fetch(_OBJECT_PREFIX + digest)

    async def store_document(self, document: Document) -> Digest | Refusal:
        """Store a document and return its digest."""
        # Decoding and encoding it again normalizes integers in fields for real
        # numbers, so that the document has the same digest when a peer encodes
        # its own copy.
        content = encode_document(decode_document(encode_document(document)))
        digest = digest_of(content)
        refusal = await self._objects.put(_OBJECT_PREFIX + digest, content)
        return digest if refusal is None else refusal

    async def move(
        self,
        change: HeadChange,
        expected: Revision | None = None,
    ) -> Head | Refusal:
        """Move the head by one change.

        Args:
            change: Returns the next head; revision and nonce are filled in. If
                it returns the current head, nothing is written.
            expected: Current revision that the change requires; None for any.

        Returns:
            The head that took effect, or why none did.
        """
        rows = await self._read_rows()
        if isinstance(rows, Refusal):
            return rows
        current = rows.head
        if expected is not None and current.revision != expected:
            return _conflict(current)
        changed = change(current)
        if isinstance(changed, Refusal) or changed == current:
            return changed
        new_head = replace(
            changed,
            revision=current.revision + 1,
            nonce=self._nonces(),
        )
        return await self._write(rows.writes(new_head), new_head)

    async def merge_withdrawals(
        self,
        withdrawals: Withdrawals,
        author: str,
    ) -> Head | Refusal:
        """Add withdrawals to the head; those it has already change nothing."""

        def change(head: Head) -> Head | Refusal:
            """Merge the withdrawals into the head."""
            merged = union(head.withdrawals, withdrawals)
            if merged == union(head.withdrawals):
                return head
            added = [
                withdrawal
                for withdrawal in merged
                if withdrawal not in head.withdrawals
            ]
            names = ', '.join(withdrawal.version for withdrawal in added)
            return replace(
                head,
                withdrawals=merged,
                author=author,
                summary=f'the version {names} was withdrawn',
            )

        outcome = await self.move(change)
        for _ in range(_MAX_ATTEMPTS):
            # Another change came first, so merge into the new head.
            if not _is_conflict(outcome):
                break
            outcome = await self.move(change)
        return outcome

    async def _read_rows(self) -> _HeadRows | Refusal:
        """Read both rows; if they do not match, the write will conflict."""
        head_row = await self._table.read(HEAD_KEY)
        if isinstance(head_row, Refusal):
            return head_row
        history_row = await self._table.read(HISTORY_KEY)
        if isinstance(history_row, Refusal):
            return history_row
        head, history = _decode(head_row), _decode_history(history_row)
        if isinstance(head, Refusal):
            return head
        if isinstance(history, Refusal):
            return history
        return _HeadRows(head_row, history_row, head, history)

    async def _write(
        self,
        writes: tuple[RowWrite, ...],
        wanted: Head,
    ) -> Head | Refusal:
        """Commit the writes until it is known whether they took effect.

        If the reply was lost, the commit may still be in flight, so its
        absence from the table proves nothing. The same commit sent again either
        takes effect or conflicts, and after that no earlier copy can take
        effect.
        """
        unknown = False
        for _ in range(_MAX_ATTEMPTS):
            outcome = await self._table.commit(writes)
            if isinstance(outcome, Conflict):
                return await self._settle(wanted, unknown)
            if not isinstance(outcome, Refusal):
                return wanted
            if outcome.ran is Ran.NOT_RUN and not unknown:
                return outcome
            unknown = True
        history = await self.history()
        if not isinstance(history, Refusal) and _made(history, wanted):
            return wanted
        return _unknown()

    async def _settle(self, wanted: Head, unknown: bool) -> Head | Refusal:
        """Determine whether the wanted revision was made by this write.

        Args:
            wanted: The head that was written.
            unknown: Whether an earlier copy of it may have taken effect.
        """
        history = await self.history()
        if isinstance(history, Refusal):
            return _unknown() if unknown else history
        move = history.find(wanted.revision)
        if move is None:
            # The history that was read is stale, or no longer has the move.
            return _unknown() if unknown else _newest_conflict(history)
        return wanted if _made(history, wanted) else _conflict(move)


def accept(head: Head, content: bytes) -> AcceptedConfiguration | Refusal:
    """Decode a document after verifying it against the digest in the head."""
    if digest_of(content) != head.digest:
        return Refusal(
            ResultCode.CONFIGURATION_INVALID,
            f'The document for revision {head.revision} has the wrong digest.',
        )
    return AcceptedConfiguration(
        Revision(head.revision),
        Digest(head.digest),
        decode_document(content),
        PresetName(head.preset),
        head.author,
    )


def _decode(row: Row) -> Head | Refusal:
    """Decode a head row; one that was never written is revision 0."""
    if not row.text:
        return Head()
    return decode_row(row, Head)


def _decode_history(row: Row) -> History | Refusal:
    """Decode a history row; one that was never written has no moves."""
    if not row.text:
        return History()
    return decode_row(row, History)


def _write_of(row: Row, content: Struct) -> RowWrite:
    """Return the write that replaces a row if it has not changed."""
    text = msgspec.json.encode(content).decode()
    return RowWrite(row.key, text, row.version)


def _made(history: History, wanted: Head) -> bool:
    """Return whether the history contains the write of a head."""
    move = history.find(wanted.revision)
    return move is not None and move.nonce == wanted.nonce


def _is_conflict(outcome: Head | Refusal) -> bool:
    """Return whether another change came first."""
    if not isinstance(outcome, Refusal):
        return False
    return outcome.code is ResultCode.CONFIGURATION_CONFLICT


def _newest_conflict(history: History) -> Refusal:
    """Return the refusal that names the newest known change."""
    return _conflict(history.moves[-1] if history.moves else Head())


def _conflict(first: Head | Move) -> Refusal:
    """Return the refusal that names the change that came first."""
    return Refusal(
        ResultCode.CONFIGURATION_CONFLICT,
        f'Revision {first.revision} by {first.author or "nobody"} came '
        f'first: {first.summary or "no change yet"}.',
    )


def _unknown() -> Refusal:
    """Return the refusal for a change that may have taken effect."""
    return Refusal(
        ResultCode.OUTCOME_UNKNOWN,
        'The table did not confirm whether the change took effect; check '
        'the configuration before trying again.',
        Ran.UNKNOWN,
        retry_after=2,
    )
