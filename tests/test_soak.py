"""Randomized runs of complete hosts: fixed seeds, and detection of mutants.

``make soak-virtual`` runs more seeds for a longer time.
"""

import unittest

from absl import logging
from experiments.soak.mutants import mutant
from experiments.soak.program import run_seed

#: Seeds of both deployments, without and with lag of table reads.
SEEDS = (1, 2)
DURATION = 30.0

#: Mechanisms, and parts of the faults reported when each is disabled. The first
#: part must be found. The others are how the judge reports the same fault in a
#: reply that was cut short, or by the replies of a session.
EXPECTED_FAULTS = (
    ('claim', ('executed twice',)),
    ('ticket', ('executed twice',)),
    ('token', ('which is not pinned', 'changed its version')),
    ('pin', ('which is not pinned', 'changed its version')),
    ('attempt id', ('incorrect answer', 'text that its answer lacks')),
)
#: Maximum number of seeds that are tried until a mutant is detected as often as
#: required. A change of the program changes all runs, so that no single seed
#: can be relied on.
MAX_SEEDS = 20
MIN_DETECTIONS = 2


class SoakTest(unittest.TestCase):
    """Complete hosts under random faults."""

    def setUp(self) -> None:
        """Suppress the many expected log messages."""
        before = logging.get_verbosity()
        logging.set_verbosity(logging.FATAL)
        self.addCleanup(logging.set_verbosity, before)

    def test_fixed_seeds_violate_no_invariant(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                result = run_seed(seed, DURATION)
                self.assertEqual((), result.faults)
                self.assertGreater(result.counts['answered'], 0)

    def test_runs_of_the_same_seed_are_identical(self) -> None:
        first, second = (run_seed(3, DURATION) for _ in range(2))
        self.assertEqual(first, second)
        self.assertNotEqual(first.digest, run_seed(5, DURATION).digest)

    def test_judge_detects_each_disabled_mechanism(self) -> None:
        for name, expected in EXPECTED_FAULTS:
            with self.subTest(name), mutant(name):
                faults = self.first_faults(expected[0])
                detections = [fault for fault in faults if expected[0] in fault]
                self.assertEqual(len(detections), MIN_DETECTIONS, faults)
                for fault in faults:
                    self.assertTrue(any(part in fault for part in expected))

    def first_faults(self, wanted: str) -> list[str]:
        """Return the first fault of each seed until enough are as wanted."""
        found: list[str] = []
        detections = 0
        for seed in range(1, MAX_SEEDS + 1):
            faults = run_seed(seed, DURATION).faults[:1]
            found.extend(faults)
            detections += sum(wanted in fault for fault in faults)
            if detections == MIN_DETECTIONS:
                break
        return found


if __name__ == '__main__':
    unittest.main()
