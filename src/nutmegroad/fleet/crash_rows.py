"""Synchronizes crash reports and probe executions with the platform's store.

Hosts exchange crash reports by datagrams. The rows are for hosts that do not
receive these, and for hosts that start when no host that knows them is left.
One row holds all lasting reports, so nothing has to be cleaned up. A second row
holds the requests that were claimed for a probe execution, and when. In a probe
execution, one host executes a blocked request to find out whether it still
crashes upstreams.
"""

from collections.abc import Callable
from typing import Final

import msgspec
from msgspec import Struct

from nutmegroad.fleet.content_fingerprints import (
    ContentFingerprint,
    format_fingerprint,
)
from nutmegroad.fleet.crash_tracker import (
    HARMFUL_CRASHES,
    NEVER,
    CrashTracker,
    UpstreamCrash,
    UpstreamFingerprint,
)
from nutmegroad.fleet.duty_delays import duty_delay
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
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal

_LOG: Final = part_logger('crashes')

CRASHES_KEY_PREFIX: Final = 'crashes/'
_CRASHES_ROW: Final = 'ends'
_PROBES_ROW: Final = 'trials'

#: Minimum number of crashes under a request for it to be written to the store.
#: Most requests that were running during a crash are answered by another
#: upstream and never written.
MIN_CRASHES_WRITTEN: Final = 2

#: Maximum number of crashes in the row, so that it stays below half of the
#: platform's size limit. Once the row is full, only harmful requests are added.
MAX_CRASHES: Final = 400

#: Maximum number of answers in the same row.
MAX_ANSWERS: Final = 200

#: Seconds between checks whether the row has to be written.
CHECK_INTERVAL: Final = 0.25

#: Seconds by which the second host delays a write that any host may make.
WRITE_STAGGER: Final = 0.4

#: Seconds after a failed write before the next one. While the store is
#: unavailable, datagrams have informed all hosts that can be reached.
RETRY_INTERVAL: Final = 2.0

#: Seconds between writes that only clear requests. In the meantime no request
#: is refused because of the old row, since hosts report answers to each other.
CLEAR_INTERVAL: Final = 5.0

#: Seconds between probe executions of any two requests. A request that crashes
#: upstreams does so immediately, so only one probe is running at the time of a
#: crash.
PROBE_INTERVAL: Final = 1.0

#: Seconds after which a request may be probed again if the last probe had no
#: result.
PROBE_TIMEOUT: Final = 10.0


class _CrashEntry(Struct, frozen=True, array_like=True):
    """Crash of an upstream; times are seconds of the store's clock."""

    content: ContentFingerprint
    upstream: UpstreamFingerprint
    began: float
    ended: float


class _AnswerEntry(Struct, frozen=True, array_like=True):
    """Complete answer to a request; time in seconds of the store's clock."""

    content: ContentFingerprint
    moment: float


class _CrashesRow(Struct, frozen=True):
    """The row of crashes and of answers that cleared requests."""

    ends: tuple[_CrashEntry, ...] = ()
    answers: tuple[_AnswerEntry, ...] = ()


class _ProbeEntry(Struct, frozen=True, array_like=True):
    """Probe execution; time in seconds of the store's clock."""

    content: ContentFingerprint
    began: float


