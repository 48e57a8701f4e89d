"""Tests of the drawn traffic."""

import random
import unittest

from experiments.deployment import read_example
from experiments.load.arms import ArmError, choose
from experiments.load.compression import compressed
from experiments.load.scenarios import SCENARIOS
from experiments.load.traffic import (
    MIXES,
    Curve,
    Demand,
    arrivals,
    draw,
    length,
    share_of_peak,
)

from nutmegroad.contracts.documents import parse_document

_DOCUMENT = parse_document(read_example('lesen'))
_DEMAND = Demand('lesen', Curve.SITTING_NIGHT, 50, 20, 'peak')


class ArrivalsTest(unittest.TestCase):
    def test_a_seed_fixes_them(self) -> None:
        first, again, other = (draw(_DOCUMENT, _DEMAND, n) for n in (1, 1, 2))
        self.assertEqual(first, again)
        self.assertNotEqual(first, other)

    def test_counts_follow_the_curve(self) -> None:
        for curve in Curve:
            with self.subTest(curve=curve):
                demand = Demand('lesen', curve, 500, 20, 'peak')
                times = arrivals(demand, random.Random(1))
                steps = [share_of_peak(curve, n / 200) for n in range(200)]
                expected = 500 * 20 * sum(steps) / len(steps)
                # Five standard deviations of a Poisson count.
                self.assertLess(abs(len(times) - expected), 5 * expected**0.5)
                self.assertEqual(times, sorted(times))

    def test_nothing_is_due_after_the_end_but_a_repeated_call(self) -> None:
        late = [ask for ask in draw(_DOCUMENT, _DEMAND, 1) if ask.at >= 20]
        self.assertTrue(all(ask.key for ask in late))


class AsksTest(unittest.TestCase):
    def test_lengths_have_the_mean_that_was_asked_for_and_a_tail(self) -> None:
        randomness = random.Random(1)
        drawn = [length(90, 0.6, randomness) for _ in range(4000)]
        self.assertAlmostEqual(sum(drawn) / len(drawn), 88, delta=5)
        self.assertGreater(max(drawn), 200)

    def test_targets_are_those_in_force(self) -> None:
        targets = {
            ask.target
            for ask in draw(_DOCUMENT, _DEMAND, 1)
            if ask.task == 'objection-summary'
        }
        # The preset "peak" lowers the task class's 0.88.
        self.assertEqual(targets, {0.85})

    def test_a_flood_is_of_one_workspace(self) -> None:
        flood = Demand('lesen', Curve.FLAT, 50, 5, 'peak', 'head-office')
        asks = draw(_DOCUMENT, flood, 1)
        self.assertEqual({ask.workspace for ask in asks}, {'head-office'})

    def test_keys_of_calls_differ_unless_sent_again(self) -> None:
        asks = [ask for ask in draw(_DOCUMENT, _DEMAND, 1) if ask.key]
        moments: dict[str, int] = {}
        for ask in asks:
            moments[ask.key] = moments.get(ask.key, 0) + 1
        self.assertLessEqual(set(moments.values()), {1, 2})


class CompressionTest(unittest.TestCase):
    def test_the_configuration_states_the_traffics_lengths(self) -> None:
        for name, mix in MIXES.items():
            tasks = parse_document(compressed(name)).tasks
            stated = {
                entry.name: (entry.output_tokens, entry.deadline)
                for entry in tasks
            }
            drawn = {
                task.task: (task.tokens, task.deadline) for task in mix.tasks
            }
            self.assertEqual(stated, drawn)


class ArmsTest(unittest.TestCase):
    def test_an_unknown_policy_fails_early(self) -> None:
        with self.assertRaisesRegex(ArmError, 'not registered; there are'):
            choose(['mine:planner=nothing-like-it'])

    def test_an_unknown_arm_fails_early(self) -> None:
        with self.assertRaisesRegex(ArmError, "no arm 'nothing'"):
            choose(['nothing'])

    def test_scenarios_have_names_of_their_own(self) -> None:
        names = [scenario.name for scenario in SCENARIOS]
        self.assertEqual(len(names), len(set(names)))
