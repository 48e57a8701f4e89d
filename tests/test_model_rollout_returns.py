"""The model of a lost roll-out holds, and each mechanism is needed."""

import sys
import unittest

from models.rollout_returns import (
    KEPT,
    MADE_GOOD,
    MUTANTS,
    ONCE,
    WHOLE,
    check,
)


class RolloutReturnModelTest(unittest.TestCase):
    """Two hosts whose store loses an order, its stage or both."""

    def test_all_properties_hold_in_every_state(self) -> None:
        """Whenever the store comes back, and whatever is under way then."""
        report = check('lost roll-outs', WHOLE)
        states = report['reachable_states']
        sys.stdout.write(f'lost roll-outs: {states} states\n')
        self.assertIs(report['exhaustive'], True)
        for name in (ONCE, KEPT, MADE_GOOD):
            with self.subTest(holds=name):
                self.assertIs(report['properties'][name]['holds'], True)

    def test_without_a_mechanism_a_counterexample_is_found(self) -> None:
        """The first is an order that is known by its position alone."""
        for name, mechanisms, broken in MUTANTS:
            with self.subTest(mutant=name):
                found = check(name, mechanisms)['properties'][broken]
                steps = len(found['counterexample'] or ())
                sys.stdout.write(f'lost roll-outs, {name}: {steps} steps\n')
                self.assertIs(found['holds'], False)


if __name__ == '__main__':
    unittest.main()
