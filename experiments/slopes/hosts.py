"""What control costs a host: ``python -m experiments.slopes.hosts [--quick]``.

Whole hosts, as objects in this process, over real loopback before one
platform stand-in and one process that answers for all engines. Each round
has other numbers of hosts, domains, engines, versions and changes; slopes
are fitted by least squares. It writes ``results/slopes.json``.
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
    operate,
    operator_token,
    read_example,
)
from experiments.processes import Processes, Running
from experiments.slopes import fits
from nutmegroad.contracts.peers import Mesh
from nutmegroad.daemon.plugins import load_plugins
from nutmegroad.foundations._cost_metrics import resident_bytes
from nutmegroad.foundations.accounting import Ledger, PartCost
from nutmegroad.foundations.clocks import SystemClock
from nutmegroad.foundations.types import Address, DomainId, HostId
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.settings import Settings
from nutmegroad.membership.links import Links
from nutmegroad.membership.members import Members
from nutmegroad.routing.directory import Directory

#: Seconds before, and of, a measurement; the second pair is the quick one.
PACE: Final = (9.0, 8.0)
QUICK_PACE: Final = (4.0, 5.0)
MEGABYTE: Final = 1e6
WRITTEN: Final = Path('results/slopes.json')
_NOWHERE: Final = Address('127.0.0.1', 0)


@dataclass(frozen=True, slots=True)
class Size:
    """What a round has.

    Attributes:
        hosts: Entry hosts.
        domains: Failure domains.
        engines: Engines.
        versions: Versions spread over the engines.
        changes: Changes of configuration a second.
        heartbeat: Seconds between heartbeats.
    """

    hosts: int
    domains: int
    engines: int
    versions: int = 4
    changes: float = 0
    heartbeat: float = 1


QUICK: Final = (
    Size(6, 1, 12),
    Size(18, 1, 12),
    Size(12, 1, 12),
    Size(12, 3, 200),
    Size(18, 3, 100),
    Size(18, 9, 300, 22),
    Size(9, 3, 890, 22),
)
LONG: Final = (
    *QUICK,
    Size(36, 1, 12),
    Size(36, 9, 300, 22),
    Size(18, 3, 600, 22),
    Size(18, 3, 100, changes=1),
    Size(36, 1, 12, heartbeat=2),
)


@dataclass(slots=True)
class Outcome:
    """What a round showed: means over its hosts, a second.

    Attributes:
        size: What the round had.
        near: Links within the domain.
        far: Links to other domains.
        parts: By part: bytes and messages each way, processor seconds.
        events: By name: how often.
        process: Processor seconds of the process, for each host.
        memory: Bytes that a host added to the process.
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


async def measure(size: Size, pace: tuple[float, float]) -> Outcome:
    """Run one round; the pace is in seconds, as in ``PACE``."""
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
        await _publish(platform, engines, size)
        # The list lags by 2 s.
        await asyncio.sleep(2.2)
        before = resident_bytes()
        kernels = await _start(stack, platform, size)
        if size.changes:
            changing = asyncio.create_task(_change(kernels[0], size.changes))
            stack.callback(changing.cancel)
        await asyncio.sleep(pace[0])
        outcome.memory = (resident_bytes() - before) / size.hosts
        await _take_window(kernels, outcome, pace[1])
    return outcome


async def _publish(platform: Running, engines: Running, size: Size) -> None:
    """Tell the host list of the engines, spread over the domains."""
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


async def _start(
    stack: AsyncExitStack,
    platform: Running,
    size: Size,
) -> list[Kernel]:
    """Start the hosts, and put a configuration into force."""
    first = _make(0, (), platform, size)
    await first.start()
    seeds = (first.listening['peers'],)
    others = [
        _make(number, seeds, platform, size) for number in range(1, size.hosts)
    ]
    kernels = [first, *others]
    stack.push_async_callback(_close, kernels)
    await asyncio.gather(*(kernel.start() for kernel in others))
    await _apply(first)
    return kernels


async def _close(kernels: list[Kernel]) -> None:
    """Close all hosts together."""
    await asyncio.gather(*(kernel.stack.aclose() for kernel in kernels))


