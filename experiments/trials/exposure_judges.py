"""What decides that a version has turned bad: the guard, and a threshold."""

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
    """A feed that says nothing: the trial hands ratings in itself."""

    def listen(self, listener: RatingListener) -> None:
        """Forget the listener."""


class Judge:
    """What decides whether a version is to be stopped; it stops none.

    Args:
        scenario: What happens.
    """

    def __init__(self, scenario: Scenario) -> None:
        self._watched = NEW if scenario.rollout else OLD

    def rate(self, version: VersionId, scores: list[float]) -> None:
        """Take new ratings."""

    def count(self, version: VersionId, fresh: Tally) -> None:
        """Take attempts that ended."""

    def stops(self) -> bool:
        """Tell whether the version watched gets no more work."""
        return False


class ThresholdJudge(Judge):
    """The baseline: a mean of the last 50 ratings under a fixed bound."""

    def __init__(self, scenario: Scenario) -> None:
        super().__init__(scenario)
        self._last: deque[float] = deque(maxlen=50)

    def rate(self, version: VersionId, scores: list[float]) -> None:
        """Keep the last ratings."""
        if version == self._watched:
            self._last.extend(scores)

    def stops(self) -> bool:
        """Compare their mean with the bound."""
        full = len(self._last) == self._last.maxlen
        return full and statistics.fmean(self._last) < GOOD - 0.1


class GuardJudge(Judge):
    """The exposure guard, as a host has it."""

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

    def rate(self, version: VersionId, scores: list[float]) -> None:
        """Hand ratings to the guard."""
        tally = RatingTally(version, TASK)
        for score in scores:
            tally = tally.plus(score)
        if tally.count:
            self.guard.add_ratings(tally)

    def count(self, version: VersionId, fresh: Tally) -> None:
        """Hand attempts to the guard."""
        self._attempts[version] = self._attempts[version].plus(fresh)
        cell = EvidenceCell(PEER, version, TASK, self._attempts[version])
        self._evidence.merge((cell,))

    def stops(self) -> bool:
        """Ask the quarantines."""
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
