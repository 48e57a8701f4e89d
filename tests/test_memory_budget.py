"""The bytes that a host holds for others, and who gets them.

Eighty callers who sent bodies of 4 MiB slowly made a host of 300 MB use 622 MB,
and short requests beside them were refused.
"""

import asyncio
import unittest
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any, Final, cast

from experiments.virtual_time import (
    VirtualClock,
    VirtualLoop,
    run_on_virtual_loop,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from nutmegroad.overload.memory_budget import (
    MAX_WAIT,
    SMALL_BYTES,
    HeldPart,
    MemoryBudget,
    Shortage,
    memory_budget,
)
from nutmegroad.testing.virtual import ManualClock
from tests.relay_case import RelayCase

MEGABYTE: Final = 1_048_576
BODY: Final = 4 * MEGABYTE
TOTAL: Final = 40 * MEGABYTE
SHORT: Final = 1000
UNAVAILABLE: Final = 503


def run(work: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine on virtual time."""
    run_on_virtual_loop(VirtualLoop(), work)


def new_budget() -> MemoryBudget:
    """Return a budget on the running virtual loop."""
    loop = cast(VirtualLoop, asyncio.get_running_loop())
    return MemoryBudget(TOTAL, VirtualClock(loop))


@dataclass(frozen=True)
class Request:
    """A request of a play.

    Attributes:
        arrives: Virtual seconds at which it arrives.
        body: Bytes of its body.
        is_announced: Whether its length is known before it is read.
        lasts: Seconds from its admission to its end.
        answer: Bytes of its answer.
        leaves: Seconds after which its caller leaves.
        owner: Its workspace.
    """

    arrives: float
    body: int
    is_announced: bool
    lasts: float
    answer: int
    leaves: float
    owner: str


requests = st.builds(
    Request,
    arrives=st.floats(0, 5),
    body=st.sampled_from((SHORT, SMALL_BYTES, SMALL_BYTES + 1, BODY, 3 * BODY)),
    is_announced=st.booleans(),
    lasts=st.floats(0, 3),
    answer=st.sampled_from((0, SHORT, BODY)),
    leaves=st.floats(0.1, 6),
    owner=st.sampled_from(('one', 'two')),
)


async def serve(budget: MemoryBudget, request: Request) -> None:
    """Hold what a request needs, as a host does."""
    await asyncio.sleep(request.arrives)
    holding = budget.open(request.owner)
    parts = 1 if request.is_announced else 4
    try:
        for _ in range(parts):
            began = asyncio.get_running_loop().time()
            size = request.body // parts
            shortage = await holding.reserve(HeldPart.BODY, size)
            waited = asyncio.get_running_loop().time() - began
            assert waited <= MAX_WAIT + 0.01, waited
            if shortage is not None:
                assert shortage.retry_after > 0
                return
            await asyncio.sleep(request.lasts / parts)
        holding.extend(HeldPart.ANSWER, request.answer)
        await asyncio.sleep(request.lasts)
    finally:
        holding.close()
        holding.close()


class AccountTest(unittest.TestCase):
    """The account, whatever the order in which requests end."""

    @settings(deadline=None, max_examples=120)
    @given(st.lists(requests, max_size=40))
    def test_account_is_exact(self, play: list[Request]) -> None:
        """Never more than the total, never negative, zero in the end."""

        async def play_all() -> None:
            budget = new_budget()
            tasks = [asyncio.create_task(serve(budget, each)) for each in play]
            loop = asyncio.get_running_loop()
            for task, request in zip(tasks, play, strict=True):
                loop.call_later(request.leaves, task.cancel)
            while not all(task.done() for task in tasks):
                self.assertLessEqual(budget.used, TOTAL)
                self.assertGreaterEqual(budget.free, 0)
                self.assertGreaterEqual(budget.used, budget.bodies)
                self.assertGreaterEqual(budget.bodies, 0)
                await asyncio.sleep(0.05)
            for task in tasks:
                if not task.cancelled():
                    task.result()
            self.assertEqual((budget.used, budget.waiting), (0, 0))
            self.assertEqual(budget.free, budget._large_total)
            self.assertFalse(budget._by_owner)
            self.assertFalse(budget._holders)

        run(play_all())

    def test_small_requests_pass_while_large_ones_are_full(self) -> None:
        """Guards against short requests that fail beside large bodies."""

        async def play() -> None:
            budget = new_budget()
            budget.open().extend(HeldPart.BODY, budget.free)
            large = await budget.open('two').reserve(HeldPart.BODY, BODY)
            self.assertIsInstance(large, Shortage)
            for _ in range(40):
                small = budget.open('two')
                self.assertIsNone(await small.reserve(HeldPart.BODY, SHORT))

        run(play())

    def test_one_owner_does_not_take_all(self) -> None:
        """Another workspace finds room, however many the first one sends."""

        async def play() -> None:
            budget = new_budget()
            for _ in range(20):
                await budget.open('one').reserve(HeldPart.BODY, BODY)
            other = budget.open('two')
            self.assertIsNone(await other.reserve(HeldPart.BODY, BODY))

        run(play())

    def test_body_beyond_a_share_is_admitted_alone(self) -> None:
        """It would be refused for ever at a host with little memory."""

        async def play() -> None:
            budget = new_budget()
            size = budget.free
            holding = budget.open('one')
            for part in (size // 2, size - size // 2):
                shortage = await holding.reserve(HeldPart.BODY, part)
                self.assertIsNone(shortage)
            holding.close()
            await budget.open('one').reserve(HeldPart.BODY, BODY)
            late = budget.open('one')
            self.assertIsNotNone(await late.reserve(HeldPart.BODY, size))

        run(play())

    def test_waiting_body_is_not_passed_by_later_ones(self) -> None:
        """Guards against large bodies that starve behind smaller ones."""

        async def play() -> None:
            budget = new_budget()
            first = budget.open()
            first.extend(HeldPart.BODY, budget.free)
            order: list[int] = []

            async def wait(number: int, size: int) -> None:
                holding = budget.open(f'owner {number}')
                if await holding.reserve(HeldPart.BODY, size) is None:
                    order.append(number)

            sizes = (4 * BODY, BODY, 2 * SMALL_BYTES)
            tasks = [
                asyncio.create_task(wait(number, size))
                for number, size in enumerate(sizes)
            ]
            await asyncio.sleep(MAX_WAIT / 2)
            first.close()
            await asyncio.gather(*tasks)
            self.assertEqual(order, [0, 1, 2])

        run(play())

    def test_refused_caller_that_returns_in_time_finds_room(self) -> None:
        """Callers are told when a body that is arriving will have ended."""

        async def play() -> None:
            budget = new_budget()
            loop = asyncio.get_running_loop()
            for number in range(7):
                holding = budget.open(f'owner {number}')
                await holding.reserve(HeldPart.BODY, BODY)
                loop.call_later(4, holding.close)
                loop.call_later(1, setattr, holding, 'received', BODY // 4)
            await asyncio.sleep(1.5)
            budget._large = budget._large_total
            late = budget.open('late')
            shortage = await late.reserve(HeldPart.BODY, BODY)
            assert shortage is not None
            self.assertGreater(loop.time() + shortage.retry_after, 4)

        run(play())

    def test_total_follows_from_the_limit_and_the_process(self) -> None:
        """A host of 300 MB that needs 50 MB itself stays within 240."""
        budget = memory_budget(300, ManualClock(), lambda: 50 * MEGABYTE)
        self.assertLess(budget.total + 50 * MEGABYTE, 0.8 * 300 * MEGABYTE)
        self.assertGreater(budget.total, 300 * MEGABYTE / 4)


class LargeBodyTest(RelayCase):
    """Bodies at a host that has no room for them."""

    async def asyncSetUp(self) -> None:
        """Allow large bodies, and hold what there is for large requests."""
        await super().asyncSetUp()
        limits = {'maxBodyBytes': 2 * BODY}
        self.rig.configure(2, limits=limits)
        await self.rig.until(lambda: self.rig.host.configuration_version == 2)
        self.memory = self.rig.host._context.memory
        self.held = self.memory.open()
        self.held.extend(HeldPart.BODY, self.memory.free)

    async def test_it_is_refused_before_it_is_read(self) -> None:
        """The refusal proves that it did not run, and names a time."""
        status, headers, _ = await self.rig.ask('/pay/1', body=b'x' * BODY)
        self.assertEqual(status, UNAVAILABLE)
        self.assertEqual(headers['Nutmegroad-Not-Executed'], '1')
        self.assertGreater(float(headers['Retry-After']), 0)
        self.assertFalse(self.rig.seen('r1'))

    async def test_short_requests_are_served(self) -> None:
        """They have a part of their own."""
        status, _, _ = await self.rig.ask('/pay/1', body=b'x' * SHORT)
        self.assertEqual(status, 200)

    async def test_everything_is_given_back(self) -> None:
        """A large body and a large answer are held until their request ends."""
        self.held.close()
        status, _, _ = await self.rig.ask('/look/1', body=b'x' * BODY)
        self.assertEqual(status, 200)
        await self.rig.until(lambda: self.memory.used == 0)
