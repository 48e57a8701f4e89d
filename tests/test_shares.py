"""Tests of slots that are lent between hosts, and of load digests."""

import asyncio
import random
import unittest
from typing import ClassVar, Final

from nutmegroad.contracts.peers import Member
from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    HostId,
    Incarnation,
    Presence,
    WorkspaceId,
)
from nutmegroad.routing.admission import FairAdmitter
from nutmegroad.routing.fleet_load import DIGEST_LIFETIME, FleetLoad, LoadDigest
from nutmegroad.routing.shares import (
    LOAN_DURATION,
    ShareLedger,
    static_part,
    water_fill,
)
from nutmegroad.routing.slot_exchange import (
    CHECK_INTERVAL,
    DIGEST_INTERVAL,
    SlotExchange,
)
from nutmegroad.testing.virtual import ManualClock, MemoryMesh, NetworkFaults
from tests.routing_samples import AWAY, HOME, AdmittingHost, ask

_HOSTS: Final = ('a', 'b', 'c')
_SLOTS: Final = 30


class StaticPartTest(unittest.TestCase):
    def test_parts_add_up_to_the_total(self) -> None:
        names = [HostId(f'h{number}') for number in range(7)]
        for total in (0, 1, 6, 7, 100):
            with self.subTest(total=total):
                parts = [static_part(total, name, names) for name in names]
                self.assertEqual(sum(parts), total)
                self.assertLessEqual(max(parts) - min(parts), 1)


class WaterFillTest(unittest.TestCase):
    def test_unneeded_slots_go_to_the_others(self) -> None:
        large, small = WorkspaceId('large'), WorkspaceId('small')
        granted = water_fill(10, {large: 90, small: 2}, {large: 1, small: 1})
        self.assertEqual(granted, {large: 8, small: 2})

    def test_weights_divide_scarce_slots(self) -> None:
        large, small = WorkspaceId('large'), WorkspaceId('small')
        granted = water_fill(9, {large: 90, small: 90}, {large: 2, small: 1})
        self.assertEqual(granted, {large: 6, small: 3})


class ShareLedgerTest(unittest.TestCase):
    def test_the_borrower_returns_before_the_lender_reclaims(self) -> None:
        lender, borrower = ShareLedger(), ShareLedger()
        # The reply may be delayed; the loan counts from the request.
        requested, lent = 10.0, 10.3
        lender.lend(4, lent)
        borrower.borrow(4, requested)
        for tenth in range(103, 160):
            now = tenth / 10
            total = lender.balance(now) + borrower.balance(now)
            self.assertLessEqual(total, 0)

    def test_a_loan_expires(self) -> None:
        ledger = ShareLedger()
        ledger.borrow(4, 0)
        self.assertEqual(ledger.balance(LOAN_DURATION / 2), 4)
        self.assertEqual(ledger.balance(LOAN_DURATION), 0)


class FleetLoadTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.fleet = FleetLoad(self.clock)

    def test_a_domain_sheds_if_enough_of_its_hosts_do(self) -> None:
        self.fleet.store(_digest('x', shedding=True))
        self.assertTrue(self.fleet.is_shedding(AWAY))
        for name in 'yzuv':
            self.fleet.store(_digest(name, shedding=False))
        self.assertFalse(self.fleet.is_shedding(AWAY))

    def test_a_domain_that_sheds_has_nothing_to_spare(self) -> None:
        self.fleet.store(_digest('x', shedding=True))
        self.assertEqual(self.fleet.mean_spare(AWAY), 0)

    async def test_old_digests_are_ignored(self) -> None:
        self.fleet.store(_digest('x', shedding=False))
        self.assertEqual(self.fleet.mean_spare(AWAY), 6)
        await self.clock.advance(DIGEST_LIFETIME)
        self.assertEqual(self.fleet.mean_spare(AWAY), 0)

    def test_received_digests_are_extrapolated(self) -> None:
        members = [_member(name) for name in 'wxyz']
        self.fleet.record_members(members)
        self.fleet.store(LoadDigest('w', AWAY, 9, 9, 0, False, {'large': 3}))
        self.assertEqual(self.fleet.demand(AWAY), {'large': 12})


class SlotExchangeCase(unittest.IsolatedAsyncioTestCase):
    """Hosts of one failure domain that share the slots of its engine."""

    slots: ClassVar[int] = _SLOTS

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        mesh = MemoryMesh(self.clock, random.Random(5))
        self.mesh = await self.enterAsyncContext(mesh)
        self.hosts: dict[str, AdmittingHost] = {}
        for name in _HOSTS:
            self._add_host(name)

    def _add_host(self, name: str) -> None:
        host = AdmittingHost(self.clock, self.slots, name=name, large=1)
        peer = self.mesh.join(HostId(name), HOME)
        exchange = SlotExchange(
            peer,
            host.admitter,
            host.fleet,
            host.ledger,
            self.clock,
            random.Random(name),
        )
        exchange.register_handlers()
        self.hosts[name] = host
        for work in (exchange.run(), exchange.borrow_on_demand()):
            task = asyncio.create_task(work)
            self.addCleanup(task.cancel)

    async def _send_requests(
        self, name: str, requests: int, seconds: float = 30
    ) -> list[asyncio.Task[bool]]:
        """Send requests at once; the results are whether they have run."""
        tasks: list[asyncio.Task[bool]] = []
        for number in range(requests):
            request = ask(number, deadline=self.clock.now() + 500)
            admitter = self.hosts[name].admitter
            held = _hold(admitter, request, self.clock, seconds)
            tasks.append(asyncio.create_task(held))
            self.addCleanup(tasks[-1].cancel)
        await self.clock.settle()
        return tasks

    def _allotment(self, name: str) -> int:
        return self.hosts[name].slots.allotment

    def _running(self, name: str) -> int:
        return self.hosts[name].admitter.permits.running


