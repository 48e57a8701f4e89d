"""Measures the cost and the speed of links and membership.

Run as ``python -m experiments.slopes.mesh``. The links and the membership of
all hosts run in one process, over real loopback; each round has more hosts.
A table is printed and the results are written to
``results/mesh_slopes.json``.
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

#: Numbers of hosts and of failure domains of each round.
ROUNDS: Final = ((10, 1), (20, 1), (44, 1), (90, 9))
#: Seconds to wait before the cost is measured, and seconds that it is
#: measured.
SETTLE_TIME: Final = 3
WINDOW: Final = 6
#: Timeout of each wait for a condition, in seconds.
TIMEOUT: Final = 12
#: Seconds between checks of a condition.
CHECK_INTERVAL: Final = 0.02
#: The event that counts hosts which were declared gone.
GONE_EVENT: Final = 'members_gone'
#: Size of the fleet to extrapolate to.
TARGET_HOSTS: Final = 400
TARGET_DOMAINS: Final = 9
#: A host's links within its failure domain and to other domains at that size;
#: each host opens 2 to each other domain and accepts as many.
TARGET_LINKS: Final = (43, 32)
#: Seconds between ticks, and their number, when the cost of a tick over the
#: membership records of that many hosts is measured.
TICK_INTERVAL: Final = 0.01
TICKS: Final = 150
RESULT_FILE: Final = Path('results/mesh_slopes.json')

_TITLE: Final = (
    'hosts dom  near   far     B/s +headers  msg/s    core   joined'
    '   leaving known   silence found'
)


@dataclass(frozen=True, slots=True)
class Round:
    """Results of one round; times are in seconds.

    Attributes:
        hosts: Number of hosts.
        domains: Number of failure domains.
        joined: From the first start until all hosts knew all others.
        cost: Mean cost of a host.
        deviation: Standard deviation of the cost between hosts.
        process: Processor seconds of the process per host and second.
        wrong: Live hosts that were declared gone, summed over all hosts.
        spread: Until half of the hosts, and until all of them, knew that a
            host was draining.
        detection: Until the first host, and until all hosts, declared an
            unresponsive host gone whose links stayed open.
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
    """Run one round with so many hosts in so many failure domains."""
    async with AsyncExitStack() as stack:
        mesh, joined = await _join(stack, hosts, domains)
        await asyncio.sleep(SETTLE_TIME)
        costs, process = await _measure_cost(mesh)
        spread = await _measure_draining(mesh)
        wrong = sum(host.ledger.events().get(GONE_EVENT, 0) for host in mesh)
        detection = await _measure_detection(mesh)
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


def extrapolate_cost(rounds: Sequence[Round], tick: float) -> Cost:
    """Return the cost of a host at the target size.

    Rounds with one failure domain give the cost without links and the cost
    of each local link; what the last round costs beyond that is due to its
    remote links. The processor time of a tick at the target size is added.

    Args:
        rounds: The measured rounds; the last has several domains.
        tick: Processor seconds of a tick over as many records as the target
            size has hosts.
    """
    near, far = TARGET_LINKS
    local = [each.cost for each in rounds if each.domains == 1]
    last = rounds[-1].cost

    def extrapolate(name: str) -> float:
        line = statistics.linear_regression(
            [cost.near for cost in local],
            [float(getattr(cost, name)) for cost in local],
        )
        base = line.intercept + line.slope * last.near
        per_remote_link = (getattr(last, name) - base) / last.far
        local_cost = line.intercept + line.slope * near
        return local_cost + float(per_remote_link) * far

    return Cost(
        near=near,
        far=far,
        sent=extrapolate('sent'),
        messages=extrapolate('messages'),
        on_wire=extrapolate('on_wire'),
        processor=extrapolate('processor') + tick,
    )


async def measure_tick(records: int) -> float:
    """Return the processor seconds of a tick over so many member records."""
    host = HostId('alone')
    identity = identity_of(host, DomainId('domain-0'))
    ledger = Ledger(time.thread_time)
    context = MemberContext(
        SystemClock(), random.Random(1), ledger, TICK_INTERVAL
    )
    table, reachability = create_member_table(
        identity, context.clock, TICK_INTERVAL
    )
    for number in range(records):
        domain = DomainId(f'domain-{number % TARGET_DOMAINS}')
        other = identity_of(HostId(f'host-{number:03}'), domain)
        table.merge(Record(other, 0, Presence.LIVE), Origin.SYNC, host)
    links = NoLinks()
    async with Members(context, links, table, reachability):
        await asyncio.sleep(TICK_INTERVAL * TICKS)
    return ledger.costs()['members'].processor_seconds / links.ticks


