"""Load patterns, simulated on virtual time with the relay's own code."""

import io
import tempfile
import unittest
from pathlib import Path

from experiments.relay_load import SimulationResult
from experiments.simulate import main, simulate

SEEDS = (1, 2, 3)


def mean_late_fraction(
    runs: list[SimulationResult], kind: str | None = None
) -> float:
    """Return the mean fraction of late answers over several runs."""
    fractions = [run.late_fraction(kind) for run in runs]
    return sum(fractions) / len(fractions)


class SimulationTest(unittest.TestCase):
    """How gossip between hosts improves the choice of engines."""

    def test_hosts_with_gossip_are_late_less_often(self) -> None:
        """Pattern: bursts of requests, and long prompts on a slow model.

        At 30 requests per second on 6 engines, 5% of the briefings were late
        when hosts exchanged no gossip.
        """
        with_gossip = [simulate(seed=seed, seconds=20) for seed in SEEDS]
        without_gossip = [
            simulate(seed=seed, seconds=20, gossip_enabled=False)
            for seed in SEEDS
        ]
        self.assertLess(
            mean_late_fraction(with_gossip),
            mean_late_fraction(without_gossip) / 2,
        )
        self.assertGreater(mean_late_fraction(without_gossip, 'briefing'), 0.02)

    def test_gossip_lets_prompts_be_fetched_from_other_engines(self) -> None:
        """A host learns only from other hosts what an engine has cached."""
        with_gossip = simulate(seconds=20)
        without_gossip = simulate(seconds=20, gossip_enabled=False)
        self.assertGreater(
            with_gossip.fetched_tokens, without_gossip.fetched_tokens
        )
        self.assertEqual(without_gossip.gossip_bytes, 0)

    def test_overload_keeps_short_prompts_in_time(self) -> None:
        """Pattern: 1.5 times as many prompts as the engines can process."""
        result = simulate(rate=60, seconds=15)
        self.assertGreater(
            result.late_fraction('briefing'),
            2 * result.late_fraction('note'),
        )

    def test_same_seed_gives_the_same_table_and_a_plot(self) -> None:
        """Tables of the same seed differ only if a policy has changed."""
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
