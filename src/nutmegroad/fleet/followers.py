"""Followers that keep local state in step with a table of the store.

A follower reads the full snapshot of a table, then waits for changes until it
is cancelled. It reports to its sink up to which time the table is known: the
time at which the store made the answer.
"""

import random
from dataclasses import dataclass
from typing import Final, Protocol

from nutmegroad.fleet.eras import era_of
from nutmegroad.fleet.store_clock import StoreClock
from nutmegroad.fleet.store_interface import HistoryLost, RowsRead
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal

_LOG: Final = part_logger('followers')

#: Initial and maximum seconds from a call that failed at once to the next, and
#: minimum seconds after one that hung. An entry that is missing when the store
#: answers again may be that of a live upstream for two of the three seconds
#: within which it has to be removed, if its upstream has left; the third is for
#: finding out that the store answers.
INITIAL_RETRY_DELAY: Final = 0.1
MAX_RETRY_DELAY: Final = 0.4

#: Range of factors by which retry delays are randomized.
RETRY_JITTER: Final = (0.5, 1.5)


class TableSink(Protocol):
    """Receives what a follower reads."""

    def replace(self, read: RowsRead) -> None:
        """Replace the state with a full snapshot of the table."""

    def apply(self, read: RowsRead) -> None:
        """Apply changes of the table."""

    def confirm(self, moment: float, read: RowsRead) -> None:
        """Record that the state was current at a time of this host's clock.

        Args:
            moment: Clock time in seconds.
            read: What was read.
        """

    def on_store_unavailable(self) -> None:
        """Record that the store does not answer."""

    def on_store_restored(self) -> None:
        """Record that the store was restored from an older backup.

        A full snapshot of the table follows immediately.
        """


class TableSource(Protocol):
    """Where followers read tables: the store, or another host that reads it."""

    async def snapshot(self, table: str) -> RowsRead | Refusal:
        """Return all rows of a table as of one point in time."""

    async def changes(
        self,
        table: str,
        after: int,
        wait: float,
        updates_until: float,
    ) -> RowsRead | HistoryLost | Refusal:
        """Return the changes after a version, or wait for one.

        Args:
            table: The table.
            after: The version that is known.
            wait: Seconds that the store is asked to wait.
            updates_until: Clock time in seconds until which updates of another
                host are awaited; after that, the store is asked.
        """

    async def pause_after_failure(self, table: str, seconds: float) -> None:
        """Wait after a failure before the next call."""


@dataclass(frozen=True, slots=True)
class FeedTiming:
    """How often the changes of a table are requested.

    Attributes:
        wait: Seconds that the store is asked to wait for a change.
        pause: Seconds between an answer and the next call, so that changes in
            quick succession share one answer.
        update_validity: Seconds for which updates from another host are valid,
            counted from the store's answer that contained them.
    """

    wait: float
    pause: float
    update_validity: float


