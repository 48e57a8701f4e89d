"""Tries the verdict on new versions alone, on thousands of roll-outs.

    python -m experiments.trials.verdict_trials --rollouts 2000 --plot v.png

Each roll-out is drawn from a seed: requests come at a rate, hosts count their
answers and hear of each other's counts late, and some days a disturbance fails
a part of everything. The verdict is the program's own
(``canary.verdicts``, ``canary.steps``); beside it stands the rule that it
replaced. The table shows bad versions that succeeded, good ones that did not,
bad answers until the halt, and seconds until the verdict.
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

#: Seconds between looks at what has come in; hosts look four times a second.
LOOK: Final = 0.25

#: Seconds by which hosts hear of each other's counts late.
HEARD: Final = 0.75

#: The operator's bounds that are tried: a share, and requests besides.
EXPOSED: Final = 0.15
BESIDES: Final = 30

#: Seconds for which a disturbance lasts, and the part of all that it fails.
DISTURBED: Final = (4.0, 0.3)


@dataclass(frozen=True, slots=True)
class Ended:
    """How a roll-out ended.

    Attributes:
        stage: Its last stage.
        seconds: Seconds until then.
        poor: Poor answers of the new version until then.
        exposed: Answers of the new version beyond what operators allow.
    """

    stage: Stage
    seconds: float
    poor: int
    exposed: float


class Rule:
    """The program's rule."""

    def __init__(self) -> None:
        self._judgement = Judgement()

    def next(
        self,
        stage: Stage,
        sums: dict[KindNumber, Answers],
        elapsed: float,
    ) -> Stage | None:
        """Return the stage that follows now, or None."""
        self._judgement.update(sums)
        return next_stage(stage, self._judgement.verdict(), elapsed)


class RuleBefore:
    """The rule that was replaced: what is not shown bad in time is good."""

    enough = 20
    close_at = 0.88
    unlikely = 0.002

    def next(
        self,
        stage: Stage,
        sums: dict[KindNumber, Answers],
        elapsed: float,
    ) -> Stage | None:
        """Return the stage that follows now, or None."""
        whole = sum_answers(sums.values())
        grown = 2 * whole.old_poor / max(1, whole.old) + 0.03
        expected = min(0.5, max(0.08, grown))
        if whole.new_poor >= 3 and _tail(whole, expected) < self.unlikely:
            return Stage.ROLLED_BACK
        if stage is Stage.CANARY:
            good = whole.new_poor <= whole.new * expected
            opens = whole.new >= self.enough and good
            return Stage.FULL if opens and elapsed >= FULL_FROM else None
        return Stage.SUCCEEDED if elapsed >= self.close_at else None


class RolloutDay:
    """One roll-out, drawn from a seed.

    Args:
        case: What kind of roll-out.
        seed: Its seed.
        part: Part of the operator's share that its trial uses.
        besides: Requests beyond the share that its trial may get.
    """

    def __init__(
        self,
        case: Case,
        seed: int,
        part: float,
        besides: float,
    ) -> None:
        self._case = case
        self._draw = np.random.default_rng(seed)
        self._part = part
        self._besides = besides
        self._seen: dict[KindNumber, Answers] = {}
        begins = self._draw.uniform(0, case.seconds / 2)
        self._disturbed = (begins, begins + DISTURBED[0])
        self._opened: float | None = None

    def run(self, rule: Rule | RuleBefore) -> Ended:
        """Play it until it ends or its time is over."""
        stage = Stage.CANARY
        now = float(0)
        heard: list[dict[KindNumber, Answers]] = []
        while now < self._case.seconds:
            now += LOOK
            self._answer(stage, now)
            heard.append(dict(self._seen))
            late = heard[max(0, len(heard) - 1 - round(HEARD / LOOK))]
            step = rule.next(stage, late, now / self._case.seconds)
            if step is Stage.FULL:
                self._opened = now
            stage = stage if step is None else step
            if stage.ended:
                break
        return self._ended(stage, now)

    def _ended(self, stage: Stage, now: float) -> Ended:
        whole = sum_answers(self._seen.values())
        case = self._case
        allowed = EXPOSED * case.rate * case.seconds + BESIDES
        return Ended(stage, now, whole.new_poor, whole.new - allowed)

    def _answer(self, stage: Stage, now: float) -> None:
        """Answer the requests of one look."""
        draw, case = self._draw, self._case
        share = self._share(stage, now)
        for number, (part, base) in enumerate(case.kinds):
            count = int(draw.poisson(case.rate * part * LOOK))
            new = int(draw.binomial(count, share))
            spared = self._spared(now) * (1 - base)
            answers = Answers(
                new,
                int(draw.binomial(new, 1 - spared * self._sound(number, now))),
                count - new,
                int(draw.binomial(count - new, 1 - spared)),
            )
            add_kinds(self._seen, {KindNumber(number): answers})

    def _share(self, stage: Stage, now: float) -> float:
        """Return the part of the requests that the new version gets."""
        case = self._case
        if stage is Stage.CANARY and now < CANARY_DELAY:
            return 0
        trial = EXPOSED * self._part
        if now > RATE_KNOWN_AFTER:
            left = case.seconds * FULL_UNTIL - RATE_KNOWN_AFTER
            trial += extra_share(self._besides, case.rate, left)
        if self._opened is None:
            return trial
        ramp = case.seconds * RAMP_FRACTION
        return min(1, trial + (1 - trial) * (now - self._opened) / ramp)

    def _spared(self, now: float) -> float:
        """Return the part of all that no disturbance fails."""
        begins, ends = self._disturbed
        hurt = self._case.disturbed and begins <= now < ends
        return 1 - DISTURBED[1] if hurt else 1

    def _sound(self, kind: int, now: float) -> float:
        """Return the part of a kind that the new version does not spoil."""
        case = self._case
        spoils = now >= case.late and case.only in {None, kind}
        return 1 - case.worse if spoils else 1


