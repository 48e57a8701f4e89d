"""Finds the capacity of a deployment: ``python -m experiments.load.capacity``.

The arrival rate is constant during a run and is raised from run to run. The
capacity is the highest rate at which the required fraction of the requests is
still answered in time.
"""

import asyncio
import sys
from argparse import ArgumentParser, Namespace
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import uvloop

from experiments.load.arms import ArmError, choose
from experiments.load.measure import OUTPUT
from experiments.load.run_specs import RunSpec
from experiments.load.runs import execute_run
from experiments.load.scenarios import DEPLOYMENTS, Scenario
from experiments.load.tables import table
from experiments.load.traffic import Curve

#: Fraction of the requests that must be answered in time at a sustained rate.
MIN_IN_TIME: Final = 0.98


@dataclass(frozen=True, slots=True)
class RateResult:
    """Result of a run at one arrival rate.

    Attributes:
        rate: Requests per second.
        share: Fraction of the model requests that were answered in time.
        goodput: Answers in time per second.
        first: 95th percentile of the time to the first token, milliseconds.
        cpu: Fraction of a core that the load client used.
        load_average: Load average of the machine after the run.
        saturated: Whether the load client itself was a bottleneck.
    """

    rate: float
    share: float
    goodput: float
    first: float
    cpu: float
    load_average: float
    saturated: bool

    def row(self) -> list[str]:
        """Return the row of the table."""
        return [
            f'{self.rate:.0f}',
            f'{self.share:.3f}',
            f'{self.goodput:.1f}',
            f'{self.first:.0f}',
            f'{self.cpu:.2f}',
            f'{self.load_average:.1f}',
            'client saturated' if self.saturated else '',
        ]


async def measure_rate(
    flags: Namespace, rate: float, folder: Path
) -> RateResult:
    """Run the load at one arrival rate.

    Args:
        flags: Options of the command line.
        rate: Requests per second.
        folder: Folder for the logs of the processes.
    """
    scenario = Scenario(
        f'capacity-{rate:.0f}',
        flags.deployment,
        Curve.FLAT,
        1,
        flags.preset,
    )
    arm = choose([flags.arm])[0]
    run_spec = RunSpec(scenario, arm, flags.seed, flags.seconds, rate)
    report = await execute_run(run_spec, folder)
    return RateResult(
        rate,
        report.models.share_in_time,
        report.goodput,
        1000 * (report.models.first.p95 or 0),
        report.client.cpu,
        report.client.load_average[1],
        report.client.saturated,
    )


def highest_sustained_rate(rate_results: list[RateResult]) -> float:
    """Return the highest rate up to which all rates are sustained."""
    highest: float = 0
    for result in sorted(rate_results, key=lambda each: each.rate):
        if result.share < MIN_IN_TIME:
            break
        highest = result.rate
    return highest


async def find_capacity(flags: Namespace, folder: Path) -> list[RateResult]:
    """Raise the rate until it is not sustained, then try half a step lower.

    Args:
        flags: Options of the command line.
        folder: Folder for the logs of the processes.
    """
    rate_results: list[RateResult] = []
    rate = flags.first
    while rate <= flags.last:
        rate_results.append(await measure_rate(flags, rate, folder))
        sys.stdout.write(f'{" ".join(rate_results[-1].row())}\n')
        sys.stdout.flush()
        if rate_results[-1].share < MIN_IN_TIME:
            break
        rate += flags.step
    rate_results.append(
        await measure_rate(flags, rate - flags.step / 2, folder)
    )
    return rate_results


def parser() -> ArgumentParser:
    """Return the parser of the command line."""
    flags = ArgumentParser(description='Find the capacity of a deployment.')
    flags.add_argument(
        '--deployment', choices=sorted(DEPLOYMENTS), default='lesen'
    )
    flags.add_argument('--preset', default='peak')
    flags.add_argument('--arm', default='least-in-flight')
    flags.add_argument('--seed', type=int, default=1)
    flags.add_argument('--seconds', type=float, default=10)
    flags.add_argument('--first', type=float, default=40)
    flags.add_argument('--step', type=float, default=20)
    flags.add_argument('--last', type=float, default=200)
    return flags


def main() -> int:
    """Find the capacity of a deployment and print it."""
    flags = parser().parse_args()
    try:
        choose([flags.arm])
    except ArmError as problem:
        sys.stderr.write(f'{problem}\n')
        return 2
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        rate_results = runner.run(find_capacity(flags, OUTPUT))
    rate_results.sort(key=lambda result: result.rate)
    heads = ('rate/s', 'in time', 'goodput/s', 'first p95 ms', 'client cpu')
    rows = [result.row() for result in rate_results]
    sys.stdout.write(f'\n{table((*heads, "load", "note"), rows)}\n')
    capacity = highest_sustained_rate(rate_results)
    sys.stdout.write(f'\nCapacity of {flags.deployment}: {capacity:.0f}/s\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
