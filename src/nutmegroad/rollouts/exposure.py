"""Exposure guard: tests evidence, and imposes quarantines on this host.

A version in a rollout is compared with the version that it replaces, a steady
version with its own past. Each host tests all evidence that it knows, its own
and what it received from others. It stops sending requests to a bad version
before it informs any other host. None of this needs the platform.
"""

import math
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final, Protocol

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.documents import Stage, VersionEntry
from nutmegroad.foundations.types import TaskName, VersionId
from nutmegroad.quality.ratings import RatingListener, RatingTally
from nutmegroad.rollouts.evidence import (
    EvidenceKey,
    EvidenceStore,
    Moments,
    Tally,
)
from nutmegroad.rollouts.quarantines import Grade, Quarantines
from nutmegroad.rollouts.sequential import MeanTest, RateTest, ScoreTest

#: Minimum for the mean number of ratings or attempts until a false alarm.
FALSE_ALARM_RUN_LENGTH: Final = 1e6
#: Strength from which a version is quarantined.
WEAK_STRENGTH: Final = math.log(FALSE_ALARM_RUN_LENGTH)
#: Strength from which the last version of a task is quarantined, too.
STRONG_STRENGTH: Final = 2 * WEAK_STRENGTH

#: Number of ratings of its own past with which a steady version is compared.
REFERENCE_RATINGS: Final = 1000
#: Strength of the evidence against a version from which its ratings are no
#: longer added to its past.
SUSPICION_STRENGTH: Final = 2.0
#: Number of attempts of its own past with which a steady version is compared.
REFERENCE_ATTEMPTS: Final = 500
#: Minimum number of ratings that serve as a reference.
MIN_REFERENCE_RATINGS: Final = 20
#: Minimum number of answers that serve as a reference.
MIN_REFERENCE_ANSWERS: Final = 50

#: Tolerated drop of a mean score below its reference.
SCORE_TOLERANCE: Final = 0.03
#: Tolerated drop of a mean score below what the owner declared, while there is
#: no past yet.
DECLARED_TOLERANCE: Final = 0.15
#: Failure rate up to which failures do not count against a version.
TOLERATED_FAILURE_RATE: Final = 0.03
#: Failures since the last restart of their test from which a version may be
#: stopped. A few requests that are retried on a broken engine are no evidence
#: on a version.
MIN_FAILURES: Final = 20
#: Tolerated difference of lengths: a third, as a logarithm.
LENGTH_TOLERANCE: Final = math.log(4 / 3)
#: Tolerated factor of times to the first token, as a logarithm.
LATENCY_TOLERANCE: Final = math.log(2)

#: Standard errors by which a reference mean is lowered.
_DEVIATIONS: Final = 2


@unique
class Signal(Enum):
    """What a test measures."""

    RATINGS = 'ratings'
    FAILURES = 'failures'
    SHORTER = 'shorter answers'
    LONGER = 'longer answers'
    #: Holds a rollout but is no ground for a quarantine: load slows good
    #: versions down, too.
    LATENCY = 'latency'


@dataclass(slots=True)
class VersionTests:
    """Tests of one version for one task class.

    Attributes:
        identity: Epoch and stage of the version; the tests restart if they
            change.
        ratings: Test of the ratings.
        failures: Test of errors and truncated answers.
        shorter: Test for answers that became shorter.
        longer: Test for answers that became longer.
        latency: Test of the time to the first token.
        past_ratings: Ratings of its past, for a steady version.
        past: Attempts of its past, for a steady version.
        baseline: Attempts of the replaced version before the tests started.
        rated: Ratings that were tested.
        failed: Failures since the test of failures last restarted.
    """

    identity: tuple[int, Stage]
    ratings: ScoreTest = field(default_factory=ScoreTest)
    failures: RateTest = field(default_factory=RateTest)
    shorter: MeanTest = field(default_factory=lambda: MeanTest(-1))
    longer: MeanTest = field(default_factory=MeanTest)
    latency: MeanTest = field(default_factory=MeanTest)
    past_ratings: Moments = field(default_factory=Moments)
    past: Tally = field(default_factory=Tally)
    baseline: Tally = field(default_factory=Tally)
    rated: Moments = field(default_factory=Moments)
    failed: int = 0

    def strengths(self) -> dict[Signal, float]:
        """Return how strongly each signal speaks against the version."""
        return {
            Signal.RATINGS: self.ratings.strength,
            Signal.FAILURES: self.failures.strength,
            Signal.SHORTER: self.shorter.strength,
            Signal.LONGER: self.longer.strength,
            Signal.LATENCY: self.latency.strength,
        }


class RatingSource(Protocol):
    """Source of the ratings that the guard tests."""

    def listen(self, listener: RatingListener) -> None:
        """Call a function with new ratings."""


