"""The model of at most once holds, and each mutant of it is caught."""

import sys
import unittest

from models.at_most_once import (
    MUTANT_STATES,
    MUTANTS,
    IntentModel,
    TicketModel,
    explore,
)


class AtMostOnceModelTest(unittest.TestCase):
    """All states of both models, and the mutants."""

    def test_all_states_hold(self) -> None:
        for model in (IntentModel(), TicketModel()):
            protocol = model.protocol()
            with self.subTest(protocol.name):
                found = explore(protocol)
                states = found['reachable_states']
                sys.stdout.write(f'{protocol.name}: {states} states\n')
                self.assertTrue(found['exhaustive'])
                for name, verdict in found['properties'].items():
                    self.assertIs(True, verdict['holds'], name)

    def test_each_mutant_is_caught(self) -> None:
        for name, mutant in MUTANTS.items():
            with self.subTest(name):
                found = explore(mutant(), MUTANT_STATES)
                verdicts = found['properties'].values()
                broken = [entry for entry in verdicts if not entry['holds']]
                traces = [entry.get('counterexample') for entry in broken]
                self.assertTrue(any(traces))


if __name__ == '__main__':
    unittest.main()
