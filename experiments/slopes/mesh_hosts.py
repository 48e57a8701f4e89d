"""Hosts that consist only of links and membership, for measuring these."""

import random
import time
from collections.abc import Iterable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from types import TracebackType
from typing import Final, Self

from nutmegroad.contracts.peers import Handler, Member, Message, Sent
from nutmegroad.foundations.accounting import Ledger, PartCost
from nutmegroad.foundations.clocks import SystemClock
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    HostId,
    Incarnation,
    Presence,
)
from nutmegroad.membership._handshake import Identity
from nutmegroad.membership._link_context import LinkContext, LinkListener
from nutmegroad.membership._member_context import (
    MemberContext,
    create_member_table,
)
from nutmegroad.membership.links import Links
from nutmegroad.membership.members import Members
from nutmegroad.testing.virtual import PausableClock

#: Bytes of Ethernet, IP and TCP headers of a segment with timestamps.
HEADERS: Final = 66

#: Cluster key of all measured hosts.
_KEY: Final = b'a key for a measurement'
_LOOPBACK: Final = '127.0.0.1'


@dataclass(frozen=True, slots=True)
class Cost:
    """A host's links, and what they and the membership cost per second.

    Attributes:
        near: Links within the failure domain.
        far: Links to other failure domains.
        sent: Bytes sent per second, without headers.
        messages: Messages sent per second.
        on_wire: Upper estimate of bytes sent per second with headers,
            including an acknowledgement for each message received.
        processor: Processor seconds per second.
    """

    near: float
    far: float
    sent: float
    messages: float
    on_wire: float
    processor: float


class MeshHost:
    """The links and the membership of one host.

    Args:
        number: Number of the host; gives its name and seeds its randomness.
        domain: The host's failure domain.
        seeds: Peer addresses of hosts to join; empty for the first host.

    Attributes:
        clock: The host's clock; can be paused.
        ledger: Records what the host spends.
        table: The host's member table.
        links: The host's links.
        members: The host's membership.
    """

    def __init__(
        self,
        number: int,
        domain: DomainId,
        seeds: tuple[Address, ...],
    ) -> None:
        identity = identity_of(HostId(f'host-{number:03}'), domain)
        self.clock = PausableClock(SystemClock())
        self.ledger = Ledger(time.thread_time)
        table, reachability = create_member_table(identity, self.clock, 1)
        self.table = table
        randomness = random.Random(number)
        context = LinkContext(
            key=_KEY,
            clock=self.clock,
            randomness=randomness,
            nonces=random.SystemRandom(),
            account=self.ledger,
        )
        self.links = Links(context, self.table)
        self.members = Members(
            MemberContext(self.clock, randomness, self.ledger, seeds=seeds),
            self.links,
            self.table,
            reachability,
        )
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Open the listener and join the other hosts."""
        await self._stack.enter_async_context(self.links)
        await self._stack.enter_async_context(self.members)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the links, also if the host is paused."""
        self.clock.resume()
        await self._stack.aclose()

    @property
    def host(self) -> HostId:
        """The host's id."""
        return self.members.host

    def total(self) -> PartCost:
        """Return the summed cost of all parts so far."""
        total = PartCost()
        for cost in self.ledger.costs().values():
            total.sent_bytes += cost.sent_bytes
            total.sent_messages += cost.sent_messages
            total.received_messages += cost.received_messages
            total.processor_seconds += cost.processor_seconds
        return total

    def cost_since(self, before: PartCost, seconds: float) -> Cost:
        """Return the mean cost per second since an earlier total.

        Args:
            before: The earlier total.
            seconds: Seconds since then.
        """
        after = self.total()
        sent = after.sent_bytes - before.sent_bytes
        messages = after.sent_messages - before.sent_messages
        received = after.received_messages - before.received_messages
        processor = after.processor_seconds - before.processor_seconds
        near, far = self._count_links()
        return Cost(
            near=near,
            far=far,
            sent=sent / seconds,
            messages=messages / seconds,
            on_wire=(sent + HEADERS * (messages + received)) / seconds,
            processor=processor / seconds,
        )

    def presence_of(self, host: HostId) -> Presence:
        """Return another host's presence, as known to this host."""
        for member in self.members.members():
            if member.host == host:
                return member.presence
        return Presence.GONE

    def _count_links(self) -> tuple[int, int]:
        """Return the numbers of links within the domain and to others."""
        linked = self.links.linked()
        near = sum(
            1
            for member in self.members.members()
            if member.host in linked and member.domain == self.members.domain
        )
        return near, len(linked) - near


class NoLinks:
    """Links to no host, which count the ticks of the membership.

    Attributes:
        ticks: How often ``linked`` was called, which is once a tick.
    """

    def __init__(self) -> None:
        self.ticks = 0

    def listen(self, listener: LinkListener) -> None:
        """Ignore the listener, as no link ever changes."""

    def maintain_links(self, addresses: Iterable[Address]) -> None:
        """Open no link."""

    def linked(self) -> dict[HostId, float]:
        """Count a tick, and return no host."""
        self.ticks += 1
        return {}

    def drop(self, host: HostId) -> None:
        """Close no link."""

    def members(self) -> tuple[Member, ...]:
        """Return no host."""
        return ()

    def handle(self, kind: type[Sent], handler: Handler[Sent]) -> None:
        """Register nothing, as no message arrives."""

    def send(self, host: HostId, message: Message) -> bool:
        """Send nothing."""
        return False

    def multicast(self, hosts: Iterable[HostId], message: Message) -> int:
        """Send nothing."""
        return 0

    def broadcast(self, message: Message) -> int:
        """Send nothing."""
        return 0

    async def request(
        self,
        host: HostId,
        message: Message,
        timeout: float,
    ) -> Message | Refusal:
        """Return a refusal, as there is no link."""
        return Refusal(ResultCode.PEER_UNREACHABLE, 'There are no links.')


def identity_of(host: HostId, domain: DomainId) -> Identity:
    """Return the identity of a host on loopback, with any free port."""
    return Identity(
        host=host,
        incarnation=Incarnation(f'{host}.0123456789abcdef'),
        generation=1,
        domain=domain,
        ip=_LOOPBACK,
        port=0,
    )
