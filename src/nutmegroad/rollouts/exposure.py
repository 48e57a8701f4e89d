"""The exposure guard: it turns evidence into quarantines on this host.

A version in roll-out is compared with the version before it, a steady one
with its own past. Each host tests all evidence that it knows, its own and
what others have told, and stops sending before it tells anybody. Nothing
here needs the platform.
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

#: Ratings or attempts until a false alarm, in the mean and at the least.
FALSE_ALARM_DISTANCE: Final = 1e6
#: Strength from which a version is put into quarantine.
WEAK_STRENGTH: Final = math.log(FALSE_ALARM_DISTANCE)
#: Strength from which the last version of a task is, too.
STRONG_STRENGTH: Final = 2 * WEAK_STRENGTH

#: Ratings of its own past that a steady version is compared with.
REFERENCE_RATINGS: Final = 1000
#: Strength from which ratings are not taken for a good past any more.
SUSPICION: Final = 2.0
#: Attempts of its own past that a steady version is compared with.
REFERENCE_ATTEMPTS: Final = 500
#: Ratings from which a version may serve as a reference for another.
LEAST_RATINGS: Final = 20
#: Answers from which a version may serve as a reference for another.
LEAST_ANSWERS: Final = 50

#: A mean score may lie so far below its reference.
SCORE_TOLERANCE: Final = 0.03
#: And so far below what its owner declared, where there is no past yet.
DECLARED_TOLERANCE: Final = 0.15
#: A rate of failures up to this is not held against a version.
USUAL_FAILURES: Final = 0.03
#: Failures in one run of them from which a version may be stopped. A few
#: requests that are retried on a broken engine are no evidence on a version.
LEAST_FAILURES: Final = 20
#: Lengths may differ by a third, as a logarithm.
LENGTH_TOLERANCE: Final = math.log(4 / 3)
#: Times to the first token may be longer by this factor, as a logarithm.
LATENCY_TOLERANCE: Final = math.log(2)

_DEVIATIONS: Final = 2


@unique
class Signal(Enum):
    """What a test looks at."""

    RATINGS = 'ratings'
    FAILURES = 'failures'
    SHORTER = 'shorter answers'
    LONGER = 'longer answers'
    #: It holds a roll-out but is no ground for a quarantine: load makes
    #: good versions slow, too.
    LATENCY = 'latency'


@dataclass(slots=True)
class Watch:
    """The tests of one version for one task class.

    Attributes:
        identity: Epoch and stage; another one begins anew.
        ratings: Test of the ratings.
        failures: Test of errors and cut answers.
        shorter: Test for answers that became shorter.
        longer: Test for answers that became longer.
        latency: Test of the time to the first token.
        past_ratings: Ratings of its past, for a steady version.
        past: Attempts of its past, for a steady version.
        baseline: What the version before had when the watch began.
        rated: Ratings that were tested.
        failed: Failures since the test of failures last began anew.
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
    """Where the guard hears of ratings."""

    def listen(self, listener: RatingListener) -> None:
        """Tell a listener what is new."""


