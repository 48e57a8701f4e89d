"""Roll-outs while the platform's store comes back from a copy.

An order is known by its row's position, which changes whenever the store comes
back, and once more when the operator writes again what the copy lacks. Found by
reading: hosts took each such row for a new order, began a version that had been
rolled back anew, and put one that had succeeded back to a part of the traffic.
What proved it: the tests here, in which nothing is ordered but once.
"""

import asyncio
import json
import unittest
from typing import Final

from fakes.row_store import StoreCopy

from nutmegroad.canary.order_book import DOUBTED, START_PATIENCE, OrderBook
from nutmegroad.canary.orders import Sighting, is_behind, sight
from nutmegroad.canary.rollouts import RolloutOrder, RolloutRow, Stage
from nutmegroad.fleet.eras import position
from nutmegroad.fleet.stored import FLEET_TABLE
from nutmegroad.foundations.types import ServiceName
from nutmegroad.upstreams.directory import SoftwareVersion
from tests.relay_rig import Rig

DESK: Final = ServiceName('desk')
ROW: Final = 'rollout/desk'
#: Seconds of an order; nothing is asked meanwhile, so that it ends rolled back.
DURATION: Final = 2
ENDED: Final = Stage.ROLLED_BACK.value
#: Seconds after which whatever a return sets going has been written.
SETTLED: Final = 1.5


class ReturnTest(unittest.IsolatedAsyncioTestCase):
    """Two hosts that have rolled a version back."""

    async def asyncSetUp(self) -> None:
        """Start them, and let the operator order it."""
        self.rig = await self.enterAsyncContext(Rig(workers=2, hosts=2))
        self.rig.store.era = 1
        self.rig.register(1, version='v2')
        await self.rig.start()
        self.before = self.rig.store.copy()
        self.order()
        await self.rig.until(lambda: self.stage == Stage.TRIAL.value)
        self.under_way = self.rig.store.copy()
        await self.rig.until(lambda: self.state == 'rolled_back')
        await asyncio.sleep(0.2)

    @property
    def stage(self) -> str:
        """Return the stage that the hosts have written."""
        row = self.rig.store.content(FLEET_TABLE, ROW)
        return json.loads(row)['stage'] if row else ''

    @property
    def state(self) -> str:
        """Return what the operator is told."""
        row = self.rig.store.content('status', ROW)
        return json.loads(row)['state'] if row else ''

    def order(self, to: str = 'v2') -> None:
        """Write an order."""
        order = {'service': DESK, 'to': to, 'durationS': DURATION}
        self.rig.store.put('op', ROW, json.dumps(order).encode())

    def stages_since(self, moment: int) -> list[str]:
        """Return the stages that were written after so many writes."""
        return [
            json.loads(content)['stage']
            for table, key, content in self.rig.store.writes[moment:]
            if (table, key) == (FLEET_TABLE, ROW)
        ]

    def come_back(self, copy: StoreCopy) -> int:
        """Let the store come back; return how many writes there were."""
        self.rig.store.come_back(copy)
        return len(self.rig.store.writes)

    async def until_settled(self) -> None:
        """Wait until the operator is told of the end, and a while longer."""
        await self.rig.until(lambda: self.state == 'rolled_back')
        await asyncio.sleep(SETTLED)

    async def test_an_ended_roll_out_stays_ended(self) -> None:
        """Nothing was lost; only the versions mean something else."""
        moment = self.come_back(self.rig.store.copy())
        await self.until_settled()
        self.assertEqual(self.stages_since(moment), [])

    async def test_a_lost_end_is_written_again(self) -> None:
        """Once; it is not judged a second time."""
        moment = self.come_back(self.under_way)
        await self.until_settled()
        self.assertEqual(self.stages_since(moment), [ENDED])

    async def test_a_lost_order_is_the_same_once_it_is_written(self) -> None:
        """The operator writes it some time later."""
        moment = self.come_back(self.before)
        await asyncio.sleep(0.3)
        self.order()
        await self.until_settled()
        self.assertEqual(self.stages_since(moment), [ENDED])

    async def test_it_holds_through_two_returns(self) -> None:
        """The second while the first is being made good."""
        moment = self.come_back(self.before)
        self.order()
        await asyncio.sleep(0.1)
        self.come_back(self.under_way)
        await self.until_settled()
        self.assertEqual(set(self.stages_since(moment)), {ENDED})

    async def test_a_host_that_starts_then_begins_nothing(self) -> None:
        """It knows the order by the position that it has now."""
        moment = self.come_back(self.before)
        self.order()
        await self.rig.add_host()
        await self.until_settled()
        self.assertEqual(self.stages_since(moment), [ENDED])

    async def test_a_host_that_starts_later_begins_nothing(self) -> None:
        """When nobody is left who knew the order by its first position."""
        moment = self.come_back(self.rig.store.copy())
        await asyncio.sleep(SETTLED)
        for host in self.rig.hosts:
            await host.close()
        await self.rig.add_host()
        await asyncio.sleep(START_PATIENCE + SETTLED)
        self.assertEqual(self.stages_since(moment), [])

    async def test_a_later_order_is_begun(self) -> None:
        """Also if it asks for the same."""
        moment = self.come_back(self.rig.store.copy())
        await asyncio.sleep(SETTLED)
        self.order()
        trial = Stage.TRIAL.value
        await self.rig.until(lambda: trial in self.stages_since(moment))


