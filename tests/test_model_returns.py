"""The model of a store's return holds, and each mechanism is needed."""

import unittest

from models.returns import MUTANTS, PROPERTIES, Mechanisms, check

from tests.model_case import ModelCase


class ReturnModelTest(ModelCase):
    """A host follows a table whose versions are given out again."""

    def test_all_properties_hold_in_every_state(self) -> None:
        """Whenever the store comes back, and whatever is under way then."""
        self.check_holds('returns', check('returns', Mechanisms()), PROPERTIES)

    def test_without_a_mechanism_a_counterexample_is_found(self) -> None:
        """The first is a feed that goes on past what it has missed."""
        for name, mechanisms, broken in MUTANTS:
            with self.subTest(mutant=name):
                report = check(name, mechanisms)
                self.check_breaks(f'returns, {name}', report, broken)


if __name__ == '__main__':
    unittest.main()
