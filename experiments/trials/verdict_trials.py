"""Measures the verdict on new versions in thousands of simulated rollouts.

    python -m experiments.trials.verdict_trials --rollouts 2000 --plot v.png

Each rollout is drawn from a seed: requests arrive at a rate, hosts receive
each other's counts of answers with a delay, and in some cases a disturbance
fails a fraction of all requests. The verdict is that of ``nutmegroad.canary``
(modules ``verdicts`` and ``steps``); the rule that it replaced is run for
comparison. For each case and rule, the table shows the fraction of rollouts
that succeed, the poor answers of the new version, the seconds until the end,
and the fraction of rollouts that exceed the exposure bound.
"""

import argparse
import sys
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from math import comb
from pathlib import Path
from statistics import fmean
from typing import Final, TextIO

import numpy as np
from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

from experiments.trials.verdict_cases import Case, cases
from nutmegroad.canary.rollouts import (
    CANARY_DELAY,
    CANARY_SHARE_FACTOR,
    FULL_FROM,
    FULL_UNTIL,
    RAMP_FRACTION,
    RATE_KNOWN_AFTER,
    Stage,
    extra_share,
)
from nutmegroad.canary.steps import next_stage
from nutmegroad.canary.verdicts import Judgement
from nutmegroad.fleet.evidence import (
    Answers,
    KindNumber,
    add_kinds,
    sum_answers,
)

#: Seconds of a simulation step; hosts check the counts four times a second.
STEP: Final = 0.25

#: Seconds by which hosts receive each other's counts late.
COUNT_DELAY: Final = 0.75

#: The operator's exposure bound: a share of the requests, and a number of
#: requests beyond it.
EXPOSURE_SHARE: Final = 0.15
EXPOSURE_SLACK: Final = 30

