"""What is believed of each version's quality now, for the planner.

An estimate joins the quality that the document declares, as a prior, with
what ratings say. Evidence on a pair that is no longer rated while others
are loses its weight with time, so that a version once found wanting is
tried again some day; while no ratings come at all, nothing ages.
"""

from dataclasses import dataclass
from typing import Final

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.platform import Rating
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import Epoch, TaskName, VersionId
from nutmegroad.quality._bounds import Evidence, posterior
from nutmegroad.quality.quality_book import (
    Cell,
    Pair,
    QualityBook,
    QualityState,
)

#: Confidence with which a version must meet the target to be taken up.
ENTER: Final = 0.95
#: Confidence that keeps a version that is in use; less, against flapping.
STAY: Final = 0.7
#: Seconds in which evidence that nothing renews loses half its weight.
HALF_LIFE: Final = 3600.0
#: Seconds to which ages are rounded, so that estimates can be kept.
_AGE_STEP: Final = 300.0


@dataclass(frozen=True, slots=True)
class Estimate:
    """What is believed of a version for a task class.

    Attributes:
        declared: What its owner says, from 0 to 1.
        mean: The middle of what is believed.
        error: Standard error of the mean.
        lower: Exceeded with confidence ``ENTER``.
        keep: Exceeded with confidence ``STAY``.
        upper: Not exceeded with confidence ``ENTER``.
        ratings: Ratings that it rests on, after decay.
    """

    declared: float
    mean: float
    error: float
    lower: float
    keep: float
    upper: float
    ratings: float


class Estimates:
    """The estimates of one host.

    Args:
        configuration: Declares qualities and epochs.
        clock: The host's clock.
    """

    def __init__(self, configuration: Configuration, clock: Clock) -> None:
        self._configuration = configuration
        self._clock = clock
        self._book = QualityBook(self._epoch_of)
        self._known: dict[Pair, Estimate] = {}
        self._heard: dict[Pair, float] = {}
        self._last_heard = clock.now()
        self._changes = 0
        self._aged = self._last_heard
        self._seen = 0
        self._frozen = False
        configuration.listen(self._configured)

    @property
    def book(self) -> QualityBook:
        """The ratings that were taken in."""
        return self._book

    @property
    def stamp(self) -> int:
        """A number that grows whenever an estimate may have changed."""
        return self._changes

    @property
    def silence(self) -> float:
        """Seconds since any rating was taken in."""
        return self._clock.now() - self._last_heard

    def estimate(self, version: VersionId, task: TaskName) -> Estimate:
        """Return what is believed of a version for a task class."""
        pair = (version, task)
        known = self._known.get(pair)
        if known is None:
            known = self._work_out(version, task)
            self._known[pair] = known
        return known

    def take(self, ratings: tuple[Rating, ...]) -> bool:
        """Take ratings of the feed in; tell whether any was new."""
        return self._changed() if self._book.take(ratings) else False

    def merge(self, state: QualityState) -> bool:
        """Take another host's state in; tell whether it was news."""
        return self._changed() if self._book.merge(state) else False

    def _work_out(self, version: VersionId, task: TaskName) -> Estimate:
        """Join prior and ratings."""
        entry = self._configuration.entry(version)
        declared = entry.quality.get(task, 0) if entry else 0
        cell = self._book.cell(version, task)
        evidence = Evidence() if cell is None else self._aged_evidence(cell)
        belief = posterior(declared, evidence)
        return Estimate(
            declared=declared,
            mean=belief.mean,
            error=belief.error,
            lower=belief.bound(ENTER),
            keep=belief.bound(STAY),
            upper=belief.bound(1 - ENTER),
            ratings=evidence.count,
        )

    def _aged_evidence(self, cell: Cell) -> Evidence:
        """Return a cell's evidence, worth less if it is no longer renewed."""
        evidence = cell.sums.evidence
        heard = self._heard.get((cell.version, cell.task), self._last_heard)
        age = max(0, self._last_heard - heard)
        remaining = 0.5 ** (age // _AGE_STEP * _AGE_STEP / HALF_LIFE)
        return Evidence(
            evidence.count * remaining,
            evidence.mean,
            evidence.variance,
        )

    def _changed(self) -> bool:
        """Forget the estimates that may differ now."""
        self._last_heard = self._clock.now()
        self._changes += 1
        for cell in self._book.cells():
            if cell.position > self._seen:
                pair = (cell.version, cell.task)
                self._heard[pair] = self._last_heard
                self._known.pop(pair, None)
        self._seen = self._book.position
        stale = self._last_heard - self._aged > _AGE_STEP
        # A freeze also puts cells back that got no new rating.
        if stale or self._frozen != self._book.frozen:
            self._frozen = self._book.frozen
            self._aged = self._last_heard
            self._known.clear()
        return True

    def _configured(self) -> None:
        """Forget all estimates: priors and epochs may differ now."""
        self._changes += 1
        self._known.clear()

    def _epoch_of(self, version: VersionId) -> Epoch:
        """Return a version's epoch today."""
        entry = self._configuration.entry(version)
        return Epoch(entry.epoch if entry else 0)
