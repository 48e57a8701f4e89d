"""Choice of a request's version among those that it may use.

Everything here is a pure function of typed values, so that it can be tested in
isolation.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from nutmegroad.contracts.documents import Concern, VersionEntry
from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.quality.estimates import Estimate

#: Half a step of the scores' scale: a version does not count as worse than the
#: target for a difference that the scale does not resolve.
SCORE_RESOLUTION: Final = 0.005
#: Number of ratings from which the mean of an unproven version is used rather
#: than its declared quality, and from which a version may count as proven for
#: workspaces that care most about exposure.
MIN_SEASONED_RATINGS: Final = 20.0


@unique
class Standing(Enum):
    """Result of comparing a version's evidence with a target."""

    PROVEN = 'proven'
    UNDECIDED = 'undecided'
    FAILED = 'failed'


@dataclass(frozen=True, slots=True)
class Candidate:
    """A version that a request may use.

    Attributes:
        entry: Entry of the version in the configuration document.
        estimate: Quality estimate for the request's task class.
        standing: Whether the estimate meets the target.
        price: Estimated cost of a request of this size on the version.
        in_use: Whether most requests of this kind have been sent to it so far.
    """

    entry: VersionEntry
    estimate: Estimate
    standing: Standing
    price: float
    in_use: bool = False

    @property
    def is_eligible(self) -> bool:
        """Whether the evidence does not rule out that it meets the target."""
        return self.standing is not Standing.FAILED


def standing_of(
    estimate: Estimate,
    target: float,
    concern: Concern,
    *,
    in_use: bool,
) -> Standing:
    """Compare a version's estimate with a target.

    Args:
        estimate: Quality estimate of the version.
        target: Quality that answers must reach.
        concern: The measure that the workspace cares most about.
        in_use: Whether the version is in use; less confidence is then required
            to keep it.
    """
    bound = estimate.lower_in_use if in_use else estimate.lower
    seasoned = (
        estimate.ratings >= MIN_SEASONED_RATINGS
        or concern is not Concern.EXPOSURE
    )
    if bound >= target and seasoned:
        return Standing.PROVEN
    if estimate.upper < target - SCORE_RESOLUTION:
        return Standing.FAILED
    return Standing.UNDECIDED


def choose(candidates: Iterable[Candidate], target: float) -> Candidate | None:
    """Return the cheapest version that meets a target, or None.

    A proven version is preferred. If there is none, the estimated mean
    decides, or the declared quality of a version with few ratings. If no
    version qualifies by that, the declared quality alone decides, unless the
    evidence contradicts it.
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
    """Return a description of the versions that were compared."""
    parts = [f'target {request.target:g}']
    more_expensive = []
    for candidate in sorted(candidates, key=_price_of):
        if chosen is None or candidate.price <= chosen.price:
            parts.append(_describe(candidate, is_chosen=candidate is chosen))
        else:
            more_expensive.append(candidate.entry.id)
    if more_expensive:
        names = ', '.join(more_expensive)
        parts.append(f'more expensive, not needed: {names}')
    return '; '.join(parts)


def _describe(candidate: Candidate, *, is_chosen: bool) -> str:
    """Return a description of one version and its estimate."""
    estimate = candidate.estimate
    verdict = 'chosen' if is_chosen else 'not chosen'
    return (
        f'{candidate.entry.id} {candidate.standing.value}, {verdict} '
        f'({estimate.lower:.3f} <= {estimate.mean:.3f} <= '
        f'{estimate.upper:.3f}, {estimate.ratings:.0f} ratings, '
        f'cost {candidate.price:.5f})'
    )


def _is_proven(candidate: Candidate, target: float) -> bool:
    """Return whether the evidence shows that a version meets the target."""
    return candidate.standing is Standing.PROVEN


def _is_likely(candidate: Candidate, target: float) -> bool:
    """Return whether a version is more likely than not to meet the target.

    For a version with few ratings the declared quality decides: otherwise a
    few low scores at the start would divert all requests from it.
    """
    estimate = candidate.estimate
    likely = estimate.mean >= target
    if candidate.in_use:
        # A version in use is replaced because of evidence against it, not for
        # lack of evidence.
        likely = 2 * estimate.mean - estimate.lower_in_use >= target
    if estimate.ratings < MIN_SEASONED_RATINGS:
        likely = estimate.declared >= target
    return candidate.is_eligible and likely


def _is_declared(candidate: Candidate, target: float) -> bool:
    """Return whether the declared quality of a version meets the target."""
    return candidate.is_eligible and candidate.estimate.declared >= target


def _price_of(candidate: Candidate) -> float:
    """Return the price of a candidate."""
    return candidate.price
