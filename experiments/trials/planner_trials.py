"""Compares planners on simulated answers and ratings, over several seeds.

Run ``python -m experiments.trials.planner_trials``. For each scenario and
planner, the table shows the mean cost and quality over all seeds. An answer's
quality is drawn from a normal distribution about its version's true mean.
*Share met* is the fraction of requests whose version's true mean reaches the
target, which is what a plan can promise; *answers met* the fraction whose own
quality does. *Regret* is the cost above that of a planner that knows the true
means, as a fraction of the latter's cost.
"""

import argparse
import random
import statistics
import sys
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from experiments.trials.planner_worlds import (
    MIXES,
    SCENARIOS,
    TASKS,
    VERSIONS,
    Scenario,
    SteppedClock,
    accepted_configuration,
    make_request,
)
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.decisions import Planner
from nutmegroad.contracts.platform import Rating
from nutmegroad.contracts.requests import ModelRequest, Plan
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import TaskName, VersionId
from nutmegroad.quality.canary_policy import CanaryPolicy, PresetShares
from nutmegroad.quality.estimates import Estimates
from nutmegroad.quality.plans import EXPLORATION_FRACTION, AdaptivePlanner
from nutmegroad.quality.prices import cost_of
from nutmegroad.quality.rating_samples import SamplingRates
from nutmegroad.routing.baselines import (
    cheapest_only,
    most_expensive,
    static_share,
)
from nutmegroad.routing.policies import CheapestPlanner

#: Requests in one run; one arrives each second.
REQUESTS: Final = 6000
#: Standard deviation of the quality of single answers, as in the stand-ins.
ANSWER_SPREAD: Final = 0.05
#: Bounds of the length of prompts, in tokens.
PROMPTS: Final = (100, 2000)
#: Seconds for which a confirmation of the configuration holds.
_LEASE: Final = 8.0


@dataclass(slots=True)
class Tally:
    """Totals of one run.

    Attributes:
        cost: Cost of all plans.
        optimal_cost: Cost of a planner that knows the true means.
        promises_met: Requests whose version's true mean reached the target.
        answers_met: Requests whose own answer reached the target.
        refused: Requests without a plan.
        rated: Answers that were submitted for rating.
        ratings: Ratings that were not lost.
        switches: Changes of version between consecutive requests of a task.
        last_versions: Version of the last request of each task.
    """

    cost: float = 0
    optimal_cost: float = 0
    promises_met: int = 0
    answers_met: int = 0
    refused: int = 0
    rated: int = 0
    ratings: int = 0
    switches: int = 0
    last_versions: dict[TaskName, VersionId] = field(default_factory=dict)

    def add(
        self,
        request: ModelRequest,
        plan: Plan,
        mean: float,
        quality: float,
    ) -> None:
        """Count an answer by its version's true mean and its own quality."""
        task, version = request.task, plan.steps[-1]
        self.cost += plan.cost
        self.promises_met += mean >= request.target
        self.answers_met += quality >= request.target
        self.switches += self.last_versions.get(task, version) != version
        self.last_versions[task] = version


@dataclass(frozen=True, slots=True)
class Simulation:
    """The objects of one run.

    Attributes:
        scenario: The scenario of the run.
        seed: Seeds all random draws.
        configuration: The configuration in force.
        estimates: Estimates of quality from the ratings so far.
        mix: Name of the mix of task classes.
        sampling: Determines which answers are submitted for rating.
    """

    scenario: Scenario
    seed: int
    configuration: Configuration
    estimates: Estimates
    mix: str
    sampling: SamplingRates


PlannerFactory = Callable[[Simulation, random.Random], Planner]


def adaptive_factory(exploration: float) -> PlannerFactory:
    """Return a factory of adaptive planners.

    Args:
        exploration: Fraction of requests that explore.
    """

    def new_planner(
        simulation: Simulation, randomness: random.Random
    ) -> Planner:
        """Return a new planner."""
        return AdaptivePlanner(
            simulation.configuration,
            simulation.estimates,
            CanaryPolicy(PresetShares(simulation.configuration)),
            randomness,
            exploration,
        )

    return new_planner


PLANNERS: Final[dict[str, PlannerFactory]] = {
    'dearest': lambda simulation, _: most_expensive(simulation.configuration),
    'cheapest-only': lambda simulation, _: cheapest_only(
        simulation.configuration
    ),
    'static-share': lambda simulation, randomness: static_share(
        simulation.configuration,
        randomness,
    ),
    'cheapest': lambda simulation, _: CheapestPlanner(simulation.configuration),
    'adaptive': adaptive_factory(EXPLORATION_FRACTION),
    'no-exploring': adaptive_factory(0),
}


def run_one(
    scenario: Scenario,
    new_planner: PlannerFactory,
    seed: int,
    mix: str = 'many-small',
) -> Tally:
    """Simulate one planner in one scenario with one seed."""
    clock = SteppedClock()
    configuration = Configuration(clock, _LEASE)
    configuration.apply(accepted_configuration(scenario))
    estimates = Estimates(configuration, clock)
    simulation = Simulation(
        scenario,
        seed,
        configuration,
        estimates,
        mix,
        SamplingRates(),
    )
    planner = new_planner(simulation, random.Random(f'planner {seed}'))
    tally = Tally()
    pending: deque[tuple[int, Rating]] = deque()
    for second in range(REQUESTS):
        clock.step(1)
        _deliver(simulation, pending, second)
        _process_request(simulation, planner, second, pending, tally)
    return tally


