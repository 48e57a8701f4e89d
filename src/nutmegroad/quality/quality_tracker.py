"""Quality by version and task class, computed from ratings.

The state depends on the rating service's feed alone: ratings are added in the
order of their positions, and their weight decays by their number, not by time.
Hosts that have read the feed up to the same position therefore hold the same
state. To merge two states is to keep, for each cell, the one that has read
further. Nothing is counted twice, no host has counters of its own, and a host
that has left leaves no counts to be merged.
"""

from collections.abc import Callable, Iterable
from math import sqrt
from statistics import median, pvariance
from typing import Final

from msgspec import Struct

from nutmegroad.contracts.platform import Rating
from nutmegroad.foundations.types import Epoch, TaskName, VersionId
from nutmegroad.quality._bounds import Evidence

#: Factor on a rating's weight with each later rating. At 0.98 about the last
#: 50 ratings count, with the effective sample size of 99 equal weights.
DECAY: Final = 0.98
#: Number of scores that are judged together, by their median, before they
#: count, so that one wrong score among them does not decide.
BATCH_SIZE: Final = 5
#: Maximum distance to a reliable mean at which a score counts unclipped.
MAX_INFLUENCE: Final = 0.3
#: Weight from which a mean is reliable enough to judge new scores by it.
RELIABLE_WEIGHT: Final = 10.0
#: Weight below which a freeze resets a cell that has nothing to restore.
MIN_RETAINED_WEIGHT: Final = 20.0
#: A batch deviates if its median differs from the reference mean by more than
#: ``MIN_SHIFT`` and by more than ``SHIFT_DEVIATIONS`` standard errors.
MIN_SHIFT: Final = 0.08
SHIFT_DEVIATIONS: Final = 6.0
#: Fraction of the weight that remains after a deviating batch, so that the
#: mean adapts quickly.
SHIFT_WEIGHT_FACTOR: Final = 0.25
#: Feed positions during which a deviation is evidence on the rating service.
DEVIATION_WINDOW: Final = 200
#: Feed positions after which a frozen tracker accepts a new, steady level.
FREEZE_LIMIT: Final = 400
#: Scores scatter if their variance exceeds both ``SCATTER_FACTOR`` times the
#: reference variance and ``MIN_SCATTER_VARIANCE``.
SCATTER_FACTOR: Final = 4.0
MIN_SCATTER_VARIANCE: Final = 0.02
#: Fraction of the versions that must deviate together for the rating service
#: to count as faulty, the fraction at which it counts as correct again, and
#: the minimum number of deviating versions.
FREEZE_FRACTION: Final = 0.75
UNFREEZE_FRACTION: Final = 0.5
MIN_FREEZE_VERSIONS: Final = 2
#: Maximum number of cells; the one with the oldest rating is evicted first.
MAX_CELLS: Final = 512

#: Identifies a cell.
CellKey = tuple[VersionId, TaskName]


class Sums(Struct, frozen=True, array_like=True):
    """Statistics of the ratings of a version for a task class.

    The weight of a rating decays with each later one.

    Attributes:
        weight: Sum of the weights of the ratings.
        squares: Sum of the squared weights.
        mean: Weighted mean of the scores.
        variance: Weighted variance of single scores.
    """

    weight: float = 0
    squares: float = 0
    mean: float = 0
    variance: float = 0

    @property
    def evidence(self) -> Evidence:
        """Mean and variance, with their effective sample size."""
        if not self.squares:
            return Evidence()
        count = self.weight * self.weight / self.squares
        return Evidence(count, self.mean, self.variance)

    def add(self, score: float) -> 'Sums':
        """Return the statistics with one more score."""
        weight = self.weight * DECAY + 1
        step = score - self.mean
        mean = self.mean + step / weight
        variance = self.variance + step * (score - mean) / weight
        return Sums(
            weight,
            self.squares * DECAY * DECAY + 1,
            mean,
            variance * (1 - 1 / weight) if self.weight else 0,
        )

    def discounted(self) -> 'Sums':
        """Return the statistics with less weight, as after a deviation."""
        return Sums(
            self.weight * SHIFT_WEIGHT_FACTOR,
            self.squares * SHIFT_WEIGHT_FACTOR,
            self.mean,
            self.variance,
        )


