"""The planners alone, on simulated answers and ratings, over many seeds.

Run ``python -m experiments.trials.planner_trials``. For each scenario and
planner it prints cost and quality over all seeds. An answer's quality is drawn
about its version's true mean; *share met* counts requests whose version's
true mean reaches the target (what a plan can promise), *answers met* those
whose own quality does. *Regret* is the cost above that of a planner that
knows the true means, as a share of the latter.
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
    accepted,
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

#: Requests in one run; one comes each second.
REQUESTS: Final = 6000
#: Standard deviation of single answers' quality, as in the stand-ins.
ANSWER_SPREAD: Final = 0.05
#: Bounds of a prompt's length, in tokens.
PROMPTS: Final = (100, 2000)
_LEASE: Final = 8.0


@dataclass(slots=True)
class Tally:
    """What one run came to.

    Attributes:
        cost: All costs.
        best: What a planner that knows the true means would have paid.
        promised: Requests whose version's true mean reached the target.
        answers: Requests whose own answer reached it.
        refused: Requests without a plan.
        rated: Answers that were handed in.
        feed: Ratings that came.
        switches: How often a task's version changed from the one before.
    """

    cost: float = 0
    best: float = 0
    promised: int = 0
    answers: int = 0
    refused: int = 0
    rated: int = 0
    feed: int = 0
    switches: int = 0
    last: dict[TaskName, VersionId] = field(default_factory=dict)

    def add(
        self,
        request: ModelRequest,
        plan: Plan,
        mean: float,
        quality: float,
    ) -> None:
        """Count an answer by its version's mean and by its own quality."""
        task, version = request.task, plan.steps[-1]
        self.cost += plan.cost
        self.promised += mean >= request.target
        self.answers += quality >= request.target
        self.switches += self.last.get(task, version) != version
        self.last[task] = version


@dataclass(frozen=True, slots=True)
class World:
    """One run's objects.

    Attributes:
        scenario: What happens.
        clock: Time.
        configuration: What is in force.
        estimates: What is believed.
        mix: Name of the mix of task classes.
        shares: Say which answers are rated.
    """

    scenario: Scenario
    clock: SteppedClock
    configuration: Configuration
    estimates: Estimates
    mix: str
    shares: SamplingRates


Maker = Callable[[World, random.Random], Planner]


def adaptive(explored: float) -> Maker:
    """Return a maker of the adaptive planner with a share to explore."""

    def make(world: World, randomness: random.Random) -> Planner:
        """Make the planner."""
        return AdaptivePlanner(
            world.configuration,
            world.estimates,
            CanaryPolicy(PresetShares(world.configuration)),
            randomness,
            explored,
        )

    return make


PLANNERS: Final[dict[str, Maker]] = {
    'dearest': lambda world, _: most_expensive(world.configuration),
    'cheapest-only': lambda world, _: cheapest_only(world.configuration),
    'static-share': lambda world, draws: static_share(
        world.configuration,
        draws,
    ),
    'cheapest': lambda world, _: CheapestPlanner(world.configuration),
    'adaptive': adaptive(EXPLORATION_FRACTION),
    'no-exploring': adaptive(0),
}


def run_one(
    scenario: Scenario,
    make: Maker,
    seed: int,
    mix: str = 'many-small',
) -> Tally:
    """Run one planner through one scenario with one seed."""
    clock = SteppedClock()
    clock.seed = seed
    configuration = Configuration(clock, _LEASE)
    configuration.apply(accepted(scenario))
    estimates = Estimates(configuration, clock)
    world = World(
        scenario,
        clock,
        configuration,
        estimates,
        mix,
        SamplingRates(),
    )
    planner = make(world, random.Random(f'planner {seed}'))
    tally = Tally()
    feed: deque[tuple[int, Rating]] = deque()
    for tick in range(REQUESTS):
        clock.step(1)
        _deliver(world, feed, tick)
        _ask(world, planner, tick, feed, tally)
    return tally