class _ProbesRow(Struct, frozen=True):
    """The row of the last probe executions."""

    trials: tuple[_ProbeEntry, ...] = ()


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
        self._row = _CrashesRow()
        self._version = 0
        self._probes = _ProbesRow()
        self._probes_version = 0
        self._failed_at = NEVER
        self._written_at = NEVER

    def apply_row(self, name: str, row: StoredRow, store_time: float) -> None:
        """Apply a row that was read from the store.

        Args:
            name: Name of the row, without the key prefix.
            row: The row.
            store_time: The store's time in seconds when it was read.

        Raises:
            DecodeError: If the row can't be decoded.
        """
        if name == _CRASHES_ROW:
            self._row = msgspec.json.decode(row.content, type=_CrashesRow)
            self._version = row.version
            self._merge_row(store_time)
        elif name == _PROBES_ROW:
            self._probes = msgspec.json.decode(row.content, type=_ProbesRow)
            self._probes_version = row.version

    def on_store_restored(self) -> None:
        """Forget the rows, since the store was restored from a backup.

        The rows that the store still has are read next.
        """
        self._row = _CrashesRow()
        self._version = 0
        self._probes_version = 0

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

    async def claim_probe(self, content: ContentFingerprint) -> bool:
        """Claim a probe execution of a harmful request.

        At most one host can claim it; while the store is unavailable, none can.

        Returns:
            Whether this host may execute the request now.
        """
        now = self._store_clock.now()
        recent = tuple(
            probe
            for probe in self._probes.trials
            if now - probe.began < PROBE_TIMEOUT
        )
        if any(
            probe.content == content or now - probe.began < PROBE_INTERVAL
            for probe in recent
        ):
            return False
        probes = _ProbesRow((*recent, _ProbeEntry(content, now)))
        key = f'{CRASHES_KEY_PREFIX}{_PROBES_ROW}'
        outcome = await self._store.commit(
            (RowCondition(FLEET_TABLE, key, self._probes_version),),
            (RowPut(FLEET_TABLE, key, msgspec.json.encode(probes)),),
        )
        if isinstance(outcome, Committed):
            self._probes = probes
            self._probes_version = outcome.version
            return True
        return False

    def _merge_row(self, store_time: float) -> None:
        """Merge the crashes and answers of the row."""
        for row in self._row.ends:
            crash = UpstreamCrash(
                row.upstream,
                self._to_local_time(row.began, store_time),
                self._to_local_time(row.ended, store_time),
            )
            self._tracker.record_crash(row.content, crash)
        for answer in self._row.answers:
            answered = self._to_local_time(answer.moment, store_time)
            self._tracker.record_answer(answer.content, answered)

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
        if self._missing():
            return True
        waited = self._clock.now() - self._written_at
        return waited >= CLEAR_INTERVAL and bool(self._cleared())

    def _missing(self) -> dict[ContentFingerprint, tuple[UpstreamCrash, ...]]:
        """Return the requests with a crash that the row lacks."""
        known = {(row.content, row.upstream) for row in self._row.ends}
        is_full = len(known) >= MAX_CRASHES
        minimum = HARMFUL_CRASHES if is_full else MIN_CRASHES_WRITTEN
        return {
            content: crashes
            for content, crashes in self._tracker.crashes(minimum).items()
            if any((content, crash.upstream) not in known for crash in crashes)
        }

    def _cleared(self) -> set[ContentFingerprint]:
        """Return the requests in the row that have been answered since."""
        listed = {row.content for row in self._row.ends}
        return {each for each in listed if not self._tracker.crashes_of(each)}

    async def _write(self) -> None:
        """Write the row, unless another host has written it first."""
        row = self._build_row()
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
                harmful=[
                    format_fingerprint(content)
                    for content in self._tracker.crashes(HARMFUL_CRASHES)
                ],
            )
            return
        why = 'another host wrote the row first'
        if isinstance(outcome, Refusal):
            why = outcome.reason
            self._failed_at = self._clock.now()
        _LOG.decision('crashes not written', why=why)

    def _build_row(self) -> _CrashesRow:
        """Return the row to write, with what this host knows."""
        crashes = self._tracker.crashes(MIN_CRASHES_WRITTEN)
        for row in self._row.ends:
            known = self._tracker.crashes_of(row.content)
            if known:
                crashes[row.content] = known
        most_severe = sorted(crashes.items(), key=_severity, reverse=True)
        entries = [
            self._crash_entry(content, crash)
            for content, under_request in most_severe
            for crash in under_request
        ]
        return _CrashesRow(tuple(entries[:MAX_CRASHES]), self._answers())

    def _crash_entry(
        self, content: ContentFingerprint, crash: UpstreamCrash
    ) -> _CrashEntry:
        """Return a crash as it is stored."""
        return _CrashEntry(
            content,
            crash.upstream,
            self._to_store_time(crash.sent_at),
            self._to_store_time(crash.crashed_at),
        )

    def _answers(self) -> tuple[_AnswerEntry, ...]:
        """Return the answers that cleared requests of the row."""
        times = {row.content: row.moment for row in self._row.answers}
        for cleared in self._cleared():
            answered = self._tracker.last_answer(cleared)
            if answered is not None:
                times[cleared] = self._to_store_time(answered)
        newest = sorted(times.items(), key=_answer_time, reverse=True)
        return tuple(
            _AnswerEntry(content, moment)
            for content, moment in newest[:MAX_ANSWERS]
        )

    def _to_store_time(self, time: float) -> float:
        """Convert a time of this host's clock to the store's seconds."""
        host_lead = self._clock.now() - self._store_clock.now()
        return round(time - host_lead, 3)


def _severity(
    entry: tuple[ContentFingerprint, tuple[UpstreamCrash, ...]],
) -> tuple[int, float]:
    """Return the sort key of a request: crashes, then time of the latest."""
    crashes = entry[1]
    return len(crashes), max((crash.crashed_at for crash in crashes), default=0)


def _answer_time(entry: tuple[ContentFingerprint, float]) -> float:
    """Return when a request was answered; a sort key."""
    return entry[1]