def format_table(rounds: Sequence[Round], target: Cost) -> str:
    """Return all rounds and the cost at the target size, as a table."""
    lines = [_TITLE]
    for each in rounds:
        size = f'{each.hosts:5} {each.domains:3}'
        spread = '{:5.2f} {:5.2f}'.format(*each.spread)
        detection = '{:5.2f} {:5.2f}'.format(*each.detection)
        times = f'{each.joined:6.1f}   {spread}   {detection}'
        lines.append(f'{size} {_columns(each.cost)}   {times}')
        process = f'process {each.process:.2%}, {each.wrong} wrong verdicts'
        lines.append(f'{"+-":>9} {_columns(each.deviation)}   {process}')
    size = f'{TARGET_HOSTS:5} {TARGET_DOMAINS:3}'
    lines.append(f'{size} {_columns(target)}   extrapolated')
    return '\n'.join((*lines, ''))


def main() -> int:
    """Measure all rounds, print the table and write the results."""
    rounds = [uvloop.run(measure(*each)) for each in ROUNDS]
    tick = uvloop.run(measure_tick(TARGET_HOSTS))
    target = extrapolate_cost(rounds, tick)
    sys.stdout.write(format_table(rounds, target))
    sys.stdout.write(f'a tick with {TARGET_HOSTS} records: {tick:.6f} s\n')
    RESULT_FILE.parent.mkdir(exist_ok=True)
    written = {
        'rounds': [asdict(each) for each in rounds],
        'letter': asdict(target),
        'tick': tick,
    }
    RESULT_FILE.write_text(json.dumps(written, indent=1))
    return 0


async def _join(
    stack: AsyncExitStack,
    hosts: int,
    domains: int,
) -> tuple[list[MeshHost], float]:
    """Start hosts; return them and the seconds until all knew all others."""
    began = time.monotonic()
    mesh: list[MeshHost] = []
    for number in range(hosts):
        domain = DomainId(f'domain-{number % domains}')
        seeds = tuple(host.table.identity.address for host in mesh[:1])
        host = MeshHost(number, domain, seeds)
        mesh.append(await stack.enter_async_context(host))
    await _times(mesh, lambda host: _knows_all(host, hosts))
    return mesh, time.monotonic() - began


async def _measure_draining(mesh: list[MeshHost]) -> list[float]:
    """Drain the last host; return seconds until others knew."""
    draining = mesh.pop()
    draining.members.leave()
    return await _times(
        mesh,
        lambda host: host.presence_of(draining.host) is Presence.LEAVING,
    )


async def _measure_detection(mesh: list[MeshHost]) -> list[float]:
    """Pause the last host; return seconds until others declared it gone."""
    paused = mesh.pop()
    paused.clock.pause()
    return await _times(
        mesh,
        lambda host: host.presence_of(paused.host) is Presence.GONE,
    )


async def _measure_cost(mesh: list[MeshHost]) -> tuple[list[Cost], float]:
    """Return each host's cost, and the process's use of the processor.

    The latter is in processor seconds per second.
    """
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

    Where it did not hold within the timeout, the timeout is given.
    """
    began = time.monotonic()
    waiting = list(mesh)
    times: list[float] = []
    while waiting and time.monotonic() - began < TIMEOUT:
        await asyncio.sleep(CHECK_INTERVAL)
        remaining = [host for host in waiting if not condition(host)]
        elapsed = time.monotonic() - began
        times.extend(elapsed for _ in range(len(waiting) - len(remaining)))
        waiting = remaining
    times.extend(TIMEOUT for _ in waiting)
    return times


def _knows_all(host: MeshHost, hosts: int) -> bool:
    return len(host.members.members()) == hosts - 1


def _combine(
    costs: list[Cost],
    combine: Callable[[list[float]], float],
) -> Cost:
    """Return a cost whose fields combine those of several costs."""
    rows = [asdict(cost) for cost in costs]
    return Cost(
        **{name: combine([row[name] for row in rows]) for name in rows[0]},
    )


def _columns(cost: Cost) -> str:
    """Return a cost in the columns of the table's title."""
    links = f'{cost.near:5.1f} {cost.far:5.1f}'
    volume = f'{cost.sent:7.0f} {cost.on_wire:8.0f} {cost.messages:6.1f}'
    return f'{links} {volume} {cost.processor:7.2%}'


if __name__ == '__main__':
    sys.exit(main())
