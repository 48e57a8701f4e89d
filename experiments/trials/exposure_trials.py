"""Measures the exposure guard alone, on simulated evidence.

Run it as ``python -m experiments.trials.exposure_trials [--seeds N]``. One host
sees all evidence of a version and a task class, second by second: ratings
come late, and some answers are rated 0 although the version is good. It
prints how often good versions are stopped and how far bad ones get,
against a fixed threshold and no guard.
"""

import argparse
import math
import random
import statistics
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from absl import logging

from experiments.trials.exposure_judges import GuardJudge, Judge, ThresholdJudge
from experiments.trials.exposure_scenarios import (
    HEALTHY,
    HOUR,
    NEW,
    OLD,
    SCENARIOS,
    TURN,
    Scenario,
    Stream,
)


@dataclass(frozen=True, slots=True)
class Outcome:
    """What came of one run.

    Attributes:
        stopped: Second at which the version got no more work, if ever.
        exposed: Requests it answered after it had turned bad.
        rated: Ratings of such answers until it was stopped.
    """

    stopped: int | None
    exposed: int
    rated: int


class Trial:
    """One run: a version, perhaps the one before it, and a judge.

    Args:
        scenario: What happens.
        seed: Of all draws.
        judge: What may stop the version.
    """

    def __init__(self, scenario: Scenario, seed: int, judge: Judge) -> None:
        self._scenario = scenario
        self._judge = judge
        chance = random.Random(f'{scenario.name}/{seed}')
        self._watched = NEW if scenario.rollout else OLD
        self._streams = {self._watched: Stream(scenario, chance)}
        if scenario.rollout:
            self._streams[OLD] = Stream(scenario, chance, watched=False)

    def run(self) -> Outcome:
        """Watch until the version is stopped or the time is over."""
        exposed = 0
        rated = 0
        turned = self._scenario.turned
        first_rated = turned + self._scenario.delay
        for second in range(self._scenario.seconds):
            served, scores = self._step(second)
            exposed += served if second >= turned else 0
            rated += scores if second >= first_rated else 0
            if self._judge.stops():
                return Outcome(second, exposed, rated)
        return Outcome(None, exposed, rated)

    def _step(self, second: int) -> tuple[int, int]:
        """Return answers and ratings of the watched version."""
        outcome = (0, 0)
        for version, stream in self._streams.items():
            share = self._scenario.share
            share = share if version == self._watched else 1 - share
            tally = stream.serve(second, self._scenario.rate * share)
            scores = stream.due(second)
            self._judge.count(version, tally)
            self._judge.rate(version, scores)
            if version == self._watched:
                outcome = (tally.attempts, len(scores))
        return outcome


@dataclass(slots=True)
class Sums:
    """Outcomes of a scenario under one judge.

    Attributes:
        early: Runs in which it was stopped before it turned bad.
        missed: Runs in which it was never stopped.
        exposed: Requests exposed, of the runs between.
        seconds: Seconds from the turn until it was stopped.
        rated: Ratings until it was stopped.
    """

    early: int = 0
    missed: int = 0
    exposed: list[int] = field(default_factory=list)
    seconds: list[int] = field(default_factory=list)
    rated: list[int] = field(default_factory=list)

    def add(self, outcome: Outcome, turned: int) -> None:
        """Add a run of a version that turned bad at a second."""
        if outcome.stopped is not None and outcome.stopped < TURN:
            self.early += 1
            return
        self.exposed.append(outcome.exposed)
        if outcome.stopped is None:
            self.missed += 1
            return
        self.seconds.append(max(outcome.stopped - turned, 0))
        self.rated.append(outcome.rated)


def trial(
    scenario: Scenario,
    seeds: int,
    judge: Callable[[Scenario], Judge],
) -> Sums:
    """Run a scenario with several seeds."""
    sums = Sums()
    for seed in range(seeds):
        outcome = Trial(scenario, seed, judge(scenario)).run()
        sums.add(outcome, scenario.turned)
    return sums


def report(scenario: Scenario, sums: Sums) -> str:
    """Return a line of the table for a version that turns bad."""
    hour = scenario.rate * HOUR
    shares = sorted(100 * exposed / hour for exposed in sums.exposed) or [0]
    seconds = statistics.median(sums.seconds) if sums.seconds else math.inf
    rated = statistics.median(sums.rated) if sums.rated else math.inf
    return (
        f'| {scenario.name} | {sums.early} | {sums.missed} | {rated:.0f} | '
        f'{seconds:.0f} | {statistics.median(shares):.2f} | '
        f'{shares[-1]:.2f} |'
    )


def measure(name: str, judge: Callable[[Scenario], Judge], seeds: int) -> None:
    """Print the table of one judge."""
    sys.stdout.write(f'\n{name}, {seeds} seeds\n{HEAD}\n')
    for scenario in SCENARIOS:
        sums = trial(scenario, seeds, judge)
        sys.stdout.write(f'{report(scenario, sums)}\n')


def measure_good(judge: Callable[[Scenario], Judge], seeds: int) -> None:
    """Print how often good versions are stopped."""
    for good in HEALTHY:
        sums = trial(good, seeds, judge)
        hours = seeds * good.seconds // HOUR
        sys.stdout.write(
            f'{good.name}: {seeds - sums.missed} of {seeds} runs stopped, '
            f'{hours} hours at {good.rate} a second\n',
        )


def main() -> int:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=10)
    parser.add_argument('--good-seeds', type=int, default=2)
    flags = parser.parse_args()
    logging.set_verbosity(logging.ERROR)
    measure('Guard', GuardJudge, flags.seeds)
    measure_good(GuardJudge, flags.good_seeds)
    measure('Fixed threshold', ThresholdJudge, flags.seeds)
    measure_good(ThresholdJudge, flags.good_seeds)
    measure('No guard', Judge, 1)
    return 0


HEAD: Final = (
    '| scenario | early | missed | ratings | seconds | '
    '% of an hour, median | worst |\n|---|---|---|---|---|---|---|'
)
if __name__ == '__main__':
    sys.exit(main())
