"""Tests that a lease has at most one holder at a time.

Replies may be lost, hosts paused and the table unavailable.
"""

import asyncio
import itertools
import random
import unittest

from nutmegroad.configuration.leases import Lease, LeaseManager
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Incarnation
from nutmegroad.testing.virtual import ManualClock, PausableClock
from tests.memory_table import MemoryTable

TERM = 8.0
NAME = 'orders/d'


class LeaseCase(unittest.IsolatedAsyncioTestCase):
    """Two hosts with leases on one table; their clocks differ."""

    async def asyncSetUp(self) -> None:
        """Create the table, the clocks and both hosts' leases."""
        self.table = MemoryTable()
        self.clocks = (ManualClock(), ManualClock(start=5000))
        self.first = self.lease_manager('a', self.clocks[0])
        self.second = self.lease_manager('b', self.clocks[1])

    def lease_manager(self, name: str, clock: ManualClock) -> LeaseManager:
        """Return the leases of one host."""
        numbers = itertools.count()
        return LeaseManager(
            Incarnation(name),
            self.table,
            clock,
            lambda: f'{name}{next(numbers)}',
            TERM,
        )

    async def advance(self, seconds: float) -> None:
        """Advance both clocks."""
        for clock in self.clocks:
            await clock.advance(seconds)

    async def acquire(self, manager: LeaseManager) -> Lease:
        """Acquire or renew the lease; fail the test if it is refused."""
        lease = await manager.acquire(NAME)
        if isinstance(lease, Refusal):
            self.fail(lease.reason)
        return lease

    async def assert_refused(
        self,
        manager: LeaseManager,
        code: ResultCode,
    ) -> None:
        """Check that the lease is refused with a code."""
        lease = await manager.acquire(NAME)
        self.assertIsInstance(lease, Refusal)
        self.assertEqual(getattr(lease, 'code', None), code)


class RandomisedTest(unittest.IsolatedAsyncioTestCase):
    """Slow calls, lost replies and paused hosts, by seed."""

    async def test_fencing_numbers_in_use_never_decrease(self) -> None:
        for seed in range(3):
            with self.subTest(seed=seed):
                used = await self.run_hosts(random.Random(seed))
                self.assertEqual(used, sorted(used))
                self.assertGreater(len(set(used)), 1)

    async def run_hosts(self, randomness: random.Random) -> list[int]:
        """Let three hosts compete for a lease; return the numbers used."""
        clock = ManualClock()
        table = MemoryTable()
        used: list[int] = []

        async def delay_reply() -> None:
            table.replies_to_lose = int(randomness.randrange(5) == 0)
            await clock.sleep(randomness.choice((0, 0.1, 1, TERM)))

        table.before_reply = delay_reply
        views = [PausableClock(clock) for _ in range(3)]
        tasks = [
            asyncio.ensure_future(compete(table, view, str(number), used))
            for number, view in enumerate(views)
        ]
        for _ in range(60):
            view = randomness.choice(views)
            view.pause()
            await clock.advance(randomness.choice((0.5, 2, 2 * TERM)))
            table.down = randomness.randrange(10) == 0
            view.resume()
            await clock.advance(2)
        for task in tasks:
            task.cancel()
        return used


async def compete(
    table: MemoryTable,
    clock: PausableClock,
    name: str,
    used: list[int],
) -> None:
    """Acquire and renew a lease, and record its number after each check."""
    numbers = itertools.count()
    manager = LeaseManager(
        Incarnation(name),
        table,
        clock,
        lambda: f'{name}/{next(numbers)}',
        TERM,
    )
    while True:
        lease = await manager.acquire(NAME)
        for _ in range(4):
            await clock.sleep(0.5)
            if isinstance(lease, Lease) and manager.check(lease) is None:
                used.append(lease.number)


class LeaseTest(LeaseCase):
    """Renewal, takeover, expiry and release of a lease."""

    async def test_renewed_lease_is_never_taken_over(self) -> None:
        lease = await self.acquire(self.first)
        for _ in range(10):
            await self.assert_refused(self.second, ResultCode.LEASE_HELD)
            await self.advance(TERM / 2)
            self.assertEqual(
                (await self.acquire(self.first)).number, lease.number
            )
        self.assertIsNone(self.first.check(lease))

    async def test_takeover_waits_a_full_term_on_its_own_clock(self) -> None:
        old = await self.acquire(self.first)
        await self.advance(TERM * 0.9)
        # The other host first reads the row now, so it waits a term from here.
        await self.assert_refused(self.second, ResultCode.LEASE_HELD)
        await self.advance(TERM * 0.9)
        await self.assert_refused(self.second, ResultCode.LEASE_HELD)
        await self.advance(TERM * 0.1)
        new = await self.acquire(self.second)
        self.assertGreater(new.number, old.number)
        self.assertIsNotNone(self.first.check(old))

    async def test_holder_stops_the_safety_margin_before_the_term_ends(
        self,
    ) -> None:
        lease = await self.acquire(self.first)
        await self.advance(TERM - self.first.margin - 0.01)
        self.assertIsNone(self.first.check(lease))
        await self.advance(0.02)
        self.assertIsNotNone(self.first.check(lease))
        self.assertIsNone(self.first.valid_lease(NAME))

    async def test_requested_margin_adds_to_the_safety_margin(self) -> None:
        lease = await self.acquire(self.first)
        await self.advance(TERM - 2 * self.first.margin)
        self.assertIsNone(self.first.check(lease))
        self.assertIsNotNone(self.first.check(lease, self.first.margin))

    async def test_lost_reply_is_resolved_by_nonce(self) -> None:
        self.table.replies_to_lose = 1
        lease = await self.acquire(self.first)
        self.assertIsNone(self.first.check(lease))
        self.table.replies_to_lose = 1
        renewed = await self.acquire(self.first)
        self.assertEqual(renewed.number, lease.number)

    async def test_term_counts_from_before_a_slow_write(self) -> None:
        async def delay_reply() -> None:
            await self.advance(TERM / 2)

        self.table.before_reply = delay_reply
        lease = await self.acquire(self.first)
        self.assertEqual(lease.expires, TERM - self.first.margin)

    async def test_no_host_acts_while_the_table_is_down(self) -> None:
        lease = await self.acquire(self.first)
        await self.assert_refused(self.second, ResultCode.LEASE_HELD)
        self.table.down = True
        await self.advance(3 * TERM)
        await self.assert_refused(self.first, ResultCode.TABLE_UNAVAILABLE)
        await self.assert_refused(self.second, ResultCode.TABLE_UNAVAILABLE)
        self.assertIsNotNone(self.first.check(lease))

    async def test_paused_holder_loses_its_lease(self) -> None:
        old = await self.acquire(self.first)
        await self.assert_refused(self.second, ResultCode.LEASE_HELD)
        await self.advance(TERM)
        new = await self.acquire(self.second)
        self.assertIsNotNone(self.first.check(old))
        await self.assert_refused(self.first, ResultCode.LEASE_HELD)
        self.assertIsNone(self.second.check(new))

    async def test_released_lease_is_free_immediately(self) -> None:
        async with self.first:
            old = await self.acquire(self.first)
        self.assertIsNotNone(self.first.check(old))
        new = await self.acquire(self.second)
        self.assertEqual(new.number, old.number + 1)
