"""Tests of billing: one record per request, whichever host stores it.

Guards against lost and doubled records when hosts terminate, peers do not
reply or the object store fails.
"""

import asyncio
import unittest

from fakes.faults import FaultKind

from nutmegroad.contracts.decisions import AttemptEnd, AttemptStart
from nutmegroad.foundations.results import ResultCode
from nutmegroad.foundations.types import (
    AttemptId,
    RequestId,
    TaskName,
    UpstreamId,
    VersionId,
    WorkspaceId,
)
from nutmegroad.records.billing import Biller, BillingRecord, read_bills
from nutmegroad.records.record_copies import HAND_TIMEOUT, TERMINATED_AFTER
from tests.records_rig import REMOTE_DOMAIN, Host, RecordsRig


def bill(request: str, cost: float = 0) -> BillingRecord:
    """Return a billing record."""
    return BillingRecord(request, 'head-office', 'dossier', 1, cost=cost)


def record_attempt(biller: Biller, request: str, cost: float) -> None:
    """Start and end an attempt of a request."""
    start = AttemptStart(
        AttemptId(f'{request}.{cost}'),
        RequestId(request),
        WorkspaceId('head-office'),
        TaskName('dossier'),
        VersionId('brief-large@6'),
        UpstreamId('engine'),
    )
    biller.started(start)
    biller.ended(AttemptEnd(start, ResultCode.OK, None, 1, 5, 5, cost, ''))


#: Real seconds that peers have to reply before the manual clock advances.
REPLY_TIMEOUT = 0.5


