"""Tests of the membership, on a clock and a network in memory."""

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
from nutmegroad.membership._member_context import make_table
from nutmegroad.membership._member_messages import Heartbeat, Record
from nutmegroad.membership._member_table import GONE_MEMORY, Origin
from nutmegroad.testing.virtual import ManualClock
from tests.memory_links import Host, Wires

EAST = DomainId('east')
WEST = DomainId('west')
NORTH = DomainId('north')


class MembersTest(unittest.IsolatedAsyncioTestCase):
    """Hosts that keep a membership."""

    async def asyncSetUp(self) -> None:
        # Debug mode records a traceback for each of a million callbacks.
        asyncio.get_running_loop().set_debug(False)
        self.clock = ManualClock()
        self.wires = Wires(self.clock)
        await self.enterAsyncContext(self.wires.mesh)
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
        host = Host(self.wires, name, domain, seeds, generation)
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
        """Let a host vanish without a word."""
        self.wires.ends.pop(host.address)
        self.wires.mesh.remove(host.name)
        host.pause()
        self.hosts.pop(host.name)

    async def stop(self, host: Host) -> None:
        """Stop a host gracefully."""
        await self.stacks[host.name].aclose()
        await self.clock.advance(0.1)
        self.wires.ends.pop(host.address)

    def cut(self, one: DomainId, other: DomainId) -> None:
        """Cut two domains from each other."""
        for near in self.hosts.values():
            for far in self.hosts.values():
                if (near.members.domain, far.members.domain) == (one, other):
                    self.wires.mesh.cut(near.name, far.name)

    async def test_a_host_without_a_link_is_known(self) -> None:
        hosts = await self.start_all({EAST: 5, WEST: 5})
        fewest = min(len(host.links.linked()) for host in hosts)
        self.assertLess(fewest, len(hosts) - 1)
        near = {host.name for host in hosts[:5]}
        for host in hosts[:5]:
            others = near.difference({host.name})
            self.assertLessEqual(others, host.links.heard.keys())
        self.assertEqual(len({host.table.entries.digest for host in hosts}), 1)

    async def test_a_late_host_learns_of_all(self) -> None:
        hosts = await self.start_all({EAST: 4, WEST: 4})
        late = await self.start('east9', EAST)
        await self.clock.advance(4)
        self.assert_all_known([*hosts, late])

    async def test_a_crashed_host_is_given_up_by_agreement(self) -> None:
        hosts = await self.start_all({EAST: 4, WEST: 2})
        crashed = hosts.pop(1)
        self.crash(crashed)
        await self.clock.advance(5)
        known = [crashed.name in host.known() for host in hosts]
        self.assertNotIn(False, known, 'given up too early')
        self.assertIn(crashed.name, hosts[0].members.suspects)
        await self.clock.advance(7)
        self.assert_all_known(hosts)

    async def test_a_short_pause_is_forgiven(self) -> None:
        hosts = await self.start_all({EAST: 4})
        hosts[1].pause()
        await self.clock.advance(4)
        hosts[1].resume()
        await self.clock.advance(10)
        self.assert_all_known(hosts)
        self.assertEqual(hosts[1].table.own.version, 0)

    async def test_a_slow_host_gets_a_longer_bound(self) -> None:
        hosts = await self.start_all({EAST: 3})
        for _ in range(8):
            hosts[1].pause()
            await self.clock.advance(2.8)
            hosts[1].resume()
            await self.clock.advance(1)
        hosts[1].pause()
        await self.clock.advance(3.5)
        self.assertEqual(hosts[0].members.suspects, ())

    async def test_who_noticed_its_own_pause_suspects_nobody(self) -> None:
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

    async def test_a_host_that_others_hear_is_kept(self) -> None:
        hosts = await self.start_all({EAST: 5})
        for deaf in hosts[:2]:
            self.wires.mesh.cut(deaf.name, hosts[4].name)
        await self.clock.advance(30)
        self.assertIn(hosts[4].name, hosts[0].members.suspects)
        self.assert_all_known(hosts)

    async def test_a_cut_domain_goes_on(self) -> None:
        hosts = await self.start_all({EAST: 3, WEST: 3})
        self.cut(EAST, WEST)
        await self.clock.advance(30)
        self.assert_all_known(hosts[:3])
        self.assert_all_known(hosts[3:])
        late = await self.start('east9', EAST)
        self.cut(EAST, WEST)
        await self.clock.advance(5)
        self.assert_all_known([*hosts[:3], late])

    async def test_a_cut_domain_heals(self) -> None:
        hosts = await self.start_all({EAST: 3, WEST: 3})
        self.cut(EAST, WEST)
        await self.clock.advance(30)
        hosts.append(await self.start('east9', EAST))
        self.cut(EAST, WEST)
        await self.clock.advance(5)
        self.wires.mesh.heal_all()
        await self.clock.advance(20)
        self.assert_all_known(hosts)
        versions = {host.table.own.version for host in hosts}
        self.assertEqual(versions, {0}, 'nobody had to speak for itself')

    async def test_a_domain_is_known_by_way_of_a_third(self) -> None:
        hosts = await self.start_all({EAST: 2, WEST: 2, NORTH: 2})
        self.cut(EAST, WEST)
        await self.clock.advance(30)
        self.assert_all_known(hosts)
        late = await self.start('west9', WEST, seed=hosts[-1])
        for host in hosts[:2]:
            self.wires.mesh.cut(host.name, late.name)
        # Sooner than by comparing digests with a host of the third.
        await self.clock.advance(4)
        self.assertIn(late.name, hosts[0].known())

    async def test_an_isolated_host_declares_nobody_gone(self) -> None:
        hosts = await self.start_all({EAST: 3, WEST: 2})
        for peer in hosts[1:]:
            self.wires.mesh.cut(hosts[0].name, peer.name)
        await self.clock.advance(30)
        self.assertEqual(hosts[0].known(), set())
        for host in hosts[1:]:
            self.assertIs(hosts[0].presence_of(host.name), Presence.LIVE)
        self.wires.mesh.heal_all()
        await self.clock.advance(25)
        self.assert_all_known(hosts)

    async def test_leaving_is_known_at_once(self) -> None:
        hosts = await self.start_all({EAST: 3, WEST: 3})
        hosts[0].members.leave()
        await self.clock.advance(0.1)
        leaving = {hosts[0].name}
        self.assertEqual(hosts[1].known(Presence.LEAVING), leaving)
        live = tuple(host.name for host in hosts[1:3])
        self.assertEqual(hosts[1].members.live_hosts(), live)
        await self.clock.advance(4)
        for host in hosts[1:]:
            self.assertEqual(host.known(Presence.LEAVING), leaving)
        await self.stop(hosts[0])
        await self.clock.advance(4)
        self.assert_all_known(hosts[1:])

    async def test_old_news_does_not_bring_a_gone_host_back(self) -> None:
        hosts = await self.start_all({EAST: 3})
        old = hosts[0].table.own
        await self.stop(hosts[0])
        beat = Heartbeat(0, wanted=True, news=(old,))
        hosts[1].links.tell(hosts[2].name, beat)
        await self.clock.advance(1)
        self.assertEqual(hosts[2].presence_of(old.host), Presence.GONE)
        await self.clock.jump(GONE_MEMORY)
        await self.clock.advance(2)
        self.assertIsNone(hosts[2].presence_of(old.host))

    async def test_a_restart_with_an_early_clock_is_later(self) -> None:
        hosts = await self.start_all({EAST: 3})
        self.crash(hosts[1])
        again = await self.start(hosts[1].name, WEST, generation=0)
        await self.clock.advance(5)
        self.assertEqual(again.table.identity.generation, 2)
        for host in (hosts[0], hosts[2]):
            record = host.table.get(again.name)
            assert record is not None
            self.assertEqual(record.identity, again.table.identity)

    async def test_an_old_process_does_not_take_its_name_back(self) -> None:
        hosts = await self.start_all({EAST: 3})
        await self.clock.advance(30)
        hosts[1].members._coordinator.outdated(9)
        self.assertEqual(hosts[1].table.identity.generation, 1)
        self.assertEqual(hosts[1].ledger.events()['members_superseded'], 1)


