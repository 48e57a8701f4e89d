"""Tests of the membership with a manual clock and an in-memory network."""

import asyncio
import itertools
import unittest
from collections.abc import Iterable
from contextlib import AsyncExitStack

from nutmegroad.foundations.types import (
    DomainId,
    HostId,
    Incarnation,
    Presence,
)
from nutmegroad.membership._detector import Detector, Verdicts
from nutmegroad.membership._handshake import Identity
from nutmegroad.membership._member_context import create_member_table
from nutmegroad.membership._member_messages import Heartbeat, Record
from nutmegroad.membership._member_table import GONE_RETENTION, Origin
from nutmegroad.testing.virtual import ManualClock
from tests.memory_links import Host, MemoryNetwork

EAST = DomainId('east')
WEST = DomainId('west')
NORTH = DomainId('north')


class MembersTest(unittest.IsolatedAsyncioTestCase):
    """Hosts with a membership over in-memory links."""

    async def asyncSetUp(self) -> None:
        # In debug mode asyncio records a traceback for each of a million
        # callbacks.
        asyncio.get_running_loop().set_debug(False)
        self.clock = ManualClock()
        self.network = MemoryNetwork(self.clock)
        await self.enterAsyncContext(self.network.mesh)
        self.hosts: dict[HostId, Host] = {}
        self.stacks: dict[HostId, AsyncExitStack] = {}

    async def start(
        self,
        name: str,
        domain: DomainId,
        generation: int = 1,
        seed: Host | None = None,
    ) -> Host:
        seed = seed or next(iter(self.hosts.values()), None)
        seeds = () if seed is None else (seed.address,)
        host = Host(self.network, name, domain, seeds, generation)
        self.stacks[host.name] = AsyncExitStack()
        await self.enterAsyncContext(self.stacks[host.name])
        await self.stacks[host.name].enter_async_context(host.members)
        self.hosts[host.name] = host
        return host

    async def start_all(self, sizes: dict[DomainId, int]) -> list[Host]:
        hosts: list[Host] = []
        for domain, size in sizes.items():
            names = [f'{domain}{number}' for number in range(size)]
            hosts.extend([await self.start(name, domain) for name in names])
        await self.clock.advance(8)
        self.assert_all_known(hosts)
        return hosts

    def assert_all_known(self, hosts: Iterable[Host]) -> None:
        names = {host.name for host in hosts}
        for host in hosts:
            self.assertEqual(host.known(), names - {host.name}, host.name)

    def crash(self, host: Host) -> None:
        """Terminate a host without any announcement."""
        self.network.ends.pop(host.address)
        self.network.mesh.remove(host.name)
        host.pause()
        self.hosts.pop(host.name)

    async def stop(self, host: Host) -> None:
        """Stop a host gracefully."""
        await self.stacks[host.name].aclose()
        await self.clock.advance(0.1)
        self.network.ends.pop(host.address)

    def cut(self, one: DomainId, other: DomainId) -> None:
        """Interrupt all connections between two domains."""
        for host_a in self.hosts.values():
            for host_b in self.hosts.values():
                if (host_a.members.domain, host_b.members.domain) == (
                    one,
                    other,
                ):
                    self.network.mesh.cut(host_a.name, host_b.name)

    async def test_unlinked_host_is_known(self) -> None:
        hosts = await self.start_all({EAST: 5, WEST: 5})
        fewest = min(len(host.links.linked()) for host in hosts)
        self.assertLess(fewest, len(hosts) - 1)
        local_names = {host.name for host in hosts[:5]}
        for host in hosts[:5]:
            others = local_names.difference({host.name})
            self.assertLessEqual(others, host.links.last_received.keys())
        self.assertEqual(len({host.table.entries.digest for host in hosts}), 1)

    async def test_host_that_joins_later_learns_all_members(self) -> None:
        hosts = await self.start_all({EAST: 4, WEST: 4})
        late = await self.start('east9', EAST)
        await self.clock.advance(4)
        self.assert_all_known([*hosts, late])

    async def test_crashed_host_is_declared_gone_by_agreement(self) -> None:
        hosts = await self.start_all({EAST: 4, WEST: 2})
        crashed = hosts.pop(1)
        self.crash(crashed)
        await self.clock.advance(5)
        known = [crashed.name in host.known() for host in hosts]
        self.assertNotIn(False, known, 'declared gone too early')
        self.assertIn(crashed.name, hosts[0].members.suspects)
        await self.clock.advance(7)
        self.assert_all_known(hosts)

    async def test_short_pause_does_not_make_a_host_gone(self) -> None:
        hosts = await self.start_all({EAST: 4})
        hosts[1].pause()
        await self.clock.advance(4)
        hosts[1].resume()
        await self.clock.advance(10)
        self.assert_all_known(hosts)
        self.assertEqual(hosts[1].table.own.version, 0)

    async def test_slow_host_gets_a_longer_timeout(self) -> None:
        hosts = await self.start_all({EAST: 3})
        for _ in range(8):
            hosts[1].pause()
            await self.clock.advance(2.8)
            hosts[1].resume()
            await self.clock.advance(1)
        hosts[1].pause()
        await self.clock.advance(3.5)
        self.assertEqual(hosts[0].members.suspects, ())

    async def test_host_that_detects_its_own_pause_suspects_no_host(
        self,
    ) -> None:
        hosts = await self.start_all({EAST: 4, WEST: 1})
        hosts[0].pause()
        await self.clock.advance(30)
        for host in hosts[1:]:
            self.assertIs(host.presence_of(hosts[0].name), Presence.GONE)
        hosts[0].resume()
        await self.clock.settle()
        self.assertEqual(hosts[0].members.suspects, ())
        self.assertEqual(hosts[0].ledger.events()['members_own_pause'], 1)
        await self.clock.advance(20)
        self.assert_all_known(hosts)

    async def test_suspect_that_responds_to_others_is_not_declared_gone(
        self,
    ) -> None:
        hosts = await self.start_all({EAST: 5})
        for disconnected in hosts[:2]:
            self.network.mesh.cut(disconnected.name, hosts[4].name)
        await self.clock.advance(30)
        self.assertIn(hosts[4].name, hosts[0].members.suspects)
        self.assert_all_known(hosts)

    async def test_disconnected_domain_keeps_working(self) -> None:
        hosts = await self.start_all({EAST: 3, WEST: 3})
        self.cut(EAST, WEST)
        await self.clock.advance(30)
        self.assert_all_known(hosts[:3])
        self.assert_all_known(hosts[3:])
        late = await self.start('east9', EAST)
        self.cut(EAST, WEST)
        await self.clock.advance(5)
        self.assert_all_known([*hosts[:3], late])

    async def test_disconnected_domain_rejoins(self) -> None:
        hosts = await self.start_all({EAST: 3, WEST: 3})
        self.cut(EAST, WEST)
        await self.clock.advance(30)
        hosts.append(await self.start('east9', EAST))
        self.cut(EAST, WEST)
        await self.clock.advance(5)
        self.network.mesh.heal_all()
        await self.clock.advance(20)
        self.assert_all_known(hosts)
        versions = {host.table.own.version for host in hosts}
        self.assertEqual(
            versions, {0}, 'no host had to refute a record of itself'
        )

    async def test_domain_is_known_through_a_third_domain(self) -> None:
        hosts = await self.start_all({EAST: 2, WEST: 2, NORTH: 2})
        self.cut(EAST, WEST)
        await self.clock.advance(30)
        self.assert_all_known(hosts)
        late = await self.start('west9', WEST, seed=hosts[-1])
        for host in hosts[:2]:
            self.network.mesh.cut(host.name, late.name)
        # Too early for a comparison of digests with a host of the third domain.
        await self.clock.advance(4)
        self.assertIn(late.name, hosts[0].known())

    async def test_isolated_host_declares_no_host_gone(self) -> None:
        hosts = await self.start_all({EAST: 3, WEST: 2})
        for peer in hosts[1:]:
            self.network.mesh.cut(hosts[0].name, peer.name)
        await self.clock.advance(30)
        self.assertEqual(hosts[0].known(), set())
        for host in hosts[1:]:
            self.assertIs(hosts[0].presence_of(host.name), Presence.LIVE)
        self.network.mesh.heal_all()
        await self.clock.advance(25)
        self.assert_all_known(hosts)

    async def test_leaving_is_announced_immediately(self) -> None:
        hosts = await self.start_all({EAST: 3, WEST: 3})
        hosts[0].members.leave()
        await self.clock.advance(0.1)
        leaving = {hosts[0].name}
        self.assertEqual(hosts[1].known(Presence.LEAVING), leaving)
        live_hosts = tuple(host.name for host in hosts[1:3])
        self.assertEqual(hosts[1].members.live_hosts(), live_hosts)
        await self.clock.advance(4)
        for host in hosts[1:]:
            self.assertEqual(host.known(Presence.LEAVING), leaving)
        await self.stop(hosts[0])
        await self.clock.advance(4)
        self.assert_all_known(hosts[1:])

    async def test_outdated_record_does_not_make_a_gone_host_live(self) -> None:
        hosts = await self.start_all({EAST: 3})
        old = hosts[0].table.own
        await self.stop(hosts[0])
        heartbeat = Heartbeat(0, wanted=True, news=(old,))
        hosts[1].links.send(hosts[2].name, heartbeat)
        await self.clock.advance(1)
        self.assertEqual(hosts[2].presence_of(old.host), Presence.GONE)
        await self.clock.jump(GONE_RETENTION)
        await self.clock.advance(2)
        self.assertIsNone(hosts[2].presence_of(old.host))

    async def test_restart_with_an_earlier_clock_gets_a_later_generation(
        self,
    ) -> None:
        hosts = await self.start_all({EAST: 3})
        self.crash(hosts[1])
        restarted = await self.start(hosts[1].name, WEST, generation=0)
        await self.clock.advance(5)
        self.assertEqual(restarted.table.identity.generation, 2)
        for host in (hosts[0], hosts[2]):
            record = host.table.get(restarted.name)
            assert record is not None
            self.assertEqual(record.identity, restarted.table.identity)

    async def test_superseded_process_does_not_raise_its_generation(
        self,
    ) -> None:
        hosts = await self.start_all({EAST: 3})
        await self.clock.advance(30)
        hosts[1].members._coordinator.generation_outdated(9)
        self.assertEqual(hosts[1].table.identity.generation, 1)
        self.assertEqual(hosts[1].ledger.events()['members_superseded'], 1)


