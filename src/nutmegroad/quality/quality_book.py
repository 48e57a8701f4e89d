"""Quality by version and task class, worked out from ratings.

The state is a function of the rating service's feed alone: it takes the
ratings in the order of their positions, and decays by their number, not by
time. Hosts that have read the feed to the same position therefore hold the
same state, and merging two states is taking, for each cell, the one that
has read further. Nothing is counted twice, no host has counters of its
own, and a host that is gone leaves nothing behind that must be folded.
"""

from collections.abc import Callable, Iterable
from math import sqrt
from statistics import median, pvariance
from typing import Final

from msgspec import Struct

from nutmegroad.contracts.platform import Rating
from nutmegroad.foundations.types import Epoch, TaskName, VersionId
from nutmegroad.quality._bounds import Evidence

#: What remains of a rating's weight with each rating after it; 0.98 lets
#: the last fifty or so count, worth 99 even ones.
DECAY: Final = 0.98
#: Scores that are judged together before they count, by their median, so
#: that one wrong score among them does not speak.
BATCH: Final = 5
#: The most by which one score may differ from the mean it is added to.
INFLUENCE: Final = 0.3
#: The weight from which on a mean is firm enough to be deviated from.
FIRM: Final = 10.0
#: The weight below which a freeze makes a cell forget what it learned.
YOUNG: Final = 20.0
#: A batch deviates by more than this, and by more than ``DEVIATIONS``.
LEAST_SHIFT: Final = 0.08
DEVIATIONS: Final = 6.0
#: What a deviating batch leaves of the weight, so that a mean moves soon.
SHIFT_KEEPS: Final = 0.25
#: Feed positions for which a deviation speaks about the rating service.
WINDOW: Final = 200
#: Feed positions after which a new level that is steady is believed.
FREEZE_LIMIT: Final = 400
#: Scores scatter if their variance is so many times what it was, and more
#: than the second number.
SCATTER: Final = 4.0
LEAST_SCATTER: Final = 0.02
#: The share of versions that must move at once, the share of them at which
#: the service counts as right again, and the fewest versions to judge by.
SERVICE_SHARE: Final = 0.75
CALM_SHARE: Final = 0.5
FEWEST_VERSIONS: Final = 2
#: Pairs that are kept; the longest unrated goes first.
MOST_CELLS: Final = 512

#: Names a cell.
Pair = tuple[VersionId, TaskName]


class Sums(Struct, frozen=True, array_like=True):
    """Decayed sums of a pair's ratings.

    Attributes:
        weight: Sum of the ratings' weights.
        squares: Sum of the squares of their weights.
        mean: Mean score.
        variance: Variance of single scores.
    """

    weight: float = 0
    squares: float = 0
    mean: float = 0
    variance: float = 0

    @property
    def evidence(self) -> Evidence:
        """Return what the sums are worth."""
        if not self.squares:
            return Evidence()
        count = self.weight * self.weight / self.squares
        return Evidence(count, self.mean, self.variance)

    def add(self, score: float) -> 'Sums':
        """Return the sums with one more score."""
        weight = self.weight * DECAY + 1
        step = score - self.mean
        mean = self.mean + step / weight
        spread = self.variance + step * (score - mean) / weight
        return Sums(
            weight,
            self.squares * DECAY * DECAY + 1,
            mean,
            spread * (1 - 1 / weight) if self.weight else 0,
        )

    def thin(self) -> 'Sums':
        """Return the sums worth less, after a deviation."""
        return Sums(
            self.weight * SHIFT_KEEPS,
            self.squares * SHIFT_KEEPS,
            self.mean,
            self.variance,
        )


