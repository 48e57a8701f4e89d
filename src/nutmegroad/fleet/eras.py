"""The platform's store, which may come back from a copy some seconds old.

Its versions go back then and are given out again, so a version means something
only within one era, which its answers name. Here era and version become one
number, a position, which only ever grows: whoever compares positions compares
eras first without knowing it. A position of an era that is over is no condition
and no place to read on from; whoever comes with one reads the table whole.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import Final

from nutmegroad.fleet.stored import (
    Committed,
    HistoryLost,
    RowExpected,
    RowPut,
    RowsMoved,
    RowsRead,
    Store,
    StoredRow,
)
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode

_LOG: Final = part_logger('eras')

#: Bits of a version within a position: a million transactions a second for a
#: hundred days, and an era for each of a million returns fits besides.
VERSION_BITS: Final = 43

#: Told that the store has come back from a copy.
TellOfRise = Callable[[], None]


def position(era: int, version: int) -> int:
    """Return a version of an era as one number."""
    return era << VERSION_BITS | version


def era_of(place: int) -> int:
    """Return the era of a position."""
    return place >> VERSION_BITS


def version_of(place: int) -> int:
    """Return the store's own version of a position."""
    return place & ((1 << VERSION_BITS) - 1)


class EraStore:
    """A store whose versions never go back.

    Args:
        store: The platform's store, with versions and eras of its own.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self._told: list[TellOfRise] = []
        self._complained: int | None = None
        # Whether any era was named yet.
        self._named = False
        #: The highest era that is known of.
        self.era = 0
        #: How often it has risen since the first answer.
        self.returns = 0

    def tell_of_rises(self, tell: TellOfRise) -> None:
        """Let somebody hear when an answer shows that the store came back."""
        self._told.append(tell)

    def heard(self, place: int) -> None:
        """Take in a position that another host has told."""
        if self._named or era_of(place):
            self._learn(era_of(place), told=True)

    async def snapshot(self, table: str) -> RowsRead | Refusal:
        """Return all rows of a table as of one moment."""
        known = self.era
        found = await self._store.snapshot(table)
        if isinstance(found, Refusal):
            return found
        if not self._is_current(found.era, known):
            return _crossed(table)
        return self._placed(found)

    async def changes(
        self,
        table: str,
        after: int,
        wait: float,
    ) -> RowsRead | HistoryLost | Refusal:
        """Return what has changed, or wait so many seconds for a change."""
        known = era_of(after)
        if known != self.era:
            return HistoryLost()
        found = await self._store.changes(table, version_of(after), wait)
        if isinstance(found, Refusal):
            return found
        if not self._is_current(found.era, known):
            return _crossed(table)
        if isinstance(found, HistoryLost) or self.era != known:
            # With no sign at all the feed would go on past what it has missed.
            return HistoryLost()
        return self._placed(found)

    async def commit(
        self,
        expected: tuple[RowExpected, ...],
        puts: tuple[RowPut, ...],
    ) -> Committed | RowsMoved | Refusal:
        """Write all rows if all expectations hold, else none.

        A condition of an era that is over says nothing of the row that is there
        now. One that is over as it arrives may hold by chance; what it wrote is
        then read like anybody's row.
        """
        known = self.era
        if any(
            row.version and era_of(row.version) != known for row in expected
        ):
            return RowsMoved()
        outcome = await self._store.commit(
            tuple(
                replace(row, version=version_of(row.version))
                for row in expected
            ),
            puts,
        )
        if not isinstance(outcome, Committed):
            return outcome
        if not self._is_current(outcome.era, known) or self.era != known:
            return RowsMoved()
        return replace(outcome, version=position(self.era, outcome.version))

    def _placed(self, read: RowsRead) -> RowsRead:
        """Return what was read, with positions for versions."""
        if not self.era:
            return read
        rows = tuple(self._place(row) for row in read.rows)
        return replace(
            read,
            rows=rows,
            version=position(self.era, read.version),
        )

    def _place(self, row: StoredRow) -> StoredRow:
        """Return a row with its position."""
        return replace(row, version=position(self.era, row.version))

    def _is_current(self, era: int | None, known: int) -> bool:
        """Tell whether an answer may be taken, and learn its era.

        Args:
            era: The era that it names; None if it names none.
            known: The era that was known as the call was made.
        """
        if era is None:
            return True
        if era >= self.era:
            if self._learn(era, told=False):
                self._tell()
            return True
        if known < self.era:
            # From before: on its way as the store came back.
            return False
        if self._complained != era:
            self._complained = era
            _LOG.decision('era lower than before', known=self.era, told=era)
        return True

    def _tell(self) -> None:
        """Tell whoever wants to know."""
        for tell in self._told:
            tell()

    def _learn(self, era: int, *, told: bool) -> bool:
        """Take in an era; tell whether the store has come back from a copy.

        Args:
            era: The era.
            told: Whether another host has told it.
        """
        first = not self._named
        self._named = True
        if era <= self.era:
            return False
        before = self.era
        self.era = era
        if first:
            return False
        self.returns += 1
        _LOG.decision(
            'store came back from a copy',
            before=before,
            era=era,
            told=told,
        )
        return True


def _crossed(table: str) -> Refusal:
    """Return the refusal of an answer from an era that is over."""
    return Refusal(
        ResultCode.TABLE_UNAVAILABLE,
        f'An answer on {table!r} was made before the store came back.',
    )