@dataclass(frozen=True, slots=True)
class Row:
    """What became of the roll-outs of one case under one rule.

    Attributes:
        case: The case.
        rule: The rule's name.
        succeeded: Share that succeeded.
        poor: Mean poor answers of the new version.
        seconds: Mean seconds until the end.
        beyond: Share that got more requests than operators allow.
    """

    case: Case
    rule: str
    succeeded: float
    poor: float
    seconds: float
    beyond: float


_Tried = tuple[Callable[[], Rule | RuleBefore], float, float]

#: Rules, the part of the operator's share that each one's trial uses, and what
#: it uses of the requests besides.
_RULES: Final[dict[str, _Tried]] = {
    'now': (Rule, CANARY_SHARE_FACTOR, BESIDES),
    'before': (RuleBefore, 0.8, 0),
}


def try_case(case: Case, rollouts: int, name: str) -> Row:
    """Play a case's roll-outs under a rule."""
    make, part, besides = _RULES[name]
    ended = [
        RolloutDay(case, seed, part, besides).run(make())
        for seed in range(rollouts)
    ]
    succeeded = [each.stage is Stage.SUCCEEDED for each in ended]
    return Row(
        case,
        name,
        fmean(succeeded),
        fmean(each.poor for each in ended),
        fmean(each.seconds for each in ended),
        fmean(each.exposed > 0 for each in ended),
    )


def show(rows: Sequence[Row], out: TextIO) -> None:
    """Print a table."""
    out.write('rate | case | rule | succeeded | poor | seconds | beyond\n')
    for row in rows:
        out.write(
            f'{row.case.rate:4g} | {row.case.name:42} | {row.rule:6} | '
            f'{row.succeeded:.4f} | {row.poor:6.1f} | {row.seconds:5.1f} | '
            f'{row.beyond:.3f}\n'
        )


def plot(rows: Sequence[Row], path: Path) -> None:
    """Draw the shares that succeed over the rate, by rule."""
    figure = Figure(figsize=(9, 6))
    FigureCanvasAgg(figure)
    axes = figure.subplots(1, len(_RULES), sharey=True)
    for rule, panel in zip(_RULES, axes, strict=True):
        for worse in (0, 0.1, 0.2, 0.3, 0.5, 1.0):
            name = f'bad by {worse}, base 0.02' if worse else 'good, base 0.02'
            chosen = [
                row
                for row in rows
                if row.rule == rule and row.case.name == name
            ]
            panel.plot(
                [row.case.rate for row in chosen],
                [row.succeeded for row in chosen],
                marker='o',
                label=f'worse by {worse}',
            )
        panel.set(xscale='log', xlabel='requests a second', title=rule)
    axes[0].set_ylabel('share that succeeds (base 0.02)')
    axes[0].legend()
    figure.savefig(path)


def _tail(whole: Answers, chance: float) -> float:
    """Return the probability of so many poor answers or more."""
    below = sum(
        comb(whole.new, count)
        * chance**count
        * (1 - chance) ** (whole.new - count)
        for count in range(whole.new_poor)
    )
    return max(0, 1 - below)


def main(arguments: Sequence[str] | None = None) -> int:
    """Try all cases and show them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rollouts', type=int, default=300)
    parser.add_argument('--jobs', type=int, default=2)
    parser.add_argument(
        '--only', nargs='*', default=[''], help='a part of a case name'
    )
    parser.add_argument('--plot', type=Path)
    options = parser.parse_args(arguments)
    chosen = [
        case
        for case in cases()
        if any(part in case.name for part in options.only)
    ]
    rows: list[Row] = []
    with ProcessPoolExecutor(options.jobs) as pool:
        for rule in _RULES:
            play = partial(try_case, rollouts=options.rollouts, name=rule)
            rows.extend(pool.map(play, chosen))
    rows.sort(key=lambda row: (row.case.rate, row.case.name, row.rule))
    show(rows, sys.stdout)
    if options.plot is not None:
        plot(rows, options.plot)
    return 0


if __name__ == '__main__':
    sys.exit(main())
