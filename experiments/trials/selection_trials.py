"""Compares selection and admission under load and faults, on virtual time.

Run ``python -m experiments.trials.selection_trials``. ``--scenario NAME``
selects a scenario; ``--seeds N`` and ``--length SECONDS`` set the number of
trials for each scenario and setting, and their length. It prints a table and,
with ``--json FILE``, writes the figures to a file. All random draws are
seeded.
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

#: Combinations of policies that are compared.
SETTINGS: Final = (
    Setting('round-robin', 'open', 'unbounded'),
    Setting('random', 'open', 'unbounded'),
    Setting('least-in-flight', 'open', 'unbounded'),
    Setting('expected', 'open', 'unbounded'),
    Setting('least-in-flight', 'fair', 'share'),
    Setting('expected', 'fair', 'share'),
)

#: Number of processes that run trials concurrently.
WORKERS: Final = 3

#: Mean and standard deviation of a figure over the seeds.
MeanAndDeviation = tuple[float, float]

#: Figures by scenario, setting and column.
Tables = dict[str, dict[str, dict[str, MeanAndDeviation]]]


def run_all(
    scenarios: list[str],
    settings: list[Setting],
    seeds: int,
    size: Size,
    print_line: Callable[[str], None],
) -> Tables:
    """Run trials; return mean and standard deviation of each figure.

    Args:
        scenarios: Names of scenarios.
        settings: Settings to run each scenario under.
        seeds: Number of trials for each scenario and setting.
        size: Size of the fleet and length of the trials.
        print_line: Prints a line of the table.
    """
    cases = [(name, setting) for name in scenarios for setting in settings]
    tables: Tables = {name: {} for name in scenarios}
    head = ''.join(f'{name:>14}' for name in COLUMNS)
    print_line(f'{"":31}{head}')
    with ProcessPoolExecutor(WORKERS) as workers:
        futures = [
            workers.submit(_run_case, SCENARIOS[name], setting, seeds, size)
            for name, setting in cases
        ]
        for (name, setting), future in zip(cases, futures, strict=True):
            tables[name][setting.name] = future.result()
            cells = _cells(future.result())
            print_line(f'{name:12}{setting.name:20}{cells}')
    return tables


def _cells(figures: dict[str, MeanAndDeviation]) -> str:
    """Return the cells of a table row."""
    return ''.join(
        f'{mean:8.3f}±{deviation:5.3f}' for mean, deviation in figures.values()
    )


def _run_case(
    scenario: Scenario,
    setting: Setting,
    seeds: int,
    size: Size,
) -> dict[str, MeanAndDeviation]:
    """Run one scenario under one setting, once for each seed."""
    summaries = [
        summarize(Trial(scenario, setting, size, seed).run(), size)
        for seed in range(seeds)
    ]
    return {
        column: _mean_and_deviation([summary[column] for summary in summaries])
        for column in COLUMNS
    }


def _mean_and_deviation(figures: list[float]) -> MeanAndDeviation:
    """Return mean and standard deviation of the figures that are not NaN."""
    present = [figure for figure in figures if not math.isnan(figure)]
    if not present:
        return float('nan'), 0
    return fmean(present), pstdev(present)


def main() -> None:
    """Run the trials that the command line selects."""
    flags = _read_flags()
    started_at = time.monotonic()
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
        _print_line,
    )
    _print_line(f'{time.monotonic() - started_at:.0f} s')
    if flags.json:
        Path(flags.json).write_text(json.dumps(figures, indent=1))


def _read_flags() -> argparse.Namespace:
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(
        description='Compare selection and admission policies.'
    )
    parser.add_argument('--scenario', action='append', choices=SCENARIOS)
    parser.add_argument('--setting', action='append')
    parser.add_argument('--seeds', type=int, default=2)
    parser.add_argument('--queue-limit', type=float, default=0.5)
    parser.add_argument('--engines', type=int, default=3)
    parser.add_argument('--hosts', type=int, default=3)
    parser.add_argument('--length', type=float, default=60)
    parser.add_argument('--json')
    return parser.parse_args()


def _print_line(line: str) -> None:
    """Print a line and flush the output."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
