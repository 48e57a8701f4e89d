"""Tracks the requests that were running when upstreams crashed.

A request may crash each upstream that executes it, and it is sent again under
other ids to any host. Requests are therefore tracked by content, and hosts
exchange their records. One crash can't distinguish the request from those that
merely ran beside it, which are tracked too: a request counts as harmful, and is
blocked, only after three crashes in series. One host at a time may then execute
it once more as a probe; an answer clears it, and another crash blocks it for
much longer.
"""

from dataclasses import dataclass, field
from typing import Final, NewType, Self

from msgspec import Struct
from xxhash import xxh32_intdigest

from nutmegroad.fleet.content_fingerprints import ContentFingerprint
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import UpstreamIncarnation

#: 32-bit fingerprint of an incarnation of an upstream.
UpstreamFingerprint = NewType('UpstreamFingerprint', int)

#: Crashes in series from which a request counts as harmful. Any request may see
#: fewer than that by chance where many requests run at each upstream.
HARMFUL_CRASHES: Final = 3

#: Seconds after its last crash before a harmful request may be probed. By then
#: all hosts know of the crash, and the crashed upstreams are still down.
PROBE_DELAY: Final = 1.0

#: Seconds for which a request is blocked once a probe execution of it has
#: crashed an upstream as well: the upstream has to be repaired by hand. Doubles
#: with each further crash.
BLOCK_PAUSE: Final = 600.0

#: Maximum seconds for which a request is blocked: one day.
MAX_BLOCK_PAUSE: Final = 86_400.0

#: Seconds for which a request that is not harmful yet is tracked.
RETENTION: Final = 600.0

#: Seconds by which an execution may seem to have started before the crash that
#: preceded it: hosts report both by datagrams, whose delay distorts the times.
REPORT_SLACK: Final = 0.05

#: Maximum number of tracked requests: as many as run on all upstreams of the
#: largest planned deployment when one of its failure domains loses power.
MAX_REQUESTS: Final = 4000

#: Requests that remain after an eviction.
REQUESTS_AFTER_EVICTION: Final = 3500

#: Maximum number of crashes per datagram, requests with most crashes first. At
#: about twenty bytes each, they fit into an Ethernet frame.
MAX_REPORTED: Final = 40

#: Seconds for which a crash or an answer is reported: twenty gossip rounds,
#: within which all hosts receive it from one another.
REPORTING_PERIOD: Final = 3.0

_MILLISECONDS: Final = 1000

#: Clock time of an event that has not happened.
NEVER: Final = float('-inf')


def fingerprint_upstream(upstream: UpstreamIncarnation) -> UpstreamFingerprint:
    """Return the fingerprint of an upstream's incarnation."""
    return UpstreamFingerprint(xxh32_intdigest(upstream.encode()))


class ReportedCrash(Struct, frozen=True, array_like=True):
    """A crash as hosts report it to each other.

    Attributes:
        content: Fingerprint of the request that was running.
        upstream: Fingerprint of the upstream that crashed.
        sent_age: Milliseconds since the request was sent to the upstream.
        crash_age: Milliseconds since the crash.
    """

    content: ContentFingerprint
    upstream: UpstreamFingerprint
    sent_age: int
    crash_age: int


class ReportedAnswer(Struct, frozen=True, array_like=True):
    """A complete answer to a request under which upstreams had crashed.

    Attributes:
        content: Fingerprint of the request.
        age: Milliseconds since the answer.
    """

    content: ContentFingerprint
    age: int


class CrashReport(Struct, frozen=True, array_like=True):
    """Crashes and answers of the last seconds that a host knows of.

    Attributes:
        crashes: Crashes of upstreams.
        answers: Complete answers.
    """

    crashes: tuple[ReportedCrash, ...] = ()
    answers: tuple[ReportedAnswer, ...] = ()


@dataclass(frozen=True, slots=True)
class UpstreamCrash:
    """Crash of an upstream while it was executing a request.

    Attributes:
        upstream: Fingerprint of the upstream.
        sent_at: Clock time in seconds at which the request was sent there.
        crashed_at: Clock time in seconds of the crash.
    """

    upstream: UpstreamFingerprint
    sent_at: float
    crashed_at: float

    def earlier(self, other: Self) -> Self:
        """Return the earlier-dated of two reports of the same crash."""
        return other if other.crashed_at < self.crashed_at else self


