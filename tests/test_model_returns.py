"""The model of a store's return holds, and each mechanism is needed."""

import sys
import unittest

from models.returns import MUTANTS, PROPERTIES, Mechanisms, check


class ReturnModelTest(unittest.TestCase):
    """A host follows a table whose versions are given out again."""

    def test_all_properties_hold_in_every_state(self) -> None:
        """Whenever the store comes back, and whatever is under way then."""
        report = check('returns', Mechanisms())
        states = report['reachable_states']
        sys.stdout.write(f'returns: {states} states\n')
        self.assertIs(report['exhaustive'], True)
        for name in PROPERTIES:
            with self.subTest(holds=name):
                self.assertIs(report['properties'][name]['holds'], True)

    def test_without_a_mechanism_a_counterexample_is_found(self) -> None:
        """The first is a feed that goes on past what it has missed."""
        for name, mechanisms, broken in MUTANTS:
            with self.subTest(mutant=name):
                found = check(name, mechanisms)['properties'][broken]
                steps = len(found['counterexample'] or ())
                sys.stdout.write(f'returns, {name}: {steps} steps\n')
                self.assertIs(found['holds'], False)


if __name__ == '__main__':
    unittest.main()
