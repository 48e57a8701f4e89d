"""Orders of runs: a scenario, an arm and a seed."""

from dataclasses import dataclass, replace

from experiments.load.arms import Arm
from experiments.load.scenarios import CAPACITY, Scenario
from experiments.load.traffic import Ask, Curve, Demand, draw
from nutmegroad.contracts.documents import Document


@dataclass(frozen=True, slots=True)
class Order:
    """What is to be run.

    Attributes:
        scenario: The situation.
        arm: The policies.
        seed: Draws the traffic.
        seconds: Length of the traffic.
        capacity: Requests a second; 0 for the measured ones.
    """

    scenario: Scenario
    arm: Arm
    seed: int
    seconds: float
    capacity: float = 0

    @property
    def name(self) -> str:
        """Return a name for files."""
        return f'{self.scenario.name}.{self.arm.name}.{self.seed}'


def rate_of(order: Order) -> float:
    """Return the highest rate, requests a second."""
    scenario = order.scenario
    capacity = order.capacity or CAPACITY[scenario.deployment]
    return capacity * scenario.load


def asks_of(order: Order, document: Document) -> list[Ask]:
    """Return the requests of a run."""
    scenario = order.scenario
    demand = Demand(
        scenario.deployment,
        scenario.curve,
        rate_of(order),
        order.seconds,
        scenario.preset,
    )
    asks = draw(document, demand, order.seed)
    if scenario.flood is not None:
        name, load = scenario.flood
        extra = replace(
            demand,
            curve=Curve.FLAT,
            rate=rate_of(order) / scenario.load * load,
            workspace=name,
        )
        asks += draw(document, extra, order.seed)
    return sorted(asks, key=lambda ask: ask.at)
