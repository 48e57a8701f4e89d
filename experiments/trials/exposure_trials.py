"""Measures the exposure guard alone, on simulated evidence.

Run ``python -m experiments.trials.exposure_trials [--seeds N]``. One host sees
all evidence of a version and a task class, second by second: ratings arrive
late, and some answers are rated 0 although the version is good. The tables
show how often good versions are stopped and how many requests bad ones get,
compared with a fixed threshold and with no guard.
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
    DEGRADES_AT,
    HEALTHY,
    HOUR,
    NEW,
    OLD,
    SCENARIOS,
    Scenario,
    Stream,
)


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of one trial.

    Attributes:
        stopped: Second at which the version was stopped; None if it never was.
        exposed: Requests that it got after it had turned bad.
        rated: Ratings of its answers to those requests until it was stopped.
    """

    stopped: int | None
    exposed: int
    rated: int


class Trial:
    """One trial: a version, its predecessor in a rollout, and a judge.

    Args:
        scenario: How the version degrades.
        seed: Seeds all random draws.
        judge: Decides when the version is stopped.
    """

    def __init__(self, scenario: Scenario, seed: int, judge: Judge) -> None:
        self._scenario = scenario
        self._judge = judge
        randomness = random.Random(f'{scenario.name}/{seed}')
        self._watched = NEW if scenario.rollout else OLD
        self._streams = {self._watched: Stream(scenario, randomness)}
        if scenario.rollout:
            self._streams[OLD] = Stream(scenario, randomness, watched=False)

    def run(self) -> Outcome:
        """Run until the version is stopped or the duration has passed."""
        exposed = 0
        rated = 0
        bad_from = self._scenario.bad_from
        first_rated = bad_from + self._scenario.rating_delay
        for second in range(self._scenario.duration):
            attempts, ratings = self._step(second)
            exposed += attempts if second >= bad_from else 0
            rated += ratings if second >= first_rated else 0
            if self._judge.has_stopped():
                return Outcome(second, exposed, rated)
        return Outcome(None, exposed, rated)

    def _step(self, second: int) -> tuple[int, int]:
        """Simulate a second; return the watched version's counts.

        Returns:
            The number of its attempts and of its ratings.
        """
        counts = (0, 0)
        for version, stream in self._streams.items():
            share = self._scenario.traffic_share
            share = share if version == self._watched else 1 - share
            tally = stream.serve(second, self._scenario.rate * share)
            scores = stream.due_ratings(second)
            self._judge.add_attempts(version, tally)
            self._judge.add_ratings(version, scores)
            if version == self._watched:
                counts = (tally.attempts, len(scores))
        return counts


@dataclass(slots=True)
class Summary:
    """Results of a scenario's trials under one judge.

    Attributes:
        early: Trials in which the version was stopped before it degraded.
        missed: Trials in which it was never stopped.
        exposed: Requests exposed in each trial, early ones excepted.
        seconds: Seconds from turning bad until it was stopped.
        rated: Ratings of bad answers until it was stopped.
    """

    early: int = 0
    missed: int = 0
    exposed: list[int] = field(default_factory=list)
    seconds: list[int] = field(default_factory=list)
    rated: list[int] = field(default_factory=list)

    def add(self, outcome: Outcome, bad_from: int) -> None:
        """Add the outcome for a version that counts as bad from a second on."""
        if outcome.stopped is not None and outcome.stopped < DEGRADES_AT:
            self.early += 1
            return
        self.exposed.append(outcome.exposed)
        if outcome.stopped is None:
            self.missed += 1
            return
        self.seconds.append(max(outcome.stopped - bad_from, 0))
        self.rated.append(outcome.rated)


def run_trials(
    scenario: Scenario,
    seeds: int,
    judge: Callable[[Scenario], Judge],
) -> Summary:
    """Run a scenario once for each seed."""
    summary = Summary()
    for seed in range(seeds):
        outcome = Trial(scenario, seed, judge(scenario)).run()
        summary.add(outcome, scenario.bad_from)
    return summary


def format_row(scenario: Scenario, summary: Summary) -> str:
    """Return a row of the table for a version that turns bad."""
    hour = scenario.rate * HOUR
    shares = sorted(100 * exposed / hour for exposed in summary.exposed) or [0]
    seconds = (
        statistics.median(summary.seconds) if summary.seconds else math.inf
    )
    rated = statistics.median(summary.rated) if summary.rated else math.inf
    return (
        f'| {scenario.name} | {summary.early} | {summary.missed} | '
        f'{rated:.0f} | {seconds:.0f} | {statistics.median(shares):.2f} | '
        f'{shares[-1]:.2f} |'
    )


def print_table(
    name: str, judge: Callable[[Scenario], Judge], seeds: int
) -> None:
    """Print the table of bad versions under one judge."""
    sys.stdout.write(f'\n{name}, {seeds} seeds\n{TABLE_HEAD}\n')
    for scenario in SCENARIOS:
        summary = run_trials(scenario, seeds, judge)
        sys.stdout.write(f'{format_row(scenario, summary)}\n')


def print_false_stops(judge: Callable[[Scenario], Judge], seeds: int) -> None:
    """Print in how many trials good versions are stopped."""
    for scenario in HEALTHY:
        summary = run_trials(scenario, seeds, judge)
        hours = seeds * scenario.duration // HOUR
        sys.stdout.write(
            f'{scenario.name}: {seeds - summary.missed} of {seeds} runs '
            f'stopped, {hours} hours at {scenario.rate} a second\n',
        )


def main() -> int:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=10)
    parser.add_argument('--good-seeds', type=int, default=2)
    flags = parser.parse_args()
    logging.set_verbosity(logging.ERROR)
    print_table('Guard', GuardJudge, flags.seeds)
    print_false_stops(GuardJudge, flags.good_seeds)
    print_table('Fixed threshold', ThresholdJudge, flags.seeds)
    print_false_stops(ThresholdJudge, flags.good_seeds)
    print_table('No guard', Judge, 1)
    return 0


TABLE_HEAD: Final = (
    '| scenario | early | missed | ratings | seconds | '
    '% of an hour, median | worst |\n|---|---|---|---|---|---|---|'
)
if __name__ == '__main__':
    sys.exit(main())
