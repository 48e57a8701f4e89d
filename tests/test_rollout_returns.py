"""Rollouts while the platform's store is restored from a backup.

A host knows an order by the position of its row. The position changes when the
store is restored, and again when the operator writes a row that the backup
lacks. The failure, found by reading the code: hosts took each such row for a
new order, started a version again that had been rolled back, and reduced the
traffic share of one that had succeeded. In these tests each order is given only
once.
"""

import asyncio
import json
import unittest
from typing import Final

from fakes.row_store import StoreCopy

from nutmegroad.canary.order_matching import OrderMatch, is_behind, match_order
from nutmegroad.canary.rollout_registry import (
    DOUBT_PERIOD,
    START_DEFERRAL,
    RolloutRegistry,
)
from nutmegroad.canary.rollouts import RolloutOrder, RolloutRow, Stage
from nutmegroad.fleet.eras import position
from nutmegroad.fleet.store_interface import FLEET_TABLE
from nutmegroad.foundations.types import ServiceName
from nutmegroad.upstreams.directory import SoftwareVersion
from tests.relay_rig import Rig

DESK: Final = ServiceName('desk')
ROW: Final = 'rollout/desk'
#: Seconds for the order. No requests are sent meanwhile, so it is rolled back.
DURATION: Final = 2
ENDED: Final = Stage.ROLLED_BACK.value
#: Seconds within which all writes that follow a restore are made.
SETTLED: Final = 1.5


class RestoreTest(unittest.IsolatedAsyncioTestCase):
    """Two hosts that have rolled a version back."""

    async def asyncSetUp(self) -> None:
        """Start the hosts, order a rollout and wait for its end."""
        self.rig = await self.enterAsyncContext(Rig(workers=2, hosts=2))
        self.rig.store.era = 1
        self.rig.register(1, version='v2')
        await self.rig.start()
        self.before = self.rig.store.snapshot()
        self.order()
        await self.rig.until(lambda: self.stage == Stage.CANARY.value)
        self.under_way = self.rig.store.snapshot()
        await self.rig.until(lambda: self.state == 'rolled_back')
        await asyncio.sleep(0.2)

    @property
    def stage(self) -> str:
        """Stage that the hosts have written."""
        row = self.rig.store.content(FLEET_TABLE, ROW)
        return json.loads(row)['stage'] if row else ''

    @property
    def state(self) -> str:
        """State that is reported to the operator."""
        row = self.rig.store.content('status', ROW)
        return json.loads(row)['state'] if row else ''

    def order(self, to: str = 'v2') -> None:
        """Write an order."""
        order = {'service': DESK, 'to': to, 'durationS': DURATION}
        self.rig.store.put('op', ROW, json.dumps(order).encode())

    def stages_since(self, moment: int) -> list[str]:
        """Return the stages written after a number of writes."""
        return [
            json.loads(content)['stage']
            for table, key, content in self.rig.store.writes[moment:]
            if (table, key) == (FLEET_TABLE, ROW)
        ]

    def come_back(self, copy: StoreCopy) -> int:
        """Restore the store; return the number of writes before that."""
        self.rig.store.restore(copy)
        return len(self.rig.store.writes)

    async def until_settled(self) -> None:
        """Wait until the operator has the result, and some time beyond."""
        await self.rig.until(lambda: self.state == 'rolled_back')
        await asyncio.sleep(SETTLED)

    async def test_an_ended_roll_out_stays_ended(self) -> None:
        """Nothing is lost; only the positions of the rows change."""
        moment = self.come_back(self.rig.store.snapshot())
        await self.until_settled()
        self.assertEqual(self.stages_since(moment), [])

    async def test_a_lost_end_is_written_again(self) -> None:
        """The end is written once, and not decided a second time."""
        moment = self.come_back(self.under_way)
        await self.until_settled()
        self.assertEqual(self.stages_since(moment), [ENDED])

    async def test_a_lost_order_is_the_same_once_it_is_written(self) -> None:
        """The operator writes the lost order some time later."""
        moment = self.come_back(self.before)
        await asyncio.sleep(0.3)
        self.order()
        await self.until_settled()
        self.assertEqual(self.stages_since(moment), [ENDED])

    async def test_it_holds_through_two_restores(self) -> None:
        """The second restore happens while the first is being repaired."""
        moment = self.come_back(self.before)
        self.order()
        await asyncio.sleep(0.1)
        self.come_back(self.under_way)
        await self.until_settled()
        self.assertEqual(set(self.stages_since(moment)), {ENDED})

    async def test_a_host_that_starts_then_begins_nothing(self) -> None:
        """The host knows the order by its new position."""
        moment = self.come_back(self.before)
        self.order()
        await self.rig.add_host()
        await self.until_settled()
        self.assertEqual(self.stages_since(moment), [ENDED])

    async def test_a_host_that_starts_later_begins_nothing(self) -> None:
        """No host is left that knew the order by its first position."""
        moment = self.come_back(self.rig.store.snapshot())
        await asyncio.sleep(SETTLED)
        for host in self.rig.hosts:
            await host.close()
        await self.rig.add_host()
        await asyncio.sleep(START_DEFERRAL + SETTLED)
        self.assertEqual(self.stages_since(moment), [])

    async def test_a_later_order_is_begun(self) -> None:
        """A later order is started even if it asks for the same version."""
        moment = self.come_back(self.rig.store.snapshot())
        await asyncio.sleep(SETTLED)
        self.order()
        trial = Stage.CANARY.value
        await self.rig.until(lambda: trial in self.stages_since(moment))


