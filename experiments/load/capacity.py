"""Finds the capacity of a deployment: ``python -m experiments.load.capacity``.

It raises a flat arrival rate step by step and reports, for each rate, the
share of requests that were answered in time. The capacity is the highest
rate at which that share still holds.
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
from experiments.load.orders import Order
from experiments.load.runs import run
from experiments.load.scenarios import RIGS, Scenario
from experiments.load.tables import table
from experiments.load.traffic import Curve

#: Share of requests that must be answered in time for a rate to hold.
HOLDS: Final = 0.98


@dataclass(frozen=True, slots=True)
class Point:
    """What one rate gave.

    Attributes:
        rate: Requests a second.
        share: Share of the model requests that were answered in time.
        goodput: Answers in time, a second.
        first: 95th percentile of the first token, milliseconds.
        cpu: Share of a core that the load client used.
        load_average: The machine's, after the run.
        saturated: The load client was itself a bottleneck.
    """

    rate: float
    share: float
    goodput: float
    first: float
    cpu: float
    load_average: float
    saturated: bool

    def row(self) -> list[str]:
        """Return its row of the table."""
        return [
            f'{self.rate:.0f}',
            f'{self.share:.3f}',
            f'{self.goodput:.1f}',
            f'{self.first:.0f}',
            f'{self.cpu:.2f}',
            f'{self.load_average:.1f}',
            'client saturated' if self.saturated else '',
        ]


async def probe(flags: Namespace, rate: float, folder: Path) -> Point:
    """Measure one rate."""
    scenario = Scenario(
        f'capacity-{rate:.0f}',
        flags.deployment,
        Curve.FLAT,
        1,
        flags.preset,
    )
    arm = choose([flags.arm])[0]
    order = Order(scenario, arm, flags.seed, flags.seconds, rate)
    report = await run(order, folder)
    return Point(
        rate,
        report.models.share_in_time,
        report.goodput,
        1000 * (report.models.first.p95 or 0),
        report.client.cpu,
        report.client.load_average[1],
        report.client.saturated,
    )


def capacity(points: list[Point]) -> float:
    """Return the highest rate up to which every rate holds."""
    highest: float = 0
    for point in sorted(points, key=lambda one: one.rate):
        if point.share < HOLDS:
            break
        highest = point.rate
    return highest


async def find(flags: Namespace, folder: Path) -> list[Point]:
    """Raise the rate until it no longer holds, then halve the step once."""
    points: list[Point] = []
    rate = flags.first
    while rate <= flags.last:
        points.append(await probe(flags, rate, folder))
        sys.stdout.write(f'{" ".join(points[-1].row())}\n')
        sys.stdout.flush()
        if points[-1].share < HOLDS:
            break
        rate += flags.step
    points.append(await probe(flags, rate - flags.step / 2, folder))
    return points


def parser() -> ArgumentParser:
    """Return the parser of the command line."""
    flags = ArgumentParser(description='Find the capacity of a deployment.')
    flags.add_argument('--deployment', choices=sorted(RIGS), default='lesen')
    flags.add_argument('--preset', default='peak')
    flags.add_argument('--arm', default='least-in-flight')
    flags.add_argument('--seed', type=int, default=1)
    flags.add_argument('--seconds', type=float, default=10)
    flags.add_argument('--first', type=float, default=40)
    flags.add_argument('--step', type=float, default=20)
    flags.add_argument('--last', type=float, default=200)
    return flags


def main() -> int:
    """Find the capacity and print it."""
    flags = parser().parse_args()
    try:
        choose([flags.arm])
    except ArmError as problem:
        sys.stderr.write(f'{problem}\n')
        return 2
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        points = runner.run(find(flags, OUTPUT))
    points.sort(key=lambda point: point.rate)
    heads = ('rate/s', 'in time', 'goodput/s', 'first p95 ms', 'client cpu')
    rows = [point.row() for point in points]
    sys.stdout.write(f'\n{table((*heads, "load", "note"), rows)}\n')
    found = capacity(points)
    sys.stdout.write(f'\nCapacity of {flags.deployment}: {found:.0f}/s\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
