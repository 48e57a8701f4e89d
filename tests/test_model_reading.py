"""The model of reading for others holds, and each mechanism is needed."""

import sys
import unittest

from models.reading import MUTANTS, Mechanisms, check


class ReadingModelTest(unittest.TestCase):
    """A change comes to a host whose reader may lose the store unseen."""

    def test_change_is_in_force_in_every_state(self) -> None:
        """Whenever the store falls silent, and however long news take."""
        report = check('reading', Mechanisms())
        states = report['reachable_states']
        sys.stdout.write(f'reading: {states} states\n')
        self.assertIs(report['exhaustive'], True)
        self.assertIs(report['properties']['is_in_force']['holds'], True)

    def test_without_a_mechanism_a_counterexample_is_found(self) -> None:
        """Pattern of the first: the host that read for others was cut off."""
        for name, mechanisms in MUTANTS:
            with self.subTest(mutant=name):
                found = check(name, mechanisms)['properties']['is_in_force']
                steps = len(found['counterexample'] or ())
                sys.stdout.write(f'reading, {name}: {steps} steps\n')
                self.assertIs(found['holds'], False)


if __name__ == '__main__':
    unittest.main()
