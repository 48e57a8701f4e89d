"""Base class of model tests: a model holds and needs each mechanism."""

import sys
import unittest
from collections.abc import Iterable
from typing import Any


class ModelCase(unittest.TestCase):
    """Checks and prints the reports of the model checker."""

    def check_holds(
        self,
        title: str,
        report: dict[str, Any],
        properties: Iterable[str],
    ) -> None:
        """Check that properties hold in all states, and print their number."""
        states = report['reachable_states']
        sys.stdout.write(f'{title}: {states} states\n')
        self.assertIs(report['exhaustive'], True)
        for name in properties:
            with self.subTest(holds=name):
                self.assertIs(report['properties'][name]['holds'], True)

    def check_breaks(
        self,
        title: str,
        report: dict[str, Any],
        broken: str,
    ) -> None:
        """Check that a counterexample was found, and print its length."""
        verdict = report['properties'][broken]
        steps = len(verdict['counterexample'] or ())
        sys.stdout.write(f'{title}: {steps} steps\n')
        self.assertIs(verdict['holds'], False)
