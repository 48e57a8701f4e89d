"""Seeded random runs of the configuration under faults.

Runs with a mechanism disabled must violate an invariant, which shows that the
runs detect its absence.
"""

import asyncio
import unittest

from absl import logging
from experiments.configuration.random_runs import run

from tests.mutants import mutant

#: Seeds of the test; with an even seed, reads of the table return old rows.
SEEDS = (1, 2, 3)
SECONDS = 100.0
#: Seed and length in seconds of a run that detects each disabled mechanism.
MUTANT_RUNS = {'no nonce': (11, 100.0), 'forget the age': (5, 100.0)}


class ConfigurationRandomTest(unittest.TestCase):
    """Six hosts in three domains; invariants are checked throughout."""

    def setUp(self) -> None:
        level = logging.get_verbosity()
        logging.set_verbosity(logging.FATAL)
        self.addCleanup(logging.set_verbosity, level)

    def test_invariants_hold(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                report = asyncio.run(run(seed, SECONDS))
                self.assertEqual(report.violations, [])
                self.assertGreater(report.revisions, 5)

    def test_same_seed_gives_same_run(self) -> None:
        once = asyncio.run(run(4, 30))
        self.assertEqual(asyncio.run(run(4, 30)), once)

    def test_disabled_mechanism_is_detected(self) -> None:
        for name, (seed, seconds) in MUTANT_RUNS.items():
            with self.subTest(name), mutant(name):
                report = asyncio.run(run(seed, seconds))
                self.assertNotEqual(report.violations, [])
