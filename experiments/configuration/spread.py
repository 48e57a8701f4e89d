"""Measures how long a configuration change takes to reach all hosts.

Run as ``python -m experiments.configuration.spread``. The hosts run in one
process, with the real configuration code and real links over loopback. Their
platform is in memory and takes some milliseconds for a call. Printed are the
times for a preset switch, with and without announcements to peers, and for a
withdrawal while the platform is down.
"""

import asyncio
import random
import statistics
import sys
import time
from contextlib import AsyncExitStack
from typing import Any, Final
from unittest.mock import patch

from absl import logging

from experiments.configuration.hosts import (
    PRESETS,
    ConfigurationHost,
    HostPlacement,
    make_document,
)
from experiments.configuration.memory_platform import MemoryPlatform
from experiments.processes import LOOPBACK
from nutmegroad.configuration import announcements
from nutmegroad.foundations.accounting import Ledger
from nutmegroad.foundations.clocks import SystemClock
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    Epoch,
    HostId,
    Incarnation,
    OperatorId,
    PresetName,
    VersionId,
)
from nutmegroad.membership._handshake import Identity
from nutmegroad.membership._link_context import LinkContext
from nutmegroad.membership._member_context import (
    MemberContext,
    create_member_table,
)
from nutmegroad.membership.links import Links
from nutmegroad.membership.members import Members

#: Numbers of hosts to measure.
SIZES: Final = (8, 24, 48)
RUNS: Final = 5
#: Runs without announcements; each takes a polling period.
POLL_RUNS: Final = 3
DOMAINS: Final = 3
#: Timeout of each wait, in seconds.
TIMEOUT: Final = 25
#: Seconds between looks at the hosts.
CHECK_INTERVAL: Final = 0.002
_OPERATOR: Final = OperatorId('measurer')


