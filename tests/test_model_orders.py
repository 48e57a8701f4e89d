"""The model of orders holds, and each mechanism in it is needed."""

import sys
import unittest

from models.orders import ENGINES, MUTANTS, check


class OrderModelTest(unittest.TestCase):
    def test_orders_hold_in_every_state(self) -> None:
        for name, mechanisms, invariant in ENGINES:
            with self.subTest(engine=name):
                report = check(name, mechanisms, invariant)
                states = report['reachable_states']
                sys.stdout.write(f'orders, {name}: {states} states\n')
                self.assertIs(report['exhaustive'], True)
                self.assertIs(report['properties'][invariant]['holds'], True)

    def test_without_a_mechanism_a_counterexample_is_found(self) -> None:
        for name, mechanisms, invariant in MUTANTS:
            with self.subTest(mutant=name):
                verdict = check(name, mechanisms, invariant)['properties'][
                    invariant
                ]
                steps = len(verdict['counterexample'] or ())
                sys.stdout.write(f'orders, {name}: {steps} steps\n')
                self.assertIs(verdict['holds'], False)
