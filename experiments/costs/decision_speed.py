"""Measures the time of a routing decision.

Run ``python -m experiments.costs.decision_speed``. A complete host runs in
this process, with an empty platform next to it. The host gets a list of many
upstreams and a configuration with 22 versions. Each decision plans a request,
chooses an upstream and passes the gate; nothing is sent. The event loop does
not run between decisions, so the host's own tasks do not affect the figures.
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
    make_engine_report,
    make_request,
    make_upstream,
)
from experiments.load.request_stats import Percentiles, percentiles
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

#: Numbers of upstreams: that of the requirements, one in between, and that of
#: the developers' page.
SIZES: Final = (12, 100, 890)
#: Decisions that are timed.
DECISIONS: Final = 4000
#: Decisions that are made before those that are timed.
WARM_UP: Final = 500

_MICROSECONDS_PER_SECOND: Final = 1_000_000


@dataclass(slots=True)
class Timing:
    """Durations of decisions, in seconds.

    Attributes:
        plan: Durations of planning.
        choose: Durations of choosing an upstream.
        gate: Durations of creating and passing the gate.
        refused: Decisions that ended in a refusal.
    """

    plan: list[float]
    choose: list[float]
    gate: list[float]
    refused: int = 0

    def total(self) -> Percentiles:
        """Return percentiles of the durations of complete decisions."""
        parts = zip(self.plan, self.choose, self.gate, strict=True)
        return percentiles(sum(durations) for durations in parts)


class DecisionTimer:
    """Makes and times decisions at a host; sends nothing.

    Args:
        kernel: The host.
        document: The configuration.
        randomness: Source of random requests.
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
        """Give the host its configuration and upstreams.

        Args:
            size: Number of upstreams.
        """
        configuration = self._kernel.need(Configuration)
        preset = PresetName('peak')
        configuration.apply(
            AcceptedConfiguration(
                Revision(1), Digest(''), self._document, preset, ''
            ),
        )
        configuration.confirm(Revision(1), self._kernel.clock.now())
        directory = self._kernel.need(Directory)
        directory.update(tuple(make_upstream(number) for number in range(size)))
        for number in range(size):
            directory.reported(
                UpstreamId(f'engine-{number}'), make_engine_report(number)
            )

    def time(self, count: int) -> Timing:
        """Make a number of decisions and time each."""
        timing = Timing([], [], [])
        for number in range(count):
            self._decide(self._request(number), timing)
        return timing

    def _decide(self, request: ModelRequest, timing: Timing) -> None:
        """Make one decision and add its durations."""
        started_at = time.perf_counter()
        plan = self._policies.planner.plan(request)
        planned_at = time.perf_counter()
        if isinstance(plan, Refusal):
            timing.refused += 1
            return
        version = plan.steps[0]
        choice = self._policies.selector.choose(request, version, frozenset())
        chosen_at = time.perf_counter()
        if isinstance(choice, Refusal):
            timing.refused += 1
            return
        context = GateContext(
            request.workspace,
            request.task,
            version,
            ServiceName(''),
            None,
            choice.state,
            request.deadline,
        )
        refusal = self._gatekeeper.gate(context)()
        passed_at = time.perf_counter()
        timing.refused += refusal is not None
        timing.plan.append(planned_at - started_at)
        timing.choose.append(chosen_at - planned_at)
        timing.gate.append(passed_at - chosen_at)

    def _request(self, number: int) -> ModelRequest:
        """Return a random request."""
        task = self._randomness.choice(self._document.tasks)
        workspace = self._randomness.choice(self._document.workspaces)
        return make_request(number, task, workspace, self._kernel.clock.now())


async def measure(arm: Arm, size: int, seed: int) -> Timing:
    """Time decisions of a host with a number of upstreams.

    Args:
        arm: Variant of the host's settings.
        size: Number of upstreams.
        seed: Seeds all random draws.
    """
    clock = SystemClock()
    any_port = f'{LOOPBACK}:0'
    async with AsyncExitStack() as stack:
        platform = FakePlatform(PlatformOptions(), clock)
        await stack.enter_async_context(platform)
        argv = [
            '--host=bench-host-0',
            '--domain=shah-alam',
            f'--callers={any_port}',
            f'--operators={any_port}',
            f'--peers={any_port}',
            f'--platform={platform.address}',
            *arm.flags,
        ]
        environ = {'NUTMEGROAD_CLUSTER_KEY': CLUSTER_KEY}
        settings, _ = read_settings(argv, environ)
        kernel = Kernel(settings, clock, random.Random(seed))
        await stack.enter_async_context(kernel)
        await kernel.start()
        timer = DecisionTimer(kernel, large_document(), random.Random(seed))
        timer.prepare(size)
        timer.time(WARM_UP)
        return timer.time(DECISIONS)


def table_row(arm: Arm, size: int, timing: Timing) -> list[str]:
    """Return the table row of one measurement."""
    total = timing.total()
    parts = [timing.plan, timing.choose, timing.gate]
    medians = [_microseconds(percentiles(part).p50) for part in parts]
    return [
        arm.name,
        str(size),
        *medians,
        _microseconds(total.p50),
        _microseconds(total.p95),
        _microseconds(total.p99),
        str(timing.refused),
    ]


def _microseconds(seconds: float | None) -> str:
    """Return a table cell in microseconds."""
    return (
        '-' if seconds is None else f'{seconds * _MICROSECONDS_PER_SECOND:.1f}'
    )


def _parse_flags() -> Namespace:
    """Return the parsed command line."""
    flags = ArgumentParser(description='Time routing decisions.')
    flags.add_argument('--arms', nargs='+', default=[], metavar='ARM')
    flags.add_argument('--seed', type=int, default=1)
    flags.add_argument('--sizes', nargs='+', type=int, default=list(SIZES))
    return flags.parse_args()


def main() -> int:
    """Time decisions and print a table in microseconds."""
    flags = _parse_flags()
    try:
        arms = choose(flags.arms)
    except ArmError as error:
        sys.stderr.write(f'{error}\n')
        return 2
    rows = []
    for arm in arms:
        for size in flags.sizes:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                timing = runner.run(measure(arm, size, flags.seed))
            rows.append(table_row(arm, size, timing))
    part_heads = ('arm', 'upstreams', 'plan p50', 'choose p50', 'gate p50')
    total_heads = ('whole p50', 'whole p95', 'whole p99', 'refused')
    sys.stdout.write(f'{table((*part_heads, *total_heads), rows)}\n')
    average = os.getloadavg()[0]
    sys.stdout.write(f'\nMicroseconds; load average {average:.1f}.\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
