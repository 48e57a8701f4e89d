"""Seconds until a change is in force on all hosts of one process.

The hosts' real objects and real links run on loopback before a platform in
memory that takes some milliseconds for a call.
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
    HostNames,
    TrialHost,
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

SIZES: Final = (8, 24, 48)
RUNS: Final = 5
#: Runs without push, each of which takes a poll's period.
POLL_RUNS: Final = 3
DOMAINS: Final = 3
LIMIT: Final = 25
_OPERATOR: Final = OperatorId('measurer')


class LinkedHosts:
    """Hosts with real links, in one process.

    Args:
        size: How many.
    """

    def __init__(self, size: int) -> None:
        self.clock = SystemClock()
        self.randomness = random.Random(size)
        self.platform = MemoryPlatform(self.clock, self.randomness)
        self.hosts: list[TrialHost] = []
        self.ledgers: list[Ledger] = []
        self._size = size
        self._seeds: tuple[Address, ...] = ()
        self._members: list[Members] = []
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> 'LinkedHosts':
        """Start all hosts, and wait until each knows all others."""
        self._stack.push_async_callback(self.platform.aclose)
        for number in range(self._size):
            await self._start(number)
        async with asyncio.timeout(LIMIT):
            while any(
                len(mesh.members()) < self._size - 1 for mesh in self._members
            ):
                await asyncio.sleep(0.1)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """End all."""
        await asyncio.gather(*(host.stop() for host in self.hosts))
        await self._stack.aclose()

    async def wait(self, revision: int, withdrawals: int) -> float:
        """Return seconds until all hosts have both."""
        began = time.perf_counter()
        async with asyncio.timeout(LIMIT):
            while not all(
                host.configuration.revision >= revision
                and len(host.configuration.withdrawals) >= withdrawals
                for host in self.hosts
            ):
                await asyncio.sleep(0.002)
        return time.perf_counter() - began

    async def _start(self, number: int) -> None:
        names = HostNames(
            HostId(f'host-{number}'),
            DomainId(f'domain-{number % DOMAINS}'),
        )
        identity = Identity(
            host=names.host,
            incarnation=Incarnation(f'{names.host}.1'),
            generation=1,
            domain=names.domain,
            ip=LOOPBACK,
            port=0,
        )
        ledger = Ledger(time.thread_time)
        table, reachability = create_member_table(identity, self.clock, 1)
        context = LinkContext(
            key=b'a key for measurements',
            clock=self.clock,
            randomness=self.randomness,
            nonces=random.SystemRandom(),
            account=ledger,
        )
        links = await self._stack.enter_async_context(Links(context, table))
        about = MemberContext(
            clock=self.clock,
            randomness=self.randomness,
            account=ledger,
            seeds=self._seeds,
        )
        members = Members(about, links, table, reachability)
        await self._stack.enter_async_context(members)
        if len(self._seeds) < DOMAINS:
            self._seeds = (*self._seeds, table.identity.address)
        host = TrialHost(
            names,
            self.clock,
            self.platform,
            links,
            self.randomness,
        )
        host.start()
        self.hosts.append(host)
        self.ledgers.append(ledger)
        self._members.append(members)


def _tell_nobody(announcer: announcements.Announcer, count: int) -> None:
    """Take the push out."""


async def _switch(hosts: LinkedHosts, number: int) -> float:
    """Switch the preset at a drawn host; return seconds until all have it."""
    host = hosts.randomness.choice(hosts.hosts)
    preset = PresetName(PRESETS[number % len(PRESETS)])
    head: Any = await host.changes.switch_preset(preset, _OPERATOR, None)
    return await hosts.wait(head.revision, 0)


async def _withdraw(hosts: LinkedHosts, number: int) -> float:
    """Withdraw while the platform is down; return seconds until all know."""
    host = hosts.randomness.choice(hosts.hosts)
    version = VersionId('small@1')
    work = host.changes.withdraw_version(version, Epoch(number), _OPERATOR)
    task = asyncio.ensure_future(work)
    began = time.perf_counter()
    async with asyncio.timeout(LIMIT):
        while not all(
            one.configuration.is_withdrawn(version, Epoch(number))
            for one in hosts.hosts
        ):
            await asyncio.sleep(0.002)
    took = time.perf_counter() - began
    await task
    return took


async def measure(size: int) -> None:
    """Measure one size and print a line for each way."""
    async with LinkedHosts(size) as hosts:
        first = hosts.hosts[0].changes
        await first.apply(make_document(0), None, _OPERATOR, None)
        await hosts.wait(1, 0)
        took = [await _switch(hosts, number) for number in range(RUNS)]
        _show(size, 'push and poll', took)
        with patch.object(announcements.Announcer, '_tell', _tell_nobody):
            took = [await _switch(hosts, number) for number in range(POLL_RUNS)]
        _show(size, 'poll only', took)
        hosts.platform.faults.down = True
        took = [await _withdraw(hosts, number) for number in range(RUNS)]
        _show(size, 'withdrawal, platform down', took)
        costs = [
            ledger.costs().get('configuration') for ledger in hosts.ledgers
        ]
        sent = [cost.sent_bytes for cost in costs if cost is not None]
        sys.stdout.write(
            f'{size:3} hosts  configuration bytes sent by a host in the whole '
            f'run: median {statistics.median(sent):.0f}\n',
        )


def _show(size: int, way: str, took: list[float]) -> None:
    """Print one line."""
    sys.stdout.write(
        f'{size:3} hosts  {way:26}  least {min(took):.3f} s  median '
        f'{statistics.median(took):.3f} s  most {max(took):.3f} s  '
        f'({len(took)} runs)\n',
    )
    sys.stdout.flush()


def main() -> None:
    """Measure all sizes."""
    logging.set_verbosity(logging.FATAL)
    for size in SIZES:
        asyncio.run(measure(size))


if __name__ == '__main__':
    main()