#: Duration of a disturbance in seconds, and the fraction of requests it fails.
DISTURBANCE: Final = (4.0, 0.3)


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a simulated rollout.

    Attributes:
        stage: The last stage.
        seconds: Seconds until it ended.
        poor: Poor answers of the new version.
        excess: Answers of the new version beyond the exposure bound.
    """

    stage: Stage
    seconds: float
    poor: int
    excess: float


class CurrentRule:
    """The rule of ``nutmegroad.canary``."""

    def __init__(self) -> None:
        self._judgement = Judgement()

    def next(
        self,
        stage: Stage,
        sums: dict[KindNumber, Answers],
        elapsed: float,
    ) -> Stage | None:
        """Return the next stage if a step is due, else None.

        Args:
            stage: The present stage.
            sums: Answers of all hosts by kind of request.
            elapsed: Elapsed fraction of the duration.
        """
        self._judgement.update(sums)
        return next_stage(stage, self._judgement.verdict(), elapsed)


class PreviousRule:
    """The replaced rule: a version that is not shown bad in time succeeds."""

    min_answers = 20
    succeed_from = 0.88
    max_probability = 0.002

    def next(
        self,
        stage: Stage,
        sums: dict[KindNumber, Answers],
        elapsed: float,
    ) -> Stage | None:
        """Return the next stage if a step is due, else None."""
        totals = sum_answers(sums.values())
        tolerated = 2 * totals.old_poor / max(1, totals.old) + 0.03
        poor_rate = min(0.5, max(0.08, tolerated))
        if (
            totals.new_poor >= 3
            and _tail_probability(totals, poor_rate) < self.max_probability
        ):
            return Stage.ROLLED_BACK
        if stage is Stage.CANARY:
            is_good = totals.new_poor <= totals.new * poor_rate
            has_passed = totals.new >= self.min_answers and is_good
            return Stage.FULL if has_passed and elapsed >= FULL_FROM else None
        return Stage.SUCCEEDED if elapsed >= self.succeed_from else None


class SimulatedRollout:
    """Simulates one rollout.

    Args:
        case: The kind of rollout.
        seed: Seeds all random draws.
        share_factor: Factor on the operator's share; gives the canary share.
        slack: Requests beyond that share that the canary stage may get.
    """

    def __init__(
        self,
        case: Case,
        seed: int,
        share_factor: float,
        slack: float,
    ) -> None:
        self._case = case
        self._randomness = np.random.default_rng(seed)
        self._share_factor = share_factor
        self._slack = slack
        self._sums: dict[KindNumber, Answers] = {}
        begins = self._randomness.uniform(0, case.duration / 2)
        self._disturbed = (begins, begins + DISTURBANCE[0])
        self._full_since: float | None = None

    def run(self, rule: CurrentRule | PreviousRule) -> Outcome:
        """Simulate the rollout until it ends or its duration has passed."""
        stage = Stage.CANARY
        now = float(0)
        history: list[dict[KindNumber, Answers]] = []
        while now < self._case.duration:
            now += STEP
            self._count_answers(stage, now)
            history.append(dict(self._sums))
            delayed = history[
                max(0, len(history) - 1 - round(COUNT_DELAY / STEP))
            ]
            next_step = rule.next(stage, delayed, now / self._case.duration)
            if next_step is Stage.FULL:
                self._full_since = now
            stage = stage if next_step is None else next_step
            if stage.ended:
                break
        return self._outcome(stage, now)

    def _outcome(self, stage: Stage, now: float) -> Outcome:
        """Return the outcome at the end."""
        totals = sum_answers(self._sums.values())
        case = self._case
        allowed = EXPOSURE_SHARE * case.rate * case.duration + EXPOSURE_SLACK
        return Outcome(stage, now, totals.new_poor, totals.new - allowed)

    def _count_answers(self, stage: Stage, now: float) -> None:
        """Count the answers of one step."""
        randomness, case = self._randomness, self._case
        share = self._share(stage, now)
        for number, (fraction, poor_fraction) in enumerate(case.kinds):
            count = int(randomness.poisson(case.rate * fraction * STEP))
            new = int(randomness.binomial(count, share))
            good = self._undisturbed(now) * (1 - poor_fraction)
            answers = Answers(
                new,
                int(
                    randomness.binomial(
                        new, 1 - good * self._undegraded(number, now)
                    )
                ),
                count - new,
                int(randomness.binomial(count - new, 1 - good)),
            )
            add_kinds(self._sums, {KindNumber(number): answers})

    def _share(self, stage: Stage, now: float) -> float:
        """Return the fraction of requests that the new version gets."""
        case = self._case
        if stage is Stage.CANARY and now < CANARY_DELAY:
            return 0
        canary_share = EXPOSURE_SHARE * self._share_factor
        if now > RATE_KNOWN_AFTER:
            seconds_left = case.duration * FULL_UNTIL - RATE_KNOWN_AFTER
            canary_share += extra_share(self._slack, case.rate, seconds_left)
        if self._full_since is None:
            return canary_share
        ramp = case.duration * RAMP_FRACTION
        return min(
            1,
            canary_share + (1 - canary_share) * (now - self._full_since) / ramp,
        )

    def _undisturbed(self, now: float) -> float:
        """Return the fraction of requests that no disturbance fails."""
        begins, ends = self._disturbed
        is_disturbed = self._case.disturbed and begins <= now < ends
        return 1 - DISTURBANCE[1] if is_disturbed else 1

    def _undegraded(self, kind: int, now: float) -> float:
        """Return the fraction of good answers that stay good when degraded."""
        case = self._case
        is_degraded = now >= case.degraded_from and case.degraded_kind in {
            None,
            kind,
        }
        return 1 - case.degradation if is_degraded else 1


@dataclass(frozen=True, slots=True)
class Row:
    """Results of one case under one rule.

    Attributes:
        case: The case.
        rule: Name of the rule.
        succeeded: Fraction of rollouts that succeeded.
        poor: Mean number of poor answers of the new version.
        seconds: Mean seconds until the end.
        beyond: Fraction of rollouts that exceeded the exposure bound.
    """

    case: Case
    rule: str
    succeeded: float
    poor: float
    seconds: float
    beyond: float


#: A rule, the factor on the operator's share, and the requests beyond it.
_RuleSetup = tuple[Callable[[], CurrentRule | PreviousRule], float, float]

#: The rules that are compared, by name in the table.
_RULES: Final[dict[str, _RuleSetup]] = {
    'now': (CurrentRule, CANARY_SHARE_FACTOR, EXPOSURE_SLACK),
    'before': (PreviousRule, 0.8, 0),
}


def run_case(case: Case, rollouts: int, name: str) -> Row:
    """Simulate the rollouts of a case under a rule."""
    rule_type, share_factor, slack = _RULES[name]
    outcomes = [
        SimulatedRollout(case, seed, share_factor, slack).run(rule_type())
        for seed in range(rollouts)
    ]
    succeeded = [outcome.stage is Stage.SUCCEEDED for outcome in outcomes]
    return Row(
        case,
        name,
        fmean(succeeded),
        fmean(outcome.poor for outcome in outcomes),
        fmean(outcome.seconds for outcome in outcomes),
        fmean(outcome.excess > 0 for outcome in outcomes),
    )


def print_table(rows: Sequence[Row], out: TextIO) -> None:
    """Print the table."""
    out.write('rate | case | rule | succeeded | poor | seconds | beyond\n')
    for row in rows:
        out.write(
            f'{row.case.rate:4g} | {row.case.name:42} | {row.rule:6} | '
            f'{row.succeeded:.4f} | {row.poor:6.1f} | {row.seconds:5.1f} | '
            f'{row.beyond:.3f}\n'
        )


def plot(rows: Sequence[Row], path: Path) -> None:
    """Plot the fraction that succeeds over the request rate, by rule."""
    figure = Figure(figsize=(9, 6))
    FigureCanvasAgg(figure)
    axes = figure.subplots(1, len(_RULES), sharey=True)
    for rule, panel in zip(_RULES, axes, strict=True):
        for degradation in (0, 0.1, 0.2, 0.3, 0.5, 1.0):
            name = (
                f'bad by {degradation}, base 0.02'
                if degradation
                else 'good, base 0.02'
            )
            chosen = [
                row
                for row in rows
                if row.rule == rule and row.case.name == name
            ]
            panel.plot(
                [row.case.rate for row in chosen],
                [row.succeeded for row in chosen],
                marker='o',
                label=f'worse by {degradation}',
            )
        panel.set(xscale='log', xlabel='requests a second', title=rule)
    axes[0].set_ylabel('share that succeeds (base 0.02)')
    axes[0].legend()
    figure.savefig(path)


def _tail_probability(totals: Answers, probability: float) -> float:
    """Return the probability of at least as many poor answers.

    Args:
        totals: All answers so far.
        probability: Probability that an answer is poor.
    """
    below = sum(
        comb(totals.new, count)
        * probability**count
        * (1 - probability) ** (totals.new - count)
        for count in range(totals.new_poor)
    )
    return max(0, 1 - below)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the selected cases and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rollouts', type=int, default=300)
    parser.add_argument('--jobs', type=int, default=2)
    parser.add_argument(
        '--only',
        nargs='*',
        default=[''],
        help='run cases whose names contain one of these texts',
    )
    parser.add_argument('--plot', type=Path)
    options = parser.parse_args(arguments)
    chosen = [
        case
        for case in cases()
        if any(text in case.name for text in options.only)
    ]
    rows: list[Row] = []
    with ProcessPoolExecutor(options.jobs) as pool:
        for rule in _RULES:
            run = partial(run_case, rollouts=options.rollouts, name=rule)
            rows.extend(pool.map(run, chosen))
    rows.sort(key=lambda row: (row.case.rate, row.case.name, row.rule))
    print_table(rows, sys.stdout)
    if options.plot is not None:
        plot(rows, options.plot)
    return 0


if __name__ == '__main__':
    sys.exit(main())
