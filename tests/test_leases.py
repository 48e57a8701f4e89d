"""Leases: one holder at a time, whatever is lost, paused or down."""

import asyncio
import itertools
import random
import unittest

from nutmegroad.configuration.leases import Lease, LeaseKeeper
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Incarnation
from nutmegroad.testing.virtual import ManualClock, PausableClock
from tests.tables import MemoryTable

TERM = 8.0
NAME = 'orders/d'


class LeaseCase(unittest.IsolatedAsyncioTestCase):
    """Two keepers on one table; their clocks may be apart."""

    async def asyncSetUp(self) -> None:
        """Make them."""
        self.table = MemoryTable()
        self.clocks = (ManualClock(), ManualClock(start=5000))
        self.one = self.keeper('a', self.clocks[0])
        self.two = self.keeper('b', self.clocks[1])

    def keeper(self, name: str, clock: ManualClock) -> LeaseKeeper:
        """Return a keeper."""
        numbers = itertools.count()
        return LeaseKeeper(
            Incarnation(name),
            self.table,
            clock,
            lambda: f'{name}{next(numbers)}',
            TERM,
        )

    async def advance(self, seconds: float) -> None:
        """Let time go on for both."""
        for clock in self.clocks:
            await clock.advance(seconds)

    async def taken(self, keeper: LeaseKeeper) -> Lease:
        """Return a lease that must be had."""
        lease = await keeper.keep(NAME)
        if isinstance(lease, Refusal):
            self.fail(lease.reason)
        return lease

    async def refused(self, keeper: LeaseKeeper, code: ResultCode) -> None:
        """Demand that there is no lease."""
        lease = await keeper.keep(NAME)
        self.assertIsInstance(lease, Refusal)
        self.assertEqual(getattr(lease, 'code', None), code)


class RandomisedTest(unittest.IsolatedAsyncioTestCase):
    """Slow, lost and late calls, and hosts that sleep, by seeds."""

    async def test_numbers_in_use_never_go_back(self) -> None:
        for seed in range(3):
            with self.subTest(seed=seed):
                used = await self.run_hosts(random.Random(seed))
                self.assertEqual(used, sorted(used))
                self.assertGreater(len(set(used)), 1)

    async def run_hosts(self, chance: random.Random) -> list[int]:
        """Let three hosts strive for a lease; return the numbers used."""
        clock = ManualClock()
        table = MemoryTable()
        used: list[int] = []

        async def dawdle() -> None:
            table.lost_replies = int(chance.randrange(5) == 0)
            await clock.sleep(chance.choice((0, 0.1, 1, TERM)))

        table.before_reply = dawdle
        views = [PausableClock(clock) for _ in range(3)]
        tasks = [
            asyncio.ensure_future(strive(table, view, str(number), used))
            for number, view in enumerate(views)
        ]
        for _ in range(60):
            view = chance.choice(views)
            view.pause()
            await clock.advance(chance.choice((0.5, 2, 2 * TERM)))
            table.down = chance.randrange(10) == 0
            view.resume()
            await clock.advance(2)
        for task in tasks:
            task.cancel()
        return used


async def strive(
    table: MemoryTable,
    clock: PausableClock,
    name: str,
    used: list[int],
) -> None:
    """Keep a lease, and note its number right after each last look."""
    numbers = itertools.count()
    keeper = LeaseKeeper(
        Incarnation(name),
        table,
        clock,
        lambda: f'{name}/{next(numbers)}',
        TERM,
    )
    while True:
        lease = await keeper.keep(NAME)
        for _ in range(4):
            await clock.sleep(0.5)
            if isinstance(lease, Lease) and keeper.check(lease) is None:
                used.append(lease.number)


class LeaseTest(LeaseCase):
    async def test_a_renewed_lease_is_never_taken_over(self) -> None:
        lease = await self.taken(self.one)
        for _ in range(10):
            await self.refused(self.two, ResultCode.LEASE_HELD)
            await self.advance(TERM / 2)
            self.assertEqual((await self.taken(self.one)).number, lease.number)
        self.assertIsNone(self.one.check(lease))

    async def test_a_taker_waits_a_whole_term_of_its_own(self) -> None:
        old = await self.taken(self.one)
        await self.advance(TERM * 0.9)
        # The taker sees the row late, so it has to wait from then on.
        await self.refused(self.two, ResultCode.LEASE_HELD)
        await self.advance(TERM * 0.9)
        await self.refused(self.two, ResultCode.LEASE_HELD)
        await self.advance(TERM * 0.1)
        new = await self.taken(self.two)
        self.assertGreater(new.number, old.number)
        self.assertIsNotNone(self.one.check(old))

    async def test_the_holder_stops_a_margin_before_the_term(self) -> None:
        lease = await self.taken(self.one)
        await self.advance(TERM - self.one.margin - 0.01)
        self.assertIsNone(self.one.check(lease))
        await self.advance(0.02)
        self.assertIsNotNone(self.one.check(lease))
        self.assertIsNone(self.one.held(NAME))

    async def test_a_margin_asked_for_comes_on_top(self) -> None:
        lease = await self.taken(self.one)
        await self.advance(TERM - 2 * self.one.margin)
        self.assertIsNone(self.one.check(lease))
        self.assertIsNotNone(self.one.check(lease, self.one.margin))

    async def test_a_lost_reply_is_read_back_by_nonce(self) -> None:
        self.table.lost_replies = 1
        lease = await self.taken(self.one)
        self.assertIsNone(self.one.check(lease))
        self.table.lost_replies = 1
        renewed = await self.taken(self.one)
        self.assertEqual(renewed.number, lease.number)

    async def test_the_term_counts_from_before_a_slow_write(self) -> None:
        async def dawdle() -> None:
            await self.advance(TERM / 2)

        self.table.before_reply = dawdle
        lease = await self.taken(self.one)
        self.assertEqual(lease.expires, TERM - self.one.margin)

    async def test_with_the_table_down_nobody_acts(self) -> None:
        lease = await self.taken(self.one)
        await self.refused(self.two, ResultCode.LEASE_HELD)
        self.table.down = True
        await self.advance(3 * TERM)
        await self.refused(self.one, ResultCode.TABLE_UNAVAILABLE)
        await self.refused(self.two, ResultCode.TABLE_UNAVAILABLE)
        self.assertIsNotNone(self.one.check(lease))

    async def test_a_paused_holder_finds_its_lease_gone(self) -> None:
        old = await self.taken(self.one)
        await self.refused(self.two, ResultCode.LEASE_HELD)
        await self.advance(TERM)
        new = await self.taken(self.two)
        self.assertIsNotNone(self.one.check(old))
        await self.refused(self.one, ResultCode.LEASE_HELD)
        self.assertIsNone(self.two.check(new))

    async def test_a_given_up_lease_is_free_at_once(self) -> None:
        async with self.one:
            old = await self.taken(self.one)
        self.assertIsNotNone(self.one.check(old))
        new = await self.taken(self.two)
        self.assertEqual(new.number, old.number + 1)
