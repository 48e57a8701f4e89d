"""The model of a store's restore holds, and each mechanism is needed."""

import unittest

from models.store_restores import MUTANTS, PROPERTIES, Mechanisms, check

from tests.model_case import ModelCase


class RestoreModelTest(ModelCase):
    """A host follows a table whose versions are used again after a restore."""

    def test_all_properties_hold_in_every_state(self) -> None:
        """Whenever the store is restored, and whatever is in flight then."""
        self.check_holds(
            'restores', check('restores', Mechanisms()), PROPERTIES
        )

    def test_without_a_mechanism_a_counterexample_is_found(self) -> None:
        """The first is a change feed that continues past a missed change."""
        for name, mechanisms, broken in MUTANTS:
            with self.subTest(mutant=name):
                report = check(name, mechanisms)
                self.check_breaks(f'restores, {name}', report, broken)


if __name__ == '__main__':
    unittest.main()