class TableFollower:
    """Keeps a sink in step with one table.

    Args:
        store: Where the table is read.
        table: Name of the table.
        sink: Receives the table's rows.
        timing: How often the store is asked.
        clock: The host's clock.
        store_clock: The store's clock.
        randomness: Randomizes the retries of many hosts.
    """

    @property
    def table(self) -> str:
        """Name of the table."""
        return self._table

    @property
    def age(self) -> float:
        """Seconds since the table was last known to be current."""
        return self._clock.now() - self._known_until

    def __init__(
        self,
        store: TableSource,
        table: str,
        sink: TableSink,
        timing: FeedTiming,
        clock: Clock,
        store_clock: StoreClock,
        randomness: random.Random,
    ) -> None:
        self._store = store
        self._table = table
        self._sink = sink
        self._wait = timing.wait
        self._pause = timing.pause
        self._update_validity = timing.update_validity
        self._clock = clock
        self._store_clock = store_clock
        self._randomness = randomness
        self._after: int | None = None
        # Era of the store at the last full snapshot.
        self._era: int | None = None
        # Clock time up to which the table is known.
        self._known_until = float('-inf')
        self._retry_delay = INITIAL_RETRY_DELAY
        self._failing = False
        # Clock time of the first call that failed since the last answer.
        self._lost_at = float('-inf')
        self._relayed = False

    async def run(self) -> None:
        """Follow the table until cancelled, from a full snapshot on."""
        self._after = None
        while True:
            began = self._clock.now()
            if not await self.step():
                pause = self._pause_after_failure(self._clock.now() - began)
                await self._store.pause_after_failure(self._table, pause)
            elif not self._relayed:
                # The host that relayed the answer has paused already.
                await self._clock.sleep(self._pause)

    def _pause_after_failure(self, waited: float) -> float:
        """Return the seconds before the next call.

        A call that hangs has already spread the retries.

        Args:
            waited: Seconds for which the failed call waited for an answer.
        """
        delay = max(INITIAL_RETRY_DELAY, self._retry_delay - waited)
        self._retry_delay = min(MAX_RETRY_DELAY, self._retry_delay * 2)
        return delay * self._randomness.uniform(*RETRY_JITTER)

    async def step(self) -> bool:
        """Make one call and return whether it was answered."""
        if self._after is None:
            read = await self._store.snapshot(self._table)
            if isinstance(read, Refusal):
                return self._record_failure(read)
            self._replace(read)
            return True
        # A call to an unresponsive store hangs for as long as the store was
        # asked to wait, even if the store has become available meanwhile.
        wait = 0 if self._failing else self._wait
        found = await self._store.changes(
            self._table,
            self._after,
            wait,
            self._known_until + self._update_validity,
        )
        if isinstance(found, HistoryLost):
            _LOG.decision('history lost', table=self._table, after=self._after)
            self._after = None
            return True
        if isinstance(found, Refusal):
            return self._record_failure(found)
        if found.is_snapshot:
            self._replace(found)
            return True
        if found.rows:
            self._sink.apply(found)
        self._record_answer(found)
        return True

    def _replace(self, read: RowsRead) -> None:
        """Pass a full snapshot to the sink."""
        era = era_of(read.version)
        if self._era is not None and era > self._era:
            self._sink.on_store_restored()
            # Earlier confirmations apply to the previous era.
            self._known_until = float('-inf')
        self._era = era
        self._sink.replace(read)
        self._record_answer(read)

    def _record_answer(self, read: RowsRead) -> None:
        """Record an answer of the store."""
        self._relayed = read.relayed
        as_of = self._store_clock.to_host_time(read.store_time)
        if read.rows:
            _LOG.decision(
                'changes taken',
                table=self._table,
                version=read.version,
                after=self._after,
                rows=len(read.rows),
                told=read.relayed,
                age=round(self._clock.now() - as_of, 3),
            )
        self._known_until = max(self._known_until, as_of)
        self._after = max(read.version, self._after or 0)
        self._retry_delay = INITIAL_RETRY_DELAY
        if self._failing:
            self._failing = False
            _LOG.decision(
                'store regained',
                table=self._table,
                lost_for=round(self._clock.now() - self._lost_at, 3),
                told=read.relayed,
            )
        self._sink.confirm(as_of, read)

    def _record_failure(self, refusal: Refusal) -> bool:
        """Record that the store has not answered."""
        if not self._failing:
            self._failing = True
            self._lost_at = self._clock.now()
            _LOG.decision(
                'store lost',
                table=self._table,
                code=refusal.code.name,
                reason=refusal.reason,
            )
        self._sink.on_store_unavailable()
        return False


class FollowerFactory:
    """Creates followers of one store.

    Args:
        store: Where tables are read.
        clock: The host's clock.
        store_clock: The store's clock.
        randomness: Randomizes the retries of many hosts.
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
        timing: FeedTiming,
    ) -> TableFollower:
        """Return a follower of a table."""
        return TableFollower(
            self._store,
            table,
            sink,
            timing,
            self._clock,
            self._store_clock,
            self._randomness,
        )
