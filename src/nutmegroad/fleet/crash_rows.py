"""Synchronizes crash reports and probe executions with the platform's store.

Hosts exchange crash reports by datagrams. The rows are for hosts that do not
receive these, and for hosts that start when no host that knows them is left.
One row holds all lasting reports, so nothing has to be cleaned up.
"""

from collections.abc import Callable
from typing import Final

import msgspec

from nutmegroad.fleet.crash_probes import (
    CRASHES_KEY_PREFIX,
    PROBES_ROW,
    ProbeClaims,
)
from nutmegroad.fleet.crash_records import (
    NEVER,
    UpstreamCrash,
)
from nutmegroad.fleet.crash_row_builder import CrashesRow, CrashRowBuilder
from nutmegroad.fleet.crash_tracker import CrashTracker
from nutmegroad.fleet.duties import duty_delay
from nutmegroad.fleet.request_attributes import RequestAttributes
from nutmegroad.fleet.store_clock import StoreClock
from nutmegroad.fleet.store_interface import (
    FLEET_TABLE,
    Committed,
    RowCondition,
    RowPut,
    Store,
    StoredRow,
)
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.decoding import decode_json
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal

_LOG: Final = part_logger('crashes')

_CRASHES_ROW: Final = 'ends'

#: Seconds between checks whether the row has to be written.
CHECK_INTERVAL: Final = 0.25

#: Seconds by which the second host delays a write that any host may make.
WRITE_STAGGER: Final = 0.4

#: Seconds after a failed write before the next one. While the store is
#: unavailable, datagrams have informed all hosts that can be reached.
RETRY_INTERVAL: Final = 2.0

#: Seconds between writes that only clear attributes. Hosts report answers to
#: each other, but a host that starts knows only the row.
CLEAR_INTERVAL: Final = 1.0


class CrashRows:
    """Synchronizes the crash tracker with the platform's store.

    Args:
        tracker: Crashes that this host knows of.
        store: The platform's store.
        store_clock: The store's clock.
        clock: The host's clock.
        rank: Returns this host's rank among all hosts for a duty.
    """

    def __init__(
        self,
        tracker: CrashTracker,
        store: Store,
        store_clock: StoreClock,
        clock: Clock,
        rank: Callable[[str], int],
    ) -> None:
        self._tracker = tracker
        self._store = store
        self._store_clock = store_clock
        self._clock = clock
        self._rank = rank
        self._builder = CrashRowBuilder(tracker, store_clock)
        self._row = CrashesRow()
        self._version = 0
        self._probes = ProbeClaims(tracker, store, store_clock)
        self._failed_at = NEVER
        self._written_at = NEVER

    def apply_row(self, name: str, row: StoredRow, store_time: float) -> None:
        """Apply a row that was read from the store.

        Args:
            name: Name of the row, without the key prefix.
            row: The row.
            store_time: The store's time in seconds when it was read.

        Raises:
            UndecodableError: If the row can't be decoded.
        """
        if name == _CRASHES_ROW:
            self._row = decode_json(row.content, CrashesRow)
            self._version = row.version
            self._merge_row(store_time)
        elif name == PROBES_ROW:
            self._probes.apply_row(row)

    def on_store_restored(self) -> None:
        """Forget the rows, since the store was restored from a backup.

        The rows that the store still has are read next.
        """
        self._row = CrashesRow()
        self._version = 0
        self._probes.on_store_restored()

    async def run(self) -> None:
        """Write what the row lacks, until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL)
            if not self._is_due():
                continue
            delay = duty_delay(self._rank(CRASHES_KEY_PREFIX), WRITE_STAGGER)
            await self._clock.sleep(delay)
            await self.write()

    async def write(self) -> None:
        """Write immediately what the row lacks, if anything.

        Called by the host that has seen a request become harmful: no other host
        may know of it yet, and this host may crash itself.
        """
        if self._is_due():
            await self._write()

    async def claim_probe(self, causes: RequestAttributes) -> bool:
        """Claim a probe execution of a request that is blocked for causes."""
        return await self._probes.claim(causes)

    def _merge_row(self, store_time: float) -> None:
        """Merge the crashes and answers of the row."""
        for row in self._row.ends:
            crash = UpstreamCrash(
                row.upstream,
                self._to_local_time(row.began, store_time),
                self._to_local_time(row.ended, store_time),
            )
            self._tracker.add_crash(row.attribute, row.scope, crash)
        for answer in self._row.answers:
            self._tracker.add_answer(
                answer.attribute,
                self._to_local_time(answer.moment, store_time),
            )
        for each in self._row.progress:
            self._tracker.add_progress(
                each.attribute, self._to_local_time(each.moment, store_time)
            )

    def _to_local_time(self, store_seconds: float, store_time: float) -> float:
        """Convert a time of the store to this host's clock."""
        since_read = self._clock.now() - max(0, store_time - store_seconds)
        known = self._store_clock.to_host_time(store_seconds)
        return since_read if known == NEVER else min(known, since_read)

    def _is_due(self) -> bool:
        """Return whether the row should be written now."""
        if self._store_clock.age == float('inf'):
            return False
        if self._clock.now() - self._failed_at < RETRY_INTERVAL:
            return False
        if self._builder.is_incomplete(self._row):
            return True
        waited = self._clock.now() - self._written_at
        return waited >= CLEAR_INTERVAL and self._builder.has_cleared(self._row)

    async def _write(self) -> None:
        """Write the row, unless another host has written it first."""
        row = self._builder.build(self._row)
        key = f'{CRASHES_KEY_PREFIX}{_CRASHES_ROW}'
        self._written_at = self._clock.now()
        outcome = await self._store.commit(
            (RowCondition(FLEET_TABLE, key, self._version),),
            (RowPut(FLEET_TABLE, key, msgspec.json.encode(row)),),
        )
        if isinstance(outcome, Committed):
            self._row = row
            self._version = outcome.version
            _LOG.decision(
                'crashes written',
                ends=len(row.ends),
                answers=len(row.answers),
                harmful=self._tracker.count_harmful(),
            )
            return
        why = 'another host wrote the row first'
        if isinstance(outcome, Refusal):
            why = outcome.reason
            self._failed_at = self._clock.now()
        _LOG.decision('crashes not written', why=why)
