"""Time of one decision: ``python -m experiments.costs.decision_speed``.

A whole host is put together in this process, with an empty platform beside
it. It is then told of many upstreams and of 22 versions, and asked to plan,
to choose and to pass the gate, with nothing sent. The steps of the event loop
between are none, so the host's own tasks do not disturb the figures.
"""

import asyncio
import os
import random
import sys
import time
from argparse import ArgumentParser, Namespace
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Final

import uvloop
from fakes.platform import FakePlatform, PlatformOptions

from experiments.deployment import CLUSTER_KEY
from experiments.load.arms import Arm, ArmError, choose
from experiments.load.fixtures import (
    large_document,
    report_of,
    request_of,
    upstream_of,
)
from experiments.load.reports import Percentiles, percentiles
from experiments.load.tables import table
from experiments.processes import LOOPBACK
from nutmegroad.configuration.in_force import (
    AcceptedConfiguration,
    Configuration,
)
from nutmegroad.contracts.documents import Document
from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.foundations.clocks import SystemClock
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import (
    Digest,
    PresetName,
    Revision,
    ServiceName,
    UpstreamId,
)
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.settings import read_settings
from nutmegroad.routing.directory import Directory
from nutmegroad.routing.gates import GateContext, Gatekeeper
from nutmegroad.routing.steps import Policies

#: Sizes of the brief, between, and of the developers' page.
SIZES: Final = (12, 100, 890)
#: Decisions that are timed.
DECISIONS: Final = 4000
#: Decisions before those that are timed.
WARM_UP: Final = 500

_MICROSECONDS: Final = 1_000_000


@dataclass(slots=True)
class Timing:
    """Seconds that decisions took.

    Attributes:
        plan: To plan.
        choose: To choose an upstream.
        gate: To make and pass the gate.
        refused: Decisions that ended in a refusal.
    """

    plan: list[float]
    choose: list[float]
    gate: list[float]
    refused: int = 0

    def whole(self) -> Percentiles:
        """Return percentiles of whole decisions."""
        parts = zip(self.plan, self.choose, self.gate, strict=True)
        return percentiles(sum(three) for three in parts)


class Bench:
    """A host that decides and sends nothing.

    Args:
        kernel: The host.
        document: The configuration.
        randomness: Draws requests.
    """

    def __init__(
        self,
        kernel: Kernel,
        document: Document,
        randomness: random.Random,
    ) -> None:
        self._kernel = kernel
        self._document = document
        self._randomness = randomness
        self._policies = kernel.need(Policies)
        self._gatekeeper = kernel.need(Gatekeeper)

    def prepare(self, size: int) -> None:
        """Tell the host of its configuration and of its upstreams."""
        configuration = self._kernel.need(Configuration)
        preset = PresetName('peak')
        configuration.apply(
            AcceptedConfiguration(
                Revision(1), Digest(''), self._document, preset, ''
            ),
        )
        configuration.confirm(Revision(1), self._kernel.clock.now())
        directory = self._kernel.need(Directory)
        directory.update(tuple(upstream_of(number) for number in range(size)))
        for number in range(size):
            directory.reported(
                UpstreamId(f'engine-{number}'), report_of(number)
            )

    def time(self, count: int) -> Timing:
        """Make some decisions and time each."""
        timing = Timing([], [], [])
        for number in range(count):
            self._decide(self._request(number), timing)
        return timing

    def _decide(self, request: ModelRequest, timing: Timing) -> None:
        """Make one decision."""
        begun = time.perf_counter()
        plan = self._policies.planner.plan(request)
        planned = time.perf_counter()
        if isinstance(plan, Refusal):
            timing.refused += 1
            return
        version = plan.steps[0]
        choice = self._policies.selector.choose(request, version, frozenset())
        chosen = time.perf_counter()
        if isinstance(choice, Refusal):
            timing.refused += 1
            return
        passage = GateContext(
            request.workspace,
            request.task,
            version,
            ServiceName(''),
            None,
            choice.state,
            request.deadline,
        )
        refusal = self._gatekeeper.gate(passage)()
        passed = time.perf_counter()
        timing.refused += refusal is not None
        timing.plan.append(planned - begun)
        timing.choose.append(chosen - planned)
        timing.gate.append(passed - chosen)

    def _request(self, number: int) -> ModelRequest:
        """Draw a request."""
        task = self._randomness.choice(self._document.tasks)
        workspace = self._randomness.choice(self._document.workspaces)
        return request_of(number, task, workspace, self._kernel.clock.now())


async def measure(arm: Arm, size: int, seed: int) -> Timing:
    """Time decisions before so many upstreams."""
    clock = SystemClock()
    nowhere = f'{LOOPBACK}:0'
    async with AsyncExitStack() as stack:
        platform = FakePlatform(PlatformOptions(), clock)
        await stack.enter_async_context(platform)
        argv = [
            '--host=bench-host-0',
            '--domain=shah-alam',
            f'--callers={nowhere}',
            f'--operators={nowhere}',
            f'--peers={nowhere}',
            f'--platform={platform.address}',
            *arm.flags,
        ]
        environ = {'NUTMEGROAD_CLUSTER_KEY': CLUSTER_KEY}
        settings, _ = read_settings(argv, environ)
        kernel = Kernel(settings, clock, random.Random(seed))
        await stack.enter_async_context(kernel)
        await kernel.start()
        bench = Bench(kernel, large_document(), random.Random(seed))
        bench.prepare(size)
        bench.time(WARM_UP)
        return bench.time(DECISIONS)


def row(arm: Arm, size: int, timing: Timing) -> list[str]:
    """Return the table's row of one measurement."""
    whole = timing.whole()
    parts = [timing.plan, timing.choose, timing.gate]
    middles = [_microseconds(percentiles(part).p50) for part in parts]
    return [
        arm.name,
        str(size),
        *middles,
        _microseconds(whole.p50),
        _microseconds(whole.p95),
        _microseconds(whole.p99),
        str(timing.refused),
    ]


def _microseconds(seconds: float | None) -> str:
    """Return a cell."""
    return '-' if seconds is None else f'{seconds * _MICROSECONDS:.1f}'


def _parse() -> Namespace:
    """Read the command line."""
    flags = ArgumentParser(description='Time decisions.')
    flags.add_argument('--arms', nargs='+', default=[], metavar='ARM')
    flags.add_argument('--seed', type=int, default=1)
    flags.add_argument('--sizes', nargs='+', type=int, default=list(SIZES))
    return flags.parse_args()


def main() -> int:
    """Time decisions and print a table, in microseconds."""
    flags = _parse()
    try:
        arms = choose(flags.arms)
    except ArmError as problem:
        sys.stderr.write(f'{problem}\n')
        return 2
    rows = []
    for arm in arms:
        for size in flags.sizes:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                timing = runner.run(measure(arm, size, flags.seed))
            rows.append(row(arm, size, timing))
    heads = ('arm', 'upstreams', 'plan p50', 'choose p50', 'gate p50')
    wholes = ('whole p50', 'whole p95', 'whole p99', 'refused')
    sys.stdout.write(f'{table((*heads, *wholes), rows)}\n')
    average = os.getloadavg()[0]
    sys.stdout.write(f'\nMicroseconds; load average {average:.1f}.\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
