"""Reports in which hosts tell each other of crashes and answers."""

from collections.abc import Mapping
from typing import Annotated, Final

from msgspec import Struct

from nutmegroad.fleet.crash_records import (
    NEVER,
    CrashRecord,
    UpstreamCrash,
    UpstreamFingerprint,
)
from nutmegroad.fleet.gossip_queue import cyclic_slice
from nutmegroad.fleet.request_attributes import AttributeFingerprint, Scope
from nutmegroad.foundations.decoding import IDENTIFIER, Number

#: Maximum number of crashes per datagram. At about twenty bytes each, they fit
#: into an Ethernet frame.
MAX_REPORTED: Final = 40

#: Crashes per datagram that are chosen by how suspect their attribute is. The
#: others take turns, so that each of many new ones is reported.
MOST_SUSPECT_REPORTED: Final = 20

#: Maximum number of answers, and of attributes with progress, per datagram.
MAX_ANSWERS_REPORTED: Final = 16

#: Seconds for which a crash or an answer is reported: twenty gossip rounds,
#: within which all hosts receive it from one another.
REPORTING_PERIOD: Final = 3.0

#: Seconds for which the crashes under suspects are reported, so that hosts that
#: start while the store is unavailable learn of them.
SUSPECT_PERIOD: Final = 30.0

#: Maximum number of older crashes per datagram.
MAX_OLDER_REPORTED: Final = 10

_MILLISECONDS: Final = 1000

#: Records of crashes by attribute.
Records = Mapping[AttributeFingerprint, CrashRecord]

#: A crash to report, with the attribute and its record.
_Reportable = tuple[AttributeFingerprint, CrashRecord, UpstreamCrash]


class ReportedCrash(Struct, frozen=True, array_like=True):
    """A crash as hosts report it to each other.

    Attributes:
        attribute: Fingerprint of an attribute of a request that was running.
        upstream: Fingerprint of the upstream that crashed.
        sent_age: Milliseconds since the request was sent to the upstream.
        crash_age: Milliseconds since the crash.
        scope: How many requests have the attribute in common.
    """

    attribute: Annotated[AttributeFingerprint, IDENTIFIER]
    upstream: Annotated[UpstreamFingerprint, IDENTIFIER]
    sent_age: Number
    crash_age: Number
    scope: Scope = Scope.REQUEST


class ReportedAnswer(Struct, frozen=True, array_like=True):
    """A complete answer after crashes.

    Attributes:
        attribute: Fingerprint of an attribute of the request.
        age: Milliseconds since the answer.
    """

    attribute: Annotated[AttributeFingerprint, IDENTIFIER]
    age: Number


class CrashReport(Struct, frozen=True, array_like=True):
    """Crashes and answers of the last seconds that a host knows of.

    Attributes:
        crashes: Crashes of upstreams.
        answers: Complete answers.
        progress: Answers from before the crashes, and unfinished ones.
    """

    crashes: tuple[ReportedCrash, ...] = ()
    answers: tuple[ReportedAnswer, ...] = ()
    progress: tuple[ReportedAnswer, ...] = ()


class CrashReporter:
    """Chooses what a host reports in each datagram."""

    def __init__(self) -> None:
        self._reports = 0

    def report(
        self, records: Records, suspects: Records, now: float
    ) -> CrashReport:
        """Return the report of the last seconds.

        Args:
            records: All records.
            suspects: Those of the records that crashes may be due to.
            now: The host's clock time in seconds.
        """
        self._reports += 1
        oldest = now - REPORTING_PERIOD
        answers = []
        progress = []
        for attribute, record in records.items():
            if record.answered_at >= oldest:
                answers.append((attribute, record.answered_at))
            elif record.progressed_at != NEVER and record.latest_time >= oldest:
                progress.append((attribute, record.progressed_at))
        return CrashReport(
            tuple(
                _report_of(reportable, now)
                for reportable in self._choose(records, suspects, oldest)
            ),
            self._choose_answers(answers, now),
            self._choose_answers(progress, now),
        )

    def _choose(
        self, records: Records, suspects: Records, oldest: float
    ) -> tuple[_Reportable, ...]:
        """Return the crashes to report, the most suspect attributes first."""

        def order(entry: _Reportable) -> tuple[bool, bool, int, int]:
            """Return the sort key of a crash."""
            attribute, record, _ = entry
            return (
                attribute not in suspects,
                record.has_progressed,
                -len(record.crashes),
                record.scope,
            )

        recent = [
            (attribute, record, crash)
            for attribute, record in records.items()
            for crash in record.crashes.values()
            if crash.crashed_at >= oldest
        ]
        recent.sort(key=order)
        older = [
            (attribute, record, crash)
            for attribute, record in suspects.items()
            for crash in record.crashes.values()
            if crash.crashed_at < oldest
        ]
        older.sort(key=order)
        first = tuple(recent[:MOST_SUSPECT_REPORTED])
        rest = tuple(recent[MOST_SUSPECT_REPORTED:])
        count = MAX_REPORTED - len(first)
        chosen = first + cyclic_slice(rest, self._reports * count, count)
        room = min(MAX_REPORTED - len(chosen), MAX_OLDER_REPORTED)
        return chosen + tuple(older[:room])

    def _choose_answers(
        self, answers: list[tuple[AttributeFingerprint, float]], now: float
    ) -> tuple[ReportedAnswer, ...]:
        """Return the answers to report; they take turns."""
        chosen = cyclic_slice(
            tuple(answers),
            self._reports * MAX_ANSWERS_REPORTED,
            MAX_ANSWERS_REPORTED,
        )
        return tuple(
            ReportedAnswer(attribute, _age(now, time))
            for attribute, time in chosen
        )


def host_time(now: float, age: int) -> float:
    """Return the clock time of a reported event.

    Args:
        now: The host's clock time in seconds.
        age: Milliseconds since the event.
    """
    return now - age / _MILLISECONDS


def _report_of(reportable: _Reportable, now: float) -> ReportedCrash:
    """Return a crash as it is reported."""
    attribute, record, crash = reportable
    return ReportedCrash(
        attribute,
        crash.upstream,
        _age(now, crash.sent_at),
        _age(now, crash.crashed_at),
        record.scope,
    )


def _age(now: float, time: float) -> int:
    """Return the whole milliseconds since a time, never less than 0."""
    return max(0, int((now - time) * _MILLISECONDS))
