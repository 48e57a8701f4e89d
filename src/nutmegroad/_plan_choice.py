"""How one request's version is chosen among those that it may use.

Everything here is a function of typed values, so that it can be measured
alone.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from nutmegroad.documents import Concern, VersionEntry
from nutmegroad.estimates import Estimate
from nutmegroad.requests import ModelRequest

#: Half a step of the scores' scale: a version is not held for worse than
#: the target on a difference that the scale does not show.
RESOLUTION: Final = 0.005
#: Ratings from which on a version's evidence is old enough for workspaces
#: that weigh exposure most.
SEASONED: Final = 20.0


@unique
class Standing(Enum):
    """What the evidence says of a version against a target."""

    PROVEN = 'proven'
    UNDECIDED = 'undecided'
    FAILED = 'failed'


@dataclass(frozen=True, slots=True)
class Candidate:
    """A version that may answer.

    Attributes:
        entry: Its entry in the document.
        estimate: What is believed of it.
        standing: Whether it meets the target.
        price: Cost of a usual request of the task class.
    """

    entry: VersionEntry
    estimate: Estimate
    standing: Standing
    price: float

    @property
    def believed(self) -> bool:
        """Whether its owner's word may stand in for evidence."""
        return self.standing is not Standing.FAILED


def standing_of(
    estimate: Estimate,
    target: float,
    concern: Concern,
    *,
    in_use: bool,
) -> Standing:
    """Return what the evidence says of a version.

    Args:
        estimate: What is believed of it.
        target: Quality that answers must reach.
        concern: What the workspace weighs most.
        in_use: Whether it is the one in use, which less may keep.
    """
    bound = estimate.keep if in_use else estimate.lower
    seasoned = estimate.ratings >= SEASONED or concern is not Concern.EXPOSURE
    if bound >= target and seasoned:
        return Standing.PROVEN
    if estimate.upper < target - RESOLUTION:
        return Standing.FAILED
    return Standing.UNDECIDED


def choose(candidates: Iterable[Candidate], target: float) -> Candidate | None:
    """Return the cheapest version that meets a target, or None.

    A proven version goes first. Where none is proven, what their owners
    declare decides among those that the evidence does not speak against.
    """
    cheapest = sorted(candidates, key=_price_of)
    for candidate in cheapest:
        if candidate.standing is Standing.PROVEN:
            return candidate
    for candidate in cheapest:
        declared = candidate.estimate.declared >= target
        if declared and candidate.standing is Standing.UNDECIDED:
            return candidate
    return None


def explain(
    request: ModelRequest,
    candidates: Iterable[Candidate],
    chosen: Candidate | None,
) -> str:
    """Say which versions were weighed, and why each was left out."""
    words = [f'target {request.target:g}']
    for candidate in sorted(candidates, key=_price_of):
        estimate = candidate.estimate
        note = candidate.standing.value
        if candidate is chosen:
            note = f'{note}, taken'
        elif chosen is not None and candidate.price >= chosen.price:
            note = f'{note}, no cheaper'
        words.append(
            f'{candidate.entry.id} {note} '
            f'({estimate.lower:.3f} <= {estimate.mean:.3f} <= '
            f'{estimate.upper:.3f}, {estimate.ratings:.0f} ratings, '
            f'cost {candidate.price:.5f})',
        )
    return '; '.join(words)


def _price_of(candidate: Candidate) -> float:
    """Return a candidate's price."""
    return candidate.price
