"""The configuration models hold, and each mechanism in them is needed."""

import sys
import unittest

from minicheck import check_safety
from models.configuration import lease_model
from models.heads import head_model
from models.withdrawals import withdrawal_model

#: Maximum number of states of an exhaustive search.
MAX_STATES = 1_000_000
#: Size of the search for a counterexample, which is valid even if the search
#: ends before all states have been visited.
MUTANT_STATES = 60_000
MODELS = {
    'lease': lease_model,
    'head': head_model,
    'withdrawals': withdrawal_model,
}
#: Model that each mechanism belongs to.
MUTANTS = {
    'read dated at sending': 'lease',
    'peer age subtracted': 'lease',
    'question dated at sending': 'lease',
    'forward only': 'lease',
    'only own revision confirmed': 'lease',
    'nonce': 'head',
    'history': 'head',
    'late writes expected': 'head',
    'union': 'withdrawals',
}


class ConfigurationModelTest(unittest.TestCase):
    """Searches three models, with all mechanisms and with one disabled."""

    def test_the_models_hold_in_all_their_states(self) -> None:
        for name, model in MODELS.items():
            with self.subTest(name):
                report = check_safety(model(), MAX_STATES)
                states = report['reachable_states']
                sys.stdout.write(f'model {name}: {states} states\n')
                self.assertIs(report['exhaustive'], True)
                for verdict in report['properties'].values():
                    self.assertIs(verdict['holds'], True, verdict)

    def test_each_mechanism_is_needed(self) -> None:
        for mechanism, name in MUTANTS.items():
            with self.subTest(mechanism):
                model = MODELS[name](frozenset((mechanism,)))
                report = check_safety(model, MUTANT_STATES)
                verdicts = [
                    verdict['holds']
                    for verdict in report['properties'].values()
                ]
                self.assertIn(False, verdicts)
