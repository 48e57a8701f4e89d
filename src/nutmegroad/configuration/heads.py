"""The head row: which configuration is in force, moved by compare-and-set.

The document is an immutable object named by its digest. The preset in
force and the withdrawals stand in the same row, so that one read tells all
and two operators who race get one winner and one conflict.

Each move also writes a history row, in the same transaction: the head is
read by every host all the time and stays small, the history only by who
has to settle a lost reply, perhaps after others have moved the head on.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import msgspec
from msgspec import Struct
from msgspec.structs import replace

from nutmegroad.configuration.in_force import Accepted
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
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Digest, PresetName, Ran, Revision

HEAD_KEY: Final = RowKey('configuration/head')
HISTORY_KEY: Final = RowKey('configuration/history')
#: Moves that the history row keeps.
KEPT_MOVES: Final = 64

#: Times that a write is sent if it is not known whether it took effect.
_TRIES: Final = 3
_OBJECT_PREFIX: Final = 'configuration/'


class Head(Struct, frozen=True):
    """The content of the head row.

    Attributes:
        revision: Grows by one with each accepted change.
        digest: Name of the document's object.
        preset: The preset in force.
        author: The operator who made the change.
        nonce: Recognises the write whose reply was lost.
        summary: What the change was, in one sentence.
        withdrawals: All withdrawals so far.
    """

    revision: int = 0
    digest: str = ''
    preset: str = ''
    author: str = ''
    nonce: str = ''
    summary: str = ''
    withdrawals: tuple[Withdrawal, ...] = ()


class Move(Struct, frozen=True):
    """One move of the head.

    Attributes:
        revision: The revision that it made.
        nonce: The nonce of its write.
        author: The operator who made it.
        summary: What it was, in one sentence.
    """

    revision: int
    nonce: str
    author: str
    summary: str


class History(Struct, frozen=True):
    """The content of the history row.

    Attributes:
        moves: The newest moves, the newest last.
    """

    moves: tuple[Move, ...] = ()

    @property
    def revision(self) -> int:
        """Return the revision of the newest move."""
        return self.moves[-1].revision if self.moves else 0

    def find(self, revision: int) -> Move | None:
        """Return the move that made a revision, if it is still kept."""
        return next(
            (move for move in self.moves if move.revision == revision),
            None,
        )

    def extended(self, head: Head) -> 'History':
        """Return the history with one more move."""
        move = Move(head.revision, head.nonce, head.author, head.summary)
        return History((*self.moves, move)[-KEPT_MOVES:])


@dataclass(frozen=True, slots=True)
class _Ground:
    """What a move starts from."""

    head_row: Row
    history_row: Row

    @property
    def head(self) -> Head:
        return _decode(self.head_row)

    def writes(self, wanted: Head) -> tuple[RowWrite, ...]:
        """Return the writes of a move."""
        history = _decode_history(self.history_row).extended(wanted)
        return (
            _write_of(self.head_row, wanted),
            _write_of(self.history_row, history),
        )


#: Makes the next head out of the present one, or says why not.
Change = Callable[[Head], Head | Refusal]


class HeadStore:
    """Reads and moves the head row.

    Args:
        table: The table service.
        objects: The object store.
        nonces: Makes nonces that never repeat.
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
        """Return the head as the table has it now."""
        row = await self._table.read(HEAD_KEY)
        if isinstance(row, Refusal):
            return row
        return _decode(row)

    async def history(self) -> History | Refusal:
        """Return the newest moves of the head."""
        row = await self._table.read(HISTORY_KEY)
        if isinstance(row, Refusal):
            return row
        return _decode_history(row)

    async def fetch(self, digest: Digest) -> bytes | Refusal:
        """Return a document's content from the object store."""
        return await self._objects.fetch(_OBJECT_PREFIX + digest)

    async def store(self, document: Document) -> Digest | Refusal:
        """Store a document and return its name."""
        # Once read and written again, a whole number that stands for a real
        # one has its final form, and a peer's copy has the same digest.
        content = encode_document(decode_document(encode_document(document)))
        digest = digest_of(content)
        refusal = await self._objects.put(_OBJECT_PREFIX + digest, content)
        return digest if refusal is None else refusal

    async def move(
        self,
        change: Change,
        expected: Revision | None = None,
    ) -> Head | Refusal:
        """Move the head by one change.

        Args:
            change: Makes the next head; revision and nonce are filled in.
                One that returns the present head moves nothing.
            expected: Revision that the operator saw; None for any.

        Returns:
            The head that took effect, or why none did.
        """
        ground = await self._ground()
        if isinstance(ground, Refusal):
            return ground
        present = ground.head
        if expected is not None and present.revision != expected:
            return _conflict(present)
        changed = change(present)
        if isinstance(changed, Refusal) or changed == present:
            return changed
        wanted = replace(
            changed,
            revision=present.revision + 1,
            nonce=self._nonces(),
        )
        return await self._write(ground.writes(wanted), wanted)

    async def merge(
        self, withdrawals: Withdrawals, author: str
    ) -> Head | Refusal:
        """Write withdrawals to the table; those that it has change nothing."""

        def change(head: Head) -> Head | Refusal:
            """Join the sets."""
            joined = union(head.withdrawals, withdrawals)
            if joined == union(head.withdrawals):
                return head
            fresh = [
                withdrawal
                for withdrawal in joined
                if withdrawal not in head.withdrawals
            ]
            names = ', '.join(withdrawal.version for withdrawal in fresh)
            return replace(
                head,
                withdrawals=joined,
                author=author,
                summary=f'the version {names} was withdrawn',
            )

        outcome = await self.move(change)
        for _ in range(_TRIES):
            # Whoever came first has moved something else: join anew.
            if not _is_conflict(outcome):
                break
            outcome = await self.move(change)
        return outcome

    async def _ground(self) -> _Ground | Refusal:
        """Read both rows; if they do not fit, the write will conflict."""
        head_row = await self._table.read(HEAD_KEY)
        if isinstance(head_row, Refusal):
            return head_row
        history_row = await self._table.read(HISTORY_KEY)
        if isinstance(history_row, Refusal):
            return history_row
        return _Ground(head_row, history_row)

    async def _write(
        self,
        writes: tuple[RowWrite, ...],
        wanted: Head,
    ) -> Head | Refusal:
        """Write until it is known whether the write took effect.

        A write whose reply was lost may still be under way, so that reading
        back and finding nothing proves nothing. The same write once more
        either takes effect or meets a conflict, and then no copy can.
        """
        unknown = False
        for _ in range(_TRIES):
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
        """Find out who made the revision that we wanted to make."""
        history = await self.history()
        if isinstance(history, Refusal):
            return _unknown() if unknown else history
        move = history.find(wanted.revision)
        if move is None:
            # The history is a stale one, or has long moved on.
            return _unknown() if unknown else _lost_race(history)
        return wanted if _made(history, wanted) else _conflict(move)


