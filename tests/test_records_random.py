"""Random requests at random hosts under random platform faults.

Guards against a second execution and against requests without a billing
record. Seeds are fixed;
``SEEDS=200 python -m unittest tests.test_records_random`` runs more of them.
"""

import asyncio
import os
import random
import sys
import unittest
from collections import Counter

from fakes.faults import FaultKind

from nutmegroad.contracts.fences import Fence
from nutmegroad.contracts.upstreams import ServiceReply
from nutmegroad.foundations.results import Refusal
from nutmegroad.records.at_most_once import LEASE, ClaimRequest
from nutmegroad.records.billing import BillingRecord, read_bills
from nutmegroad.records.record_copies import TERMINATED_AFTER
from nutmegroad.records.runs import RequestResult, Runner
from tests.records_rig import (
    NOT_RUN,
    UNKNOWN,
    WORKSPACE,
    Host,
    RecordsRig,
    order,
)

SEEDS = int(os.environ.get('SEEDS', '6'))
STEPS = 50
NAMES = ('one', 'two', 'three')
KEYS = tuple(f'k{number}' for number in range(12))
FAULTS = (
    (FaultKind.LOSE_REPLY, 'table'),
    (FaultKind.STALE, 'table'),
    (FaultKind.DOWN, 'table'),
    (FaultKind.LOSE_REPLY, 'objects'),
    (FaultKind.DOWN, 'objects'),
)


class Fleet:
    """Hosts that terminate and restart, and the executions they caused."""

    def __init__(self, rig: RecordsRig, randomness: random.Random) -> None:
        self._rig = rig
        self.randomness = randomness
        self.hosts = {name: rig.host(name) for name in NAMES}
        self.runs: Counter[str] = Counter()
        self.billed: set[str] = set()
        self.tickets: list[tuple[str, str]] = []
        self.numbers = 0

    async def step(self) -> None:
        """Perform one random action."""
        act = self.randomness.choices(
            (self.call, self.call_twice, self.fault, self.die, self.wait),
            (8, 4, 3, 1, 2),
        )[0]
        await act()

    async def fault(self) -> None:
        """Enable a random platform fault for one to three calls."""
        kind, scope = self.randomness.choice(FAULTS)
        self._rig.fault(kind, scope, count=self.randomness.randint(1, 3))

    async def die(self) -> None:
        """Terminate a host, which loses its memory, and restart it.

        If a host and its receiver terminate within one flush period, their
        records are lost. This is the known cost of a single receiver, so all
        hosts store and copy their records before each termination.
        """
        await self.do_duties()
        name = self.randomness.choice(NAMES)
        self._rig.mesh.remove(self.hosts[name].peer.host)
        self.hosts[name] = self._rig.host(name)

    async def wait(self) -> None:
        """Advance the clock and perform the periodic duties of all hosts."""
        await self._rig.clock.jump(self.randomness.choice((1, LEASE, 30)))
        await self.do_duties()

    async def do_duties(self) -> None:
        """Let each host store or copy its records and outcomes."""
        for host in self.hosts.values():
            await timed(self._rig, host.once.settle_pending())
            host.keeper.take_over()
            await timed(self._rig, host.sender.flush())

    async def call(self) -> None:
        """Send a request with a key or a ticket, often a used one."""
        wanted, work = self.order()
        await self.make(self.host(), wanted, work)

    async def call_twice(self) -> None:
        """Send the same request to two hosts concurrently."""
        wanted, work = self.order()
        self.numbers += 1
        again = order(self.numbers, key=wanted.key, ticket=wanted.ticket)
        await asyncio.gather(
            self.make(self.host(), wanted, work),
            self.make(self.host(), again, work),
        )

    def one_in(self, many: int) -> bool:
        """Return True with a probability of one in ``many``."""
        return not self.randomness.randrange(many)

    def host(self) -> Host:
        """Return a random host."""
        return self.hosts[self.randomness.choice(NAMES)]

    def order(self) -> tuple[ClaimRequest, str]:
        """Return an order and the name of its piece of work."""
        self.numbers += 1
        deadline = self._rig.clock.now() + 20
        if self.one_in(2):
            key = self.randomness.choice(KEYS)
            return order(self.numbers, key=key, deadline=deadline), key
        if not self.tickets or self.one_in(3):
            ticket = str(self.host().issuer.issue(WORKSPACE))
            self.tickets.append((ticket, f't{self.numbers}'))
        ticket, work = self.randomness.choice(self.tickets)
        wanted = order(self.numbers, key='', ticket=ticket, deadline=deadline)
        return wanted, work

    async def make(self, host: Host, wanted: ClaimRequest, work: str) -> None:
        """Send a request to a host; record whether it must be billed."""
        runner = Runner(host.once, host.biller, host.sender)

        async def attempt(fence: Fence) -> RequestResult:
            """Act as the upstream."""
            return RequestResult(self.attempt(fence, work), record)

        record = BillingRecord(wanted.request, WORKSPACE, 'portal', 1)
        coming = runner.run(wanted, attempt, lambda: record)
        outcome = await timed(self._rig, coming)
        if isinstance(outcome, RequestResult):
            self.billed.add(wanted.request)

    def attempt(self, fence: Fence, work: str) -> ServiceReply | Refusal:
        """Send one attempt; its reply may be lost before or after execution."""
        attempt_fence = fence.attempt()
        refusal = attempt_fence.check()
        if refusal is not None:
            return refusal
        if self.one_in(5):
            attempt_fence.end(NOT_RUN)
            return NOT_RUN
        if self.one_in(5):
            return UNKNOWN
        self.runs[work] += 1
        if self.one_in(5):
            return UNKNOWN
        return ServiceReply(200, work.encode(), 'text/plain')


async def timed(rig: RecordsRig, coming: object) -> object:
    """Await a coroutine while the clock advances in small steps."""
    task = asyncio.ensure_future(coming)  # type: ignore[call-overload]
    while not task.done():
        await asyncio.sleep(0.0005)
        await rig.clock.advance(0.01)
    return await task


class RandomRecordsTest(unittest.IsolatedAsyncioTestCase):
    """Runs all seeds."""

    async def test_nothing_runs_twice_and_all_that_ended_is_billed(
        self,
    ) -> None:
        calls = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                calls += await self.run_seed(seed)
        sys.stdout.write(f'{SEEDS} seeds, {calls} calls\n')

    async def run_seed(self, seed: int) -> int:
        """Run one seed; return the number of requests."""
        async with RecordsRig() as rig:
            fleet = Fleet(rig, random.Random(seed))
            for _ in range(STEPS):
                await fleet.step()
                self.assertLessEqual(max(fleet.runs.values(), default=0), 1)
            rig.platform.faults.clear()
            await rig.clock.jump(TERMINATED_AFTER)
            await fleet.do_duties()
            bills = await read_bills(rig.objects)
            assert isinstance(bills, dict)
            self.assertLessEqual(fleet.billed, set(bills))
            return fleet.numbers


if __name__ == '__main__':
    unittest.main()
