"""The model of reading for others holds, and each mechanism is needed."""

import unittest

from models.reading import MUTANTS, Mechanisms, check

from tests.model_case import ModelCase


class ReadingModelTest(ModelCase):
    """A change comes to a host whose reader may lose the store unseen."""

    def test_change_is_in_force_in_every_state(self) -> None:
        """Whenever the store falls silent, and however long news take."""
        self.check_holds(
            'reading', check('reading', Mechanisms()), ('is_in_force',)
        )

    def test_without_a_mechanism_a_counterexample_is_found(self) -> None:
        """Pattern of the first: the host that read for others was cut off."""
        for name, mechanisms in MUTANTS:
            with self.subTest(mutant=name):
                report = check(name, mechanisms)
                self.check_breaks(f'reading, {name}', report, 'is_in_force')


if __name__ == '__main__':
    unittest.main()
