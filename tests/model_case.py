"""What is asked of each model: it holds, and each mechanism is needed."""

import sys
import unittest
from collections.abc import Iterable
from typing import Any


class ModelCase(unittest.TestCase):
    """Reads the reports of a checker."""

    def check_holds(
        self,
        title: str,
        report: dict[str, Any],
        properties: Iterable[str],
    ) -> None:
        """Check that properties hold in all states, and say how many."""
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
        """Check that a counterexample was found, and say how long it is."""
        found = report['properties'][broken]
        steps = len(found['counterexample'] or ())
        sys.stdout.write(f'{title}: {steps} steps\n')
        self.assertIs(found['holds'], False)