def accept(head: Head, content: bytes) -> Accepted | Refusal:
    """Check a document's content against the head that names it."""
    if digest_of(content) != head.digest:
        return Refusal(
            ResultCode.CONFIGURATION_INVALID,
            f'The document for revision {head.revision} has another digest.',
        )
    return Accepted(
        Revision(head.revision),
        Digest(head.digest),
        decode_document(content),
        PresetName(head.preset),
        head.author,
    )


def _decode(row: Row) -> Head:
    """Read a row's text; a row never written is revision 0."""
    if not row.text:
        return Head()
    return msgspec.json.decode(row.text, type=Head)


def _decode_history(row: Row) -> History:
    """Read a row's text; a row never written has no moves."""
    if not row.text:
        return History()
    return msgspec.json.decode(row.text, type=History)


def _write_of(row: Row, content: Struct) -> RowWrite:
    """Return the write that replaces a row as it was read."""
    text = msgspec.json.encode(content).decode()
    return RowWrite(row.key, text, row.version)


def _made(history: History, wanted: Head) -> bool:
    """Tell whether a write is among the moves."""
    move = history.find(wanted.revision)
    return move is not None and move.nonce == wanted.nonce


def _is_conflict(outcome: Head | Refusal) -> bool:
    """Tell whether another change came first."""
    if not isinstance(outcome, Refusal):
        return False
    return outcome.code is ResultCode.CONFIGURATION_CONFLICT


def _lost_race(history: History) -> Refusal:
    """Name the newest change that is known."""
    return _conflict(history.moves[-1] if history.moves else Head())


def _conflict(present: Head | Move) -> Refusal:
    """Name the change that came first."""
    return Refusal(
        ResultCode.CONFIGURATION_CONFLICT,
        f'Revision {present.revision} by {present.author or "nobody"} came '
        f'first: {present.summary or "no change yet"}.',
    )


def _unknown() -> Refusal:
    """Say that nobody knows whether a change took effect."""
    return Refusal(
        ResultCode.OUTCOME_UNKNOWN,
        'The table took the change and did not say whether it took '
        'effect; look at the configuration before trying again.',
        Ran.UNKNOWN,
        retry_after=2,
    )
