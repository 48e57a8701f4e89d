"""Current quality estimates of all versions, for the planner.

An estimate combines the quality that the configuration declares, as a prior,
with ratings. If a version and task class are no longer rated while others are,
their evidence loses weight with time, so that a version once found to be poor
is eventually tried again. While no ratings arrive at all, nothing ages.
"""

from dataclasses import dataclass
from typing import Final

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.platform import Rating
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import Epoch, TaskName, VersionId
from nutmegroad.quality._bounds import Evidence, posterior
from nutmegroad.quality.quality_tracker import (
    Cell,
    CellKey,
    QualityState,
    QualityTracker,
)

#: Confidence with which a version must meet the target to come into use.
ENTRY_CONFIDENCE: Final = 0.95
#: The same for a version in use; lower, to avoid flapping.
RETENTION_CONFIDENCE: Final = 0.7
#: Seconds in which evidence without new ratings loses half its weight.
HALF_LIFE: Final = 3600.0
#: Seconds to which ages are rounded down, so that estimates can be cached.
_AGE_STEP: Final = 300.0


@dataclass(frozen=True, slots=True)
class Estimate:
    """Estimated mean quality of a version for a task class.

    Attributes:
        declared: Quality that the version's owner declares, from 0 to 1.
        mean: Estimated mean.
        error: Standard error of the mean.
        lower: Lower bound of the mean with ``ENTRY_CONFIDENCE``.
        lower_in_use: Lower bound with ``RETENTION_CONFIDENCE``, for a version
            in use.
        upper: Upper bound of the mean with ``ENTRY_CONFIDENCE``.
        ratings: Effective number of ratings, after decay.
    """

    declared: float
    mean: float
    error: float
    lower: float
    lower_in_use: float
    upper: float
    ratings: float


class Estimates:
    """Quality estimates of a host, cached until new ratings or revisions.

    Args:
        configuration: Configuration in force; declares qualities and epochs.
        clock: The host's clock.
    """

    def __init__(self, configuration: Configuration, clock: Clock) -> None:
        self._configuration = configuration
        self._clock = clock
        self._tracker = QualityTracker(self._epoch_of)
        self._cache: dict[CellKey, Estimate] = {}
        self._rated_at: dict[CellKey, float] = {}
        self._last_rating = clock.now()
        self._generation = 0
        self._aged_at = self._last_rating
        self._cached_position = 0
        self._frozen = False
        configuration.subscribe(self._invalidate_all)

    @property
    def tracker(self) -> QualityTracker:
        """Tracker of the ratings that the estimates are based on."""
        return self._tracker

    @property
    def generation(self) -> int:
        """Counter that increases whenever an estimate may have changed."""
        return self._generation

    @property
    def seconds_since_rating(self) -> float:
        """Seconds since the last new ratings."""
        return self._clock.now() - self._last_rating

    def estimate(self, version: VersionId, task: TaskName) -> Estimate:
        """Return the estimate of a version for a task class."""
        key = (version, task)
        cached = self._cache.get(key)
        if cached is None:
            cached = self._compute(version, task)
            self._cache[key] = cached
        return cached

    def add_ratings(self, ratings: tuple[Rating, ...]) -> bool:
        """Add ratings from the feed; return whether any was new."""
        return self._invalidate() if self._tracker.add(ratings) else False

    def merge(self, state: QualityState) -> bool:
        """Merge another host's state; return whether it had read further."""
        return self._invalidate() if self._tracker.merge(state) else False

    def _compute(self, version: VersionId, task: TaskName) -> Estimate:
        """Combine the declared quality with the ratings."""
        entry = self._configuration.version_entry(version)
        declared = entry.quality.get(task, 0) if entry else 0
        cell = self._tracker.cell(version, task)
        evidence = Evidence() if cell is None else self._aged_evidence(cell)
        distribution = posterior(declared, evidence)
        return Estimate(
            declared=declared,
            mean=distribution.mean,
            error=distribution.error,
            lower=distribution.bound(ENTRY_CONFIDENCE),
            lower_in_use=distribution.bound(RETENTION_CONFIDENCE),
            upper=distribution.bound(1 - ENTRY_CONFIDENCE),
            ratings=evidence.count,
        )

    def _aged_evidence(self, cell: Cell) -> Evidence:
        """Return a cell's evidence, with less weight if it has aged."""
        evidence = cell.sums.evidence
        rated_at = self._rated_at.get(
            (cell.version, cell.task), self._last_rating
        )
        age = max(0, self._last_rating - rated_at)
        remaining = 0.5 ** (age // _AGE_STEP * _AGE_STEP / HALF_LIFE)
        return Evidence(
            evidence.count * remaining,
            evidence.mean,
            evidence.variance,
        )

    def _invalidate(self) -> bool:
        """Remove outdated estimates from the cache after new ratings.

        Returns:
            True, so that callers can return the result.
        """
        self._last_rating = self._clock.now()
        self._generation += 1
        for cell in self._tracker.cells():
            if cell.position > self._cached_position:
                key = (cell.version, cell.task)
                self._rated_at[key] = self._last_rating
                self._cache.pop(key, None)
        self._cached_position = self._tracker.position
        stale = self._last_rating - self._aged_at > _AGE_STEP
        # A freeze also restores cells without a new rating.
        if stale or self._frozen != self._tracker.frozen:
            self._frozen = self._tracker.frozen
            self._aged_at = self._last_rating
            self._cache.clear()
        return True

    def _invalidate_all(self) -> None:
        """Clear the cache: declared qualities and epochs may have changed."""
        self._generation += 1
        self._cache.clear()

    def _epoch_of(self, version: VersionId) -> Epoch:
        """Return the current epoch of a version."""
        entry = self._configuration.version_entry(version)
        return Epoch(entry.epoch if entry else 0)
