"""An in-memory table that can be unavailable and can lose replies."""

from collections.abc import Awaitable, Callable

from nutmegroad.contracts.platform import (
    ABSENT,
    Conflict,
    Row,
    RowKey,
    RowVersion,
    RowWrite,
)
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Ran


class MemoryTable:
    """A fake of the table service.

    Attributes:
        rows: The stored rows.
        down: Whether the table is unavailable.
        replies_to_lose: Number of the next commits whose replies are lost.
        writes: Number of rows written.
        before_reply: Awaited after a commit has been applied and before its
            reply is sent.
    """

    def __init__(self) -> None:
        self.rows: dict[RowKey, Row] = {}
        self.down = False
        self.replies_to_lose = 0
        self.writes = 0
        self.before_reply: Callable[[], Awaitable[None]] | None = None

    async def read(self, key: RowKey) -> Row | Refusal:
        """Return a row; a row that was never written has no text."""
        if self.down:
            return _refusal(Ran.NOT_RUN)
        return self.rows.get(key) or Row(key, '', ABSENT)

    async def scan(self, prefix: str) -> tuple[Row, ...] | Refusal:
        """Return the rows whose keys start with a prefix, in key order."""
        if self.down:
            return _refusal(Ran.NOT_RUN)
        rows = [row for key, row in self.rows.items() if key.startswith(prefix)]
        return tuple(sorted(rows, key=lambda row: row.key))

    async def commit(
        self,
        writes: tuple[RowWrite, ...],
    ) -> tuple[Row, ...] | Conflict | Refusal:
        """Write all rows or none; the reply may be lost afterwards."""
        if self.down:
            return _refusal(Ran.UNKNOWN)
        for write in writes:
            row = self.rows.get(write.key) or Row(write.key, '', ABSENT)
            if row.version != write.expected:
                return Conflict(row)
        for write in writes:
            version = RowVersion(write.expected + 1)
            self.rows[write.key] = Row(write.key, write.text, version)
            self.writes += 1
        if self.before_reply is not None:
            await self.before_reply()
        if self.replies_to_lose:
            self.replies_to_lose -= 1
            return _refusal(Ran.UNKNOWN)
        return tuple(self.rows[write.key] for write in writes)


def _refusal(ran: Ran) -> Refusal:
    """Return a refusal for a call without a reply from the table."""
    return Refusal(ResultCode.TABLE_UNAVAILABLE, 'The table is down.', ran)
