"""What links and membership cost, and how fast they are.

Run as ``python -m experiments.slopes.mesh``. Hosts' objects, with real
links over loopback, live in one process; each round has more of them. It
prints a table and writes ``results/mesh_slopes.json``.
"""

import asyncio
import json
import random
import statistics
import sys
import time
from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Final

import uvloop

from experiments.slopes.mesh_hosts import Cost, MeshHost, NoLinks, identity_of
from nutmegroad.foundations.accounting import Ledger
from nutmegroad.foundations.clocks import SystemClock
from nutmegroad.foundations.types import (
    DomainId,
    HostId,
    Presence,
)
from nutmegroad.membership._member_context import (
    MemberContext,
    create_member_table,
)
from nutmegroad.membership._member_messages import Record
from nutmegroad.membership._member_table import Origin
from nutmegroad.membership.members import Members

#: Hosts and domains of each round.
ROUNDS: Final = ((10, 1), (20, 1), (44, 1), (90, 9))
#: Seconds of quiet before, and of, the measurement of cost.
SETTLE: Final = 3
WINDOW: Final = 6
#: Seconds after which something that did not happen is given up.
PATIENCE: Final = 12
#: Seconds between looks.
LOOK: Final = 0.02
#: The event that counts hosts which were given up.
GONE: Final = 'members_gone'
#: Hosts and domains of the letter, and seconds between and number of ticks
#: for measuring what its records cost.
HOSTS: Final = 400
DOMAINS: Final = 9
FAST: Final = 0.01
TICKS: Final = 150
#: The size of the letter: links to hosts near and far at 400 hosts in 9
#: domains, where each host makes 2 to each other domain and takes as many.
LETTER: Final = (43, 32)
WRITTEN: Final = Path('results/mesh_slopes.json')

_TITLE: Final = (
    'hosts dom  near   far     B/s +headers  msg/s    core   joined'
    '   leaving known   silence found'
)


@dataclass(frozen=True, slots=True)
class Round:
    """What one round showed; times are in seconds.

    Attributes:
        hosts: How many hosts there were.
        domains: In how many domains they stood.
        joined: Until all knew all, from the first start.
        cost: Mean cost of a host.
        deviation: Its standard deviation between hosts.
        process: Processor seconds of the process, a host and second.
        wrong: Live hosts that were given up, counted at each host.
        spread: Until half and until all knew that a host was leaving.
        detection: Until the first and until all gave up a host that had
            fallen silent with its links open.
    """

    hosts: int
    domains: int
    joined: float
    cost: Cost
    deviation: Cost
    process: float
    wrong: int
    spread: tuple[float, float]
    detection: tuple[float, float]


async def measure(hosts: int, domains: int) -> Round:
    """Run one round."""
    async with AsyncExitStack() as stack:
        mesh, joined = await _join(stack, hosts, domains)
        await asyncio.sleep(SETTLE)
        costs, process = await _measure_cost(mesh)
        spread = await _measure_leaving(mesh)
        wrong = sum(host.ledger.events().get(GONE, 0) for host in mesh)
        detection = await _measure_silence(mesh)
    return Round(
        hosts=hosts,
        domains=domains,
        joined=joined,
        cost=_combine(costs, statistics.fmean),
        deviation=_combine(costs, statistics.pstdev),
        process=process / hosts,
        wrong=wrong,
        spread=(statistics.median(spread), max(spread)),
        detection=(min(detection), max(detection)),
    )


def letter_cost(rounds: Sequence[Round], tick: float) -> Cost:
    """Return the cost of a host at the letter's size, from the slopes.

    Rounds of one domain give the cost without links and with each near
    link; what the last round costs beyond that is due to its far links.
    The processor time of a tick over the letter's records is added.

    Args:
        rounds: What was measured.
        tick: Processor seconds of a tick with the letter's records.
    """
    near, far = LETTER
    local = [each.cost for each in rounds if each.domains == 1]
    spread = rounds[-1].cost

    def extrapolate(name: str) -> float:
        line = statistics.linear_regression(
            [cost.near for cost in local],
            [float(getattr(cost, name)) for cost in local],
        )
        base = line.intercept + line.slope * spread.near
        for_far = (getattr(spread, name) - base) / spread.far
        return line.intercept + line.slope * near + float(for_far) * far

    return Cost(
        near=near,
        far=far,
        sent=extrapolate('sent'),
        messages=extrapolate('messages'),
        on_wire=extrapolate('on_wire'),
        processor=extrapolate('processor') + tick,
    )


async def measure_tick(records: int) -> float:
    """Return the processor seconds of a tick with so many records."""
    host = HostId('alone')
    identity = identity_of(host, DomainId('domain-0'))
    ledger = Ledger(time.thread_time)
    context = MemberContext(SystemClock(), random.Random(1), ledger, FAST)
    made = create_member_table(identity, context.clock, FAST)
    for number in range(records):
        domain = DomainId(f'domain-{number % DOMAINS}')
        other = identity_of(HostId(f'host-{number:03}'), domain)
        made[0].merge(Record(other, 0, Presence.LIVE), Origin.SYNC, host)
    links = NoLinks()
    async with Members(context, links, *made):
        await asyncio.sleep(FAST * TICKS)
    return ledger.costs()['members'].processor_seconds / links.ticks


