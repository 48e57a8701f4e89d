"""Tests of the manual clock and the in-memory mesh, the test helpers."""

import asyncio
import random
import unittest

from nutmegroad.contracts.peers import Message
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import DomainId, HostId, Ran
from nutmegroad.testing.virtual import (
    ManualClock,
    MemoryMesh,
    NetworkFaults,
    PausableClock,
)

ONE = HostId('one')
TWO = HostId('two')


class Ping(Message, frozen=True, tag='test-ping'):
    """Requests the next number."""

    number: int


class Pong(Message, frozen=True, tag='test-pong'):
    """Replies with the next number."""

    number: int


class ClockTest(unittest.IsolatedAsyncioTestCase):
    """Tests of the manual clock and of pausing a host."""

    async def test_sleepers_wake_in_order_of_their_due_time(self) -> None:
        clock = ManualClock()
        wakeups: list[tuple[str, float]] = []

        async def wake(name: str, seconds: float) -> None:
            await clock.sleep(seconds)
            wakeups.append((name, clock.now()))

        tasks = [
            asyncio.ensure_future(wake(name, seconds))
            for name, seconds in (('late', 2), ('early', 1), ('never', 9))
        ]
        await clock.advance(3)
        self.assertEqual(wakeups, [('early', 1), ('late', 2)])
        self.assertEqual((clock.now(), clock.sleepers), (3, 1))
        tasks[-1].cancel()

    async def test_sleeps_of_a_paused_host_return_only_after_it_resumes(
        self,
    ) -> None:
        clock = ManualClock()
        host_clock = PausableClock(clock)
        sleeping = asyncio.ensure_future(host_clock.sleep(1))
        host_clock.pause()
        await clock.advance(5)
        self.assertFalse(sleeping.done())
        host_clock.resume()
        await clock.settle()
        self.assertTrue(sleeping.done())
        self.assertEqual(host_clock.now(), 5)


class MemoryMeshTest(unittest.IsolatedAsyncioTestCase):
    """Tests of messages between two hosts in memory."""

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.mesh = MemoryMesh(self.clock, random.Random(7))
        await self.enterAsyncContext(self.mesh)
        self.one = self.mesh.join(ONE, DomainId('east'))
        self.two = self.mesh.join(TWO, DomainId('west'))
        self.numbers: list[int] = []
        self.two.handle(Ping, self.answer)

    async def answer(self, host: HostId, ping: Ping) -> Pong:
        self.numbers.append(ping.number)
        return Pong(ping.number + 1)

    async def ask(self) -> Message | Refusal:
        request = asyncio.ensure_future(self.one.request(TWO, Ping(1), 2))
        await self.clock.advance(3)
        return await request

    async def test_a_request_is_answered(self) -> None:
        self.assertEqual(await self.ask(), Pong(2))

    async def test_a_cut_link_loses_messages_silently(self) -> None:
        self.mesh.cut_domain(DomainId('west'))
        self.assertTrue(self.one.send(TWO, Ping(1)))
        reply = await self.ask()
        assert isinstance(reply, Refusal)
        self.assertEqual((reply.ran, self.numbers), (Ran.UNKNOWN, []))
        self.mesh.heal_domain(DomainId('west'))
        self.assertEqual(await self.ask(), Pong(2))

    async def test_a_noticed_cut_refuses_messages_immediately(self) -> None:
        self.mesh.cut(ONE, TWO, noticed=True)
        self.assertFalse(self.one.send(TWO, Ping(1)))
        reply = await self.one.request(TWO, Ping(1), 2)
        assert isinstance(reply, Refusal)
        self.assertEqual(reply.ran, Ran.NOT_RUN)
        self.assertEqual(self.one.members(), ())

    async def test_order_is_preserved_unless_reordering_is_configured(
        self,
    ) -> None:
        self.mesh.faults = NetworkFaults(delay=(0.001, 1))
        for reorder, in_order in ((0, True), (1, False)):
            with self.subTest(reorder=reorder):
                self.numbers.clear()
                self.mesh.faults.reorder = reorder
                for number in range(20):
                    self.one.send(TWO, Ping(number))
                await self.clock.advance(5)
                self.assertEqual(sorted(self.numbers), list(range(20)))
                self.assertEqual(self.numbers == list(range(20)), in_order)

    async def test_messages_are_dropped_and_duplicated_as_configured(
        self,
    ) -> None:
        cases: dict[str, list[int]] = {'drop': [], 'duplicate': [5, 5]}
        for name, received in cases.items():
            with self.subTest(name):
                self.numbers.clear()
                self.mesh.faults = NetworkFaults()
                setattr(self.mesh.faults, name, 1)
                self.one.send(TWO, Ping(5))
                await self.clock.advance(1)
                self.assertEqual(self.numbers, received)
