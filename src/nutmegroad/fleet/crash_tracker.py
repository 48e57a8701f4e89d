"""Tracks what the requests had in common under which upstreams crashed.

A request may crash each upstream that executes it, and it is sent again under
other ids to any host; so may any request that shares an attribute with it, such
as a part of its prompt. Crashes are therefore recorded by attribute, and hosts
exchange their records. Requests with an attribute to which crashes are due are
blocked, apart from a probe execution by one host at a time: an answer clears
the attribute, and another crash blocks it for much longer.
"""

from collections.abc import Mapping
from typing import Final

from nutmegroad.fleet.crash_causes import (
    WARM_UP,
    BlockedRequest,
    find_block,
)
from nutmegroad.fleet.crash_records import (
    NEVER,
    CrashRecord,
    UpstreamCrash,
)
from nutmegroad.fleet.crash_reports import (
    REPORTING_PERIOD,
    SUSPECT_PERIOD,
    CrashReport,
    CrashReporter,
    host_time,
)
from nutmegroad.fleet.request_attributes import (
    AttributeFingerprint,
    RequestAttributes,
    Scope,
)
from nutmegroad.foundations.clocks import Clock

#: Maximum number of tracked attributes: those of as many requests as run on all
#: upstreams of a large deployment when a failure domain loses power.
MAX_ATTRIBUTES: Final = 4000

#: Attributes that remain after an eviction.
ATTRIBUTES_AFTER_EVICTION: Final = 3500

#: Maximum number of attributes whose last answer is remembered.
MAX_ANSWERED: Final = 4000


class CrashTracker:
    """Tracks the attributes of requests under which upstreams have crashed.

    Args:
        clock: The host's clock.
    """

    @property
    def has_updates(self) -> bool:
        """Whether a crash or an answer is recent enough to be reported."""
        return self._clock.now() <= self._report_until

    @property
    def records(self) -> Mapping[AttributeFingerprint, CrashRecord]:
        """The records of all tracked attributes."""
        return self._records

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Ordered by last update, oldest first.
        self._records: dict[AttributeFingerprint, CrashRecord] = {}
        # Those of the records that crashes may be due to.
        self._suspects: dict[AttributeFingerprint, CrashRecord] = {}
        # Clock time of the last answer under an attribute, oldest first.
        self._answered: dict[AttributeFingerprint, float] = {}
        self._started = clock.now()
        self._cold_until = self._started + WARM_UP
        # Clock time until which there is something to report.
        self._report_until = NEVER
        self._reporter = CrashReporter()

    def harmful(self, attributes: RequestAttributes) -> BlockedRequest | None:
        """Return why a request is blocked, or None if it is not."""
        if not any(each.fingerprint in self._suspects for each in attributes):
            return None
        now = self._clock.now()
        return find_block(
            attributes, self._suspects, now, is_cold=now < self._cold_until
        )

    def count_harmful(self) -> int:
        """Return to how many attributes crashes may be due."""
        return len(self._suspects)

    def record_crash(
        self, attributes: RequestAttributes, crash: UpstreamCrash
    ) -> None:
        """Record the crash of an upstream under a request."""
        for each in attributes:
            self.add_crash(each.fingerprint, each.scope, crash)

    def record_answer(
        self, attributes: RequestAttributes, time: float
    ) -> RequestAttributes:
        """Record a complete answer to a request.

        Returns:
            The attributes that it has cleared of a crash.
        """
        self.record_progress(attributes, time)
        return tuple(
            each
            for each in attributes
            if self.add_answer(each.fingerprint, time)
        )

    def record_progress(
        self, attributes: RequestAttributes, time: float
    ) -> None:
        """Record that an upstream has been answering a request for a while."""
        for each in attributes:
            if each.scope is not Scope.REQUEST:
                self.add_progress(each.fingerprint, time)

    def report(self) -> CrashReport:
        """Return the report of the last seconds for the other hosts."""
        if not self.has_updates:
            # Called in each gossip round, almost never with anything to report.
            return CrashReport()
        return self._reporter.report(
            self._records, self._suspects, self._clock.now()
        )

    def merge(self, report: CrashReport) -> None:
        """Merge a report from another host."""
        now = self._clock.now()
        for reported in report.crashes:
            crash = UpstreamCrash(
                reported.upstream,
                host_time(now, reported.sent_age),
                host_time(now, reported.crash_age),
            )
            self.add_crash(reported.attribute, reported.scope, crash)
        for answer in report.answers:
            self.add_answer(answer.attribute, host_time(now, answer.age))
        for each in report.progress:
            self.add_progress(each.attribute, host_time(now, each.age))

    def add_crash(
        self,
        attribute: AttributeFingerprint,
        scope: Scope,
        crash: UpstreamCrash,
    ) -> None:
        """Add a crash to the record of one attribute."""
        record = self._records.pop(attribute, None) or CrashRecord(scope)
        self._records[attribute] = record
        record.record_crash(crash)
        answered = self._answered.get(attribute, NEVER)
        record.progressed_at = max(record.progressed_at, answered)
        self._update_suspicion(attribute, record)
        period = REPORTING_PERIOD
        if attribute in self._suspects:
            period = SUSPECT_PERIOD
        self._report_until = max(self._report_until, crash.crashed_at + period)
        if len(self._records) > MAX_ATTRIBUTES:
            self._evict()

    def add_answer(self, attribute: AttributeFingerprint, time: float) -> bool:
        """Clear one attribute of the crashes before a complete answer."""
        record = self._records.get(attribute)
        if record is None or not record.record_answer(time):
            return False
        self._update_suspicion(attribute, record)
        self._report_until = max(self._report_until, time + REPORTING_PERIOD)
        return True

    def add_progress(
        self, attribute: AttributeFingerprint, time: float
    ) -> None:
        """Record that an upstream has been answering under one attribute."""
        if time < self._started:
            # This host knows what was answered before it started.
            self._cold_until = NEVER
        earlier = self._answered.pop(attribute, NEVER)
        self._answered[attribute] = max(time, earlier)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.pop(next(iter(self._answered)))
        record = self._records.get(attribute)
        if record is not None and time > record.progressed_at:
            record.progressed_at = time
            self._update_suspicion(attribute, record)

    def _update_suspicion(
        self, attribute: AttributeFingerprint, record: CrashRecord
    ) -> None:
        """Record whether crashes may be due to an attribute."""
        if record.is_suspect:
            self._suspects[attribute] = record
        else:
            self._suspects.pop(attribute, None)

    def _evict(self) -> None:
        """Evict the attributes that were updated longest ago, suspects last."""
        excess = len(self._records) - ATTRIBUTES_AFTER_EVICTION
        # Evicts many at once, so that it does not run for each crash.
        suspects_last = sorted(
            self._records, key=lambda attribute: attribute in self._suspects
        )
        for attribute in suspects_last[:excess]:
            self._records.pop(attribute)
            self._suspects.pop(attribute, None)
