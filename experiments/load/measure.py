"""The measurements: ``python -m experiments.load.measure`` or ``make measure``.

Runs each scenario with each arm and seed on a deployment of its own, prints
tables and writes JSON, a page and a plot under ``results/``. It stops when
its time is used up and says what it did not run.
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

from experiments.load.arms import ArmError, choose, not_run
from experiments.load.goals import goal_table
from experiments.load.orders import Order
from experiments.load.plots import plot
from experiments.load.runs import run
from experiments.load.scenarios import QUICK, scenarios
from experiments.load.summaries import Report
from experiments.load.tables import compare, describe, warnings

OUTPUT: Final = Path(__file__).parents[2] / 'results'
#: Seconds for the whole set and for the quick one.
BUDGET: Final = 700.0
QUICK_BUDGET: Final = 170.0
#: Seconds that a run may take beyond its traffic; measured, with a margin.
OVERHEAD: Final = 16.0
#: Seconds beyond which a run is given up.
RUN_LIMIT: Final = 90.0


@dataclass(slots=True)
class Measurement:
    """What has been measured.

    Attributes:
        runs: Reports in order.
        left: Runs that were not carried out, and why.
    """

    runs: list[Report] = field(default_factory=list)
    left: list[str] = field(default_factory=list)


def orders(flags: Namespace) -> list[Order]:
    """Return all runs: every scenario once, before the next seed.

    Raises:
        ValueError: If an arm or a scenario does not exist.
    """
    names = flags.scenario
    if flags.quick and not names:
        names = list(QUICK)
    combined = product(flags.seeds, scenarios(names), choose(flags.arms))
    return [
        Order(
            scenario,
            arm,
            seed,
            max(flags.seconds, scenario.seconds),
            flags.capacity,
        )
        for seed, scenario, arm in combined
    ]


async def measure(
    planned: list[Order],
    folder: Path,
    budget: float,
) -> Measurement:
    """Carry runs out, one after another, until the time is used up."""
    measurement = Measurement()
    begun = time.monotonic()
    for order in planned:
        used = time.monotonic() - begun
        if used + order.seconds + OVERHEAD > budget:
            measurement.left.append(f'{order.name}: no time was left')
            continue
        try:
            async with asyncio.timeout(RUN_LIMIT):
                report = await run(order, folder)
        except (RuntimeError, OSError) as problem:
            # A run that fails is said and does not take the others along.
            cause = f'{type(problem).__name__} {problem}'
            measurement.left.append(f'{order.name}: failed, {cause}')
            continue
        measurement.runs.append(report)
        # Written after each run, so that a stop in between loses none.
        save(measurement.runs, folder)
        _say(report)
    return measurement


def save(runs: list[Report], folder: Path) -> None:
    """Write all figures as JSON."""
    content = msgspec.json.format(msgspec.json.encode(runs))
    (folder / 'runs.json').write_bytes(content)


def _say(report: Report) -> None:
    """Print a line for a run."""
    models = report.models
    line = (
        f'{report.scenario:20} {report.arm:20} seed {report.seed}: '
        f'{models.answered} of {models.asked} answered, '
        f'goodput {report.goodput:.1f}/s'
    )
    sys.stdout.write(f'{line}\n')
    if models.reasons:
        sys.stdout.write(f'  without an answer: {models.reasons}\n')
    for warning in warnings(report):
        sys.stdout.write(f'  {warning}\n')
    sys.stdout.flush()


def page(measurement: Measurement, missing: list[str]) -> str:
    """Return the whole measurement as Markdown."""
    runs = measurement.runs
    parts: list[str] = []
    for scenario in dict.fromkeys(one.scenario for one in runs):
        own = [one for one in runs if one.scenario == scenario]
        parts.extend((f'## {scenario}', compare(own)))
    for arm in dict.fromkeys(one.arm for one in runs):
        parts.extend((f'## Goals, {arm}', goal_table(runs, arm)))
    left = [*missing, *measurement.left]
    if left:
        parts.extend(('## Not run', '\n'.join(f'- {one}' for one in left)))
    return '\n\n'.join(parts)


def write(measurement: Measurement, summary: str, folder: Path) -> None:
    """Write the page and the plot."""
    runs = measurement.runs
    full = '\n\n'.join(describe(one) for one in runs)
    (folder / 'page.md').write_text(f'{summary}\n\n{full}\n')
    if runs:
        plot(runs, folder / 'plot.png')


def parser() -> ArgumentParser:
    """Return the parser of the command line."""
    flags = ArgumentParser(description='Measure arms in scenarios.')
    flags.add_argument('--quick', action='store_true', help='a small set')
    flags.add_argument('--scenario', nargs='+', default=[], metavar='NAME')
    flags.add_argument(
        '--arms',
        nargs='+',
        default=[],
        metavar='ARM',
        help='names, or NAME:planner=P,selector=S; default: all there are',
    )
    flags.add_argument('--seeds', nargs='+', type=int, default=[1])
    flags.add_argument('--seconds', type=float, default=12)
    flags.add_argument(
        '--capacity',
        type=float,
        default=0,
        help='requests a second that count as 1.0; default: as measured',
    )
    flags.add_argument('--budget', type=float, help='seconds for all runs')
    flags.add_argument('--output', type=Path, default=OUTPUT)
    return flags


def main() -> int:
    """Measure, and say whether every run was sound."""
    flags = parser().parse_args()
    try:
        planned = orders(flags)
    except (ArmError, ValueError) as problem:
        sys.stderr.write(f'{problem}\n')
        return 2
    usual = QUICK_BUDGET if flags.quick else BUDGET
    flags.output.mkdir(parents=True, exist_ok=True)
    missing = not_run(flags.arms)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        measurement = runner.run(
            measure(planned, flags.output, flags.budget or usual),
        )
    summary = page(measurement, missing)
    write(measurement, summary, flags.output)
    sys.stdout.write(f'\n{summary}\n\nResults are in {flags.output}.\n')
    sound = measurement.runs and not any(
        one.breaches or one.tracebacks for one in measurement.runs
    )
    return 0 if sound else 1


if __name__ == '__main__':
    sys.exit(main())