class Cell(Struct, frozen=True, array_like=True):
    """State of one version for one task class.

    Attributes:
        version: The version.
        task: The task class.
        epoch: Epoch of the version that the ratings belong to.
        position: Feed position of the last rating.
        total: Number of ratings received in this epoch.
        sums: Weighted statistics of the ratings.
        batch: Scores not yet judged.
        held: The statistics before a deviation; None if there was none.
        held_at: Feed position of that deviation.
    """

    version: VersionId
    task: TaskName
    epoch: Epoch
    position: int = 0
    total: int = 0
    sums: Sums = Sums()
    batch: tuple[float, ...] = ()
    held: Sums | None = None
    held_at: int = 0

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key of the states of a cell; the newer state is higher."""
        return self.epoch, self.position

    @property
    def reference(self) -> Sums:
        """Statistics with which a batch is compared."""
        return self.sums if self.held is None else self.held


class BatchVerdict(Struct, frozen=True, array_like=True):
    """Result of comparing the last batch of a version with its past.

    Attributes:
        version: The version.
        position: Feed position at which the batch was judged.
        deviates: Whether its median or its variance was unlike earlier scores.
        scatters: Whether its variance was larger than that of earlier scores.
    """

    version: VersionId
    position: int
    deviates: bool
    scatters: bool


class QualityState(Struct, frozen=True):
    """State of a tracker, as it is sent, stored and merged.

    Attributes:
        position: Feed position up to which the ratings were added.
        frozen: Feed position since which the rating service counts as
            faulty; 0 if it does not.
        cells: Cells; in a difference, only those that have changed.
        verdicts: The last verdict on each version.
    """

    position: int = 0
    frozen: int = 0
    cells: tuple[Cell, ...] = ()
    verdicts: tuple[BatchVerdict, ...] = ()


class QualityTracker:
    """Adds ratings from the feed, and merges states of other hosts.

    If most versions deviate together, the rating service counts as faulty
    rather than the versions, and the statistics are frozen.

    Args:
        epoch_of: Returns the current epoch of a version.
    """

    def __init__(self, epoch_of: Callable[[VersionId], Epoch]) -> None:
        self._epoch_of = epoch_of
        self._position = 0
        self._frozen = 0
        self._cells: dict[CellKey, Cell] = {}
        self._verdicts: dict[VersionId, BatchVerdict] = {}

    @property
    def position(self) -> int:
        """Feed position up to which the ratings were added."""
        return self._position

    @property
    def frozen(self) -> bool:
        """Whether the statistics are frozen, as the service seems faulty."""
        return bool(self._frozen)

    def cell(self, version: VersionId, task: TaskName) -> Cell | None:
        """Return a cell of the version's current epoch, or None."""
        cell = self._cells.get((version, task))
        if cell is None or cell.epoch < self._epoch_of(version):
            return None
        return cell

    def cells(self) -> tuple[Cell, ...]:
        """Return all cells."""
        return tuple(self._cells.values())

    def add(self, ratings: Iterable[Rating]) -> bool:
        """Add ratings in the feed's order; return whether any was new."""
        before = self._position
        for rating in ratings:
            # A page received twice, or after a later one, has no effect.
            if rating.position > self._position:
                self._position = rating.position
                self._add_rating(rating)
        return self._position > before

    def state(self, after: int = 0) -> QualityState:
        """Return the state, with the cells changed since a feed position."""
        return QualityState(
            self._position,
            self._frozen,
            tuple(cell for cell in self.cells() if cell.position > after),
            tuple(self._verdicts.values()),
        )

    def merge(self, state: QualityState) -> bool:
        """Merge another host's state; return whether it had read further."""
        if state.position <= self._position:
            return False
        self._position = state.position
        self._frozen = state.frozen
        self._verdicts = {entry.version: entry for entry in state.verdicts}
        for cell in state.cells:
            own = self._cells.get((cell.version, cell.task))
            if own is None or cell.rank > own.rank:
                self._cells[cell.version, cell.task] = cell
        return True

    def _add_rating(self, rating: Rating) -> None:
        """Add one rating."""
        cell = self.cell(rating.version, rating.task)
        if cell is None:
            epoch = self._epoch_of(rating.version)
            cell = Cell(rating.version, rating.task, epoch)
        cell = Cell(
            cell.version,
            cell.task,
            cell.epoch,
            rating.position,
            cell.total + 1,
            cell.sums,
            (*cell.batch, min(1, max(0, rating.score))),
            cell.held,
            cell.held_at,
        )
        # Below the reliable weight there is nothing to judge a batch by.
        if len(cell.batch) >= BATCH_SIZE or cell.sums.weight < RELIABLE_WEIGHT:
            cell = self._judge_batch(cell)
        self._cells[cell.version, cell.task] = cell
        if len(self._cells) > MAX_CELLS:
            oldest = min(self._cells.values(), key=_position_of)
            self._cells.pop((oldest.version, oldest.task))

    def _judge_batch(self, cell: Cell) -> Cell:
        """Judge a batch, and add it unless the statistics are frozen."""
        reference_sums = cell.reference
        deviates = _deviates(cell, reference_sums)
        if reference_sums.weight >= RELIABLE_WEIGHT:
            scatters = _scatters(cell, reference_sums)
            self._verdicts[cell.version] = BatchVerdict(
                cell.version,
                cell.position,
                deviates or scatters,
                scatters,
            )
            self._update_freeze()
        if self._frozen:
            return _new_cell(cell, cell.reference, None, 0)
        sums = cell.sums.discounted() if deviates else cell.sums
        held, held_at = cell.held, cell.held_at
        if deviates and held is None:
            held, held_at = cell.sums, cell.position
        elif held is not None and cell.position - held_at > DEVIATION_WINDOW:
            held, held_at = None, 0
        for score in cell.batch:
            sums = sums.add(_clipped(score, sums))
        return _new_cell(cell, sums, held, held_at)

    def _update_freeze(self) -> None:
        """Freeze while most versions deviate together."""
        recent = self._recent_verdicts()
        deviating = sum(entry.deviates for entry in recent)
        fraction = deviating / len(recent) if recent else 0
        if self._frozen:
            if fraction <= UNFREEZE_FRACTION:
                self._frozen = 0
            elif self._position - self._frozen > FREEZE_LIMIT:
                self._reset_if_steady(recent)
            return
        if deviating >= MIN_FREEZE_VERSIONS and fraction >= FREEZE_FRACTION:
            self._freeze()

    def _recent_verdicts(self) -> list[BatchVerdict]:
        """Return the verdicts since the first recent deviation."""
        since = self._position - DEVIATION_WINDOW
        first_deviation = min(
            (
                entry.position
                for entry in self._verdicts.values()
                if entry.deviates and entry.position >= since
            ),
            default=since,
        )
        # Earlier verdicts say nothing about the service now.
        return [
            entry
            for entry in self._verdicts.values()
            if entry.position >= first_deviation
        ]

    def _freeze(self) -> None:
        """Freeze, and restore the statistics from before the deviations."""
        self._frozen = self._position
        for key, cell in self._cells.items():
            if cell.held is not None:
                self._cells[key] = _new_cell(cell, cell.held, None, 0)
            elif cell.sums.weight < MIN_RETAINED_WEIGHT:
                # All ratings of a cell of low weight may have come since.
                self._cells[key] = _new_cell(cell, Sums(), None, 0)

    def _reset_if_steady(self, recent: list[BatchVerdict]) -> None:
        """Reset all cells, and unfreeze, if the new level is steady.

        The estimates then start from the declared qualities. Scores that
        scatter are no steady level and are never accepted.
        """
        scattered = sum(entry.scatters for entry in recent)
        if scattered > (1 - FREEZE_FRACTION) * len(recent):
            return
        self._frozen = 0
        self._verdicts.clear()
        for key, cell in self._cells.items():
            self._cells[key] = _new_cell(cell, Sums(), None, 0)


