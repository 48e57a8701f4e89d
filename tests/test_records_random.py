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
    claim_request,
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
        self.hosts = {name: rig.start_host(name) for name in NAMES}
        self.runs: Counter[str] = Counter()
        self.must_be_billed: set[str] = set()
        self.tickets: list[tuple[str, str]] = []
        self.request_count = 0

    async def step(self) -> None:
        """Perform one random action."""
        act = self.randomness.choices(
            (
                self.send,
                self.send_twice,
                self.inject_fault,
                self.terminate,
                self.advance_clock,
            ),
            (8, 4, 3, 1, 2),
        )[0]
        await act()

    async def inject_fault(self) -> None:
        """Enable a random platform fault for one to three calls."""
        kind, scope = self.randomness.choice(FAULTS)
        self._rig.add_fault(kind, scope, count=self.randomness.randint(1, 3))

    async def terminate(self) -> None:
        """Terminate a host, which loses its memory, and restart it.

        If a host and its receiver terminate within one flush period, their
        records are lost. This is the known cost of a single receiver, so all
        hosts store and copy their records before each termination.
        """
        await self.run_periodic_duties()
        name = self.randomness.choice(NAMES)
        self._rig.mesh.remove(self.hosts[name].peer.host)
        self.hosts[name] = self._rig.start_host(name)

    async def advance_clock(self) -> None:
        """Advance the clock and perform the periodic duties of all hosts."""
        await self._rig.clock.jump(self.randomness.choice((1, LEASE, 30)))
        await self.run_periodic_duties()

    async def run_periodic_duties(self) -> None:
        """Let each host store or copy its records and outcomes."""
        for host in self.hosts.values():
            await timed(self._rig, host.at_most_once.settle_pending())
            host.record_copies.take_over()
            await timed(self._rig, host.sender.flush())

    async def send(self) -> None:
        """Send a request with a key or a ticket, often a used one."""
        claim, work = self.random_claim()
        await self.send_to(self.random_host(), claim, work)

    async def send_twice(self) -> None:
        """Send the same request to two hosts concurrently."""
        claim, work = self.random_claim()
        self.request_count += 1
        again = claim_request(
            self.request_count, key=claim.key, ticket=claim.ticket
        )
        await asyncio.gather(
            self.send_to(self.random_host(), claim, work),
            self.send_to(self.random_host(), again, work),
        )

    def one_in(self, number: int) -> bool:
        """Return True with a probability of one in ``number``."""
        return not self.randomness.randrange(number)

    def random_host(self) -> Host:
        """Return a random host."""
        return self.hosts[self.randomness.choice(NAMES)]

    def random_claim(self) -> tuple[ClaimRequest, str]:
        """Return a random claim and the name of its work.

        Claims with the same key or ticket have the same work, which must be
        executed at most once.
        """
        self.request_count += 1
        deadline = self._rig.clock.now() + 20
        if self.one_in(2):
            key = self.randomness.choice(KEYS)
            return claim_request(
                self.request_count, key=key, deadline=deadline
            ), key
        if not self.tickets or self.one_in(3):
            ticket = str(self.random_host().issuer.issue(WORKSPACE))
            self.tickets.append((ticket, f't{self.request_count}'))
        ticket, work = self.randomness.choice(self.tickets)
        claim = claim_request(
            self.request_count, key='', ticket=ticket, deadline=deadline
        )
        return claim, work

    async def send_to(self, host: Host, claim: ClaimRequest, work: str) -> None:
        """Send a request to a host; record whether it must be billed."""
        runner = Runner(host.at_most_once, host.biller, host.sender)

        async def attempt(fence: Fence) -> RequestResult:
            """Send one attempt and return its result."""
            return RequestResult(self.send_attempt(fence, work), record)

        record = BillingRecord(claim.request, WORKSPACE, 'portal', 1)
        coroutine = runner.run(claim, attempt, lambda: record)
        outcome = await timed(self._rig, coroutine)
        if isinstance(outcome, RequestResult):
            self.must_be_billed.add(claim.request)

    def send_attempt(self, fence: Fence, work: str) -> ServiceReply | Refusal:
        """Send one attempt, whose reply may be lost before or after it ran."""
        attempt_fence = fence.new_attempt()
        refusal = attempt_fence.admit()
        if refusal is not None:
            return refusal
        if self.one_in(5):
            attempt_fence.record_end(NOT_RUN)
            return NOT_RUN
        if self.one_in(5):
            return UNKNOWN
        self.runs[work] += 1
        if self.one_in(5):
            return UNKNOWN
        return ServiceReply(200, work.encode(), 'text/plain')


async def timed(rig: RecordsRig, coroutine: object) -> object:
    """Await a coroutine while the clock advances in small steps."""
    task = asyncio.ensure_future(coroutine)  # type: ignore[call-overload]
    while not task.done():
        await asyncio.sleep(0.0005)
        await rig.clock.advance(0.01)
    return await task


class RandomRecordsTest(unittest.IsolatedAsyncioTestCase):
    """Runs all seeds."""

    async def test_nothing_runs_twice_and_every_answer_is_billed(
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
            await fleet.run_periodic_duties()
            bills = await read_bills(rig.objects)
            assert isinstance(bills, dict)
            self.assertLessEqual(fleet.must_be_billed, set(bills))
            return fleet.request_count


if __name__ == '__main__':
    unittest.main()