def identity_of(name: str, generation: int = 1) -> Identity:
    """Return an incarnation of a host in the domain "east"."""
    incarnation = Incarnation(f'{name}.{generation}')
    return Identity(HostId(name), incarnation, generation, EAST, '::', 1)


class DetectorTest(unittest.IsolatedAsyncioTestCase):
    """When an unresponsive host is declared gone."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        table, reachability = create_member_table(
            identity_of('me'), self.clock, 1
        )
        self.reachability = reachability
        self.detector = Detector(table, reachability, 1)
        for name in ('one', 'two', 'silent'):
            record = Record(identity_of(name), 0, Presence.LIVE)
            table.merge(record, Origin.LOCAL, record.host)

    async def receive_heartbeats(
        self, seconds: int, heartbeat: Heartbeat
    ) -> Verdicts:
        """Receive heartbeats of two hosts each second, then evaluate."""
        for _ in range(seconds):
            await self.clock.advance(1)
            now = self.clock.now()
            for host in (HostId('one'), HostId('two')):
                self.reachability.record_host_seen(host, now)
                self.detector.receive_heartbeat(host, heartbeat, now)
        return self.detector.evaluate(self.clock.now(), in_contact=True)

    async def test_host_is_gone_after_timeout_and_agreement(self) -> None:
        unresponsive = (HostId('silent'),)
        no_suspects = Heartbeat(0, wanted=True)
        same_suspect = Heartbeat(0, wanted=True, suspects=unresponsive)
        self.assertEqual(
            await self.receive_heartbeats(3, no_suspects), Verdicts()
        )
        self.assertEqual(
            await self.receive_heartbeats(5, no_suspects),
            Verdicts(unresponsive),
        )
        self.assertEqual(
            await self.receive_heartbeats(1, same_suspect),
            Verdicts(unresponsive, unresponsive),
        )

    async def test_without_agreement_the_timeout_is_longer(self) -> None:
        unresponsive = (HostId('silent'),)
        no_suspects = Heartbeat(0, wanted=True)
        self.assertEqual(
            await self.receive_heartbeats(14, no_suspects),
            Verdicts(unresponsive),
        )
        self.assertEqual(
            await self.receive_heartbeats(2, no_suspects),
            Verdicts(unresponsive, unresponsive),
        )


class RecordTest(unittest.TestCase):
    """Order of the records of a host."""

    def test_records_are_ordered(self) -> None:
        first, second = identity_of('a', 1), identity_of('a', 2)
        records = [
            Record(first, 0, Presence.LIVE),
            Record(first, 0, Presence.GONE),
            Record(first, 1, Presence.LIVE),
            Record(first, 1, Presence.LEAVING),
            Record(first, 1, Presence.GONE),
            Record(second, 0, Presence.LIVE),
        ]
        for earlier, later in itertools.combinations(records, 2):
            self.assertTrue(self.is_accepted(later, after=earlier))
            self.assertFalse(self.is_accepted(earlier, after=later))

    def is_accepted(self, record: Record, after: Record) -> bool:
        table, _ = create_member_table(identity_of('me'), ManualClock(), 1)
        table.merge(after, Origin.REMOTE, HostId('other'))
        return table.merge(record, Origin.REMOTE, HostId('other'))