def report(rounds: Sequence[Round], letter: Cost) -> str:
    """Return the table."""
    lines = [_TITLE]
    for each in rounds:
        size = f'{each.hosts:5} {each.domains:3}'
        spread = '{:5.2f} {:5.2f}'.format(*each.spread)
        detection = '{:5.2f} {:5.2f}'.format(*each.detection)
        times = f'{each.joined:6.1f}   {spread}   {detection}'
        lines.append(f'{size} {_columns(each.cost)}   {times}')
        process = f'process {each.process:.2%}, {each.wrong} wrong verdicts'
        lines.append(f'{"+-":>9} {_columns(each.deviation)}   {process}')
    size = f'{HOSTS:5} {DOMAINS:3}'
    lines.append(f'{size} {_columns(letter)}   extrapolated')
    return '\n'.join((*lines, ''))


def main() -> int:
    """Measure all rounds, print the table and write the results."""
    rounds = [uvloop.run(measure(*each)) for each in ROUNDS]
    tick = uvloop.run(measure_tick(HOSTS))
    letter = letter_cost(rounds, tick)
    sys.stdout.write(report(rounds, letter))
    sys.stdout.write(f'a tick with {HOSTS} records: {tick:.6f} s\n')
    WRITTEN.parent.mkdir(exist_ok=True)
    written = {
        'rounds': [asdict(each) for each in rounds],
        'letter': asdict(letter),
        'tick': tick,
    }
    WRITTEN.write_text(json.dumps(written, indent=1))
    return 0


async def _join(
    stack: AsyncExitStack,
    hosts: int,
    domains: int,
) -> tuple[list[MeshHost], float]:
    """Start hosts; return them and the seconds until all knew all."""
    began = time.monotonic()
    mesh: list[MeshHost] = []
    for number in range(hosts):
        domain = DomainId(f'domain-{number % domains}')
        seeds = tuple(host.table.identity.address for host in mesh[:1])
        host = MeshHost(number, domain, seeds)
        mesh.append(await stack.enter_async_context(host))
    await _times(mesh, lambda host: _knows(host, hosts))
    return mesh, time.monotonic() - began


async def _measure_leaving(mesh: list[MeshHost]) -> list[float]:
    """Let a host leave; return when each other knew."""
    leaving = mesh.pop()
    leaving.members.leave()
    return await _times(
        mesh,
        lambda host: host.presence_of(leaving.host) is Presence.LEAVING,
    )


async def _measure_silence(mesh: list[MeshHost]) -> list[float]:
    """Let a host fall silent; return when each other gave it up."""
    silent = mesh.pop()
    silent.clock.pause()
    return await _times(
        mesh,
        lambda host: host.presence_of(silent.host) is Presence.GONE,
    )


async def _measure_cost(mesh: list[MeshHost]) -> tuple[list[Cost], float]:
    before = [host.total() for host in mesh]
    began, process = time.monotonic(), time.process_time()
    await asyncio.sleep(WINDOW)
    seconds = time.monotonic() - began
    costs = [
        host.cost_since(total, seconds)
        for host, total in zip(mesh, before, strict=True)
    ]
    return costs, (time.process_time() - process) / seconds


async def _times(
    mesh: list[MeshHost],
    condition: Callable[[MeshHost], bool],
) -> list[float]:
    """Return after how many seconds a condition held at each host.

    Where it never held, the patience stands.
    """
    began = time.monotonic()
    waiting = list(mesh)
    times: list[float] = []
    while waiting and time.monotonic() - began < PATIENCE:
        await asyncio.sleep(LOOK)
        still = [host for host in waiting if not condition(host)]
        now = time.monotonic() - began
        times.extend(now for _ in range(len(waiting) - len(still)))
        waiting = still
    times.extend(PATIENCE for _ in waiting)
    return times


def _knows(host: MeshHost, hosts: int) -> bool:
    return len(host.members.members()) == hosts - 1


def _combine(
    costs: list[Cost],
    combine: Callable[[list[float]], float],
) -> Cost:
    rows = [asdict(cost) for cost in costs]
    return Cost(
        **{name: combine([row[name] for row in rows]) for name in rows[0]},
    )


def _columns(cost: Cost) -> str:
    """Return the cost in the columns of the title."""
    links = f'{cost.near:5.1f} {cost.far:5.1f}'
    volume = f'{cost.sent:7.0f} {cost.on_wire:8.0f} {cost.messages:6.1f}'
    return f'{links} {volume} {cost.processor:7.2%}'


if __name__ == '__main__':
    sys.exit(main())
