"""Load measurements: ``python -m experiments.load.measure``, ``make measure``.

Runs each scenario with each arm and seed on a separate deployment, prints
tables, and writes JSON, a Markdown page and a plot to ``results/``. Runs that
do not fit into the time budget are skipped and listed.
"""

import asyncio
import sys
import time
from argparse import ArgumentParser, Namespace
from dataclasses import dataclass, field
from itertools import product
from pathlib import Path
from typing import Final

import msgspec
import uvloop

from experiments.load.arms import ArmError, choose, explain_skipped_arms
from experiments.load.goals import goal_table
from experiments.load.plots import plot
from experiments.load.run_reports import RunReport
from experiments.load.run_specs import RunSpec
from experiments.load.runs import execute_run
from experiments.load.scenarios import QUICK_SCENARIOS, find_scenarios
from experiments.load.tables import comparison_table, describe, run_warnings

#: Default folder for results and logs.
OUTPUT: Final = Path(__file__).parents[2] / 'results'
#: Time budget in seconds of the full set and of ``--quick``.
BUDGET: Final = 700.0
QUICK_BUDGET: Final = 170.0
#: Upper bound, with a margin, on the seconds that a run takes in addition to
#: its traffic.
RUN_OVERHEAD: Final = 16.0
#: Seconds after which a run is aborted.
RUN_TIMEOUT: Final = 90.0


@dataclass(slots=True)
class Measurement:
    """The results of a measurement.

    Attributes:
        runs: Reports of the completed runs in order.
        skipped: Names of the runs that were skipped or failed, and why.
    """

    runs: list[RunReport] = field(default_factory=list)
    skipped: list[str] = field(default_factory=list)


def plan_runs(flags: Namespace) -> list[RunSpec]:
    """Return all runs: every scenario with one seed before the next seed.

    Raises:
        ValueError: If an arm or a scenario does not exist.
    """
    names = flags.scenario
    if flags.quick and not names:
        names = list(QUICK_SCENARIOS)
    combined = product(flags.seeds, find_scenarios(names), choose(flags.arms))
    return [
        RunSpec(
            scenario,
            arm,
            seed,
            max(flags.seconds, scenario.seconds),
            flags.capacity,
        )
        for seed, scenario, arm in combined
    ]


async def measure(
    run_specs: list[RunSpec],
    folder: Path,
    budget: float,
) -> Measurement:
    """Execute runs one after another until the time budget is used up.

    Args:
        run_specs: The runs in order.
        folder: Folder for results and logs.
        budget: Seconds for all runs together.
    """
    measurement = Measurement()
    started = time.monotonic()
    for spec in run_specs:
        used = time.monotonic() - started
        if used + spec.seconds + RUN_OVERHEAD > budget:
            measurement.skipped.append(f'{spec.name}: time budget used up')
            continue
        try:
            async with asyncio.timeout(RUN_TIMEOUT):
                report = await execute_run(spec, folder)
        except (RuntimeError, OSError) as problem:
            # A failed run is reported and the others continue.
            cause = f'{type(problem).__name__} {problem}'
            measurement.skipped.append(f'{spec.name}: failed, {cause}')
            continue
        measurement.runs.append(report)
        # Saved after each run, so that an interruption loses no results.
        save_reports(measurement.runs, folder)
        _print_progress(report)
    return measurement


def save_reports(runs: list[RunReport], folder: Path) -> None:
    """Write the reports of all runs as JSON."""
    content = msgspec.json.format(msgspec.json.encode(runs))
    (folder / 'runs.json').write_bytes(content)


def _print_progress(report: RunReport) -> None:
    """Print a summary of a run and its warnings."""
    models = report.models
    line = (
        f'{report.scenario:20} {report.arm:20} seed {report.seed}: '
        f'{models.answered} of {models.asked} answered, '
        f'goodput {report.goodput:.1f}/s'
    )
    sys.stdout.write(f'{line}\n')
    if models.reasons:
        sys.stdout.write(f'  without an answer: {models.reasons}\n')
    for warning in run_warnings(report):
        sys.stdout.write(f'  {warning}\n')
    sys.stdout.flush()


def render_page(measurement: Measurement, skipped_arms: list[str]) -> str:
    """Return the results of a measurement as Markdown.

    Args:
        measurement: The results.
        skipped_arms: Descriptions of the arms that were skipped.
    """
    runs = measurement.runs
    parts: list[str] = []
    for scenario in dict.fromkeys(run.scenario for run in runs):
        own = [run for run in runs if run.scenario == scenario]
        parts.extend((f'## {scenario}', comparison_table(own)))
    for arm in dict.fromkeys(run.arm for run in runs):
        parts.extend((f'## Goals, {arm}', goal_table(runs, arm)))
    skipped = [*skipped_arms, *measurement.skipped]
    if skipped:
        parts.extend(('## Not run', '\n'.join(f'- {run}' for run in skipped)))
    return '\n\n'.join(parts)


def write_results(measurement: Measurement, summary: str, folder: Path) -> None:
    """Write the Markdown page and the plot.

    Args:
        measurement: The results.
        summary: Comparison of the arms, which precedes the single runs.
        folder: Folder for the files.
    """
    runs = measurement.runs
    full = '\n\n'.join(describe(run) for run in runs)
    (folder / 'page.md').write_text(f'{summary}\n\n{full}\n')
    if runs:
        plot(runs, folder / 'plot.png')


def parser() -> ArgumentParser:
    """Return the parser of the command line."""
    flags = ArgumentParser(description='Measure policies under load.')
    flags.add_argument(
        '--quick', action='store_true', help='measure a few scenarios only'
    )
    flags.add_argument('--scenario', nargs='+', default=[], metavar='NAME')
    flags.add_argument(
        '--arms',
        nargs='+',
        default=[],
        metavar='ARM',
        help='names, or NAME:planner=P,selector=S; default: all available',
    )
    flags.add_argument('--seeds', nargs='+', type=int, default=[1])
    flags.add_argument('--seconds', type=float, default=12)
    flags.add_argument(
        '--capacity',
        type=float,
        default=0,
        help='requests per second that count as load 1.0; default: the '
        'measured capacity of the deployment',
    )
    flags.add_argument(
        '--budget', type=float, help='seconds for all runs together'
    )
    flags.add_argument('--output', type=Path, default=OUTPUT)
    return flags


def main() -> int:
    """Measure; return 0 if no run violated a guarantee or logged a traceback.

    The exit code is 1 if one did or there was no run, and 2 for wrong options.
    """
    flags = parser().parse_args()
    try:
        run_specs = plan_runs(flags)
    except (ArmError, ValueError) as problem:
        sys.stderr.write(f'{problem}\n')
        return 2
    default_budget = QUICK_BUDGET if flags.quick else BUDGET
    flags.output.mkdir(parents=True, exist_ok=True)
    skipped_arms = explain_skipped_arms(flags.arms)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        measurement = runner.run(
            measure(run_specs, flags.output, flags.budget or default_budget),
        )
    summary = render_page(measurement, skipped_arms)
    write_results(measurement, summary, flags.output)
    sys.stdout.write(f'\n{summary}\n\nResults are in {flags.output}.\n')
    sound = measurement.runs and not any(
        run.breaches or run.tracebacks for run in measurement.runs
    )
    return 0 if sound else 1


if __name__ == '__main__':
    sys.exit(main())
