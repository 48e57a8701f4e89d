"""The at-most-once models hold, and the checker catches each mutant."""

import sys
import unittest

from minicheck import Protocol
from models.at_most_once import (
    MAX_MUTANT_STATES,
    MUTANTS,
    explore,
)
from models.intents import IntentModel
from models.tickets import TicketModel

#: Size of the first search for a mutant's counterexample.
FIRST_SEARCH_STATES = 4_000


def is_caught(protocol: Protocol, states: int) -> bool:
    """Return whether a search of so many states finds a counterexample."""
    verdicts = explore(protocol, states)['properties'].values()
    traces = [entry.get('counterexample') for entry in verdicts]
    return any(traces)


class AtMostOnceModelTest(unittest.TestCase):
    """Searches both models exhaustively, and their mutants."""

    def test_all_states_hold(self) -> None:
        for model in (IntentModel(), TicketModel()):
            protocol = model.protocol()
            with self.subTest(protocol.name):
                report = explore(protocol)
                states = report['reachable_states']
                sys.stdout.write(f'{protocol.name}: {states} states\n')
                self.assertTrue(report['exhaustive'])
                for name, verdict in report['properties'].items():
                    self.assertIs(True, verdict['holds'], name)

    def test_each_mutant_is_caught(self) -> None:
        for name, mutant in MUTANTS.items():
            with self.subTest(name):
                # A small search catches most mutants.
                caught = any(
                    is_caught(mutant(), states)
                    for states in (FIRST_SEARCH_STATES, MAX_MUTANT_STATES)
                )
                self.assertTrue(caught)


if __name__ == '__main__':
    unittest.main()
