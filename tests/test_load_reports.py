"""Tests of the statistics of load tests on handmade results."""

import unittest
from types import SimpleNamespace
from typing import cast

from experiments.deployment import read_example
from experiments.load.client import Outcome, RequestResult
from experiments.load.goals import evaluate_goals
from experiments.load.guarantees import check_guarantees
from experiments.load.observations import EngineRun, Observations, ServiceRun
from experiments.load.request_stats import (
    compute_stats,
    exposure,
    fair_shares,
    percentiles,
)
from experiments.load.run_reports import RunReport
from experiments.load.traffic import PlannedRequest

from nutmegroad.contracts.documents import parse_document

_DOCUMENT = parse_document(read_example('cascade'))


def _make_request(number: int = 0, task: str = 'manifest') -> PlannedRequest:
    return PlannedRequest(number, number, 'kent-planners', task, 9, 0, 0.9, 4)


def _make_answer(
    number: int, quality: float, version: str = 'a@1'
) -> RequestResult:
    return RequestResult(
        _make_request(number),
        sent=number,
        outcome=Outcome.ANSWERED,
        request_id=f'r-{number}',
        version=version,
        cost=2,
        tokens=4,
        words=4,
        quality=quality,
        first_token=0.1 * (number + 1),
        total_seconds=1,
    )


class RequestStatsTest(unittest.TestCase):
    def test_percentiles(self) -> None:
        stats = percentiles([*range(101), None])
        self.assertEqual(
            (stats.p50, stats.p95, stats.p99, stats.count),
            (50, 95, 99, 101),
        )
        self.assertIsNone(percentiles([None]).p95)

    def test_cost_includes_answers_below_the_target(self) -> None:
        refused = RequestResult(
            _make_request(), outcome=Outcome.REFUSED, code='NO_UPSTREAM'
        )
        stats = compute_stats(
            [_make_answer(0, 0.95), _make_answer(1, 0.5), refused]
        )
        self.assertEqual(stats.cost_per_answer, 2)
        self.assertEqual(stats.cost_per_met, 4)
        self.assertEqual(stats.share_met, 0.5)
        self.assertEqual(stats.reasons, {'refused NO_UPSTREAM': 1})
        self.assertEqual(stats.run_refusals, 1)

    def test_a_late_answer_is_not_in_time(self) -> None:
        late = _make_answer(0, 0.95)
        late.total_seconds = 9.5
        stats = compute_stats([late])
        self.assertEqual((stats.answered, stats.in_time, stats.good), (1, 0, 0))

    def test_exposure_counts_requests_after_the_degradation(self) -> None:
        degraded = [_make_answer(number, 0.3, 'bad@2') for number in (1, 3, 4)]
        measured = exposure([*degraded, _make_answer(5, 0.95)], 'bad@2', 2, 10)
        self.assertEqual((measured.exposed, measured.asked), (2, 3))
        self.assertEqual((measured.last, measured.below), (2, 2))

    def test_a_degraded_version_without_requests_reaches_no_goal(self) -> None:
        unused = exposure([_make_answer(5, 0.95)], 'bad@2', 2, 20)
        run = SimpleNamespace(scenario='bad-at-once', arm='a', exposure=unused)
        words = [
            verdict.label
            for verdict in evaluate_goals([cast(RunReport, run)], 'a')
            if 'its degradation' in verdict.goal or 'exposed' in verdict.goal
        ]
        self.assertEqual(words, ['not run', 'not run'])

    def test_unused_fair_share_is_divided_by_weight(self) -> None:
        demands: dict[str, float] = {'small': 1, 'large': 90, 'flood': 900}
        weights: dict[str, float] = {'small': 1, 'large': 1, 'flood': 2}
        shares = fair_shares(demands, weights, 61)
        self.assertEqual(shares, {'small': 1, 'large': 20, 'flood': 40})


class GuaranteesTest(unittest.TestCase):
    def test_each_violation_is_found(self) -> None:
        cut = _make_answer(0, 0.95, 'galley-large@3')
        cut.words = 3
        untrue = RequestResult(
            _make_request(1),
            outcome=Outcome.REFUSED,
            not_run=True,
            request_id='r-1',
        )
        runs = tuple(
            EngineRun(f'{request}.{index}.n', 'v', 'manifest', 'whole', 0)
            for index, request in enumerate(('r-0', 'r-0', 'r-1'))
        )
        call = ServiceRun('POST', '/manifests', 'k')
        observations = Observations(
            engine_runs={'e': runs},
            service_runs=[call, call],
        )
        request_results = [cut, untrue, _make_answer(2, 0.95, 'strange@1')]
        violations = check_guarantees(request_results, observations, _DOCUMENT)
        self.assertEqual(
            dict(violations.counts),
            {
                'an answer is whole': 1,
                'an answer is from an allowed version': 1,
                'a request that may not be repeated runs at most once': 1,
                '"not run" is true': 1,
                'a key runs at most once': 1,
            },
        )

    def test_a_sound_run_has_no_violation(self) -> None:
        sound = _make_answer(0, 0.95, 'galley-large@3')
        run = EngineRun('r-0.1.n', 'galley-large@3', 'manifest', 'whole', 0)
        observations = Observations(engine_runs={'e': (run,)})
        self.assertFalse(
            check_guarantees([sound], observations, _DOCUMENT).counts
        )