def _deliver(
    simulation: Simulation,
    pending: deque[tuple[int, Rating]],
    second: int,
) -> None:
    """Deliver the ratings that are due, every five seconds."""
    if second % 5:
        return
    due = []
    while pending and pending[0][0] <= second:
        due.append(pending.popleft()[1])
    if due:
        simulation.estimates.add_ratings(tuple(due))


def _process_request(
    simulation: Simulation,
    planner: Planner,
    second: int,
    pending: deque[tuple[int, Rating]],
    tally: Tally,
) -> None:
    """Plan one request, draw its answer, and rate a sample of answers."""
    # All planners get the same draws, whichever version answers.
    randomness = random.Random(
        f'{simulation.scenario.name} {second} {simulation.seed}'
    )
    task = randomness.choices(TASKS, MIXES[simulation.mix])[0]
    deviation = randomness.gauss(0, ANSWER_SPREAD)
    request = make_request(second, task, randomness.randint(*PROMPTS))
    tally.optimal_cost += _optimal_cost(simulation, request, second)
    plan = planner.plan(request)
    if isinstance(plan, Refusal):
        tally.refused += 1
        return
    version = plan.steps[-1]
    mean = simulation.scenario.mean(version, task, second)
    quality = min(1, max(0, mean + deviation))
    tally.add(request, plan, mean, quality)
    if randomness.random() >= _sampling_rate(simulation, version, request):
        return
    tally.rated += 1
    score = _score(simulation.scenario, randomness, second, quality)
    if score is None:
        return
    tally.ratings += 1
    rating = Rating(tally.ratings, request.request, task, version, score)
    pending.append((second + simulation.scenario.rating_delay, rating))


def _optimal_cost(
    simulation: Simulation, request: ModelRequest, second: int
) -> float:
    """Return the lowest cost of a version whose true mean meets the target.

    If there is none, return the highest cost of all versions.
    """
    entries = [
        entry
        for entry in map(simulation.configuration.version_entry, VERSIONS)
        if entry is not None
    ]
    prices = {
        entry.version: cost_of(
            entry,
            request.prompt_tokens,
            request.output_tokens,
        )
        for entry in entries
    }
    prices_of_good = [
        price
        for version, price in prices.items()
        if simulation.scenario.mean(version, request.task, second)
        >= request.target
    ]
    return min(prices_of_good, default=max(prices.values()))


def _sampling_rate(
    simulation: Simulation,
    version: VersionId,
    request: ModelRequest,
) -> float:
    """Return the probability that an answer is submitted for rating."""
    estimate = simulation.estimates.estimate(version, request.task)
    return simulation.sampling.sampling_rate(
        version,
        request.task,
        estimate,
        request.target,
    )


def _score(
    scenario: Scenario,
    randomness: random.Random,
    second: int,
    quality: float,
) -> float | None:
    """Return the score of an answer; None if its rating is lost."""
    if randomness.random() < scenario.missing_fraction:
        return None
    score = quality
    if scenario.random_from <= second < scenario.random_until:
        score = randomness.random()
    if randomness.random() < scenario.zero_fraction:
        score = 0
    return round(score, 2)


def _print_line(line: str) -> None:
    """Print a line."""
    sys.stdout.write(f'{line}\n')


def main() -> None:
    """Print a table for each scenario."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--scenario', action='append', default=[])
    parser.add_argument('--mix', choices=tuple(MIXES), default='many-small')
    flags = parser.parse_args()
    for scenario in SCENARIOS:
        if flags.scenario and scenario.name not in flags.scenario:
            continue
        _print_line(f'\n{scenario.name}: {scenario.description}')
        _print_line(
            'planner         cost/met  cost/ans  share met  answers met  '
            'regret  refused  rated  switches',
        )
        for name, new_planner in PLANNERS.items():
            tallies = [
                run_one(scenario, new_planner, seed, flags.mix)
                for seed in range(flags.seeds)
            ]
            _print_line(_format_row(name, tallies))


def _format_row(name: str, tallies: list[Tally]) -> str:
    """Return one planner's row of the table: means over the seeds.

    The share met has its standard deviation as well.
    """
    costs_per_promise = [
        tally.cost / max(1, tally.promises_met) for tally in tallies
    ]
    shares = [tally.promises_met / REQUESTS for tally in tallies]
    mean = statistics.mean
    return (
        f'{name:14} {mean(costs_per_promise):9.5f} '
        f'{mean(t.cost / max(1, t.answers_met) for t in tallies):9.5f}  '
        f'{mean(shares):6.4f}±{statistics.pstdev(shares):.4f}'
        f'{mean(t.answers_met / REQUESTS for t in tallies):9.4f} '
        f'{mean(t.cost / t.optimal_cost - 1 for t in tallies):9.3f} '
        f'{mean(t.refused for t in tallies):8.1f} '
        f'{mean(t.rated for t in tallies):6.0f} '
        f'{mean(t.switches for t in tallies):8.1f}'
    )


if __name__ == '__main__':
    main()
