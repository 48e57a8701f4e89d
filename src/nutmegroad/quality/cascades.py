"""When a cheap version is tried first, and a dear one only if need be.

A cascade pays only if something tells good answers of the cheap version
from bad ones at once; ratings come too late for that. A check is any such
thing. It has a measured power, or it is not used: without any, a cascade
is the cheap version's quality at more than its cost.
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

#: Rated answers below which a check's power counts as unmeasured.
FEWEST_RATED: Final = 100
#: What a check's verdict must be for the next step to be spared.
PASSED: Final = 0.5
#: Cost that a second of waiting is worth, by what a workspace weighs most.
SECOND_PRICE: Final[Mapping[Concern, float]] = MappingProxyType(
    {Concern.COST: 0, Concern.LATENCY: 1},
)


@dataclass(frozen=True, slots=True)
class CheckPower:
    """What ratings say of a check on a version's answers.

    Attributes:
        passed: Share of answers that it passes.
        quality: Lower bound of the mean quality of those.
        rated: Rated answers that this rests on.
        cost: Cost of a check.
        seconds: Time that the first step and the check take.
    """

    passed: float
    quality: float
    rated: int
    cost: float = 0
    seconds: float = 0


class AnswerCheck(Protocol):
    """Tells good answers from bad ones, before anybody has rated them."""

    def power(self, version: VersionId, task: TaskName) -> CheckPower | None:
        """Return its measured power, or None if it has none."""

    def judge(self, request: ModelRequest, end: AttemptEnd) -> float:
        """Return how sure it is that an answer is good, from 0 to 1."""


class NoCheck:
    """Checks nothing: no check has shown power yet."""

    def power(self, version: VersionId, task: TaskName) -> CheckPower | None:
        """Claim none."""

    def judge(self, request: ModelRequest, end: AttemptEnd) -> float:
        """Pass nothing."""
        return 0


@dataclass(frozen=True, slots=True)
class Cascade:
    """A cheap version with a check, before the one that else answers.

    Attributes:
        cheap: The version that is tried first.
        dear: The version that answers if the check fails.
        power: What is known of the check.
    """

    cheap: Candidate
    dear: Candidate
    power: CheckPower

    @property
    def cost(self) -> float:
        """Return the expected cost."""
        escalated = (1 - self.power.passed) * self.dear.price
        return self.cheap.price + self.power.cost + escalated

    @property
    def quality(self) -> float:
        """Return a lower bound of the expected quality."""
        escalated = (1 - self.power.passed) * self.dear.estimate.lower
        return self.power.passed * self.power.quality + escalated

    def pays(self, request: ModelRequest) -> bool:
        """Tell whether it is worth its wait and meets the target."""
        price = SECOND_PRICE.get(request.concern)
        if price is None or not request.repeatable:
            # A second version would run what may run once only.
            return False
        if self.power.rated < FEWEST_RATED:
            return False
        wait = price * self.power.seconds
        cheaper = self.cost + wait < self.dear.price
        return cheaper and self.power.quality >= request.target


def best_cascade(
    request: ModelRequest,
    candidates: tuple[Candidate, ...],
    dear: Candidate,
    check: AnswerCheck,
) -> Cascade | None:
    """Return the cheapest cascade that pays, or None."""
    found = []
    for cheap in candidates:
        if cheap.price >= dear.price:
            continue
        power = check.power(cheap.entry.version, request.task)
        if power is None:
            continue
        cascade = Cascade(cheap, dear, power)
        if cascade.pays(request):
            found.append(cascade)
    return min(found, key=lambda cascade: cascade.cost, default=None)
