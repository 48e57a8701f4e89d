"""The model of a lost roll-out holds, and each mechanism is needed."""

import unittest

from models.rollout_returns import KEPT, MADE_GOOD, MUTANTS, ONCE, WHOLE, check

from tests.model_case import ModelCase


class RolloutReturnModelTest(ModelCase):
    """Two hosts whose store loses an order, its stage or both."""

    def test_all_properties_hold_in_every_state(self) -> None:
        """Whenever the store comes back, and whatever is under way then."""
        self.check_holds(
            'lost roll-outs',
            check('lost roll-outs', WHOLE),
            (ONCE, KEPT, MADE_GOOD),
        )

    def test_without_a_mechanism_a_counterexample_is_found(self) -> None:
        """The first is an order that is known by its position alone."""
        for name, mechanisms, broken in MUTANTS:
            with self.subTest(mutant=name):
                report = check(name, mechanisms)
                self.check_breaks(f'lost roll-outs, {name}', report, broken)


if __name__ == '__main__':
    unittest.main()