class AdoptionTest(unittest.TestCase):
    """Numbers that hosts know one order by."""

    def setUp(self) -> None:
        """Make a host that knows an order from before a return."""
        self.first = position(1, 50)
        self.again = position(2, 40)
        self.witness = self.a_book(self.first)
        self.witness.progress(
            DESK, self.row(self.first, Stage.OPEN), self.first
        )
        self.witness.take(self.order(self.again))

    def a_book(self, number: int) -> OrderBook:
        """Return what a host knows that has seen an order first there."""
        book = OrderBook(float, lambda _: None)
        book.take(self.order(number))
        return book

    def order(self, number: int) -> RolloutOrder:
        """Return an order."""
        return RolloutOrder(DESK, SoftwareVersion('v2'), 20, number)

    def row(self, number: int, stage: Stage) -> RolloutRow:
        """Return how far an order is."""
        return RolloutRow(number, stage.value, 0, to='v2', duration=20)

    def number(self, book: OrderBook) -> int:
        """Return the number by which a host knows the order."""
        rollout = book.rollout(DESK)
        assert rollout is not None
        return rollout.order.number

    def test_who_starts_later_takes_the_number_of_the_others(self) -> None:
        """Also if it has begun the order under another one meanwhile."""
        begun = self.row(self.again, Stage.TRIAL)
        known = self.row(self.first, Stage.OPEN)
        newcomer = self.a_book(self.again)
        newcomer.progress(DESK, begun, position(2, 41))
        self.witness.progress(DESK, begun, position(2, 41))
        self.assertEqual(self.witness.lacking[0].row, known)
        for book in (newcomer, self.witness):
            book.progress(DESK, known, position(2, 42))
            self.assertEqual(self.number(book), self.first)
            self.assertEqual(book.lacking, ())

    def test_who_has_seen_no_stage_follows_who_has(self) -> None:
        """Pattern: one host heard of the order before the return, others not.

        Found by the model: that host began the order anew, where the others
        had ended it, and they took its number and lost the end.
        """
        alone = self.a_book(self.first)
        alone.take(self.order(self.again))
        ended = self.row(self.again, Stage.ROLLED_BACK)
        alone.progress(DESK, ended, position(2, 41))
        self.assertEqual(self.number(alone), self.again)
        self.assertEqual(alone.active, ())

    def test_an_end_stays_whatever_the_number(self) -> None:
        """It is written under the number that the others use."""
        ended = self.row(self.again, Stage.ROLLED_BACK)
        other = self.a_book(self.again)
        other.progress(DESK, ended, position(2, 41))
        begun = self.row(self.first, Stage.TRIAL)
        other.progress(DESK, begun, position(2, 42))
        self.assertEqual(self.number(other), self.first)
        self.assertIs(other.lacking[0].stage, Stage.ROLLED_BACK)

    def test_a_later_order_is_not_taken_for_the_one_before(self) -> None:
        """Whoever knows both keeps them apart; others follow."""
        later = position(2, 60)
        self.witness.take(self.order(later))
        newcomer = self.a_book(later)
        newcomer.progress(
            DESK,
            self.row(self.first, Stage.ROLLED_BACK),
            position(2, 41),
        )
        self.assertEqual(self.number(newcomer), self.first)
        begun = self.row(later, Stage.TRIAL)
        for book in (newcomer, self.witness):
            book.progress(DESK, begun, position(2, 61))
            self.assertEqual(self.number(book), later)
            self.assertEqual(book.lacking, ())

    def test_a_doubtful_order_is_taken_in_the_end(self) -> None:
        """If nobody writes the one again that it came after."""
        now = 0.0
        book = OrderBook(lambda: now, lambda _: None)
        book.take(self.order(self.first))
        other = RolloutOrder(DESK, SoftwareVersion('v1'), 20, self.again)
        book.take(other)
        book.settle()
        self.assertEqual(self.number(book), self.first)
        now = DOUBTED
        book.settle()
        self.assertEqual(self.number(book), self.again)


class SightTest(unittest.TestCase):
    """What a row of the operator's is to a host that knows an order."""

    known = RolloutOrder(DESK, SoftwareVersion('v2'), 20, position(1, 50))

    def seen(self, era: int, version: int, to: str = 'v2') -> Sighting:
        """Return what a row is."""
        number = position(era, version)
        order = RolloutOrder(DESK, SoftwareVersion(to), 20, number)
        return sight(self.known, self.known.number, order)

    def test_within_an_era_positions_tell(self) -> None:
        """As they always have."""
        self.assertIs(self.seen(1, 50), Sighting.KNOWN)
        self.assertIs(self.seen(1, 40, 'v1'), Sighting.KNOWN)
        self.assertIs(self.seen(1, 51), Sighting.NEW)

    def test_the_same_order_in_a_later_era(self) -> None:
        """In the copy, or written again before or after its first version."""
        for version in (50, 40, 60):
            self.assertIs(self.seen(2, version), Sighting.AGAIN)

    def test_another_order_in_a_later_era(self) -> None:
        """What the copy may hold from before is waited for."""
        self.assertIs(self.seen(2, 40, 'v1'), Sighting.DOUBTFUL)
        self.assertIs(self.seen(2, 51, 'v3'), Sighting.NEW)

    def test_a_first_end_holds(self) -> None:
        """Two hosts may have judged on either side of a return."""
        trial, opened = self.row(Stage.TRIAL, 1), self.row(Stage.OPEN, 2)
        first = self.row(Stage.SUCCEEDED, 3)
        second = self.row(Stage.ROLLED_BACK, 4)
        for later, earlier in (
            (opened, trial),
            (first, opened),
            (second, opened),
            (first, second),
        ):
            self.assertTrue(is_behind(earlier, later))
            self.assertFalse(is_behind(later, earlier))
        self.assertFalse(is_behind(first, first))

    def row(self, stage: Stage, since: float) -> RolloutRow:
        """Return a row that has been at a stage for a while."""
        return RolloutRow(self.known.number, stage.value, 0, since=since)