class AdoptionTest(unittest.TestCase):
    """Numbers by which hosts know one order."""

    def setUp(self) -> None:
        """Create a host that knows an order from before a restore."""
        self.first = position(1, 50)
        self.again = position(2, 40)
        self.witness = self.a_book(self.first)
        self.witness.apply_progress(
            DESK, self.row(self.first, Stage.FULL), self.first
        )
        self.witness.apply_order(self.order(self.again))

    def a_book(self, number: int) -> RolloutRegistry:
        """Return the registry of a host that first saw an order there."""
        book = RolloutRegistry(float, lambda _: None)
        book.apply_order(self.order(number))
        return book

    def order(self, number: int) -> RolloutOrder:
        """Return an order."""
        return RolloutOrder(DESK, SoftwareVersion('v2'), 20, number)

    def row(self, number: int, stage: Stage) -> RolloutRow:
        """Return a row with the progress of an order."""
        return RolloutRow(number, stage.value, 0, to='v2', duration=20)

    def number(self, book: RolloutRegistry) -> int:
        """Return the number by which a host knows the order."""
        rollout = book.rollout(DESK)
        assert rollout is not None
        return rollout.order.number

    def test_who_starts_later_takes_the_number_of_the_others(self) -> None:
        """It adopts the number even if it has started the order meanwhile."""
        begun = self.row(self.again, Stage.CANARY)
        known = self.row(self.first, Stage.FULL)
        newcomer = self.a_book(self.again)
        newcomer.apply_progress(DESK, begun, position(2, 41))
        self.witness.apply_progress(DESK, begun, position(2, 41))
        self.assertEqual(self.witness.to_restore[0].row, known)
        for book in (newcomer, self.witness):
            book.apply_progress(DESK, known, position(2, 42))
            self.assertEqual(self.number(book), self.first)
            self.assertEqual(book.to_restore, ())

    def test_who_has_seen_no_stage_follows_who_has(self) -> None:
        """One host received the order before the restore, others did not.

        Found by the model: that host started the order again although the
        others had ended it. They adopted its number and lost the end.
        """
        alone = self.a_book(self.first)
        alone.apply_order(self.order(self.again))
        ended = self.row(self.again, Stage.ROLLED_BACK)
        alone.apply_progress(DESK, ended, position(2, 41))
        self.assertEqual(self.number(alone), self.again)
        self.assertEqual(alone.active, ())

    def test_an_end_stays_whatever_the_number(self) -> None:
        """The end is written under the number that the other hosts use."""
        ended = self.row(self.again, Stage.ROLLED_BACK)
        other = self.a_book(self.again)
        other.apply_progress(DESK, ended, position(2, 41))
        begun = self.row(self.first, Stage.CANARY)
        other.apply_progress(DESK, begun, position(2, 42))
        self.assertEqual(self.number(other), self.first)
        self.assertIs(other.to_restore[0].stage, Stage.ROLLED_BACK)

    def test_a_later_order_is_not_taken_for_the_one_before(self) -> None:
        """A host that knows both orders keeps them apart; others follow it."""
        later = position(2, 60)
        self.witness.apply_order(self.order(later))
        newcomer = self.a_book(later)
        newcomer.apply_progress(
            DESK,
            self.row(self.first, Stage.ROLLED_BACK),
            position(2, 41),
        )
        self.assertEqual(self.number(newcomer), self.first)
        begun = self.row(later, Stage.CANARY)
        for book in (newcomer, self.witness):
            book.apply_progress(DESK, begun, position(2, 61))
            self.assertEqual(self.number(book), later)
            self.assertEqual(book.to_restore, ())

    def test_a_doubtful_order_is_taken_in_the_end(self) -> None:
        """It is accepted if nobody writes the known order again."""
        now = 0.0
        book = RolloutRegistry(lambda: now, lambda _: None)
        book.apply_order(self.order(self.first))
        other = RolloutOrder(DESK, SoftwareVersion('v1'), 20, self.again)
        book.apply_order(other)
        book.accept_doubtful()
        self.assertEqual(self.number(book), self.first)
        now = DOUBT_PERIOD
        book.accept_doubtful()
        self.assertEqual(self.number(book), self.again)


class OrderMatchTest(unittest.TestCase):
    """Relation of an operator's row to the order that a host knows."""

    known = RolloutOrder(DESK, SoftwareVersion('v2'), 20, position(1, 50))

    def seen(self, era: int, version: int, to: str = 'v2') -> OrderMatch:
        """Compare a row with the known order."""
        number = position(era, version)
        order = RolloutOrder(DESK, SoftwareVersion(to), 20, number)
        return match_order(self.known, self.known.number, order)

    def test_within_an_era_positions_tell(self) -> None:
        """Within an era only the positions count."""
        self.assertIs(self.seen(1, 50), OrderMatch.KNOWN)
        self.assertIs(self.seen(1, 40, 'v1'), OrderMatch.KNOWN)
        self.assertIs(self.seen(1, 51), OrderMatch.NEW)

    def test_the_same_order_in_a_later_era(self) -> None:
        """The row is in the backup, or was written again at any position."""
        for version in (50, 40, 60):
            self.assertIs(self.seen(2, version), OrderMatch.SAME_ORDER)

    def test_another_order_in_a_later_era(self) -> None:
        """An order that may be an earlier one in the backup has to wait."""
        self.assertIs(self.seen(2, 40, 'v1'), OrderMatch.DOUBTFUL)
        self.assertIs(self.seen(2, 51, 'v3'), OrderMatch.NEW)

    def test_a_first_end_holds(self) -> None:
        """Two hosts may reach different verdicts before and after a restore."""
        trial, opened = self.row(Stage.CANARY, 1), self.row(Stage.FULL, 2)
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
        """Return a row that entered a stage at a time."""
        return RolloutRow(self.known.number, stage.value, 0, since=since)
