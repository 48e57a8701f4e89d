"""Tests of the membership, on a clock and a network in memory."""

import asyncio
import random
import unittest
from collections.abc import Iterable
from contextlib import AsyncExitStack
from typing import Any

from nutmegroad._entries import Origin
from nutmegroad._handshake import Identity
from nutmegroad._link_context import LinkListener
from nutmegroad._member_context import MemberContext, make_table
from nutmegroad._member_messages import Heartbeat, Record
from nutmegroad._member_table import GONE_MEMORY, MemberTable
from nutmegroad.accounting import Ledger
from nutmegroad.members import Members
from nutmegroad.peers import Handler, Member, Message, Sent
from nutmegroad.results import Refusal
from nutmegroad.testing import ManualClock, MemoryMesh, PausableClock
from nutmegroad.types import (
    Address,
    DomainId,
    HostId,
    Incarnation,
    Presence,
)

EAST, WEST, NORTH = DomainId('east'), DomainId('west'), DomainId('north')
#: Seconds after which real links are closed when nothing comes.
SILENCE = 20


class Wires:
    """Where in-memory links find each other."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.mesh = MemoryMesh(clock, random.Random(1))
        self.ends: dict[Address, MemoryLinks] = {}
        self.ports = 7000

    def address(self) -> Address:
        self.ports += 1
        return Address('127.0.0.1', self.ports)


class MemoryLinks:
    """The links of one host: like the real ones, over a MemoryMesh."""

    def __init__(self, wires: Wires, table: MemberTable) -> None:
        self.wires = wires
        self.table = table
        self.is_paused = False
        identity = table.identity
        self.peer = wires.mesh.join(identity.host, identity.domain)
        self.heard: dict[HostId, float] = {}
        self.listener: LinkListener | None = None
        wires.ends[identity.address] = self

    def listen(self, listener: LinkListener) -> None:
        self.listener = listener

    def aim(self, addresses: Iterable[Address]) -> None:
        now = self.wires.clock.now()
        for host, heard in tuple(self.heard.items()):
            if now - heard > SILENCE:
                self.drop(host)
        for address in sorted(addresses, key=str):
            other = self.wires.ends.get(address)
            if other is not None and other is not self:
                self.connect(other)

    def connect(self, other: 'MemoryLinks') -> None:
        ours, theirs = self.table.identity, other.table.identity
        is_cut = self.wires.mesh.is_cut(ours.host, theirs.host)
        if theirs.host in self.heard or is_cut or other.is_paused:
            return
        known = other.table.newer_generation(ours)
        if known:
            assert self.listener is not None
            self.listener.outdated(known)
            return
        for end, identity in ((self, theirs), (other, ours)):
            end.heard[identity.host] = self.wires.clock.now()
            assert end.listener is not None
            end.listener.link_opened(identity)

    def linked(self) -> dict[HostId, float]:
        return dict(self.heard)

    def drop(self, host: HostId) -> None:
        if self.heard.pop(host, None) is None:
            return
        for other in tuple(self.wires.ends.values()):
            if other.table.identity.host == host and self.listener:
                self.listener.link_closed(other.table.identity)
                other.drop(self.table.identity.host)

    def handle(self, kind: type[Sent], handler: Handler[Sent]) -> None:
        async def handle(host: HostId, message: Any) -> Message | None:
            if host in self.heard:
                self.heard[host] = self.wires.clock.now()
            return await handler(host, message)

        self.peer.handle(kind, handle)

    def members(self) -> tuple[Member, ...]:
        return self.table.members()

    def tell(self, host: HostId, message: Message) -> bool:
        return host in self.heard and self.peer.tell(host, message)

    def tell_each(self, hosts: Iterable[HostId], message: Message) -> int:
        return sum(self.tell(host, message) for host in hosts)

    def tell_all(self, message: Message) -> int:
        return self.tell_each(tuple(self.heard), message)

    async def ask(
        self,
        host: HostId,
        message: Message,
        timeout: float,
    ) -> Message | Refusal:
        return await self.peer.ask(host, message, timeout)


class Host:
    """One host, and what a test looks at and does to it."""

    def __init__(
        self,
        wires: Wires,
        name: str,
        domain: DomainId,
        seeds: tuple[Address, ...],
        generation: int = 1,
    ) -> None:
        address = wires.address()
        self.clock = PausableClock(wires.clock)
        identity = Identity(
            host=HostId(name),
            incarnation=Incarnation(f'{name}.{address.port}'),
            generation=generation,
            domain=domain,
            ip=address.ip,
            port=address.port,
        )
        self.ledger = Ledger(float)
        self.table, reach = make_table(identity, self.clock, 1)
        self.links = MemoryLinks(wires, self.table)
        context = MemberContext(
            clock=self.clock,
            randomness=random.Random(name),
            account=self.ledger,
            seeds=seeds,
        )
        self.members = Members(context, self.links, self.table, reach)

    @property
    def name(self) -> HostId:
        return self.table.identity.host

    @property
    def address(self) -> Address:
        return self.table.identity.address

    def known(self, presence: Presence | None = None) -> set[HostId]:
        return {
            member.host
            for member in self.members.members()
            if presence in {None, member.presence}
        }

    def presence_of(self, host: HostId) -> Presence | None:
        record = self.table.get(host)
        return None if record is None else record.presence

    def pause(self) -> None:
        self.links.is_paused = True
        self.clock.pause()
        self.links.peer.handle(Heartbeat, ignore)

    def resume(self) -> None:
        self.links.is_paused = False
        self.clock.resume()
        coordinator = self.members._coordinator
        self.links.handle(Heartbeat, coordinator._take_heartbeat)


async def ignore(host: HostId, message: Message) -> None:
    """Do nothing."""


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
    ) -> Host:
        seeds = tuple(host.address for host in self.hosts.values())[:1]
        host = Host(self.wires, name, domain, seeds, generation)
        self.stacks[host.name] = AsyncExitStack()
        await self.enterAsyncContext(self.stacks[host.name])
        await self.stacks[host.name].enter_async_context(host.members)
        self.hosts[host.name] = host
        return host

    async def start_all(self, sizes: dict[DomainId, int]) -> list[Host]:
        hosts = [
            await self.start(f'{domain}{number}', domain)
            for domain, size in sizes.items()
            for number in range(size)
        ]
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
        unlinked = [
            host for host in hosts if len(host.links.linked()) < len(hosts) - 1
        ]
        self.assertTrue(unlinked)
        near = {host.name for host in hosts if host.members.domain == EAST}
        for host in hosts[:5]:
            self.assertLessEqual(near - {host.name}, host.links.heard.keys())
        self.assertEqual(len({host.table.entries.digest for host in hosts}), 1)

    async def test_a_crashed_host_is_given_up_by_agreement(self) -> None:
        hosts = await self.start_all({EAST: 4, WEST: 2})
        victim = hosts.pop(1)
        self.crash(victim)
        await self.clock.advance(5)
        known = [victim.name in host.known() for host in hosts]
        self.assertNotIn(False, known, 'given up too early')
        self.assertIn(victim.name, hosts[0].members.suspects)
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
        await self.clock.advance(2)
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

    async def test_a_cut_domain_goes_on_and_heals(self) -> None:
        hosts = await self.start_all({EAST: 3, WEST: 3})
        self.cut(EAST, WEST)
        await self.clock.advance(30)
        self.assert_all_known(hosts[:3])
        self.assert_all_known(hosts[3:])
        late = await self.start('east9', EAST)
        self.cut(EAST, WEST)
        await self.clock.advance(5)
        self.assert_all_known([*hosts[:3], late])
        self.wires.mesh.heal_all()
        await self.clock.advance(20)
        self.assert_all_known([*hosts, late])
        versions = {host.table.own.version for host in hosts}
        self.assertEqual(versions, {0}, 'nobody had to speak for itself')

    async def test_a_domain_is_known_by_way_of_a_third(self) -> None:
        hosts = await self.start_all({EAST: 2, WEST: 2, NORTH: 2})
        self.cut(EAST, WEST)
        await self.clock.advance(30)
        self.assert_all_known(hosts)
        late = await self.start('west9', WEST)
        for host in hosts[:2]:
            self.wires.mesh.cut(host.name, late.name)
        await self.clock.advance(10)
        self.assertIn(late.name, hosts[0].known())

    async def test_an_isolated_host_declares_nobody_gone(self) -> None:
        hosts = await self.start_all({EAST: 3, WEST: 2})
        for other in hosts[1:]:
            self.wires.mesh.cut(hosts[0].name, other.name)
        await self.clock.advance(30)
        self.assertEqual(hosts[0].known(), set())
        records = [hosts[0].presence_of(other.name) for other in hosts[1:]]
        self.assertEqual(set(records), {Presence.LIVE})
        self.wires.mesh.heal_all()
        await self.clock.advance(25)
        self.assert_all_known(hosts)

    async def test_leaving_is_known_at_once(self) -> None:
        hosts = await self.start_all({EAST: 3, WEST: 3})
        hosts[0].members.leave()
        await self.clock.advance(0.1)
        self.assertIn(hosts[0].name, hosts[1].known(Presence.LEAVING))
        self.assertNotIn(hosts[0].name, hosts[1].members.live_hosts())
        await self.clock.advance(4)
        for host in hosts[1:]:
            self.assertIn(hosts[0].name, host.known(Presence.LEAVING))
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


class RecordTest(unittest.TestCase):
    """Which news of a host is later."""

    def test_records_are_ordered(self) -> None:
        first = Identity(HostId('a'), Incarnation('a.1'), 1, EAST, '::', 1)
        second = Identity(HostId('a'), Incarnation('a.0'), 2, WEST, '::', 2)
        records = [
            Record(first, 0, Presence.LIVE),
            Record(first, 0, Presence.GONE),
            Record(first, 1, Presence.LIVE),
            Record(first, 1, Presence.LEAVING),
            Record(first, 1, Presence.GONE),
            Record(second, 0, Presence.LIVE),
        ]
        clock = ManualClock()
        me = Identity(HostId('b'), Incarnation('b.1'), 1, EAST, '::', 3)
        for place, record in enumerate(records):
            table, _ = make_table(me, clock, 1)
            table.merge(record, Origin.FAR, HostId('c'))
            for other_place, other in enumerate(records):
                is_news = table.merge(other, Origin.FAR, HostId('c'))
                self.assertEqual(is_news, other_place > place)
                if is_news:
                    break