@dataclass(slots=True)
class _Record:
    """Crashes of upstreams under one request, and its last answer.

    Attributes:
        crashes: Crashes under it, by upstream.
        answered_at: Clock time in seconds of its last complete answer.
    """

    crashes: dict[UpstreamFingerprint, UpstreamCrash] = field(
        default_factory=dict
    )
    answered_at: float = NEVER

    @property
    def latest_time(self) -> float:
        """Return the time of the last crash, else of the last answer."""
        return max(
            (crash.crashed_at for crash in self.crashes.values()),
            default=self.answered_at,
        )

    @property
    def series_length(self) -> int:
        """Return how many crashes followed one another.

        Upstreams that crash at the same time have a common cause and count
        once: a request that is sent often runs at several of them at once.
        """
        count = 0
        last = NEVER
        for crash in sorted(self.crashes.values(), key=_crash_time):
            if crash.sent_at >= last - REPORT_SLACK:
                count += 1
                last = crash.crashed_at
        return count

    def record_crash(self, crash: UpstreamCrash) -> None:
        """Record a crash, unless a later answer is known."""
        if crash.crashed_at <= self.answered_at:
            return
        if len(self.crashes) < HARMFUL_CRASHES:
            self._forget_before(crash.crashed_at - RETENTION)
        known = self.crashes.get(crash.upstream)
        self.crashes[crash.upstream] = (
            crash if known is None else known.earlier(crash)
        )

    def record_answer(self, time: float) -> bool:
        """Record a complete answer and return whether it cleared a crash."""
        if time <= self.answered_at:
            return False
        self.answered_at = time
        before = len(self.crashes)
        self._forget_before(time)
        return len(self.crashes) < before

    def _forget_before(self, time: float) -> None:
        """Forget the crashes up to a time."""
        self.crashes = {
            upstream: crash
            for upstream, crash in self.crashes.items()
            if crash.crashed_at > time
        }


@dataclass(frozen=True, slots=True)
class BlockedRequest:
    """A request that is blocked because it crashes upstreams.

    Attributes:
        crash_count: Number of crashes in series.
        pause: Seconds until a probe execution is allowed; 0 if it is now.
    """

    crash_count: int
    pause: float