class ExposureGuard:
    """Tests evidence as it arrives, and imposes quarantines.

    Args:
        configuration: Configuration in force.
        evidence: Attempts of this host and of others.
        feed: Ratings.
        quarantines: Where the guard imposes quarantines.
    """

    def __init__(
        self,
        configuration: Configuration,
        evidence: EvidenceStore,
        feed: RatingSource,
        quarantines: Quarantines,
    ) -> None:
        self._configuration = configuration
        self._evidence = evidence
        self._quarantines = quarantines
        self._tests: dict[EvidenceKey, VersionTests] = {}
        self._rated: dict[EvidenceKey, Moments] = {}
        self._lifted: dict[VersionId, int] = {}
        quarantines.listen(self._restart_lifted)
        evidence.listen(self.add_attempts)
        feed.listen(self.add_ratings)

    def tests(self, version: VersionId, task: TaskName) -> VersionTests | None:
        """Return the tests of a version for a task class, if any started."""
        return self._tests.get((version, task))

    def ratings(self, version: VersionId, task: TaskName) -> Moments:
        """Return all ratings of a version for a task class."""
        return self._rated.get((version, task), Moments())

    def restart(self, version: VersionId) -> None:
        """Restart the tests of a version, as after a lifted quarantine."""
        keys = [key for key in self._tests if key[0] == version]
        for key in keys:
            self._tests.pop(key)

    def add_ratings(self, tally: RatingTally) -> None:
        """Test new ratings."""
        sample = Moments(tally.count, tally.total, tally.squares)
        key = tally.key
        self._rated[key] = self.ratings(*key).plus(sample)
        entry = self._configuration.version_entry(tally.version)
        if entry is None:
            return
        tests = self._tests_of(entry, tally.task)
        min_score = self._min_score(entry, tally.task, tests)
        if min_score is not None:
            tests.rated = tests.rated.plus(sample)
            tests.ratings.add(tally, min_score)
        needs_past = tests.past_ratings.count < REFERENCE_RATINGS
        if needs_past and tests.ratings.strength < SUSPICION_STRENGTH:
            tests.past_ratings = tests.past_ratings.plus(sample)
        self._judge(key, tests)

    def add_attempts(self, key: EvidenceKey, fresh: Tally) -> None:
        """Test new attempts."""
        entry = self._configuration.version_entry(key[0])
        if entry is None:
            return
        tests = self._tests_of(entry, key[1])
        reference = self._reference(entry, key[1], tests)
        max_rate = max(TOLERATED_FAILURE_RATE, _failure_rate(reference))
        if tests.failures.strength <= 0:
            tests.failed = 0
        tests.failed += fresh.failures
        tests.failures.add(fresh.failures, fresh.answers, max_rate)
        if reference.answers >= MIN_REFERENCE_ANSWERS:
            length = reference.length
            tests.shorter.add(fresh.length, length, LENGTH_TOLERANCE)
            tests.longer.add(fresh.length, length, LENGTH_TOLERANCE)
        if entry.stage is Stage.ROLLOUT:
            self._test_latency(tests, fresh, reference)
        elif tests.past.attempts < REFERENCE_ATTEMPTS:
            tests.past = tests.past.plus(fresh)
        self._judge(key, tests)

    def _restart_lifted(self) -> None:
        """Restart the tests of versions whose quarantine was lifted."""
        for record in self._quarantines.records:
            known = self._lifted.get(record.version, 0)
            if not record.is_active and record.level > known:
                self._lifted[record.version] = record.level
                self.restart(record.version)

    def _test_latency(
        self, tests: VersionTests, fresh: Tally, reference: Tally
    ) -> None:
        """Compare latency with that of the same period, under the same load."""
        concurrent = reference.minus(tests.baseline).first_token
        if concurrent.count >= MIN_REFERENCE_ANSWERS:
            tests.latency.add(fresh.first_token, concurrent, LATENCY_TOLERANCE)

    def _tests_of(self, entry: VersionEntry, task: TaskName) -> VersionTests:
        """Return a version's tests; restart them if its identity changed."""
        key = (entry.version, task)
        identity = (entry.epoch, entry.stage)
        tests = self._tests.get(key)
        if tests is None or tests.identity != identity:
            baseline = Tally()
            if entry.replaces is not None:
                before = VersionId(entry.replaces)
                baseline = self._evidence.total(before, task)
            tests = VersionTests(identity, baseline=baseline)
            self._tests[key] = tests
        return tests

    def _min_score(
        self,
        entry: VersionEntry,
        task: TaskName,
        tests: VersionTests,
    ) -> float | None:
        """Return the minimum mean score of a good version, if known."""
        past = tests.past_ratings
        if entry.stage is Stage.ROLLOUT and entry.replaces is not None:
            past = self.ratings(VersionId(entry.replaces), task)
        if past.count >= MIN_REFERENCE_RATINGS:
            uncertainty = _DEVIATIONS * past.deviation / math.sqrt(past.count)
            return past.mean - SCORE_TOLERANCE - uncertainty
        declared = entry.quality.get(task)
        return None if declared is None else declared - DECLARED_TOLERANCE

    def _reference(
        self,
        entry: VersionEntry,
        task: TaskName,
        tests: VersionTests,
    ) -> Tally:
        """Return the attempts with which a version is compared."""
        if entry.stage is Stage.ROLLOUT and entry.replaces is not None:
            return self._evidence.total(VersionId(entry.replaces), task)
        return tests.past

    def _judge(self, key: EvidenceKey, tests: VersionTests) -> None:
        """Quarantine a version if a test speaks against it."""
        strengths = tests.strengths()
        strengths.pop(Signal.LATENCY)
        if tests.failed < MIN_FAILURES:
            strengths.pop(Signal.FAILURES)
        if tests.identity[1] is Stage.STEADY:
            # Requests for longer answers lengthen the answers of every version.
            strengths.pop(Signal.LONGER)
        signal = max(strengths, key=strengths.__getitem__)
        if strengths[signal] < WEAK_STRENGTH:
            return
        # A version that merely fails does no harm as the last one of its task.
        is_strong = strengths[Signal.RATINGS] >= STRONG_STRENGTH
        grade = Grade.STRONG if is_strong else Grade.WEAK
        reason = (
            f'{signal.value} speak against it for the task {key[1]!r} with '
            f'strength {strengths[signal]:.1f}.'
        )
        self._quarantines.impose(*key, grade, reason)


def _failure_rate(tally: Tally) -> float:
    """Return the fraction of failed attempts; 0 if there are too few."""
    if tally.attempts < MIN_REFERENCE_ANSWERS:
        return 0
    return tally.failures / tally.attempts
