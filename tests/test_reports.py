"""Tests of the figures, on records made by hand."""

import unittest
from types import SimpleNamespace
from typing import cast

from experiments.deployment import read_example
from experiments.load.goals import judge
from experiments.load.load import Outcome, Record
from experiments.load.observations import EngineRun, Observed, ServiceRun
from experiments.load.promises import check
from experiments.load.reports import (
    exposure,
    fair_shares,
    figures,
    percentiles,
)
from experiments.load.summaries import Report
from experiments.load.traffic import Ask

from nutmegroad.contracts.documents import parse_document

_DOCUMENT = parse_document(read_example('cascade'))


def _ask(number: int = 0, task: str = 'manifest') -> Ask:
    return Ask(number, number, 'kent-planners', task, 9, 0, 0.9, 4)


def _answer(number: int, quality: float, version: str = 'a@1') -> Record:
    return Record(
        _ask(number),
        sent=number,
        outcome=Outcome.ANSWERED,
        request=f'r-{number}',
        version=version,
        cost=2,
        tokens=4,
        words=4,
        quality=quality,
        first=0.1 * (number + 1),
        whole=1,
    )


class FiguresTest(unittest.TestCase):
    def test_percentiles(self) -> None:
        found = percentiles([*range(101), None])
        self.assertEqual(
            (found.p50, found.p95, found.p99, found.count),
            (50, 95, 99, 101),
        )
        self.assertIsNone(percentiles([None]).p95)

    def test_cost_counts_answers_that_missed_the_target_too(self) -> None:
        refused = Record(_ask(), outcome=Outcome.REFUSED, code='NO_UPSTREAM')
        found = figures([_answer(0, 0.95), _answer(1, 0.5), refused])
        self.assertEqual(found.cost_per_answer, 2)
        self.assertEqual(found.cost_per_met, 4)
        self.assertEqual(found.share_met, 0.5)
        self.assertEqual(found.reasons, {'refused NO_UPSTREAM': 1})
        self.assertEqual(found.run_refusals, 1)

    def test_a_late_answer_is_not_in_time(self) -> None:
        late = _answer(0, 0.95)
        late.whole = 9.5
        found = figures([late])
        self.assertEqual((found.answered, found.in_time, found.good), (1, 0, 0))

    def test_exposure_counts_what_was_sent_after_the_turn(self) -> None:
        bad = [_answer(number, 0.3, 'bad@2') for number in (1, 3, 4)]
        found = exposure([*bad, _answer(5, 0.95)], 'bad@2', 2, 10)
        self.assertEqual((found.exposed, found.asked), (2, 3))
        self.assertEqual((found.last, found.below), (2, 2))

    def test_a_bad_version_without_work_reaches_no_goal(self) -> None:
        unused = exposure([_answer(5, 0.95)], 'bad@2', 2, 20)
        run = SimpleNamespace(scenario='bad-at-once', arm='a', exposure=unused)
        words = [
            verdict.word
            for verdict in judge([cast(Report, run)], 'a')
            if 'its turn' in verdict.goal or 'exposed' in verdict.goal
        ]
        self.assertEqual(words, ['not run', 'not run'])

    def test_what_a_small_workspace_leaves_is_shared_by_weight(self) -> None:
        demands: dict[str, float] = {'small': 1, 'large': 90, 'flood': 900}
        weights: dict[str, float] = {'small': 1, 'large': 1, 'flood': 2}
        found = fair_shares(demands, weights, 61)
        self.assertEqual(found, {'small': 1, 'large': 20, 'flood': 40})


class PromisesTest(unittest.TestCase):
    def test_each_breach_is_seen(self) -> None:
        cut = _answer(0, 0.95, 'galley-large@3')
        cut.words = 3
        untrue = Record(
            _ask(1),
            outcome=Outcome.REFUSED,
            not_run=True,
            request='r-1',
        )
        runs = tuple(
            EngineRun(f'{request}.{place}.n', 'v', 'manifest', 'whole', 0)
            for place, request in enumerate(('r-0', 'r-0', 'r-1'))
        )
        call = ServiceRun('POST', '/manifests', 'k')
        observed = Observed(
            engine_runs={'e': runs},
            service_runs=[call, call],
        )
        records = [cut, untrue, _answer(2, 0.95, 'strange@1')]
        found = check(records, observed, _DOCUMENT)
        self.assertEqual(
            dict(found.counts),
            {
                'an answer is whole': 1,
                'an answer is from an allowed version': 1,
                'a request that may not be repeated runs at most once': 1,
                '"not run" is true': 1,
                'a key runs at most once': 1,
            },
        )

    def test_a_sound_run_breaks_none(self) -> None:
        sound = _answer(0, 0.95, 'galley-large@3')
        run = EngineRun('r-0.1.n', 'galley-large@3', 'manifest', 'whole', 0)
        observed = Observed(engine_runs={'e': (run,)})
        self.assertFalse(check([sound], observed, _DOCUMENT).counts)