class Cell(Struct, frozen=True, array_like=True):
    """What is known of one version for one task class.

    Attributes:
        version: The version.
        task: The task class.
        epoch: The version's epoch.
        position: Feed position of its last rating.
        total: Ratings ever taken in.
        sums: Their decayed sums.
        batch: Scores that wait to be judged together.
        held: The sums as they were before a deviation; None for none.
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
        """Return what makes one state of a cell newer than another."""
        return self.epoch, self.position

    @property
    def reference(self) -> Sums:
        """Return the sums that a batch is held against."""
        return self.sums if self.held is None else self.held


class Verdict(Struct, frozen=True, array_like=True):
    """How the last batch of a version compared with its past.

    Attributes:
        version: The version.
        position: Where in the feed the batch was whole.
        deviates: Whether it was unlike what was known.
        scatters: Whether its scores lay further apart than before.
    """

    version: VersionId
    position: int
    deviates: bool
    scatters: bool


class QualityState(Struct, frozen=True):
    """A state that can be sent and merged.

    Attributes:
        position: How far in the feed it has read.
        frozen: Feed position since which the rating service is held for
            wrong; 0 while it is not.
        cells: Cells; only the changed ones in a difference.
        verdicts: The last batch of each version.
    """

    position: int = 0
    frozen: int = 0
    cells: tuple[Cell, ...] = ()
    verdicts: tuple[Verdict, ...] = ()


class QualityBook:
    """Takes ratings in and merges states.

    Args:
        epoch_of: Returns a version's epoch today.
    """

    def __init__(self, epoch_of: Callable[[VersionId], Epoch]) -> None:
        self._epoch_of = epoch_of
        self._position = 0
        self._frozen = 0
        self._cells: dict[Pair, Cell] = {}
        self._verdicts: dict[VersionId, Verdict] = {}

    @property
    def position(self) -> int:
        """How far in the feed it has read."""
        return self._position

    @property
    def frozen(self) -> bool:
        """Whether the rating service is held for wrong."""
        return bool(self._frozen)

    def cell(self, version: VersionId, task: TaskName) -> Cell | None:
        """Return a cell of the version's present epoch, or None."""
        cell = self._cells.get((version, task))
        if cell is None or cell.epoch < self._epoch_of(version):
            return None
        return cell

    def cells(self) -> tuple[Cell, ...]:
        """Return all cells."""
        return tuple(self._cells.values())

    def take(self, ratings: Iterable[Rating]) -> bool:
        """Take ratings in, in order; tell whether any was new."""
        before = self._position
        for rating in ratings:
            # A page that came twice, or crossed another, changes nothing.
            if rating.position > self._position:
                self._position = rating.position
                self._take(rating)
        return self._position > before

    def state(self, after: int = 0) -> QualityState:
        """Return what has changed since a feed position."""
        return QualityState(
            self._position,
            self._frozen,
            tuple(cell for cell in self.cells() if cell.position > after),
            tuple(self._verdicts.values()),
        )

    def merge(self, state: QualityState) -> bool:
        """Take another host's state in; tell whether it had read further."""
        if state.position <= self._position:
            return False
        self._position = state.position
        self._frozen = state.frozen
        self._verdicts = {entry.version: entry for entry in state.verdicts}
        for cell in state.cells:
            known = self._cells.get((cell.version, cell.task))
            if known is None or cell.rank > known.rank:
                self._cells[cell.version, cell.task] = cell
        return True

    def _take(self, rating: Rating) -> None:
        """Take one rating in."""
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
        # A first batch has nothing to be judged by.
        if len(cell.batch) >= BATCH or cell.sums.weight < FIRM:
            cell = self._judge(cell)
        self._cells[cell.version, cell.task] = cell
        if len(self._cells) > MOST_CELLS:
            oldest = min(self._cells.values(), key=_position_of)
            self._cells.pop((oldest.version, oldest.task))

    def _judge(self, cell: Cell) -> Cell:
        """Judge a batch, and take it in unless the service is wrong."""
        past = cell.reference
        deviates = _deviates(cell, past)
        if past.weight >= FIRM:
            scatters = _scatters(cell, past)
            self._verdicts[cell.version] = Verdict(
                cell.version,
                cell.position,
                deviates or scatters,
                scatters,
            )
            self._watch_service()
        if self._frozen:
            return _emptied(cell, cell.reference, None, 0)
        sums = cell.sums.thin() if deviates else cell.sums
        held, held_at = cell.held, cell.held_at
        if deviates and held is None:
            held, held_at = cell.sums, cell.position
        elif held is not None and cell.position - held_at > WINDOW:
            held, held_at = None, 0
        for score in cell.batch:
            sums = sums.add(_bounded(score, sums))
        return _emptied(cell, sums, held, held_at)

    def _watch_service(self) -> None:
        """Freeze while most versions move at once."""
        recent = self._recent()
        moved = sum(entry.deviates for entry in recent)
        share = moved / len(recent) if recent else 0
        if self._frozen:
            if share <= CALM_SHARE:
                self._frozen = 0
            elif self._position - self._frozen > FREEZE_LIMIT:
                self._settle(recent)
            return
        if moved >= FEWEST_VERSIONS and share >= SERVICE_SHARE:
            self._freeze()

    def _recent(self) -> list[Verdict]:
        """Return the verdicts since versions began to move."""
        since = self._position - WINDOW
        began = min(
            (
                entry.position
                for entry in self._verdicts.values()
                if entry.deviates and entry.position >= since
            ),
            default=since,
        )
        # What was normal before that says nothing of the service now.
        return [
            entry
            for entry in self._verdicts.values()
            if entry.position >= began
        ]

    def _freeze(self) -> None:
        """Put back what was known before versions began to move."""
        self._frozen = self._position
        for pair, cell in self._cells.items():
            if cell.held is not None:
                self._cells[pair] = _emptied(cell, cell.held, None, 0)
            elif cell.sums.weight < YOUNG:
                # All that a young cell knows may have come since.
                self._cells[pair] = _emptied(cell, Sums(), None, 0)

    def _settle(self, recent: list[Verdict]) -> None:
        """Begin anew from the declared qualities if a new level is steady.

        Scores that scatter are no level; they are never believed.
        """
        scattered = sum(entry.scatters for entry in recent)
        if scattered > (1 - SERVICE_SHARE) * len(recent):
            return
        self._frozen = 0
        self._verdicts.clear()
        for pair, cell in self._cells.items():
            self._cells[pair] = _emptied(cell, Sums(), None, 0)


def _position_of(cell: Cell) -> int:
    """Return when a cell was last rated."""
    return cell.position


def _deviates(cell: Cell, past: Sums) -> bool:
    """Tell whether a cell's batch is far from its past."""
    if past.weight < FIRM:
        return False
    size = len(cell.batch)
    shift = abs(median(cell.batch) - past.mean)
    expected = DEVIATIONS * sqrt(past.variance / size)
    return shift > max(LEAST_SHIFT, expected)


def _scatters(cell: Cell, past: Sums) -> bool:
    """Tell whether a cell's batch lies further apart than its past."""
    return pvariance(cell.batch) > max(LEAST_SCATTER, SCATTER * past.variance)


def _bounded(score: float, sums: Sums) -> float:
    """Return a score that moves a firm mean by so much at most."""
    if sums.weight < FIRM:
        return score
    lowest = sums.mean - INFLUENCE
    return min(sums.mean + INFLUENCE, max(lowest, score))


def _emptied(cell: Cell, sums: Sums, held: Sums | None, held_at: int) -> Cell:
    """Return a cell with other sums and no scores that wait."""
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