class CrashTracker:
    """Tracks the requests under which upstreams have crashed.

    Args:
        clock: The host's clock.
    """

    @property
    def has_updates(self) -> bool:
        """Whether a crash or an answer is recent enough to be reported."""
        return self._clock.now() <= self._report_until

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Ordered by last update, oldest first.
        self._records: dict[ContentFingerprint, _Record] = {}
        # Clock time until which there is something to report.
        self._report_until = NEVER

    def __contains__(self, content: ContentFingerprint) -> bool:
        """Return whether anything is recorded of a request."""
        return content in self._records

    def harmful(self, content: ContentFingerprint) -> BlockedRequest | None:
        """Return why a request is blocked, or None if it is not."""
        record = self._records.get(content)
        if record is None or len(record.crashes) < HARMFUL_CRASHES:
            return None
        count = record.series_length
        if count < HARMFUL_CRASHES:
            return None
        remaining = record.latest_time + _pause(count) - self._clock.now()
        return BlockedRequest(count, max(0, remaining))

    def count_harmful(self) -> int:
        """Return how many requests count as harmful."""
        return sum(
            record.series_length >= HARMFUL_CRASHES
            for record in self._records.values()
            if len(record.crashes) >= HARMFUL_CRASHES
        )

    def record_crash(
        self, content: ContentFingerprint, crash: UpstreamCrash
    ) -> None:
        """Record the crash of an upstream under a request."""
        record = self._records.pop(content, None) or _Record()
        self._records[content] = record
        record.record_crash(crash)
        self._report_until = max(
            self._report_until, crash.crashed_at + REPORTING_PERIOD
        )
        if len(self._records) > MAX_REQUESTS:
            self._evict()

    def record_answer(self, content: ContentFingerprint, time: float) -> bool:
        """Record a complete answer to a request.

        Returns:
            Whether it has cleared the request of a crash.
        """
        record = self._records.get(content)
        if record is None or not record.record_answer(time):
            return False
        self._report_until = max(self._report_until, time + REPORTING_PERIOD)
        return True

    def crashes(
        self, minimum: int
    ) -> dict[ContentFingerprint, tuple[UpstreamCrash, ...]]:
        """Return the requests with a number of crashes, and their crashes.

        Args:
            minimum: Minimum number of crashes of a returned request.
        """
        return {
            content: tuple(record.crashes.values())
            for content, record in self._records.items()
            if len(record.crashes) >= minimum
        }

    def crashes_of(
        self, content: ContentFingerprint
    ) -> tuple[UpstreamCrash, ...]:
        """Return the recorded crashes under a request."""
        record = self._records.get(content)
        return () if record is None else tuple(record.crashes.values())

    def last_answer(self, content: ContentFingerprint) -> float | None:
        """Return the clock time of the last complete answer, or None."""
        record = self._records.get(content)
        if record is None or record.answered_at == NEVER:
            return None
        return record.answered_at

    def report(self) -> CrashReport:
        """Return the report of the last seconds for the other hosts."""
        if not self.has_updates:
            # Called in each gossip round, almost never with anything to report.
            return CrashReport()
        now = self._clock.now()
        oldest = now - REPORTING_PERIOD
        crashes: list[tuple[int, ReportedCrash]] = []
        answers = []
        for content, record in self._records.items():
            count = len(record.crashes)
            crashes.extend(
                (-count, _report_of(content, crash, now))
                for crash in record.crashes.values()
                if crash.crashed_at >= oldest
            )
            if record.answered_at >= oldest:
                answers.append(
                    ReportedAnswer(content, _age(now, record.answered_at))
                )
        crashes.sort(key=_report_order)
        return CrashReport(
            tuple(crash for _, crash in crashes[:MAX_REPORTED]),
            tuple(answers[:MAX_REPORTED]),
        )

    def merge(self, report: CrashReport) -> None:
        """Merge a report from another host."""
        now = self._clock.now()
        for reported in report.crashes:
            crash = UpstreamCrash(
                reported.upstream,
                now - reported.sent_age / _MILLISECONDS,
                now - reported.crash_age / _MILLISECONDS,
            )
            self.record_crash(reported.content, crash)
        for answer in report.answers:
            self.record_answer(answer.content, now - answer.age / _MILLISECONDS)

    def _evict(self) -> None:
        """Evict old requests, then the oldest others, harmful ones last."""
        oldest = self._clock.now() - RETENTION
        for content, record in tuple(self._records.items()):
            harmful = len(record.crashes) >= HARMFUL_CRASHES
            if not harmful and record.latest_time < oldest:
                self._records.pop(content)
        harmless_first = sorted(
            self._records.items(),
            key=lambda entry: len(entry[1].crashes) >= HARMFUL_CRASHES,
        )
        # Evicts many at once, so that it does not run for each request.
        for content, _ in harmless_first[
            : len(self._records) - REQUESTS_AFTER_EVICTION
        ]:
            self._records.pop(content)


def _pause(crash_count: int) -> float:
    """Return for how many seconds crashes in series block a request."""
    if crash_count <= HARMFUL_CRASHES:
        return PROBE_DELAY
    doubled = BLOCK_PAUSE * float(2 ** (crash_count - HARMFUL_CRASHES - 1))
    return min(MAX_BLOCK_PAUSE, doubled)


def _report_of(
    content: ContentFingerprint, crash: UpstreamCrash, now: float
) -> ReportedCrash:
    """Return a crash as it is reported."""
    return ReportedCrash(
        content,
        crash.upstream,
        _age(now, crash.sent_at),
        _age(now, crash.crashed_at),
    )


def _age(now: float, time: float) -> int:
    """Return the whole milliseconds since a time, never less than 0."""
    return max(0, int((now - time) * _MILLISECONDS))


def _crash_time(crash: UpstreamCrash) -> float:
    """Return when an upstream crashed; a sort key."""
    return crash.crashed_at


def _report_order(pair: tuple[int, ReportedCrash]) -> int:
    """Return the sort key of a crash that is to be reported."""
    return pair[0]