def identity_of(name: str, generation: int = 1) -> Identity:
    """Return an incarnation of a host of the east."""
    incarnation = Incarnation(f'{name}.{generation}')
    return Identity(HostId(name), incarnation, generation, EAST, '::', 1)


class DetectorTest(unittest.IsolatedAsyncioTestCase):
    """When a silent host is given up."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        table, reachability = make_table(identity_of('me'), self.clock, 1)
        self.reachability = reachability
        self.detector = Detector(table, reachability, 1)
        for name in ('one', 'two', 'silent'):
            record = Record(identity_of(name), 0, Presence.LIVE)
            table.merge(record, Origin.NEAR, record.host)

    async def live(self, seconds: int, beat: Heartbeat) -> Verdicts:
        """Hear two hosts for a while, and judge at the end."""
        for _ in range(seconds):
            await self.clock.advance(1)
            now = self.clock.now()
            for host in (HostId('one'), HostId('two')):
                self.reachability.heard_host(host, now)
                self.detector.take(host, beat, now)
        return self.detector.judge(self.clock.now(), in_contact=True)

    async def test_it_takes_silence_and_agreement(self) -> None:
        silent = (HostId('silent'),)
        alone = Heartbeat(0, wanted=True)
        agreeing = Heartbeat(0, wanted=True, suspects=silent)
        self.assertEqual(await self.live(3, alone), Verdicts())
        self.assertEqual(await self.live(5, alone), Verdicts(silent))
        self.assertEqual(await self.live(1, agreeing), Verdicts(silent, silent))

    async def test_without_agreement_it_takes_longer(self) -> None:
        silent = (HostId('silent'),)
        alone = Heartbeat(0, wanted=True)
        self.assertEqual(await self.live(14, alone), Verdicts(silent))
        self.assertEqual(await self.live(2, alone), Verdicts(silent, silent))


class RecordTest(unittest.TestCase):
    """Which news of a host is later."""

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
            self.assertTrue(self.is_news(later, after=earlier))
            self.assertFalse(self.is_news(earlier, after=later))

    def is_news(self, record: Record, after: Record) -> bool:
        table, _ = make_table(identity_of('me'), ManualClock(), 1)
        table.merge(after, Origin.FAR, HostId('other'))
        return table.merge(record, Origin.FAR, HostId('other'))
