"""Selection and admission under load and faults, on a virtual clock.

Run ``python -m experiments.trials.selection_trials``; ``--scenario NAME`` takes
just one scenario, ``--seeds N`` and ``--length SECONDS`` other sizes. It prints
a table and, with ``--json FILE``, writes the figures. All is drawn from seeds.
"""

import argparse
import json
import math
import sys
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import fmean, pstdev
from typing import Final

from experiments.trials.selection_figures import (
    COLUMNS,
    SCENARIOS,
    Scenario,
    summarize,
)
from experiments.trials.selection_fleet import Setting, Size
from experiments.trials.selection_runs import Trial

SETTINGS: Final = (
    Setting('round-robin', 'open', 'unbounded'),
    Setting('random', 'open', 'unbounded'),
    Setting('least-in-flight', 'open', 'unbounded'),
    Setting('expected', 'open', 'unbounded'),
    Setting('least-in-flight', 'fair', 'share'),
    Setting('expected', 'fair', 'share'),
)

#: Processes that run trials at once.
WORKERS: Final = 3

#: Mean and standard deviation over the seeds.
Spread = tuple[float, float]

#: Figures by scenario, setting and name.
Tables = dict[str, dict[str, dict[str, Spread]]]


def run_all(
    scenarios: list[str],
    settings: list[Setting],
    seeds: int,
    size: Size,
    show: Callable[[str], None],
) -> Tables:
    """Run trials, and return mean and spread of each figure."""
    cases = [(name, setting) for name in scenarios for setting in settings]
    tables: Tables = {name: {} for name in scenarios}
    heads = ''.join(f'{name:>14}' for name in COLUMNS)
    show(f'{"":31}{heads}')
    with ProcessPoolExecutor(WORKERS) as workers:
        rounds = [
            workers.submit(_run_case, SCENARIOS[name], setting, seeds, size)
            for name, setting in cases
        ]
        for (name, setting), found in zip(cases, rounds, strict=True):
            tables[name][setting.name] = found.result()
            cells = _cells(found.result())
            show(f'{name:12}{setting.name:20}{cells}')
    return tables


def _cells(figures: dict[str, Spread]) -> str:
    """Return a row of the table."""
    return ''.join(
        f'{mean:8.3f}±{spread:5.3f}' for mean, spread in figures.values()
    )


def _run_case(
    scenario: Scenario,
    setting: Setting,
    seeds: int,
    size: Size,
) -> dict[str, Spread]:
    """Run one scenario under one setting, each seed once."""
    rounds = [
        summarize(Trial(scenario, setting, size, seed).run(), size, scenario)
        for seed in range(seeds)
    ]
    return {
        column: _spread([entry[column] for entry in rounds])
        for column in COLUMNS
    }


def _spread(found: list[float]) -> Spread:
    """Return mean and standard deviation, without those that are missing."""
    there = [one for one in found if not math.isnan(one)]
    if not there:
        return float('nan'), 0
    return fmean(there), pstdev(there)


def main() -> None:
    """Run the trials that the flags name."""
    flags = _read_flags()
    began = time.monotonic()
    figures = run_all(
        flags.scenario or list(SCENARIOS),
        [
            setting
            for setting in SETTINGS
            if not flags.setting or setting.name in flags.setting
        ],
        flags.seeds,
        Size(
            flags.engines,
            flags.hosts,
            flags.queue_limit,
            length=flags.length,
        ),
        _show,
    )
    _show(f'{time.monotonic() - began:.0f} s')
    if flags.json:
        Path(flags.json).write_text(json.dumps(figures, indent=1))


def _read_flags() -> argparse.Namespace:
    """Read the flags."""
    parser = argparse.ArgumentParser(description='Trials of selection.')
    parser.add_argument('--scenario', action='append', choices=SCENARIOS)
    parser.add_argument('--setting', action='append')
    parser.add_argument('--seeds', type=int, default=2)
    parser.add_argument('--queue-limit', type=float, default=0.5)
    parser.add_argument('--engines', type=int, default=3)
    parser.add_argument('--hosts', type=int, default=3)
    parser.add_argument('--length', type=float, default=60)
    parser.add_argument('--json')
    return parser.parse_args()


def _show(line: str) -> None:
    """Print a line at once."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
