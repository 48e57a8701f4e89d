"""The model of sessions holds, and each mechanism in it is needed."""

import sys
import unittest

from models.sessions import Mechanisms, check

#: Which mechanism's absence breaks which promise.
MUTANTS = {
    'put_if_absent': 'one_version',
    'winner': 'one_version',
    'read_back': 'one_version',
    'stays': 'one_version',
    'gate': 'nothing_known_withdrawn',
}


class SessionModelTest(unittest.TestCase):
    """Searches all states."""

    def test_it_holds_in_all_states(self) -> None:
        verdict = check(Mechanisms())
        states = verdict['reachable_states']
        sys.stdout.write(f'sessions: {states} states\n')
        self.assertTrue(verdict['exhaustive'])
        for name, found in verdict['properties'].items():
            self.assertIs(found['holds'], True, name)

    def test_each_mechanism_is_needed(self) -> None:
        for mechanism, promise in MUTANTS.items():
            with self.subTest(mechanism):
                verdict = check(Mechanisms(**{mechanism: False}))
                found = verdict['properties'][promise]
                self.assertIs(found['holds'], False)
                self.assertTrue(found['counterexample'])