class BillingTest(unittest.IsolatedAsyncioTestCase):
    """Two hosts of one failure domain and one host of another."""

    async def asyncSetUp(self) -> None:
        """Start the hosts."""
        self.rig = await self.enterAsyncContext(RecordsRig())
        self.remote = self.rig.start_host('far', REMOTE_DOMAIN)
        self.one = self.rig.start_host('one')
        self.two = self.rig.start_host('two')

    async def copy_records(self, host: Host) -> bool:
        """Copy records to a peer while the clock advances."""
        copying = asyncio.ensure_future(host.sender.send_copies())
        # Peers reply over real sockets, which the manual clock does not
        # drive. On a busy machine the timeout would expire before they reply.
        await asyncio.wait((copying,), timeout=REPLY_TIMEOUT)
        while not copying.done():
            await self.rig.clock.advance(2 * HAND_TIMEOUT)
        return await copying

    async def billed_costs(self) -> dict[str, float]:
        """Return the cost by request that a reader finds."""
        bills = await read_bills(self.rig.objects)
        assert isinstance(bills, dict)
        return {request: record.cost for request, record in bills.items()}

    async def count_objects(self) -> int:
        """Return the number of stored objects."""
        names = await self.rig.objects.names('billing/')
        assert isinstance(names, tuple)
        return len(names)

    async def test_all_attempts_of_a_request_are_summed(self) -> None:
        for cost in (1, 2, 4):
            record_attempt(self.one.biller, 'r1', cost)
        record_attempt(self.one.biller, 'r2', 8)
        self.one.biller.record(bill('r1'))
        record_attempt(self.one.biller, 'r2', 16)
        self.one.biller.record(bill('r2'))
        await self.one.sender.flush()
        self.assertEqual({'r1': 7, 'r2': 24}, await self.billed_costs())

    async def test_a_request_is_recorded_once(self) -> None:
        self.one.biller.record(bill('r1'))
        with self.assertRaises(AssertionError):
            self.one.biller.record(bill('r1'))
        self.assertEqual(1, self.one.biller.pending)

    async def test_a_lost_reply_stores_the_same_object(self) -> None:
        # The HTTP library itself retries a lost PUT once.
        self.rig.add_fault(FaultKind.LOSE_REPLY, 'objects', count=2)
        self.one.biller.record(bill('r1', 1))
        self.assertIsNotNone(await self.one.biller.flush())
        self.one.biller.record(bill('r2', 2))
        self.assertIsNone(await self.one.biller.flush())
        self.assertEqual({'r1': 1, 'r2': 2}, await self.billed_costs())
        self.assertEqual(2, await self.count_objects())
        self.assertEqual(0, self.one.biller.pending)

    async def test_the_receiver_stores_records_of_a_terminated_host(
        self,
    ) -> None:
        self.one.biller.record(bill('r1', 1))
        self.assertTrue(await self.copy_records(self.one))
        self.one.biller.record(bill('r2', 2))
        self.assertTrue(await self.copy_records(self.one))
        self.assertEqual(
            (2, 0),
            (self.two.record_copies.held, self.remote.record_copies.held),
        )
        # The batch of a briefly unresponsive host is not taken over.
        self.two.record_copies.take_over()
        await self.two.sender.flush()
        self.assertEqual({}, await self.billed_costs())
        self.rig.mesh.remove(self.one.peer.host)
        await self.rig.clock.jump(TERMINATED_AFTER)
        self.two.record_copies.take_over()
        await self.two.sender.flush()
        self.assertEqual({'r1': 1, 'r2': 2}, await self.billed_costs())
        self.assertEqual(0, self.two.record_copies.held)

    async def test_a_receiver_has_a_receiver_while_nothing_can_be_stored(
        self,
    ) -> None:
        self.one.biller.record(bill('r1', 1))
        await self.copy_records(self.one)
        self.rig.mesh.remove(self.one.peer.host)
        await self.rig.clock.jump(TERMINATED_AFTER)
        self.two.record_copies.take_over()
        await self.copy_records(self.two)
        self.rig.mesh.remove(self.two.peer.host)
        await self.rig.clock.jump(TERMINATED_AFTER)
        self.remote.record_copies.take_over()
        await self.remote.sender.flush()
        self.assertEqual({'r1': 1}, await self.billed_costs())

    async def test_receivers_of_each_other_hold_a_batch_once(self) -> None:
        self.one.biller.record(bill('r1', 1))
        await self.copy_records(self.one)
        self.rig.mesh.remove(self.one.peer.host)
        for _ in range(3):
            await self.rig.clock.jump(TERMINATED_AFTER)
            for host in (self.two, self.remote):
                host.record_copies.take_over()
                await self.copy_records(host)
        self.assertEqual(1, self.two.biller.pending)
        self.assertEqual(1, self.remote.biller.pending)

    async def test_both_storing_a_batch_doubles_nothing(self) -> None:
        self.one.biller.record(bill('r1', 1))
        await self.copy_records(self.one)
        # The owner was only cut off, and its receiver stored a part of the
        # batch.
        self.rig.mesh.cut(self.one.peer.host, self.two.peer.host, noticed=True)
        await self.rig.clock.jump(TERMINATED_AFTER)
        self.two.record_copies.take_over()
        await self.two.sender.flush()
        self.one.biller.record(bill('r2', 2))
        await self.one.sender.flush()
        self.assertEqual({'r1': 1, 'r2': 2}, await self.billed_costs())

    async def test_the_same_batch_is_the_same_object(self) -> None:
        self.one.biller.record(bill('r1', 1))
        await self.copy_records(self.one)
        self.rig.mesh.cut(self.one.peer.host, self.two.peer.host, noticed=True)
        await self.rig.clock.jump(TERMINATED_AFTER)
        self.two.record_copies.take_over()
        await self.two.sender.flush()
        await self.one.sender.flush()
        self.assertEqual(1, await self.count_objects())

    async def test_a_stored_batch_is_released(self) -> None:
        self.one.biller.record(bill('r1', 1))
        await self.copy_records(self.one)
        await self.one.sender.flush()
        await self.rig.clock.advance(HAND_TIMEOUT)
        self.assertEqual(0, self.two.record_copies.held)

    async def test_a_new_receiver_gets_everything(self) -> None:
        self.one.biller.record(bill('r1', 1))
        await self.copy_records(self.one)
        self.rig.mesh.remove(self.two.peer.host)
        self.one.biller.record(bill('r2', 2))
        self.assertTrue(await self.copy_records(self.one))
        self.assertEqual(2, self.remote.record_copies.held)

    async def test_an_unresponsive_receiver_is_waited_for_once(self) -> None:
        self.rig.mesh.cut(self.one.peer.host, self.two.peer.host)
        self.one.biller.record(bill('r1', 1))
        # Another peer accepts this record, and all later ones while the
        # unresponsive peer is excluded.
        self.assertTrue(await self.copy_records(self.one))
        self.rig.mesh.heal_all()
        self.one.biller.record(bill('r2', 2))
        self.assertTrue(await self.copy_records(self.one))
        self.assertEqual(2, self.remote.record_copies.held)
        self.assertEqual(0, self.two.record_copies.held)

    async def test_a_stop_copies_unstored_records_to_two_peers(self) -> None:
        self.one.biller.record(bill('r1', 1))
        self.rig.add_fault(FaultKind.DOWN, 'objects', count=2)
        stopping = asyncio.ensure_future(self.one.sender.close())
        while not stopping.done():
            await asyncio.sleep(0)
            await self.rig.clock.advance(HAND_TIMEOUT / 5)
        # Right after the stop, the local one of the two peers terminates.
        self.rig.mesh.remove(self.one.peer.host)
        self.rig.mesh.remove(self.two.peer.host)
        self.remote.record_copies.take_over()
        await self.remote.sender.flush()
        self.assertEqual({'r1': 1}, await self.billed_costs())

    async def test_a_stop_copies_unstored_records_to_a_peer(self) -> None:
        self.one.biller.record(bill('r1', 1))
        self.rig.add_fault(FaultKind.DOWN, 'objects', count=2)
        stopping = asyncio.ensure_future(self.one.sender.close())
        while not stopping.done():
            await asyncio.sleep(0)
            await self.rig.clock.advance(HAND_TIMEOUT / 5)
        self.rig.mesh.remove(self.one.peer.host)
        self.two.record_copies.take_over()
        await self.two.sender.flush()
        self.assertEqual({'r1': 1}, await self.billed_costs())

    async def test_a_long_outage_is_bounded_and_logged(self) -> None:
        biller = Biller(
            self.rig.objects,
            self.one.peer.incarnation,
            self.rig.metrics,
            self.rig.invariants,
            max_unstored=1,
        )
        biller.record(bill('r1'))
        with self.assertLogs('absl', 'ERROR') as logs:
            biller.record(bill('r2', 2))
        self.assertIn('"request":"r2"', logs.output[0])
        self.assertEqual(1, biller.pending)


if __name__ == '__main__':
    unittest.main()