def _position_of(cell: Cell) -> int:
    """Return the feed position of a cell's last rating."""
    return cell.position


def _deviates(cell: Cell, reference_sums: Sums) -> bool:
    """Return whether a cell's batch has a median far from the earlier mean."""
    if reference_sums.weight < RELIABLE_WEIGHT:
        return False
    size = len(cell.batch)
    shift = abs(median(cell.batch) - reference_sums.mean)
    expected = SHIFT_DEVIATIONS * sqrt(reference_sums.variance / size)
    return shift > max(MIN_SHIFT, expected)


def _scatters(cell: Cell, reference_sums: Sums) -> bool:
    """Return whether a cell's batch varies more than earlier scores."""
    return pvariance(cell.batch) > max(
        MIN_SCATTER_VARIANCE, SCATTER_FACTOR * reference_sums.variance
    )


def _clipped(score: float, sums: Sums) -> float:
    """Return a score clipped to the neighbourhood of a reliable mean."""
    if sums.weight < RELIABLE_WEIGHT:
        return score
    lower_limit = sums.mean - MAX_INFLUENCE
    return min(sums.mean + MAX_INFLUENCE, max(lower_limit, score))


def _new_cell(cell: Cell, sums: Sums, held: Sums | None, held_at: int) -> Cell:
    """Return a cell with other statistics and an empty batch."""
    return Cell(
        cell.version,
        cell.task,
        cell.epoch,
        cell.position,
        cell.total,
        sums,
        (),
        held,
        held_at,
    )
