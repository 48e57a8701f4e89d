"""Compares measured results with the project's performance goals."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from experiments.load.request_stats import ratio
from experiments.load.run_reports import RunReport
from experiments.load.tables import spread, table

ROUND_ROBIN_ARM: Final = 'round-robin-dearest'
LEAST_IN_FLIGHT_ARM: Final = 'least-in-flight'

#: Seconds after its degradation beyond which a version must get no new
#: requests.
MAX_WORK_SECONDS: Final = 10

# Scenarios to which the goals refer.
ORDINARY_DAY: Final = 'ordinary-day'
AT_CAPACITY: Final = 'peak-1.0'
OVERLOAD: Final = 'peak-2.5'


@dataclass(frozen=True, slots=True)
class Verdict:
    """A goal and the result that was measured for it.

    Attributes:
        goal: Description of the goal.
        bound: The required value.
        measured: The measured value; None if no run provides it.
        reached: Whether the measured value is within the bound.
    """

    goal: str
    bound: str
    measured: float | None
    reached: bool

    @property
    def label(self) -> str:
        """The verdict as a short label."""
        if self.measured is None:
            return 'not run'
        return 'reached' if self.reached else 'short'


class MetricLookup:
    """Looks up metrics of runs as means over the seeds.

    Args:
        runs: All runs.
        arm: The arm that is compared with the goals.
    """

    def __init__(self, runs: list[RunReport], arm: str) -> None:
        self._runs = runs
        self._arm = arm

    def mean(
        self,
        scenario: str,
        getter: Callable[[RunReport], float | None],
        arm: str = '',
    ) -> float | None:
        """Return the mean of a metric over the seeds.

        Args:
            scenario: Name of the scenario.
            getter: Reads the metric of a run.
            arm: Name of the arm; empty for the one under evaluation.

        Returns:
            The mean; None if no run provides the metric.
        """
        seeds = spread(
            getter(run)
            for run in self._runs
            if run.scenario == scenario and run.arm == (arm or self._arm)
        )
        return None if seeds is None else seeds.mean

    def relative(
        self,
        scenario: str,
        getter: Callable[[RunReport], float | None],
        baseline: tuple[str, str],
    ) -> float | None:
        """Return a metric relative to that of a baseline.

        Args:
            scenario: Name of the scenario.
            getter: Reads the metric of a run.
            baseline: Scenario and arm of the baseline.

        Returns:
            The ratio; None if either value is missing.
        """
        ours = self.mean(scenario, getter)
        theirs = self.mean(baseline[0], getter, baseline[1])
        if ours is None or theirs is None:
            return None
        return ratio(ours, theirs)


def evaluate_goals(runs: list[RunReport], arm: str) -> list[Verdict]:
    """Compare the results of an arm with all goals."""
    metrics = MetricLookup(runs, arm)
    return [
        *_evaluate_cost(metrics),
        *_evaluate_latency(metrics, arm),
        *_evaluate_overload(metrics, arm),
        *_evaluate_exposure(metrics),
    ]


def goal_table(runs: list[RunReport], arm: str) -> str:
    """Return the goals and the results of an arm as a Markdown table."""
    rows = [
        [
            verdict.goal,
            verdict.bound,
            '-' if verdict.measured is None else f'{verdict.measured:.4g}',
            verdict.label,
        ]
        for verdict in evaluate_goals(runs, arm)
    ]
    return table(('goal', 'bound', arm, 'verdict'), rows)


def _evaluate_cost(metrics: MetricLookup) -> list[Verdict]:
    """Evaluate the cost of answers that meet their quality target."""
    baseline = (ORDINARY_DAY, ROUND_ROBIN_ARM)
    cost = metrics.relative(ORDINARY_DAY, _cost_per_met, baseline)
    share_met = metrics.relative(ORDINARY_DAY, _share_met, baseline)
    return [
        _at_most(f'cost per met request, relative to {baseline[1]}', cost, 0.5),
        _at_least(f'fraction met, relative to {baseline[1]}', share_met, 1),
    ]


def _evaluate_latency(metrics: MetricLookup, arm: str) -> list[Verdict]:
    """Evaluate the time to the first token at the capacity."""
    idle = metrics.relative(AT_CAPACITY, _first_token, ('idle', arm))
    # Compared with itself, an arm would always reach the goal.
    versus_baseline = (
        None
        if arm == LEAST_IN_FLIGHT_ARM
        else metrics.relative(
            AT_CAPACITY,
            _first_token,
            (AT_CAPACITY, LEAST_IN_FLIGHT_ARM),
        )
    )
    return [
        _at_most('first token p95 at 1.0, relative to idle', idle, 1.3),
        _at_most(
            f'first token p95 at 1.0, relative to {LEAST_IN_FLIGHT_ARM}',
            versus_baseline,
            1,
        ),
    ]


def _evaluate_overload(metrics: MetricLookup, arm: str) -> list[Verdict]:
    """Evaluate the behaviour under overload."""
    goodput = metrics.relative(OVERLOAD, _goodput, (AT_CAPACITY, arm))
    refusal = metrics.mean(OVERLOAD, _refusal_time)
    fairness = metrics.mean(OVERLOAD, _worst_fairness)
    return [
        _at_least('goodput at 2.5, relative to 1.0', goodput, 0.9),
        _at_most('refusal p95 at 2.5, seconds', refusal, 0.05),
        _at_least('worst fair share at 2.5', fairness, 0.9),
    ]


def _evaluate_exposure(metrics: MetricLookup) -> list[Verdict]:
    """Evaluate the exposure to a version that degrades suddenly."""
    exposed = metrics.mean('bad-at-once', _exposure_share)
    work_seconds = metrics.mean('bad-at-once', _seconds_of_work)
    return [
        _at_most('share exposed to a suddenly degraded version', exposed, 0.01),
        _at_most(
            'seconds from its degradation to its last new request',
            work_seconds,
            MAX_WORK_SECONDS,
        ),
    ]


def _at_most(goal: str, measured: float | None, bound: float) -> Verdict:
    """Evaluate a metric with an upper bound."""
    reached = measured is not None and measured <= bound
    return Verdict(goal, f'at most {bound:g}', measured, reached)


def _at_least(goal: str, measured: float | None, bound: float) -> Verdict:
    """Evaluate a metric with a lower bound."""
    reached = measured is not None and measured >= bound
    return Verdict(goal, f'at least {bound:g}', measured, reached)


def _cost_per_met(run: RunReport) -> float | None:
    return run.models.cost_per_met


def _share_met(run: RunReport) -> float | None:
    return run.models.share_met


def _first_token(run: RunReport) -> float | None:
    return run.models.first.p95


def _goodput(run: RunReport) -> float | None:
    return run.goodput


def _refusal_time(run: RunReport) -> float | None:
    return run.models.refused.p95


def _worst_fairness(run: RunReport) -> float | None:
    return min(run.fairness.values(), default=0)


def _exposure_share(run: RunReport) -> float | None:
    return None if run.exposure is None else run.exposure.share


def _seconds_of_work(run: RunReport) -> float | None:
    """Return for how long a degraded version got new requests, in seconds.

    None if the run was too short, or had no request that the version could
    have answered.
    """
    exposure = run.exposure
    if exposure is None or exposure.watched <= MAX_WORK_SECONDS:
        return None
    if not exposure.asked:
        # Without such requests nothing was measured.
        return None
    return exposure.last if exposure.exposed else 0
