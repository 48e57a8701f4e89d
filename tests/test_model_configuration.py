"""The models of the configuration hold, and need each mechanism."""

import sys
import unittest

from minicheck import check_safety
from models.configuration import lease_model
from models.heads import head_model
from models.withdrawals import withdrawal_model

MOST_STATES = 1_000_000
#: A witness is sound even if the search ends here.
ENOUGH_STATES = 60_000
MODELS = {
    'lease': lease_model,
    'head': head_model,
    'withdrawals': withdrawal_model,
}
MUTANTS = {
    'count before sending': 'lease',
    'age of the peer': 'lease',
    'moment of asking': 'lease',
    'forward only': 'lease',
    'own revision': 'lease',
    'nonce': 'head',
    'history': 'head',
    'sending once more': 'head',
    'union': 'withdrawals',
}


class ConfigurationModelTest(unittest.TestCase):
    """Three models, and what each is without one of its mechanisms."""

    def test_the_models_hold_in_all_their_states(self) -> None:
        for name, model in MODELS.items():
            with self.subTest(name):
                found = check_safety(model(), MOST_STATES)
                states = found['reachable_states']
                sys.stdout.write(f'model {name}: {states} states\n')
                self.assertIs(found['exhaustive'], True)
                for verdict in found['properties'].values():
                    self.assertIs(verdict['holds'], True, verdict)

    def test_each_mechanism_is_needed(self) -> None:
        for mechanism, name in MUTANTS.items():
            with self.subTest(mechanism):
                model = MODELS[name](frozenset((mechanism,)))
                found = check_safety(model, ENOUGH_STATES)
                verdicts = [
                    verdict['holds'] for verdict in found['properties'].values()
                ]
                self.assertIn(False, verdicts)
