"""Measures what the control plane costs a host, by size of the fleet.

Run as ``python -m experiments.slopes.hosts [--quick]``. Complete hosts run in
this process, over real loopback, with one platform stand-in and one process
that answers for all engines. Each round has other numbers of hosts, failure
domains, engines, versions and changes; slopes are fitted by least squares.
The results are written to ``results/slopes.json``.
"""

import argparse
import asyncio
import json
import os
import random
import sys
import time
from contextlib import AsyncExitStack
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any, Final, Self

import uvloop
from absl import logging
from aiohttp import ClientSession

from experiments.deployment import (
    BOOTSTRAP_TOKEN,
    call_operator_api,
    operator_token,
    read_example,
)
from experiments.processes import Processes, RunningProcess
from experiments.slopes import fits
from nutmegroad.contracts.peers import Mesh
from nutmegroad.daemon.plugins import load_plugins
from nutmegroad.foundations.accounting import Ledger, PartCost
from nutmegroad.foundations.clocks import SystemClock
from nutmegroad.foundations.process_memory import resident_bytes
from nutmegroad.foundations.types import Address, DomainId, HostId
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.settings import Settings
from nutmegroad.membership.links import Links
from nutmegroad.membership.members import Members
from nutmegroad.routing.directory import Directory

#: Seconds to settle before a measurement, and seconds that it takes.
TIMING: Final = (9.0, 8.0)
QUICK_TIMING: Final = (4.0, 5.0)
MEGABYTE: Final = 1e6
RESULT_FILE: Final = Path('results/slopes.json')
#: Lets the system choose a free port.
_ANY_PORT: Final = Address('127.0.0.1', 0)


@dataclass(frozen=True, slots=True)
class Size:
    """Size of the fleet in a round.

    Attributes:
        hosts: Number of hosts.
        domains: Number of failure domains.
        engines: Number of engines.
        versions: Number of versions; each engine has one of them loaded.
        changes: Configuration changes per second.
        heartbeat: Seconds between heartbeats.
    """

    hosts: int
    domains: int
    engines: int
    versions: int = 4
    changes: float = 0
    heartbeat: float = 1


#: Rounds of a run with ``--quick``.
QUICK_SIZES: Final = (
    Size(6, 1, 12),
    Size(18, 1, 12),
    Size(12, 1, 12),
    Size(12, 3, 200),
    Size(18, 3, 100),
    Size(18, 9, 300, 22),
    Size(9, 3, 890, 22),
)
#: Rounds of a full run.
ALL_SIZES: Final = (
    *QUICK_SIZES,
    Size(36, 1, 12),
    Size(36, 9, 300, 22),
    Size(18, 3, 600, 22),
    Size(18, 3, 100, changes=1),
    Size(36, 1, 12, heartbeat=2),
)


@dataclass(slots=True)
class Outcome:
    """Results of a round, as means over its hosts.

    Attributes:
        size: Size of the fleet.
        near: Links within the failure domain.
        far: Links to other failure domains.
        parts: Cost of each part per second: bytes and messages each way,
            processor seconds.
        events: Number of events per second, by name.
        process: Processor seconds of the whole process per second, divided
            by the number of hosts.
        memory: Bytes by which each host enlarged the process.
        load: Load average of the machine at the end.
    """

    size: Size
    near: float = 0
    far: float = 0
    parts: dict[str, PartCost] = field(default_factory=dict)
    events: dict[str, float] = field(default_factory=dict)
    process: float = 0
    memory: float = 0
    load: float = 0


