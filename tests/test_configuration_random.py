"""Seeded runs of the configuration under faults, and runs that must fail."""

import asyncio
import unittest

from absl import logging
from experiments.configuration.random_runs import run

from tests.mutants import mutant

#: Seeds that run each time; an even one has reads of the table that lag.
SEEDS = (1, 2, 3)
SECONDS = 100.0
#: Runs in which the lack of a mechanism shows.
CAUGHT = {'no nonce': (11, 100.0), 'forget the age': (5, 100.0)}


class ConfigurationRandomTest(unittest.TestCase):
    """Six hosts in three domains; what must hold is looked at all along."""

    def setUp(self) -> None:
        level = logging.get_verbosity()
        logging.set_verbosity(logging.FATAL)
        self.addCleanup(logging.set_verbosity, level)

    def test_all_that_must_hold_holds(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                report = asyncio.run(run(seed, SECONDS))
                self.assertEqual(report.violations, [])
                self.assertGreater(report.revisions, 5)

    def test_the_same_seed_gives_the_same_run(self) -> None:
        once = asyncio.run(run(4, 30))
        self.assertEqual(asyncio.run(run(4, 30)), once)

    def test_a_lack_is_seen(self) -> None:
        for name, (seed, seconds) in CAUGHT.items():
            with self.subTest(name), mutant(name):
                report = asyncio.run(run(seed, seconds))
                self.assertNotEqual(report.violations, [])
