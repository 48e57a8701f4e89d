"""Hosts with a membership over in-memory links, for tests."""

import random
from collections.abc import Iterable
from typing import Any

from nutmegroad.contracts.peers import Handler, Member, Message, Sent
from nutmegroad.foundations.accounting import Ledger
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    HostId,
    Incarnation,
    Presence,
)
from nutmegroad.membership._handshake import Identity
from nutmegroad.membership._link_context import LinkListener
from nutmegroad.membership._member_context import (
    MemberContext,
    create_member_table,
)
from nutmegroad.membership._member_messages import Heartbeat
from nutmegroad.membership._member_table import MemberTable
from nutmegroad.membership.members import Members
from nutmegroad.testing.virtual import ManualClock, MemoryMesh, PausableClock

#: Seconds without traffic after which links are closed, as real links are.
IDLE_TIMEOUT = 20


class MemoryNetwork:
    """Network that connects in-memory links by address."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.mesh = MemoryMesh(clock, random.Random(1))
        self.ends: dict[Address, MemoryLinks] = {}
        self.ports = 7000

    def address(self) -> Address:
        self.ports += 1
        return Address('127.0.0.1', self.ports)


class MemoryLinks:
    """Links of one host, like the real ones, over a ``MemoryMesh``."""

    def __init__(self, network: MemoryNetwork, table: MemberTable) -> None:
        self.network = network
        self.table = table
        self.is_paused = False
        identity = table.identity
        self.peer = network.mesh.join(identity.host, identity.domain)
        self.last_received: dict[HostId, float] = {}
        self.listener: LinkListener | None = None
        network.ends[identity.address] = self

    def listen(self, listener: LinkListener) -> None:
        self.listener = listener

    def maintain_links(self, addresses: Iterable[Address]) -> None:
        now = self.network.clock.now()
        for host, last_received in tuple(self.last_received.items()):
            if now - last_received > IDLE_TIMEOUT:
                self.drop(host)
        for address in sorted(addresses, key=str):
            other = self.network.ends.get(address)
            if other is not None and other is not self:
                self.connect(other)

    def connect(self, other: 'MemoryLinks') -> None:
        ours, theirs = self.table.identity, other.table.identity
        is_cut = self.network.mesh.is_cut(ours.host, theirs.host)
        if theirs.host in self.last_received or is_cut or other.is_paused:
            return
        known = other.table.newer_generation(ours)
        if known:
            assert self.listener is not None
            self.listener.generation_outdated(known)
            return
        for end, identity in ((self, theirs), (other, ours)):
            end.last_received[identity.host] = self.network.clock.now()
            assert end.listener is not None
            end.listener.link_opened(identity)

    def linked(self) -> dict[HostId, float]:
        return dict(self.last_received)

    def drop(self, host: HostId) -> None:
        if self.last_received.pop(host, None) is None:
            return
        for other in tuple(self.network.ends.values()):
            if other.table.identity.host == host and self.listener:
                self.listener.link_closed(other.table.identity)
                other.drop(self.table.identity.host)

    def handle(self, kind: type[Sent], handler: Handler[Sent]) -> None:
        async def handle(host: HostId, message: Any) -> Message | None:
            if host in self.last_received:
                self.last_received[host] = self.network.clock.now()
            return await handler(host, message)

        self.peer.handle(kind, handle)

    def members(self) -> tuple[Member, ...]:
        return self.table.members()

    def send(self, host: HostId, message: Message) -> bool:
        return host in self.last_received and self.peer.send(host, message)

    def multicast(self, hosts: Iterable[HostId], message: Message) -> int:
        return sum(self.send(host, message) for host in hosts)

    def broadcast(self, message: Message) -> int:
        return self.multicast(tuple(self.last_received), message)

    async def request(
        self,
        host: HostId,
        message: Message,
        timeout: float,
    ) -> Message | Refusal:
        return await self.peer.request(host, message, timeout)


class Host:
    """One host, with what tests inspect and control."""

    def __init__(
        self,
        network: MemoryNetwork,
        name: str,
        domain: DomainId,
        seeds: tuple[Address, ...],
        generation: int = 1,
    ) -> None:
        address = network.address()
        self.clock = PausableClock(network.clock)
        identity = Identity(
            host=HostId(name),
            incarnation=Incarnation(f'{name}.{address.port}'),
            generation=generation,
            domain=domain,
            ip=address.ip,
            port=address.port,
        )
        self.ledger = Ledger(float)
        shared = create_member_table(identity, self.clock, 1)
        self.table = shared[0]
        self.links = MemoryLinks(network, self.table)
        context = MemberContext(
            clock=self.clock,
            randomness=random.Random(name),
            account=self.ledger,
            seeds=seeds,
        )
        self.members = Members(context, self.links, *shared)

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
        self.links.handle(Heartbeat, coordinator._handle_heartbeat)


async def ignore(host: HostId, message: Message) -> None:
    """Do nothing."""
