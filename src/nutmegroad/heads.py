"""The head row: which configuration is in force, moved by compare-and-set.

The document is an immutable object named by its digest. The preset in
force and the withdrawals stand in the same row, so that one read tells all
and two operators who race get one winner and one conflict.
"""

from collections.abc import Callable
from typing import Final

import msgspec
from msgspec import Struct
from msgspec.structs import replace

from nutmegroad.configuration import Accepted
from nutmegroad.documents import (
    Document,
    Withdrawal,
    decode_document,
    digest_of,
    encode_document,
)
from nutmegroad.platform import (
    Conflict,
    Objects,
    Row,
    RowKey,
    RowWrite,
    Table,
)
from nutmegroad.results import Refusal, ResultCode
from nutmegroad.types import Digest, PresetName, Ran, Revision

HEAD_KEY: Final = RowKey('configuration/head')

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

    async def fetch(self, head: Head) -> Accepted | Refusal:
        """Return the configuration that a head names."""
        content = await self._objects.fetch(_OBJECT_PREFIX + head.digest)
        if isinstance(content, Refusal):
            return content
        return accept(head, content)

    async def store(self, document: Document) -> Digest | Refusal:
        """Store a document and return its name."""
        content = encode_document(document)
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
            expected: Revision that the operator saw; None for any.

        Returns:
            The head that took effect, or why none did.
        """
        row = await self._table.read(HEAD_KEY)
        if isinstance(row, Refusal):
            return row
        present = _decode(row)
        if expected is not None and present.revision != expected:
            return _conflict(present)
        changed = change(present)
        if isinstance(changed, Refusal):
            return changed
        wanted = replace(
            changed,
            revision=present.revision + 1,
            nonce=self._nonces(),
        )
        return await self._write(row, wanted)

    async def _write(self, row: Row, wanted: Head) -> Head | Refusal:
        """Write the head and settle a reply that was lost."""
        text = msgspec.json.encode(wanted).decode()
        write = RowWrite(row.key, text, row.version)
        outcome = await self._table.commit((write,))
        if isinstance(outcome, Conflict):
            return _settle(_decode(outcome.row), wanted)
        if isinstance(outcome, Refusal):
            return await self._settle_lost(outcome, wanted)
        return wanted

    async def _settle_lost(
        self,
        refusal: Refusal,
        wanted: Head,
    ) -> Head | Refusal:
        """Read back after a reply that may hide a write."""
        if refusal.ran is Ran.NOT_RUN:
            return refusal
        present = await self.read()
        if isinstance(present, Refusal):
            return Refusal(
                ResultCode.OUTCOME_UNKNOWN,
                'The table took the change and did not say whether it took '
                'effect; look at the configuration before trying again.',
                Ran.UNKNOWN,
                retry_after=2,
            )
        if present.revision < wanted.revision:
            return refusal
        return _settle(present, wanted)


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


def _settle(present: Head, wanted: Head) -> Head | Refusal:
    """Tell from the present head whether our write took effect."""
    if present.nonce == wanted.nonce:
        return wanted
    return _conflict(present)


def _conflict(present: Head) -> Refusal:
    """Name the change that came first."""
    return Refusal(
        ResultCode.CONFIGURATION_CONFLICT,
        f'Revision {present.revision} by {present.author or "nobody"} came '
        f'first: {present.summary or "no change yet"}',
    )
