"""Cascades: try a cheap version first, an expensive one if a check fails.

A cascade is worthwhile only if a check can distinguish good from bad answers
of the cheap version immediately; ratings come too late for that. A check whose
power is not known is not used: without power, a cascade has the quality of the
cheap version at more than its cost.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final, Protocol

from nutmegroad.contracts.decisions import AttemptEnd
from nutmegroad.contracts.documents import Concern
from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.foundations.types import TaskName, VersionId
from nutmegroad.quality._plan_choice import Candidate

#: Number of rated answers below which the power of a check counts as unknown.
MIN_RATED: Final = 100
#: Minimum confidence of a check at which the next step is skipped.
PASS_THRESHOLD: Final = 0.5
#: Cost charged for a second of waiting, by the workspace's main concern; there
#: are no cascades for other concerns.
COST_PER_SECOND: Final[Mapping[Concern, float]] = MappingProxyType(
    {Concern.COST: 0, Concern.LATENCY: 1},
)


@dataclass(frozen=True, slots=True)
class CheckPower:
    """Power of a check to detect good answers of a version, from ratings.

    Attributes:
        pass_rate: Fraction of the answers that pass the check.
        quality: Lower bound of the mean quality of answers that pass.
        rated: Number of rated answers that the power was estimated from.
        cost: Cost of a check.
        seconds: Seconds that the first step and the check take.
    """

    pass_rate: float
    quality: float
    rated: int
    cost: float = 0
    seconds: float = 0


class AnswerCheck(Protocol):
    """Distinguishes good answers from bad ones before they are rated."""

    def power(self, version: VersionId, task: TaskName) -> CheckPower | None:
        """Return the estimated power of the check, or None if unknown."""

    def judge(self, request: ModelRequest, end: AttemptEnd) -> float:
        """Return the confidence, from 0 to 1, that an answer is good."""


class NoCheck:
    """Passes no answer; the default, as no check has shown power yet."""

    def power(self, version: VersionId, task: TaskName) -> CheckPower | None:
        """Return None: the check has no power."""

    def judge(self, request: ModelRequest, end: AttemptEnd) -> float:
        """Return 0: no answer passes."""
        return 0


@dataclass(frozen=True, slots=True)
class Cascade:
    """A cheap version with a check, followed by a more expensive version.

    Attributes:
        cheap: The version of the first step.
        expensive: The version that answers if the check fails.
        power: Power of the check on answers of the cheap version.
    """

    cheap: Candidate
    expensive: Candidate
    power: CheckPower

    @property
    def cost(self) -> float:
        """Expected cost of a request."""
        escalated = (1 - self.power.pass_rate) * self.expensive.price
        return self.cheap.price + self.power.cost + escalated

    @property
    def quality(self) -> float:
        """Lower bound of the expected quality."""
        escalated = (1 - self.power.pass_rate) * self.expensive.estimate.lower
        return self.power.pass_rate * self.power.quality + escalated

    def is_worthwhile(self, request: ModelRequest) -> bool:
        """Return whether it saves cost, waiting included, at the target."""
        price = COST_PER_SECOND.get(request.concern)
        if price is None or not request.repeatable:
            # The second step would execute the request a second time.
            return False
        if self.power.rated < MIN_RATED:
            return False
        wait_cost = price * self.power.seconds
        cheaper = self.cost + wait_cost < self.expensive.price
        return cheaper and self.power.quality >= request.target


def best_cascade(
    request: ModelRequest,
    candidates: tuple[Candidate, ...],
    expensive: Candidate,
    check: AnswerCheck,
) -> Cascade | None:
    """Return the cheapest worthwhile cascade, or None.

    Args:
        request: The request.
        candidates: Versions that may take the first step.
        expensive: The version that answers if the check fails.
        check: Checks the answers of the first step.
    """
    found = []
    for cheap in candidates:
        if cheap.price >= expensive.price:
            continue
        power = check.power(cheap.entry.version, request.task)
        if power is None:
            continue
        cascade = Cascade(cheap, expensive, power)
        if cascade.is_worthwhile(request):
            found.append(cascade)
    return min(found, key=lambda cascade: cascade.cost, default=None)