class ExposureGuard:
    """Tests evidence as it comes, and imposes quarantines.

    Args:
        configuration: What is in force.
        evidence: Attempts, of this host and of others.
        feed: Ratings.
        quarantines: Where it says what it found.
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
        self._watches: dict[EvidenceKey, Watch] = {}
        self._rated: dict[EvidenceKey, Moments] = {}
        self._lifted: dict[VersionId, int] = {}
        quarantines.listen(self._notice)
        evidence.listen(self.counted)
        feed.listen(self.rated)

    def watch(self, version: VersionId, task: TaskName) -> Watch | None:
        """Return the tests of a version for a task class, if any began."""
        return self._watches.get((version, task))

    def ratings(self, version: VersionId, task: TaskName) -> Moments:
        """Return all ratings of a version for a task class."""
        return self._rated.get((version, task), Moments())

    def forget(self, version: VersionId) -> None:
        """Begin anew with a version, as after a lifted quarantine."""
        keys = [key for key in self._watches if key[0] == version]
        for key in keys:
            self._watches.pop(key)

    def rated(self, tally: RatingTally) -> None:
        """Take new ratings."""
        sample = Moments(tally.count, tally.total, tally.squares)
        key = tally.key
        self._rated[key] = self.ratings(*key).plus(sample)
        entry = self._configuration.entry(tally.version)
        if entry is None:
            return
        watch = self._watch(entry, tally.task)
        least = self._least_score(entry, tally.task, watch)
        if least is not None:
            watch.rated = watch.rated.plus(sample)
            watch.ratings.add(tally, least)
        is_open = watch.past_ratings.count < REFERENCE_RATINGS
        if is_open and watch.ratings.strength < SUSPICION:
            watch.past_ratings = watch.past_ratings.plus(sample)
        self._judge(key, watch)

    def counted(self, key: EvidenceKey, fresh: Tally) -> None:
        """Take new attempts."""
        entry = self._configuration.entry(key[0])
        if entry is None:
            return
        watch = self._watch(entry, key[1])
        reference = self._reference(entry, key[1], watch)
        most = max(USUAL_FAILURES, _rate(reference))
        if watch.failures.strength <= 0:
            watch.failed = 0
        watch.failed += fresh.failures
        watch.failures.add(fresh.failures, fresh.answers, most)
        if reference.answers >= LEAST_ANSWERS:
            length = reference.length
            watch.shorter.add(fresh.length, length, LENGTH_TOLERANCE)
            watch.longer.add(fresh.length, length, LENGTH_TOLERANCE)
        if entry.stage is Stage.ROLLOUT:
            self._time(watch, fresh, reference)
        elif watch.past.attempts < REFERENCE_ATTEMPTS:
            watch.past = watch.past.plus(fresh)
        self._judge(key, watch)

    def _notice(self) -> None:
        """Begin anew with versions whose quarantine was lifted."""
        for record in self._quarantines.records:
            known = self._lifted.get(record.version, 0)
            if not record.stands and record.level > known:
                self._lifted[record.version] = record.level
                self.forget(record.version)

    def _time(self, watch: Watch, fresh: Tally, reference: Tally) -> None:
        """Compare latency with that of the same hours, under one load."""
        concurrent = reference.minus(watch.baseline).first
        if concurrent.count >= LEAST_ANSWERS:
            watch.latency.add(fresh.first, concurrent, LATENCY_TOLERANCE)

    def _watch(self, entry: VersionEntry, task: TaskName) -> Watch:
        key = (entry.version, task)
        identity = (entry.epoch, entry.stage)
        watch = self._watches.get(key)
        if watch is None or watch.identity != identity:
            baseline = Tally()
            if entry.replaces is not None:
                before = VersionId(entry.replaces)
                baseline = self._evidence.total(before, task)
            watch = Watch(identity, baseline=baseline)
            self._watches[key] = watch
        return watch

    def _least_score(
        self,
        entry: VersionEntry,
        task: TaskName,
        watch: Watch,
    ) -> float | None:
        """Return the least mean score of a good version, if known."""
        past = watch.past_ratings
        if entry.stage is Stage.ROLLOUT and entry.replaces is not None:
            past = self.ratings(VersionId(entry.replaces), task)
        if past.count >= LEAST_RATINGS:
            doubt = _DEVIATIONS * past.deviation / math.sqrt(past.count)
            return past.mean - SCORE_TOLERANCE - doubt
        declared = entry.quality.get(task)
        return None if declared is None else declared - DECLARED_TOLERANCE

    def _reference(
        self,
        entry: VersionEntry,
        task: TaskName,
        watch: Watch,
    ) -> Tally:
        """Return the attempts that a version is compared with."""
        if entry.stage is Stage.ROLLOUT and entry.replaces is not None:
            return self._evidence.total(VersionId(entry.replaces), task)
        return watch.past

    def _judge(self, key: EvidenceKey, watch: Watch) -> None:
        """Put a version into quarantine if a test speaks against it."""
        strengths = watch.strengths()
        strengths.pop(Signal.LATENCY)
        if watch.failed < LEAST_FAILURES:
            strengths.pop(Signal.FAILURES)
        if watch.identity[1] is Stage.STEADY:
            # Requests that ask for more make every version's answers long.
            strengths.pop(Signal.LONGER)
        signal = max(strengths, key=strengths.__getitem__)
        if strengths[signal] < WEAK_STRENGTH:
            return
        # A version that merely fails does no harm as the last of its task.
        is_strong = strengths[Signal.RATINGS] >= STRONG_STRENGTH
        grade = Grade.STRONG if is_strong else Grade.WEAK
        reason = (
            f'{signal.value} speak against it for the task {key[1]!r} with '
            f'strength {strengths[signal]:.1f}.'
        )
        self._quarantines.impose(*key, grade, reason)


def _rate(tally: Tally) -> float:
    """Return the share of attempts that failed, were there enough."""
    if tally.attempts < LEAST_ANSWERS:
        return 0
    return tally.failures / tally.attempts
