"""The goals of the project beside measured figures."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from experiments.load.reports import ratio
from experiments.load.summaries import Report
from experiments.load.tables import spread, table

DEAREST: Final = 'round-robin-dearest'
LEAST: Final = 'least-in-flight'

#: Seconds after which a version that turned bad must get no new work.
LAST_WORK: Final = 10

# Scenarios that the goals speak of.
DAY: Final = 'ordinary-day'
FULL: Final = 'peak-1.0'
OVER: Final = 'peak-2.5'


@dataclass(frozen=True, slots=True)
class Verdict:
    """One goal, and what was measured.

    Attributes:
        goal: The goal in words.
        bound: The figure that it asks for.
        figure: What was measured; None if the runs do not tell.
        reached: Whether it was reached.
    """

    goal: str
    bound: str
    figure: float | None
    reached: bool

    @property
    def word(self) -> str:
        """Return the verdict in a word or two."""
        if self.figure is None:
            return 'not run'
        return 'reached' if self.reached else 'short'


class Figurer:
    """Looks figures up, as means over the seeds.

    Args:
        runs: All runs.
        arm: The arm that the goals are held against.
    """

    def __init__(self, runs: list[Report], arm: str) -> None:
        self._runs = runs
        self._arm = arm

    def mean(
        self,
        scenario: str,
        getter: Callable[[Report], float | None],
        arm: str = '',
    ) -> float | None:
        """Return a mean; None where nothing was run."""
        found = spread(
            getter(run)
            for run in self._runs
            if run.scenario == scenario and run.arm == (arm or self._arm)
        )
        return None if found is None else found.mean

    def quotient(
        self,
        scenario: str,
        getter: Callable[[Report], float | None],
        other: tuple[str, str],
    ) -> float | None:
        """Return a figure by that of another scenario and arm."""
        ours = self.mean(scenario, getter)
        theirs = self.mean(other[0], getter, other[1])
        if ours is None or theirs is None:
            return None
        return ratio(ours, theirs)


def judge(runs: list[Report], arm: str) -> list[Verdict]:
    """Hold an arm's figures against the goals."""
    look = Figurer(runs, arm)
    return [
        *_judge_cost(look),
        *_judge_latency(look, arm),
        *_judge_overload(look, arm),
        *_judge_exposure(look),
    ]


def goal_table(runs: list[Report], arm: str) -> str:
    """Return the goals beside an arm's figures."""
    rows = [
        [
            verdict.goal,
            verdict.bound,
            '-' if verdict.figure is None else f'{verdict.figure:.4g}',
            verdict.word,
        ]
        for verdict in judge(runs, arm)
    ]
    return table(('goal', 'bound', arm, 'verdict'), rows)


def _judge_cost(look: Figurer) -> list[Verdict]:
    """Judge what answers cost at the quality target."""
    dearest = (DAY, DEAREST)
    cost = look.quotient(DAY, _cost_per_met, dearest)
    met = look.quotient(DAY, _share_met, dearest)
    return [
        _most('cost per met request by that of the dearest', cost, 0.5),
        _least('share met by that of the dearest', met, 1),
    ]


def _judge_latency(look: Figurer, arm: str) -> list[Verdict]:
    """Judge the first token at the capacity."""
    idle = look.quotient(FULL, _first, ('idle', arm))
    # Held against itself, an arm would always reach it.
    least = (
        None
        if arm == LEAST
        else look.quotient(
            FULL,
            _first,
            (FULL, LEAST),
        )
    )
    return [
        _most('first token p95 at 1.0 by idle', idle, 1.3),
        _most('first token p95 at 1.0 by least in flight', least, 1),
    ]


def _judge_overload(look: Figurer, arm: str) -> list[Verdict]:
    """Judge what happens beyond the capacity."""
    good = look.quotient(OVER, _goodput, (FULL, arm))
    refusal = look.mean(OVER, _refusal)
    fair = look.mean(OVER, _fair)
    return [
        _least('goodput at 2.5 by that at 1.0', good, 0.9),
        _most('refusal p95 at 2.5, seconds', refusal, 0.05),
        _least('worst fair share at 2.5', fair, 0.9),
    ]


def _judge_exposure(look: Figurer) -> list[Verdict]:
    """Judge the work of a version that is bad at once."""
    bad = look.mean('bad-at-once', _exposed)
    last = look.mean('bad-at-once', _last)
    return [
        _most('share exposed to a version bad at once', bad, 0.01),
        _most('seconds from its turn to its last new work', last, LAST_WORK),
    ]


def _most(goal: str, figure: float | None, bound: float) -> Verdict:
    """Judge a figure that must not be above a bound."""
    reached = figure is not None and figure <= bound
    return Verdict(goal, f'at most {bound:g}', figure, reached)


def _least(goal: str, figure: float | None, bound: float) -> Verdict:
    """Judge a figure that must not be below a bound."""
    reached = figure is not None and figure >= bound
    return Verdict(goal, f'at least {bound:g}', figure, reached)


def _cost_per_met(run: Report) -> float | None:
    return run.models.cost_per_met


def _share_met(run: Report) -> float | None:
    return run.models.share_met


def _first(run: Report) -> float | None:
    return run.models.first.p95


def _goodput(run: Report) -> float | None:
    return run.goodput


def _refusal(run: Report) -> float | None:
    return run.models.refused.p95


def _fair(run: Report) -> float | None:
    return min(run.fairness.values(), default=0)


def _exposed(run: Report) -> float | None:
    return None if run.exposure is None else run.exposure.share


def _last(run: Report) -> float | None:
    """Return when the last work came, if the run was long enough to tell."""
    seen = run.exposure
    if seen is None or seen.watched <= LAST_WORK:
        return None
    if not seen.asked:
        # Nothing that the version could have answered tells nothing.
        return None
    return seen.last if seen.exposed else 0
