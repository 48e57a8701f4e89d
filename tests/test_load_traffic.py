"""Tests of the random traffic and of the arms that load tests compare."""

import random
import unittest

from experiments.deployment import read_example
from experiments.load.arms import ArmError, choose
from experiments.load.compression import compressed_configuration
from experiments.load.scenarios import SCENARIOS
from experiments.load.traffic import (
    MIXES,
    Curve,
    TrafficSpec,
    draw_arrivals,
    draw_length,
    draw_requests,
    relative_rate,
)

from nutmegroad.contracts.documents import parse_document

_DOCUMENT = parse_document(read_example('lesen'))
_SPEC = TrafficSpec('lesen', Curve.SITTING_NIGHT, 50, 20, 'peak')


class ArrivalsTest(unittest.TestCase):
    def test_a_seed_determines_the_requests(self) -> None:
        first, again, other = (
            draw_requests(_DOCUMENT, _SPEC, n) for n in (1, 1, 2)
        )
        self.assertEqual(first, again)
        self.assertNotEqual(first, other)

    def test_counts_follow_the_curve(self) -> None:
        for curve in Curve:
            with self.subTest(curve=curve):
                spec = TrafficSpec('lesen', curve, 500, 20, 'peak')
                times = draw_arrivals(spec, random.Random(1))
                steps = [relative_rate(curve, n / 200) for n in range(200)]
                expected = 500 * 20 * sum(steps) / len(steps)
                # Five standard deviations of a Poisson count.
                self.assertLess(abs(len(times) - expected), 5 * expected**0.5)
                self.assertEqual(times, sorted(times))

    def test_only_duplicate_calls_are_due_after_the_end(self) -> None:
        late = [
            planned
            for planned in draw_requests(_DOCUMENT, _SPEC, 1)
            if planned.at >= 20
        ]
        self.assertTrue(all(planned.key for planned in late))


class PlannedRequestsTest(unittest.TestCase):
    def test_lengths_have_the_requested_mean_and_a_long_tail(self) -> None:
        randomness = random.Random(1)
        drawn = [draw_length(90, 0.6, randomness) for _ in range(4000)]
        self.assertAlmostEqual(sum(drawn) / len(drawn), 88, delta=5)
        self.assertGreater(max(drawn), 200)

    def test_targets_are_those_of_the_preset_in_force(self) -> None:
        targets = {
            planned.target
            for planned in draw_requests(_DOCUMENT, _SPEC, 1)
            if planned.task == 'objection-summary'
        }
        # The preset "peak" lowers the task class's 0.88.
        self.assertEqual(targets, {0.85})

    def test_a_flood_comes_from_one_workspace(self) -> None:
        flood = TrafficSpec('lesen', Curve.FLAT, 50, 5, 'peak', 'head-office')
        requests = draw_requests(_DOCUMENT, flood, 1)
        self.assertEqual(
            {planned.workspace for planned in requests}, {'head-office'}
        )

    def test_a_key_is_used_by_one_call_and_its_duplicate(self) -> None:
        requests = [
            planned
            for planned in draw_requests(_DOCUMENT, _SPEC, 1)
            if planned.key
        ]
        counts: dict[str, int] = {}
        for planned in requests:
            counts[planned.key] = counts.get(planned.key, 0) + 1
        self.assertLessEqual(set(counts.values()), {1, 2})


class CompressionTest(unittest.TestCase):
    def test_the_configuration_states_lengths_of_the_traffic(self) -> None:
        for name, mix in MIXES.items():
            tasks = parse_document(compressed_configuration(name)).tasks
            stated = {
                entry.name: (entry.output_tokens, entry.deadline)
                for entry in tasks
            }
            drawn = {
                task.task: (task.tokens, task.deadline) for task in mix.tasks
            }
            self.assertEqual(stated, drawn)


class ArmsTest(unittest.TestCase):
    def test_an_unknown_policy_is_rejected(self) -> None:
        with self.assertRaisesRegex(ArmError, 'not registered; available'):
            choose(['mine:planner=nothing-like-it'])

    def test_an_unknown_arm_is_rejected(self) -> None:
        with self.assertRaisesRegex(ArmError, "no arm 'nothing'"):
            choose(['nothing'])

    def test_scenario_names_are_unique(self) -> None:
        names = [scenario.name for scenario in SCENARIOS]
        self.assertEqual(len(names), len(set(names)))
