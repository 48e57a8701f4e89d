"""The platform's store of rows, as far as the relay needs it."""

from dataclasses import dataclass
from typing import Final, Protocol

from nutmegroad.foundations.results import Refusal

#: The table in which the hosts keep what they share.
FLEET_TABLE: Final = 'nutmegroad'


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row of a table.

    Attributes:
        key: Its name within the table.
        content: Its value; empty for a row that was removed.
        version: Grows with every transaction, also over eras of the store.
        removed: Whether the row is gone.
    """

    key: str
    content: bytes
    version: int
    removed: bool = False


@dataclass(frozen=True, slots=True)
class RowsRead:
    """Rows of one table at one moment, or what has changed since another.

    Attributes:
        rows: The rows.
        version: The store's version at that moment.
        store_time: Seconds on the store's steady clock.
        relayed: Whether another host has read them.
        whole: Whether they are all rows, though only changes were asked for.
        era: The store's era; None if it names none.
    """

    rows: tuple[StoredRow, ...]
    version: int
    store_time: float
    relayed: bool = False
    whole: bool = False
    era: int | None = None


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store does not know any more what has changed since.

    Attributes:
        era: The store's era; None if it names none.
    """

    era: int | None = None


@dataclass(frozen=True, slots=True)
class RowPut:
    """A row to write.

    Attributes:
        table: Its table.
        key: Its name.
        content: Its new value.
    """

    table: str
    key: str
    content: bytes


@dataclass(frozen=True, slots=True)
class RowExpected:
    """A version that a row must have for a transaction to take effect.

    Attributes:
        table: Its table.
        key: Its name.
        version: The version; 0 if the row must not exist.
    """

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Committed:
    """A transaction took effect.

    Attributes:
        version: The store's version since.
        store_time: Seconds on the store's steady clock.
        era: The store's era; None if it names none.
    """

    version: int
    store_time: float
    era: int | None = None


@dataclass(frozen=True, slots=True)
class RowsMoved:
    """A transaction did nothing, since a row had another version."""


class Store(Protocol):
    """The calls that the relay makes.

    A refusal whose ``ran`` is ``UNKNOWN`` may hide a write that took effect,
    now or seconds later.
    """

    async def snapshot(self, table: str) -> RowsRead | Refusal:
        """Return all rows of a table as of one moment."""

    async def changes(
        self,
        table: str,
        after: int,
        wait: float,
    ) -> RowsRead | HistoryLost | Refusal:
        """Return what has changed, or wait so many seconds for a change."""

    async def commit(
        self,
        expected: tuple[RowExpected, ...],
        puts: tuple[RowPut, ...],
    ) -> Committed | RowsMoved | Refusal:
        """Write all rows if all expectations hold, else none."""