def _deliver(
    world: World,
    feed: deque[tuple[int, Rating]],
    tick: int,
) -> None:
    """Hand over the ratings that are due, every five seconds."""
    if tick % 5:
        return
    due = []
    while feed and feed[0][0] <= tick:
        due.append(feed.popleft()[1])
    if due:
        world.estimates.add_ratings(tuple(due))


def _ask(
    world: World,
    planner: Planner,
    tick: int,
    feed: deque[tuple[int, Rating]],
    tally: Tally,
) -> None:
    """Plan one request, draw its answer, perhaps have it rated."""
    # The same draws for all planners, whichever version answers.
    draws = random.Random(f'{world.scenario.name} {tick} {world.clock.seed}')
    task = draws.choices(TASKS, MIXES[world.mix])[0]
    spread = draws.gauss(0, ANSWER_SPREAD)
    request = make_request(tick, task, draws.randint(*PROMPTS))
    tally.best += _best(world, request, tick)
    plan = planner.plan(request)
    if isinstance(plan, Refusal):
        tally.refused += 1
        return
    version = plan.steps[-1]
    mean = world.scenario.mean(version, task, tick)
    quality = min(1, max(0, mean + spread))
    tally.add(request, plan, mean, quality)
    if draws.random() >= _share_to_rate(world, version, request):
        return
    tally.rated += 1
    score = _rate(world.scenario, draws, tick, quality)
    if score is None:
        return
    tally.feed += 1
    rating = Rating(tally.feed, request.request, task, version, score)
    feed.append((tick + world.scenario.delay, rating))


def _best(world: World, request: ModelRequest, tick: int) -> float:
    """Return the least cost at which a version's true mean is enough."""
    entries = [
        entry
        for entry in map(world.configuration.version_entry, VERSIONS)
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
    good = [
        price
        for version, price in prices.items()
        if world.scenario.mean(version, request.task, tick) >= request.target
    ]
    return min(good, default=max(prices.values()))


def _share_to_rate(
    world: World,
    version: VersionId,
    request: ModelRequest,
) -> float:
    """Return how likely an answer is handed in."""
    estimate = world.estimates.estimate(version, request.task)
    return world.shares.sampling_rate(
        version,
        request.task,
        estimate,
        request.target,
    )


def _rate(
    scenario: Scenario,
    draws: random.Random,
    tick: int,
    quality: float,
) -> float | None:
    """Return an answer's score; None if its rating is lost."""
    if draws.random() < scenario.missing:
        return None
    score = quality
    if scenario.wrong_from <= tick < scenario.wrong_until:
        score = draws.random()
    if draws.random() < scenario.liars:
        score = 0
    return round(score, 2)


def _say(line: str) -> None:
    """Write a line."""
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
        _say(f'\n{scenario.name}: {scenario.meaning}')
        _say(
            'planner         cost/met  cost/ans  share met  answers met  '
            'regret  refused  rated  switches',
        )
        for name, make in PLANNERS.items():
            tallies = [
                run_one(scenario, make, seed, flags.mix)
                for seed in range(flags.seeds)
            ]
            _say(_line(name, tallies))


def _line(name: str, tallies: list[Tally]) -> str:
    """Return one planner's line: means over the seeds, and a spread."""
    per_met = [tally.cost / max(1, tally.promised) for tally in tallies]
    shares = [tally.promised / REQUESTS for tally in tallies]
    mean = statistics.mean
    return (
        f'{name:14} {mean(per_met):9.5f} '
        f'{mean(t.cost / max(1, t.answers) for t in tallies):9.5f}  '
        f'{mean(shares):6.4f}±{statistics.pstdev(shares):.4f}'
        f'{mean(t.answers / REQUESTS for t in tallies):9.4f} '
        f'{mean(t.cost / t.best - 1 for t in tallies):9.3f} '
        f'{mean(t.refused for t in tallies):8.1f} '
        f'{mean(t.rated for t in tallies):6.0f} '
        f'{mean(t.switches for t in tallies):8.1f}'
    )


if __name__ == '__main__':
    main()
