"""The model of orders holds, and each mechanism in it is needed."""

import sys
import unittest

from models.orders import DEMANDS, MUTANTS, check


class OrderModelTest(unittest.TestCase):
    def test_orders_hold_in_every_state(self) -> None:
        for name, mechanisms, demand in DEMANDS:
            with self.subTest(engine=name):
                report = check(name, mechanisms, demand)
                states = report['reachable_states']
                sys.stdout.write(f'orders, {name}: {states} states\n')
                self.assertIs(report['exhaustive'], True)
                self.assertIs(report['properties'][demand]['holds'], True)

    def test_without_a_mechanism_a_counterexample_is_found(self) -> None:
        for name, mechanisms, demand in MUTANTS:
            with self.subTest(mutant=name):
                found = check(name, mechanisms, demand)['properties'][demand]
                steps = len(found['counterexample'] or ())
                sys.stdout.write(f'orders, {name}: {steps} steps\n')
                self.assertIs(found['holds'], False)
