"""Contents of the platform's row of crashes."""

from collections.abc import Mapping
from itertools import islice
from typing import Annotated, Final

from msgspec import Struct

from nutmegroad.fleet.crash_records import (
    NEVER,
    CrashRecord,
    UpstreamCrash,
    UpstreamFingerprint,
)
from nutmegroad.fleet.crash_tracker import CrashTracker
from nutmegroad.fleet.request_attributes import AttributeFingerprint, Scope
from nutmegroad.fleet.store_clock import StoreClock
from nutmegroad.foundations.decoding import IDENTIFIER, Measure

#: Minimum number of crashes under an attribute for it to be written to the
#: store. Most requests that were running during a crash are answered by another
#: upstream, so that their attributes are never written.
MIN_CRASHES_WRITTEN: Final = 2

#: Maximum number of crashes in the row, so that it stays below half of the
#: platform's size limit.
MAX_CRASHES: Final = 400

#: Maximum number of answers in the same row.
MAX_ANSWERS: Final = 200

#: Maximum number of other attributes with their last answers in it.
MAX_PROGRESS: Final = 100


class CrashEntry(Struct, frozen=True, array_like=True):
    """Crash of an upstream; times are seconds of the store's clock."""

    attribute: Annotated[AttributeFingerprint, IDENTIFIER]
    upstream: Annotated[UpstreamFingerprint, IDENTIFIER]
    began: Measure
    ended: Measure
    scope: Scope = Scope.REQUEST


class AnswerEntry(Struct, frozen=True, array_like=True):
    """Complete answer; time in seconds of the store's clock."""

    attribute: Annotated[AttributeFingerprint, IDENTIFIER]
    moment: Measure


class CrashesRow(Struct, frozen=True):
    """The row of crashes and of answers.

    Attributes:
        ends: Crashes.
        answers: Complete answers that cleared attributes.
        progress: Last answers under attributes that are no suspects.
    """

    ends: tuple[CrashEntry, ...] = ()
    answers: tuple[AnswerEntry, ...] = ()
    progress: tuple[AnswerEntry, ...] = ()


class CrashRowBuilder:
    """Selects what the row of crashes contains.

    Args:
        tracker: Crashes that this host knows of.
        store_clock: The store's clock.
    """

    def __init__(self, tracker: CrashTracker, store_clock: StoreClock) -> None:
        self._tracker = tracker
        self._store_clock = store_clock

    def is_incomplete(self, row: CrashesRow) -> bool:
        """Return whether a row lacks a crash for which it has room."""
        known = {(entry.attribute, entry.upstream) for entry in row.ends}
        return any(
            (entry.attribute, entry.upstream) not in known
            for entry in self._crashes()
        )

    def has_cleared(self, row: CrashesRow) -> bool:
        """Return whether a row has crashes that an answer has cleared."""
        return bool(self._cleared(row))

    def build(self, row: CrashesRow) -> CrashesRow:
        """Return the row that replaces one, with what this host knows."""
        cleared = self._cleared(row)
        return CrashesRow(
            self._crashes(),
            self._newest(
                row.answers,
                {
                    attribute: self._tracker.records[attribute].answered_at
                    for attribute in cleared
                    if attribute in self._tracker.records
                },
                MAX_ANSWERS,
            ),
            self._newest(
                row.progress,
                {
                    attribute: record.progressed_at
                    for attribute, record in self._tracker.records.items()
                    if record.has_progressed
                },
                MAX_PROGRESS,
            ),
        )

    def _cleared(self, row: CrashesRow) -> set[AttributeFingerprint]:
        """Return the attributes in a row without crashes since an answer."""
        listed = {entry.attribute for entry in row.ends}
        records = self._tracker.records
        return {
            attribute
            for attribute in listed
            if attribute not in records or not records[attribute].crashes
        }

    def _crashes(self) -> tuple[CrashEntry, ...]:
        """Return the crashes that belong into the row, most severe first."""
        records = [
            (attribute, record)
            for attribute, record in self._tracker.records.items()
            if _is_listed(record)
        ]
        records.sort(key=_severity, reverse=True)
        entries = (
            self._entry(attribute, record, crash)
            for attribute, record in records
            for crash in record.crashes.values()
        )
        return tuple(islice(entries, MAX_CRASHES))

    def _entry(
        self,
        attribute: AttributeFingerprint,
        record: CrashRecord,
        crash: UpstreamCrash,
    ) -> CrashEntry:
        """Return a crash as it is stored."""
        return CrashEntry(
            attribute,
            crash.upstream,
            self._store_clock.to_store_time(crash.sent_at),
            self._store_clock.to_store_time(crash.crashed_at),
            record.scope,
        )

    def _newest(
        self,
        stored: tuple[AnswerEntry, ...],
        known: Mapping[AttributeFingerprint, float],
        count: int,
    ) -> tuple[AnswerEntry, ...]:
        """Return the newest answers, those of this host included."""
        times = {entry.attribute: entry.moment for entry in stored}
        for attribute, time in known.items():
            if time != NEVER:
                times[attribute] = self._store_clock.to_store_time(time)
        newest = sorted(times.items(), key=_answer_time, reverse=True)
        return tuple(AnswerEntry(*entry) for entry in newest[:count])


def _is_listed(record: CrashRecord) -> bool:
    """Return whether the crashes under an attribute are stored."""
    if len(record.crashes) < MIN_CRASHES_WRITTEN:
        return False
    return record.is_suspect or not record.has_progressed


def _severity(
    entry: tuple[AttributeFingerprint, CrashRecord],
) -> tuple[bool, int, float]:
    """Return the sort key of an attribute: suspects, crashes, latest crash."""
    record = entry[1]
    return record.is_suspect, len(record.crashes), record.latest_time


def _answer_time(entry: tuple[AttributeFingerprint, float]) -> float:
    """Return when an answer was complete; a sort key."""
    return entry[1]
