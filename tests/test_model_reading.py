"""The model of reading for other hosts holds and needs each mechanism."""

import unittest

from models.reading import MUTANTS, Mechanisms, check

from tests.model_case import ModelCase


class ReadingModelTest(ModelCase):
    """A host receives a change though its reader may lose the store."""

    def test_change_is_in_force_in_every_state(self) -> None:
        """Whenever the store stops answering, however late updates arrive."""
        self.check_holds(
            'reading', check('reading', Mechanisms()), ('is_in_force',)
        )

    def test_without_a_mechanism_a_counterexample_is_found(self) -> None:
        """The first is the case of a reader that is cut off from the store."""
        for name, mechanisms in MUTANTS:
            with self.subTest(mutant=name):
                report = check(name, mechanisms)
                self.check_breaks(f'reading, {name}', report, 'is_in_force')


if __name__ == '__main__':
    unittest.main()