async def measure(size: Size, timing: tuple[float, float]) -> Outcome:
    """Run one round.

    Args:
        size: Size of the fleet.
        timing: Seconds before and of the measurement, as in ``TIMING``.
    """
    outcome = Outcome(size)
    async with AsyncExitStack() as stack:
        processes = await stack.enter_async_context(Processes())
        platform = await processes.start_fake('platform', 'fakes.platform')
        engines = await processes.start_fake(
            'engines',
            'experiments.slopes.engines',
            str(size.engines),
            str(size.versions),
        )
        await _publish_engines(platform, engines, size)
        # The platform's host list lags by 2 s.
        await asyncio.sleep(2.2)
        before = resident_bytes()
        kernels = await _start_hosts(stack, platform, size)
        if size.changes:
            changes = asyncio.create_task(
                _switch_presets(kernels[0], size.changes)
            )
            stack.callback(changes.cancel)
        await asyncio.sleep(timing[0])
        outcome.memory = (resident_bytes() - before) / size.hosts
        await _measure_window(kernels, outcome, timing[1])
    return outcome


async def _publish_engines(
    platform: RunningProcess,
    engines: RunningProcess,
    size: Size,
) -> None:
    """Publish the engines, distributed over the domains, in the host list."""
    async with ClientSession() as session:
        url = f'http://{engines.listening["main"]}/ports'
        async with session.get(url) as response:
            ports = await response.json()
        upstreams = [
            {
                'upstream': f'domain-{number % size.domains}-engine-{number}',
                'domain': f'domain-{number % size.domains}',
                'kind': 'engine',
                'ip': '127.0.0.1',
                'port': port,
                'presence': 'live',
                'service': '',
            }
            for number, port in enumerate(ports)
        ]
        url = f'http://{platform.listening["main"]}/hosts'
        body = {'hosts': [], 'upstreams': upstreams}
        async with session.post(url, json=body) as response:
            response.raise_for_status()


async def _start_hosts(
    stack: AsyncExitStack,
    platform: RunningProcess,
    size: Size,
) -> list[Kernel]:
    """Start all hosts and put a configuration into force.

    The first host is the seed of all the others.
    """
    first = _make_host(0, (), platform, size)
    await first.start()
    seeds = (first.listening['peers'],)
    others = [
        _make_host(number, seeds, platform, size)
        for number in range(1, size.hosts)
    ]
    kernels = [first, *others]
    stack.push_async_callback(_stop_hosts, kernels)
    await asyncio.gather(*(kernel.start() for kernel in others))
    await _apply_example(first)
    return kernels


async def _stop_hosts(kernels: list[Kernel]) -> None:
    """Stop all hosts concurrently."""
    await asyncio.gather(*(kernel.stack.aclose() for kernel in kernels))


def _make_host(
    number: int,
    seeds: tuple[Address, ...],
    platform: RunningProcess,
    size: Size,
) -> Kernel:
    """Return a host that is not started yet.

    Its number gives its name and its domain, and seeds its randomness.
    """
    settings = Settings(
        host=HostId(f'host-{number:03}'),
        domain=DomainId(f'domain-{number % size.domains}'),
        callers=_ANY_PORT,
        operators=_ANY_PORT,
        peers=_ANY_PORT,
        platform=platform.listening['main'],
        cluster_key='a-cluster-key-for-slopes',
        bootstrap_token=BOOTSTRAP_TOKEN,
        seeds=seeds,
        heartbeat=size.heartbeat,
        lame_duck=0.05,
        drain=0.1,
    )
    return Kernel(settings, SystemClock(), random.Random(number))


async def _apply_example(kernel: Kernel, comment: str = '') -> Any:
    """Put an example's configuration into force through one host."""
    body = {'text': f'{read_example("lesen")}\n# {comment}\n'}
    address = kernel.listening['operators']
    return await call_operator_api(
        address, 'configuration', body, BOOTSTRAP_TOKEN
    )


async def _switch_presets(kernel: Kernel, rate: float) -> None:
    """Switch between two presets through one host, at a rate per second."""
    token = operator_token('farah')
    for number in range(1 << 20):
        body = {'preset': ('ordinary', 'peak')[number % 2]}
        address = kernel.listening['operators']
        await call_operator_api(address, 'preset', body, token)
        await asyncio.sleep(1 / rate)


