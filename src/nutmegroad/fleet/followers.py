"""Following a table of the platform's store.

A follower reads a table whole, then waits for changes, for ever. It tells
its sink up to what moment it knows the table: when the answer was made.
"""

import random
from dataclasses import dataclass
from typing import Final, Protocol

from nutmegroad.fleet.eras import era_of
from nutmegroad.fleet.store_clock import StoreClock
from nutmegroad.fleet.stored import HistoryLost, RowsRead
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal

_LOG: Final = part_logger('followers')

#: Seconds before the first and the later tries after a failure. A configuration
#: has to be in force three seconds after the store is back: one is for a call
#: that hangs, one for this pause at its longest.
FIRST_RETRY: Final = 0.1
LONGEST_RETRY: Final = 0.6

#: Between which parts of a pause retries are spread.
SPREAD: Final = (0.5, 1.5)


class TableSink(Protocol):
    """Takes in what a follower reads."""

    def replace(self, read: RowsRead) -> None:
        """Take the whole table in."""

    def apply(self, read: RowsRead) -> None:
        """Take changes in."""

    def confirm(self, moment: float, read: RowsRead) -> None:
        """Note that nothing newer existed at a moment of our clock."""

    def lost(self) -> None:
        """Note that the store does not answer."""

    def went_back(self) -> None:
        """Note that the store came back from a copy that is some seconds old.

        The table is taken in whole right after that.
        """


class TableSource(Protocol):
    """Where tables are followed: the store, or another host that reads it."""

    async def snapshot(self, table: str) -> RowsRead | Refusal:
        """Return all rows of a table as of one moment."""

    async def changes(
        self,
        table: str,
        after: int,
        wait: float,
        told_until: float,
    ) -> RowsRead | HistoryLost | Refusal:
        """Return what has changed, or wait for a change.

        Args:
            table: The table.
            after: The version that is known.
            wait: Seconds that the store is asked to wait.
            told_until: Clock seconds until which news of another host are
                waited for; then the store is asked.
        """

    async def rest(self, table: str, seconds: float) -> None:
        """Wait after a failure before the next question."""


@dataclass(frozen=True, slots=True)
class FeedPace:
    """How often a table's changes are asked for.

    Attributes:
        wait: Seconds that the store is asked to wait for a change.
        rest: Seconds between an answer and the next question, so that
            changes which come one after another share an answer.
        reliance: Seconds for which what another host told is relied on, counted
            from the store's answer that it had.
    """

    wait: float
    rest: float
    reliance: float


class TableFollower:
    """Keeps a sink in step with one table.

    Args:
        store: Where tables are read.
        table: Name of the table.
        sink: What takes it in.
        pace: How often the store is asked.
        clock: The host's clock.
        store_clock: The store's clock.
        randomness: Spreads retries of many hosts.
    """

    def __init__(
        self,
        store: TableSource,
        table: str,
        sink: TableSink,
        pace: FeedPace,
        clock: Clock,
        store_clock: StoreClock,
        randomness: random.Random,
    ) -> None:
        self._store = store
        self._table = table
        self._sink = sink
        self._wait = pace.wait
        self._rest = pace.rest
        self._reliance = pace.reliance
        self._clock = clock
        self._store_clock = store_clock
        self._randomness = randomness
        self._after: int | None = None
        # The store's era as the table was last read whole.
        self._era: int | None = None
        # Clock seconds up to which the table is known.
        self._known = float('-inf')
        self._retry = FIRST_RETRY
        self._failing = False
        self._relayed = False

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            if not await self.step():
                pause = self._retry * self._randomness.uniform(*SPREAD)
                self._retry = min(LONGEST_RETRY, self._retry * 2)
                await self._store.rest(self._table, pause)
            elif not self._relayed:
                # What another host has read, it has rested for already.
                await self._clock.sleep(self._rest)

    async def step(self) -> bool:
        """Make one call, and tell whether it gave an answer."""
        if self._after is None:
            read = await self._store.snapshot(self._table)
            if isinstance(read, Refusal):
                return self._failed(read)
            self._replace(read)
            return True
        # A call to a silent store hangs for as long as it was to wait, also
        # when the store has come back meanwhile.
        wait = 0 if self._failing else self._wait
        found = await self._store.changes(
            self._table,
            self._after,
            wait,
            self._known + self._reliance,
        )
        if isinstance(found, HistoryLost):
            _LOG.decision('history lost', table=self._table, after=self._after)
            self._after = None
            return True
        if isinstance(found, Refusal):
            return self._failed(found)
        if found.whole:
            self._replace(found)
            return True
        if found.rows:
            self._sink.apply(found)
        self._took(found)
        return True

    def _replace(self, read: RowsRead) -> None:
        """Take the whole table in."""
        era = era_of(read.version)
        if self._era is not None and era > self._era:
            self._sink.went_back()
            # What was known is known of the era before.
            self._known = float('-inf')
        self._era = era
        self._sink.replace(read)
        self._took(read)

    def _took(self, read: RowsRead) -> None:
        """Note that the store has answered."""
        self._relayed = read.relayed
        moment = self._store_clock.moment(read.store_time)
        if read.rows:
            _LOG.decision(
                'changes taken',
                table=self._table,
                version=read.version,
                after=self._after,
                rows=len(read.rows),
                told=read.relayed,
                age=round(self._clock.now() - moment, 3),
            )
        self._known = max(self._known, moment)
        self._after = max(read.version, self._after or 0)
        self._retry = FIRST_RETRY
        if self._failing:
            self._failing = False
            _LOG.decision('store regained', table=self._table)
        self._sink.confirm(moment, read)

    def _failed(self, refusal: Refusal) -> bool:
        """Note that the store has not answered."""
        if not self._failing:
            self._failing = True
            _LOG.decision(
                'store lost',
                table=self._table,
                code=refusal.code.name,
                reason=refusal.reason,
            )
        self._sink.lost()
        return False


class FollowedStore:
    """Makes followers of one store.

    Args:
        store: Where tables are read.
        clock: The host's clock.
        store_clock: The store's clock.
        randomness: Spreads retries of many hosts.
    """

    def __init__(
        self,
        store: TableSource,
        clock: Clock,
        store_clock: StoreClock,
        randomness: random.Random,
    ) -> None:
        self._store = store
        self._clock = clock
        self._store_clock = store_clock
        self._randomness = randomness

    def follow(
        self,
        table: str,
        sink: TableSink,
        pace: FeedPace,
    ) -> TableFollower:
        """Return a follower of a table."""
        return TableFollower(
            self._store,
            table,
            sink,
            pace,
            self._clock,
            self._store_clock,
            self._randomness,
        )
