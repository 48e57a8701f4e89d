"""Patterns of load, played through the relay's own code on virtual time."""

import io
import tempfile
import unittest
from pathlib import Path

from experiments.relay_load import Outcome
from experiments.simulate import main, simulate

SEEDS = (1, 2, 3)


def mean_late(outcomes: list[Outcome], kind: str | None = None) -> float:
    """Return the mean share of late answers."""
    shares = [outcome.late_share(kind) for outcome in outcomes]
    return sum(shares) / len(shares)


class SimulationTest(unittest.TestCase):
    """What hosts gain by what they tell each other."""

    def test_hosts_that_tell_each_other_are_late_less_often(self) -> None:
        """Pattern: clumps of requests, long prompts of a slow model.

        At thirty requests a second over six engines, five in a hundred
        briefings were late where hosts told each other nothing.
        """
        told = [simulate(seed=seed, seconds=20) for seed in SEEDS]
        silent = [
            simulate(seed=seed, seconds=20, telling=False) for seed in SEEDS
        ]
        self.assertLess(mean_late(told), mean_late(silent) / 2)
        self.assertGreater(mean_late(silent, 'briefing'), 0.02)

    def test_prompts_are_fetched_rather_than_read_again(self) -> None:
        """What another engine holds is known only from other hosts."""
        told = simulate(seconds=20)
        silent = simulate(seconds=20, telling=False)
        self.assertGreater(told.fetched, silent.fetched)
        self.assertEqual(silent.told, 0)

    def test_overload_keeps_short_prompts_in_time(self) -> None:
        """Pattern: half as much again as the engines can read."""
        outcome = simulate(rate=60, seconds=15)
        self.assertGreater(
            outcome.late_share('briefing'),
            2 * outcome.late_share('note'),
        )

    def test_same_seed_gives_the_same_table_and_a_plot(self) -> None:
        """So a change of policy is all that can change it."""
        tables = []
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, 'waits.png')
            for _ in range(2):
                out = io.StringIO()
                main(['--seconds', '5', '--plot', str(path)], out)
                tables.append(out.getvalue())
            self.assertGreater(path.stat().st_size, 1000)
        self.assertEqual(tables[0], tables[1])
        self.assertIn('| briefing |', tables[0])
