"""The model of a lost rollout holds, and each mechanism is needed."""

import unittest

from models.rollout_restores import (
    ALL_ENABLED,
    END_KEPT,
    END_RESTORED,
    MUTANTS,
    NOT_BEGUN_AGAIN,
    check,
)

from tests.model_case import ModelCase


class RolloutRestoreModelTest(ModelCase):
    """Two hosts follow a rollout while the store loses its order or stage."""

    def test_all_properties_hold_in_every_state(self) -> None:
        """Whenever the store is restored, and whatever is in flight then."""
        self.check_holds(
            'lost rollouts',
            check('lost rollouts', ALL_ENABLED),
            (NOT_BEGUN_AGAIN, END_KEPT, END_RESTORED),
        )

    def test_without_a_mechanism_a_counterexample_is_found(self) -> None:
        """The first is an order that is identified by its position alone."""
        for name, mechanisms, broken in MUTANTS:
            with self.subTest(mutant=name):
                report = check(name, mechanisms)
                self.check_breaks(f'lost rollouts, {name}', report, broken)


if __name__ == '__main__':
    unittest.main()