class LinkedHosts:
    """Hosts with real links over loopback, in one process.

    Args:
        size: Number of hosts; also the seed of their random choices.

    Attributes:
        clock: The clock that all hosts share.
        randomness: Source of all random choices.
        platform: The platform in memory that all hosts share.
        hosts: The hosts.
        ledgers: Records what each host spends, in the order of the hosts.
    """

    def __init__(self, size: int) -> None:
        self.clock = SystemClock()
        self.randomness = random.Random(size)
        self.platform = MemoryPlatform(self.clock, self.randomness)
        self.hosts: list[ConfigurationHost] = []
        self.ledgers: list[Ledger] = []
        self._size = size
        self._seeds: tuple[Address, ...] = ()
        self._members: list[Members] = []
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> 'LinkedHosts':
        """Start all hosts, and wait until each knows all the others."""
        self._stack.push_async_callback(self.platform.aclose)
        for number in range(self._size):
            await self._start(number)
        async with asyncio.timeout(TIMEOUT):
            while any(
                len(mesh.members()) < self._size - 1 for mesh in self._members
            ):
                await asyncio.sleep(0.1)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop all hosts and close their links."""
        await asyncio.gather(*(host.stop() for host in self.hosts))
        await self._stack.aclose()

    async def wait(self, revision: int, withdrawals: int) -> float:
        """Wait until all hosts have a revision and a number of withdrawals.

        Returns:
            Seconds waited.
        """
        began = time.perf_counter()
        async with asyncio.timeout(TIMEOUT):
            while not all(
                host.configuration.revision >= revision
                and len(host.configuration.withdrawals) >= withdrawals
                for host in self.hosts
            ):
                await asyncio.sleep(CHECK_INTERVAL)
        return time.perf_counter() - began

    async def _start(self, number: int) -> None:
        """Start one host; the first few hosts are the seeds of later ones."""
        placement = HostPlacement(
            HostId(f'host-{number}'),
            DomainId(f'domain-{number % DOMAINS}'),
        )
        identity = Identity(
            host=placement.host,
            incarnation=Incarnation(f'{placement.host}.1'),
            generation=1,
            domain=placement.domain,
            ip=LOOPBACK,
            port=0,
        )
        ledger = Ledger(time.thread_time)
        table, reachability = create_member_table(identity, self.clock, 1)
        link_context = LinkContext(
            key=b'a key for measurements',
            clock=self.clock,
            randomness=self.randomness,
            nonces=random.SystemRandom(),
            account=ledger,
        )
        links = await self._stack.enter_async_context(
            Links(link_context, table)
        )
        member_context = MemberContext(
            clock=self.clock,
            randomness=self.randomness,
            account=ledger,
            seeds=self._seeds,
        )
        members = Members(member_context, links, table, reachability)
        await self._stack.enter_async_context(members)
        if len(self._seeds) < DOMAINS:
            self._seeds = (*self._seeds, table.identity.address)
        host = ConfigurationHost(
            placement,
            self.clock,
            self.platform,
            links,
            self.randomness,
        )
        host.start()
        self.hosts.append(host)
        self.ledgers.append(ledger)
        self._members.append(members)


def _announce_to_nobody(
    announcer: announcements.Announcer,
    count: int,
) -> None:
    """Replace the announcement to peers, so that hosts only poll."""


async def _switch(hosts: LinkedHosts, number: int) -> float:
    """Switch the preset at a random host; return seconds to reach all."""
    host = hosts.randomness.choice(hosts.hosts)
    preset = PresetName(PRESETS[number % len(PRESETS)])
    head: Any = await host.changes.switch_preset(preset, _OPERATOR, None)
    return await hosts.wait(head.revision, 0)


async def _withdraw(hosts: LinkedHosts, number: int) -> float:
    """Withdraw a version at a random host; return seconds until all know.

    Used while the platform is down. The number is the withdrawn epoch.
    """
    host = hosts.randomness.choice(hosts.hosts)
    version = VersionId('small@1')
    withdrawal = host.changes.withdraw_version(
        version, Epoch(number), _OPERATOR
    )
    task = asyncio.ensure_future(withdrawal)
    began = time.perf_counter()
    async with asyncio.timeout(TIMEOUT):
        while not all(
            other.configuration.is_withdrawn(version, Epoch(number))
            for other in hosts.hosts
        ):
            await asyncio.sleep(CHECK_INTERVAL)
    seconds = time.perf_counter() - began
    await task
    return seconds


async def measure(size: int) -> None:
    """Measure one number of hosts, and print the results."""
    async with LinkedHosts(size) as hosts:
        first = hosts.hosts[0].changes
        await first.apply(make_document(0), None, _OPERATOR, None)
        await hosts.wait(1, 0)
        times = [await _switch(hosts, number) for number in range(RUNS)]
        _print_times(size, 'push and poll', times)
        with patch.object(
            announcements.Announcer, '_announce', _announce_to_nobody
        ):
            times = [
                await _switch(hosts, number) for number in range(POLL_RUNS)
            ]
        _print_times(size, 'poll only', times)
        hosts.platform.faults.down = True
        times = [await _withdraw(hosts, number) for number in range(RUNS)]
        _print_times(size, 'withdrawal, platform down', times)
        costs = [
            ledger.costs().get('configuration') for ledger in hosts.ledgers
        ]
        sent_bytes = [cost.sent_bytes for cost in costs if cost is not None]
        sys.stdout.write(
            f'{size:3} hosts  configuration bytes sent by a host in the whole '
            f'run: median {statistics.median(sent_bytes):.0f}\n',
        )


def _print_times(size: int, way: str, times: list[float]) -> None:
    """Print minimum, median and maximum of some times, in seconds."""
    sys.stdout.write(
        f'{size:3} hosts  {way:26}  least {min(times):.3f} s  median '
        f'{statistics.median(times):.3f} s  most {max(times):.3f} s  '
        f'({len(times)} runs)\n',
    )
    sys.stdout.flush()


def main() -> None:
    """Measure every number of hosts."""
    logging.set_verbosity(logging.FATAL)
    for size in SIZES:
        asyncio.run(measure(size))


if __name__ == '__main__':
    main()
