"""Rules that stop a bad version: the exposure guard, and its baselines."""

import statistics
from collections import deque
from typing import Final

from experiments.trials.exposure_scenarios import (
    GOOD,
    NEW,
    OLD,
    OTHER_TASK,
    TASK,
    Scenario,
)
from nutmegroad.configuration.in_force import (
    AcceptedConfiguration,
    Configuration,
)
from nutmegroad.contracts.documents import (
    Document,
    PresetEntry,
    PresetTask,
    Stage,
    TaskEntry,
    VersionEntry,
)
from nutmegroad.foundations.types import (
    Digest,
    Incarnation,
    PresetName,
    Revision,
    VersionId,
)
from nutmegroad.quality.ratings import RatingListener, RatingTally
from nutmegroad.rollouts.evidence import (
    EvidenceCell,
    EvidenceStore,
    Tally,
)
from nutmegroad.rollouts.exposure import ExposureGuard
from nutmegroad.rollouts.quarantines import Quarantines
from nutmegroad.testing.virtual import ManualClock

PEER: Final = Incarnation('peer.1')


class SilentFeed:
    """A rating feed without updates; the trial passes ratings to the guard."""

    def listen(self, listener: RatingListener) -> None:
        """Ignore the listener."""


class Judge:
    """Decides when a version is stopped; this base class stops none.

    Args:
        scenario: The scenario of the trial.
    """

    def __init__(self, scenario: Scenario) -> None:
        self._watched = NEW if scenario.rollout else OLD

    def add_ratings(self, version: VersionId, scores: list[float]) -> None:
        """Add ratings of a version."""

    def add_attempts(self, version: VersionId, increment: Tally) -> None:
        """Add the attempts that ended since the last call."""

    def has_stopped(self) -> bool:
        """Return whether the watched version gets no more requests."""
        return False


class ThresholdJudge(Judge):
    """Baseline: a fixed bound on the mean of the last 50 ratings."""

    def __init__(self, scenario: Scenario) -> None:
        super().__init__(scenario)
        self._window: deque[float] = deque(maxlen=50)

    def add_ratings(self, version: VersionId, scores: list[float]) -> None:
        """Store the last ratings of the watched version."""
        if version == self._watched:
            self._window.extend(scores)

    def has_stopped(self) -> bool:
        """Return whether the mean of a full window is below the bound."""
        is_full = len(self._window) == self._window.maxlen
        return is_full and statistics.fmean(self._window) < GOOD - 0.1


class GuardJudge(Judge):
    """Runs the exposure guard as a host does."""

    def __init__(self, scenario: Scenario) -> None:
        super().__init__(scenario)
        configuration = configuration_of(scenario)
        self._quarantines = Quarantines(configuration)
        self._evidence = EvidenceStore(Incarnation('h.1'))
        self._attempts = {OLD: Tally(), NEW: Tally()}
        self.guard = ExposureGuard(
            configuration,
            self._evidence,
            SilentFeed(),
            self._quarantines,
        )

    def add_ratings(self, version: VersionId, scores: list[float]) -> None:
        """Pass ratings to the guard."""
        tally = RatingTally(version, TASK)
        for score in scores:
            tally = tally.plus(score)
        if tally.count:
            self.guard.add_ratings(tally)

    def add_attempts(self, version: VersionId, increment: Tally) -> None:
        """Pass evidence of attempts to the guard."""
        self._attempts[version] = self._attempts[version].plus(increment)
        cell = EvidenceCell(PEER, version, TASK, self._attempts[version])
        self._evidence.merge((cell,))

    def has_stopped(self) -> bool:
        """Return whether the watched version is quarantined."""
        return self._quarantines.blocked(self._watched, TASK) is not None


def configuration_of(scenario: Scenario) -> Configuration:
    """Return a configuration of two versions and two task classes."""
    stage = Stage.ROLLOUT if scenario.rollout else Stage.STEADY
    quality: dict[str, float] = {TASK: GOOD, OTHER_TASK: GOOD}
    document = Document(
        format=1,
        name='trial',
        versions=(
            VersionEntry(id=OLD, price_in=1, price_out=1, quality=quality),
            VersionEntry(
                id=NEW,
                price_in=1,
                price_out=1,
                quality=quality,
                stage=stage,
                replaces=OLD,
            ),
        ),
        tasks=(TaskEntry(name=TASK, target=0.8),),
        workspaces=(),
        presets=(
            PresetEntry(
                name='day',
                tasks=(
                    PresetTask(task=TASK, versions=(OLD, NEW)),
                    PresetTask(task=OTHER_TASK, versions=(OLD, NEW)),
                ),
            ),
        ),
    )
    configuration = Configuration(ManualClock(), 1)
    configuration.apply(
        AcceptedConfiguration(
            Revision(1),
            Digest(''),
            document,
            PresetName('day'),
            'trial',
        ),
    )
    return configuration