def _make(
    number: int,
    seeds: tuple[Address, ...],
    platform: Running,
    size: Size,
) -> Kernel:
    """Return a host that is not started yet."""
    settings = Settings(
        host=HostId(f'host-{number:03}'),
        domain=DomainId(f'domain-{number % size.domains}'),
        callers=_NOWHERE,
        operators=_NOWHERE,
        peers=_NOWHERE,
        platform=platform.listening['main'],
        cluster_key='a-cluster-key-for-slopes',
        bootstrap_token=BOOTSTRAP_TOKEN,
        seeds=seeds,
        heartbeat=size.heartbeat,
        lame_duck=0.05,
        drain=0.1,
    )
    return Kernel(settings, SystemClock(), random.Random(number))


async def _apply(kernel: Kernel, comment: str = '') -> Any:
    """Put the example's configuration into force."""
    body = {'text': f'{read_example("lesen")}\n# {comment}\n'}
    address = kernel.listening['operators']
    return await operate(address, 'configuration', body, BOOTSTRAP_TOKEN)


async def _change(kernel: Kernel, rate: float) -> None:
    """Accept one configuration after another."""
    token = operator_token('farah')
    for number in range(1 << 20):
        body = {'preset': ('ordinary', 'peak')[number % 2]}
        address = kernel.listening['operators']
        await operate(address, 'preset', body, token)
        await asyncio.sleep(1 / rate)


async def _take_window(
    kernels: list[Kernel],
    outcome: Outcome,
    window: float,
) -> None:
    """Measure for some seconds."""
    ledgers = [kernel.need(Ledger) for kernel in kernels]
    before = [_State.of(ledger) for ledger in ledgers]
    began, spent = time.monotonic(), time.process_time()
    await asyncio.sleep(window)
    seconds = time.monotonic() - began
    share = 1 / (seconds * len(kernels))
    outcome.process = (time.process_time() - spent) * share
    for ledger, state in zip(ledgers, before, strict=True):
        _add_costs(outcome, ledger, state, share)
    _count_links(kernels, outcome)
    outcome.load = os.getloadavg()[0]


@dataclass(frozen=True, slots=True)
class _State:
    """What a ledger held."""

    costs: dict[str, PartCost]
    events: dict[str, int]

    @classmethod
    def of(cls, ledger: Ledger) -> Self:
        """Return a copy, which does not grow."""
        costs = ledger.costs().items()
        copied = {part: cost.minus(PartCost()) for part, cost in costs}
        return cls(copied, dict(ledger.events()))


def _add_costs(
    outcome: Outcome,
    ledger: Ledger,
    before: _State,
    share: float,
) -> None:
    """Add one host's share of the means."""
    for part, cost in ledger.costs().items():
        gained = cost.minus(before.costs.get(part, PartCost()))
        mean: Any = outcome.parts.setdefault(part, PartCost())
        for name, count in asdict(gained).items():
            setattr(mean, name, getattr(mean, name) + count * share)
    for event, count in ledger.events().items():
        gained_count = count - before.events.get(event, 0)
        known = outcome.events.get(event, 0)
        outcome.events[event] = known + gained_count * share


def _count_links(kernels: list[Kernel], outcome: Outcome) -> None:
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
        # A round in which a host does not know its engines shows nothing.
        known = kernel.need(Directory).states()
        if len(known) != outcome.size.engines:
            raise RuntimeError(f'{len(known)} of {outcome.size.engines}')


def _measure_and_show(
    size: Size,
    pace: tuple[float, float],
) -> dict[str, Any]:
    outcome = asdict(uvloop.run(measure(size, pace)))
    sys.stdout.write(fits.describe(outcome))
    sys.stdout.flush()
    return outcome


def main() -> int:
    """Measure all rounds, fit slopes and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--quick', action='store_true')
    quick = parser.parse_args().quick
    sizes, pace = (QUICK, QUICK_PACE) if quick else (LONG, PACE)
    logging.set_verbosity(logging.ERROR)
    load_plugins()
    base = resident_bytes()
    sys.stdout.write(f'before the first host: {base / MEGABYTE:.1f} MB\n')
    rounds = [_measure_and_show(size, pace) for size in sizes]
    letter = fits.extrapolate(rounds)
    sys.stdout.write(fits.describe_letter(letter))
    WRITTEN.parent.mkdir(exist_ok=True)
    written = {'base': base, 'rounds': rounds, 'letter': letter}
    WRITTEN.write_text(json.dumps(written, indent=1))
    return 0


if __name__ == '__main__':
    sys.exit(main())