class SlotExchangeTest(SlotExchangeCase):
    async def test_slots_move_to_the_host_that_needs_them(self) -> None:
        await self.clock.advance(2)
        await self._send_requests('a', 20)
        await self.clock.advance(2)
        self.assertGreater(self._allotment('a'), 18)
        self.assertEqual(self._running('a'), 20)
        self.assertLessEqual(self._total_allotment(), self._capacity())

    async def test_a_host_cut_off_falls_back_to_its_static_part(self) -> None:
        await self.clock.advance(2)
        static = self._allotment('a')
        await self._send_requests('a', 20)
        await self.clock.advance(2)
        self.mesh.cut(HostId('a'), HostId('b'))
        self.mesh.cut(HostId('a'), HostId('c'))
        await self.clock.advance(LOAN_DURATION + 1)
        self.assertEqual(self._allotment('a'), static)

    async def test_network_faults_create_no_slots(self) -> None:
        self.mesh.faults = NetworkFaults((0.01, 1.5), 0.2, 0.2, 0.3)
        draws = random.Random(3)
        for _ in range(60):
            await self._send_requests(draws.choice(_HOSTS), draws.randrange(4))
            await self.clock.advance(draws.uniform(0.1, 0.9))
            if self._all_digests_received():
                self.assertLessEqual(self._total_allotment(), self._capacity())

    def _all_digests_received(self) -> bool:
        known = [len(host.fleet.hosts(HOME)) for host in self.hosts.values()]
        return min(known) == len(_HOSTS) - 1

    def _total_allotment(self) -> int:
        return sum(self._allotment(name) for name in _HOSTS)

    def _capacity(self) -> int:
        return self.hosts['a'].slots.permits


class MovedCallersTest(SlotExchangeCase):
    """Callers that a load balancer moves to a host that has lent its slots."""

    slots = 7

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.clock.advance(3)
        await self._send_requests('b', 5, seconds=0.5)
        # The loans outlast the requests and the next digests.
        await self.clock.advance(DIGEST_INTERVAL + CHECK_INTERVAL)
        self.assertEqual(self._allotment('a'), 1)

    async def test_a_burst_is_not_refused_while_other_hosts_have_slots(
        self,
    ) -> None:
        """It guards against 429 while the engines' slots are idle."""
        tasks = await self._send_requests('a', 4, seconds=0.5)
        await self.clock.advance(2)
        self.assertTrue(all(await asyncio.gather(*tasks)))

    async def test_a_queued_request_borrows_at_once(self) -> None:
        """It guards against requests that wait for the next regular check."""
        await self._send_requests('a', 2)
        await self.clock.advance(CHECK_INTERVAL / 10)
        self.assertEqual(self._running('a'), 2)


class ReplacedHostsTest(SlotExchangeCase):
    """Hosts that have left the failure domain, such as in a replacement."""

    slots = 20

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.clock.advance(3)
        for name in _HOSTS:
            self._add_host(f'{name}x')
        await self.clock.advance(3)

    async def _stop_hosts(self) -> None:
        for name in _HOSTS:
            self.mesh.leave(HostId(name))
        await self.clock.advance(1)
        for name in _HOSTS:
            self.mesh.remove(HostId(name))

    async def test_hosts_that_have_gone_are_not_asked_for_slots(self) -> None:
        """It guards against a host that asks only the dead for slots."""
        await self._send_requests('bx', 1)
        await self._send_requests('cx', 1)
        await self.clock.advance(DIGEST_INTERVAL)
        for name in _HOSTS:
            self.mesh.remove(HostId(name))
        # Their last digests show the most spare slots.
        await self._send_requests('ax', 6)
        await self.clock.advance(1)
        self.assertEqual(self._running('ax'), 6)

    async def test_slots_of_hosts_that_have_left_are_divided(self) -> None:
        """It guards against half of the slots unused after a replacement."""
        await self._stop_hosts()
        await self.clock.advance(DIGEST_INTERVAL)
        parts = [self._allotment(f'{name}x') for name in _HOSTS]
        self.assertEqual(sum(parts), self.hosts['ax'].slots.permits)

    async def test_slots_of_hosts_out_of_sight_stay_theirs(self) -> None:
        """A host that vanished without notice may be cut off and serving."""
        for name in _HOSTS:
            self.mesh.remove(HostId(name))
        await self.clock.advance(DIGEST_INTERVAL)
        parts = [self._allotment(f'{name}x') for name in _HOSTS]
        self.assertLess(sum(parts), self.hosts['ax'].slots.permits)


async def _hold(
    admitter: FairAdmitter,
    request: ModelRequest,
    clock: ManualClock,
    seconds: float,
) -> bool:
    """Hold a permit for some seconds; return false if it was refused."""
    permit = await admitter.admit(request)
    if isinstance(permit, Refusal):
        return False
    with permit:
        await clock.sleep(seconds)
    return True


def _member(name: str) -> Member:
    """Return a host of a remote domain."""
    address = Address('127.0.0.1', 1)
    incarnation = Incarnation(f'{name}.1')
    return Member(HostId(name), incarnation, AWAY, address, Presence.LIVE, 0)


def _digest(host: str, *, shedding: bool) -> LoadDigest:
    """Return a digest of a host of a remote domain."""
    domain: DomainId = AWAY
    return LoadDigest(host, domain, 10, 4, 0, shedding)
