"""Specifications of runs: a scenario, an arm and a seed."""

from dataclasses import dataclass, replace

from experiments.load.arms import Arm
from experiments.load.scenarios import CAPACITY, Scenario
from experiments.load.traffic import (
    Curve,
    PlannedRequest,
    TrafficSpec,
    draw_requests,
)
from nutmegroad.contracts.documents import Document


@dataclass(frozen=True, slots=True)
class RunSpec:
    """Specification of a run.

    Attributes:
        scenario: The scenario.
        arm: The set of policies.
        seed: Seed of the traffic.
        seconds: Length of the traffic.
        capacity: Requests per second that count as the capacity of the
            deployment; 0 for ``CAPACITY``.
    """

    scenario: Scenario
    arm: Arm
    seed: int
    seconds: float
    capacity: float = 0

    @property
    def name(self) -> str:
        """Name of the run, suitable for files."""
        return f'{self.scenario.name}.{self.arm.name}.{self.seed}'


def peak_rate(run_spec: RunSpec) -> float:
    """Return the peak arrival rate of a run in requests per second."""
    scenario = run_spec.scenario
    capacity = run_spec.capacity or CAPACITY[scenario.deployment]
    return capacity * scenario.load


def plan_requests(
    run_spec: RunSpec, document: Document
) -> list[PlannedRequest]:
    """Return the requests of a run, ordered by their scheduled times."""
    scenario = run_spec.scenario
    traffic_spec = TrafficSpec(
        scenario.deployment,
        scenario.curve,
        peak_rate(run_spec),
        run_spec.seconds,
        scenario.preset,
    )
    requests = draw_requests(document, traffic_spec, run_spec.seed)
    if scenario.flood is not None:
        name, load = scenario.flood
        extra = replace(
            traffic_spec,
            curve=Curve.FLAT,
            rate=peak_rate(run_spec) / scenario.load * load,
            workspace=name,
        )
        requests += draw_requests(document, extra, run_spec.seed)
    return sorted(requests, key=lambda planned: planned.at)
