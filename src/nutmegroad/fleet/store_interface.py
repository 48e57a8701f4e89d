"""Interface of the platform's store of versioned rows."""

from dataclasses import dataclass
from typing import Final, Protocol

from nutmegroad.foundations.decoding import Count
from nutmegroad.foundations.results import Refusal

#: Name of the table that holds the state shared by the hosts.
FLEET_TABLE: Final = 'nutmegroad'


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row of a table.

    Attributes:
        key: Its name within the table.
        content: Its value; empty for a row that was removed.
        version: Grows with every transaction, also across eras of the store.
        removed: Whether the row was removed.
    """

    key: str
    content: bytes
    version: Count
    removed: bool = False


@dataclass(frozen=True, slots=True)
class RowsRead:
    """All rows of a table as of one point in time, or the rows changed since.

    Attributes:
        rows: The rows.
        version: The store's version up to which they are complete.
        store_time: Seconds on the store's steady clock at that version.
        relayed: Whether another host has read them and sent them to this one.
        is_snapshot: Whether they are a full snapshot, though only changes were
            requested.
        era: The store's era; None if it names none.
    """

    rows: tuple[StoredRow, ...]
    version: int
    store_time: float
    relayed: bool = False
    is_snapshot: bool = False
    era: int | None = None


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store no longer knows the changes since a version.

    Attributes:
        era: The store's era; None if it names none.
    """

    era: int | None = None


@dataclass(frozen=True, slots=True)
class RowPut:
    """A row to write.

    Attributes:
        table: Its table.
        key: Its name within the table.
        content: Its new value.
    """

    table: str
    key: str
    content: bytes


@dataclass(frozen=True, slots=True)
class RowCondition:
    """Condition of a transaction: the version that a row must have.

    Attributes:
        table: Its table.
        key: Its name within the table.
        version: The version; 0 if the row must not exist.
    """

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Committed:
    """Outcome of a transaction that took effect.

    Attributes:
        version: The store's version after it.
        store_time: Seconds on the store's steady clock.
        era: The store's era; None if it names none.
    """

    version: int
    store_time: float
    era: int | None = None


@dataclass(frozen=True, slots=True)
class VersionConflict:
    """Outcome of a transaction without effect: a row had another version."""


class Store(Protocol):
    """Calls on the platform's store.

    If the ``ran`` of a refusal is ``UNKNOWN``, the write may have taken effect,
    or may take effect seconds later.
    """

    async def snapshot(self, table: str) -> RowsRead | Refusal:
        """Return all rows of a table as of one point in time."""

    async def changes(
        self,
        table: str,
        after: int,
        wait: float,
    ) -> RowsRead | HistoryLost | Refusal:
        """Return the changes after a version, or wait for one.

        Args:
            table: The table.
            after: The version that is known.
            wait: Seconds to wait for a change.
        """

    async def commit(
        self,
        expected: tuple[RowCondition, ...],
        puts: tuple[RowPut, ...],
    ) -> Committed | VersionConflict | Refusal:
        """Write all rows if all conditions hold, otherwise none."""
