"""How one request's version is chosen among those that it may use.

Everything here is a function of typed values, so that it can be measured
alone.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from nutmegroad.contracts.documents import Concern, VersionEntry
from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.quality.estimates import Estimate

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
        in_use: Whether most requests got it until now.
    """

    entry: VersionEntry
    estimate: Estimate
    standing: Standing
    price: float
    in_use: bool = False

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

    A proven version goes first. Where none is proven, the middle of what is
    believed decides, which is the owner's word before there are ratings;
    last, the owner's word alone, where the evidence leaves it open.
    """
    cheapest = sorted(candidates, key=_price_of)
    for fits in (_is_proven, _is_likely, _is_declared):
        for candidate in cheapest:
            if fits(candidate, target):
                return candidate
    return None


def explain(
    request: ModelRequest,
    candidates: Iterable[Candidate],
    chosen: Candidate | None,
) -> str:
    """Say which versions were weighed, and why each was left out."""
    words = [f'target {request.target:g}']
    dearer = []
    for candidate in sorted(candidates, key=_price_of):
        if chosen is None or candidate.price <= chosen.price:
            words.append(_describe(candidate, taken=candidate is chosen))
        else:
            dearer.append(candidate.entry.id)
    if dearer:
        names = ', '.join(dearer)
        words.append(f'dearer, not needed: {names}')
    return '; '.join(words)


def _describe(candidate: Candidate, *, taken: bool) -> str:
    """Say how one version was weighed."""
    estimate = candidate.estimate
    verdict = 'taken' if taken else 'left out'
    return (
        f'{candidate.entry.id} {candidate.standing.value}, {verdict} '
        f'({estimate.lower:.3f} <= {estimate.mean:.3f} <= '
        f'{estimate.upper:.3f}, {estimate.ratings:.0f} ratings, '
        f'cost {candidate.price:.5f})'
    )


def _is_proven(candidate: Candidate, target: float) -> bool:
    """Tell whether the evidence says that a version is good enough."""
    return candidate.standing is Standing.PROVEN


def _is_likely(candidate: Candidate, target: float) -> bool:
    """Tell whether a version is rather good enough than not.

    Of one with few ratings its owner's word is taken: a few low scores at
    the start would else turn all requests away from it.
    """
    estimate = candidate.estimate
    likely = estimate.mean >= target
    if candidate.in_use:
        # It leaves on evidence against it, not for lack of more.
        likely = 2 * estimate.mean - estimate.keep >= target
    if estimate.ratings < SEASONED:
        likely = estimate.declared >= target
    return candidate.believed and likely


def _is_declared(candidate: Candidate, target: float) -> bool:
    """Tell whether a version's owner says that it is good enough."""
    return candidate.believed and candidate.estimate.declared >= target


def _price_of(candidate: Candidate) -> float:
    """Return a candidate's price."""
    return candidate.price