async def _measure_window(
    kernels: list[Kernel],
    outcome: Outcome,
    window: float,
) -> None:
    """Measure costs and links over a window, in seconds."""
    ledgers = [kernel.need(Ledger) for kernel in kernels]
    before = [_LedgerState.of(ledger) for ledger in ledgers]
    began, processor = time.monotonic(), time.process_time()
    await asyncio.sleep(window)
    seconds = time.monotonic() - began
    # Turns one host's total into its contribution to the mean per second.
    weight = 1 / (seconds * len(kernels))
    outcome.process = (time.process_time() - processor) * weight
    for ledger, state in zip(ledgers, before, strict=True):
        _add_costs(outcome, ledger, state, weight)
    _count_links(kernels, outcome)
    outcome.load = os.getloadavg()[0]


@dataclass(frozen=True, slots=True)
class _LedgerState:
    """A ledger's totals at one moment."""

    costs: dict[str, PartCost]
    events: dict[str, int]

    @classmethod
    def of(cls, ledger: Ledger) -> Self:
        """Return a copy of the totals, which later costs don't change."""
        costs = ledger.costs().items()
        copied = {part: cost.minus(PartCost()) for part, cost in costs}
        return cls(copied, dict(ledger.events()))


def _add_costs(
    outcome: Outcome,
    ledger: Ledger,
    before: _LedgerState,
    weight: float,
) -> None:
    """Add one host's costs and events since a state to the means."""
    for part, cost in ledger.costs().items():
        spent = cost.minus(before.costs.get(part, PartCost()))
        mean: Any = outcome.parts.setdefault(part, PartCost())
        for name, count in asdict(spent).items():
            setattr(mean, name, getattr(mean, name) + count * weight)
    for event, count in ledger.events().items():
        new_count = count - before.events.get(event, 0)
        mean_rate = outcome.events.get(event, 0)
        outcome.events[event] = mean_rate + new_count * weight


def _count_links(kernels: list[Kernel], outcome: Outcome) -> None:
    """Set the mean numbers of links.

    Raises:
        RuntimeError: If a host does not know all engines.
    """
    for kernel in kernels:
        links = kernel.need(Mesh)
        members = kernel.need(Members)
        if not isinstance(links, Links):
            continue
        linked = links.linked()
        near = sum(
            member.host in linked and member.domain == members.domain
            for member in members.members()
        )
        outcome.near += near / len(kernels)
        outcome.far += (len(linked) - near) / len(kernels)
        # The costs of a host that does not know all engines mean nothing.
        known = len(kernel.need(Directory).states())
        if known != outcome.size.engines:
            expected = outcome.size.engines
            message = f'A host knows {known} of {expected} engines.'
            raise RuntimeError(message)


def _run_round(size: Size, timing: tuple[float, float]) -> dict[str, Any]:
    """Run one round, print its results and return them."""
    outcome = asdict(uvloop.run(measure(size, timing)))
    sys.stdout.write(fits.format_round(outcome))
    sys.stdout.flush()
    return outcome


def main() -> int:
    """Measure all rounds, fit slopes and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--quick', action='store_true')
    quick = parser.parse_args().quick
    sizes = QUICK_SIZES if quick else ALL_SIZES
    timing = QUICK_TIMING if quick else TIMING
    logging.set_verbosity(logging.ERROR)
    load_plugins()
    base = resident_bytes()
    sys.stdout.write(f'before the first host: {base / MEGABYTE:.1f} MB\n')
    rounds = [_run_round(size, timing) for size in sizes]
    extrapolated = fits.extrapolate(rounds)
    sys.stdout.write(fits.format_extrapolation(extrapolated))
    RESULT_FILE.parent.mkdir(exist_ok=True)
    written = {'base': base, 'rounds': rounds, 'letter': extrapolated}
    RESULT_FILE.write_text(json.dumps(written, indent=1))
    return 0


if __name__ == '__main__':
    sys.exit(main())
