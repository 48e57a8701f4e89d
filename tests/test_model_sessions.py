"""The model of sessions holds, and each mechanism in it is needed."""

import sys
import unittest

from models.sessions import Mechanisms, check

#: The invariant that is violated without each mechanism.
MUTANTS = {
    'put_if_absent': 'one_version',
    'adopt_winner': 'one_version',
    'read_back': 'one_version',
    'keep_version': 'one_version',
    'gate': 'nothing_known_withdrawn',
}


class SessionModelTest(unittest.TestCase):
    """Searches the model exhaustively."""

    def test_it_holds_in_all_states(self) -> None:
        report = check(Mechanisms())
        states = report['reachable_states']
        sys.stdout.write(f'sessions: {states} states\n')
        self.assertTrue(report['exhaustive'])
        for name, verdict in report['properties'].items():
            self.assertIs(verdict['holds'], True, name)

    def test_each_mechanism_is_needed(self) -> None:
        for mechanism, invariant in MUTANTS.items():
            with self.subTest(mechanism):
                report = check(Mechanisms(**{mechanism: False}))
                verdict = report['properties'][invariant]
                self.assertIs(verdict['holds'], False)
                self.assertTrue(verdict['counterexample'])
