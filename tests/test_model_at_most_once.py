"""The model of at most once holds, and each mutant of it is caught."""

import sys
import unittest

from minicheck import Protocol
from models.at_most_once import (
    MUTANT_STATES,
    MUTANTS,
    explore,
)
from models.intents import IntentModel
from models.tickets import TicketModel

FEW_STATES = 4_000


def is_caught(protocol: Protocol, states: int) -> bool:
    """Tell whether so many states have a counterexample among them."""
    verdicts = explore(protocol, states)['properties'].values()
    traces = [entry.get('counterexample') for entry in verdicts]
    return any(traces)


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
                # Most are caught soon, and need no larger search.
                caught = any(
                    is_caught(mutant(), states)
                    for states in (FEW_STATES, MUTANT_STATES)
                )
                self.assertTrue(caught)


if __name__ == '__main__':
    unittest.main()
