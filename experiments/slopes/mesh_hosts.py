"""Hosts with links and membership only, for measuring them."""

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

#: Bytes of Ethernet, IP and TCP headers of a segment with time stamps.
HEADERS: Final = 66

_KEY: Final = b'a key for a measurement'
_LOOPBACK: Final = '127.0.0.1'


@dataclass(frozen=True, slots=True)
class Cost:
    """What a host spends, a second.

    Attributes:
        near: Links within the domain.
        far: Links to other domains.
        sent: Bytes sent, without headers.
        messages: Messages sent.
        on_wire: Bytes sent with headers, an acknowledgement for each
            message received among them: an estimate from above.
        processor: Processor seconds.
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
        number: Its number, from which its name comes.
        domain: Its failure domain.
        seeds: Where it finds a first host.
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
        made = create_member_table(identity, self.clock, 1)
        self.table = made[0]
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
            *made,
        )
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Join the others."""
        await self._stack.enter_async_context(self.links)
        await self._stack.enter_async_context(self.members)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Leave the others."""
        self.clock.resume()
        await self._stack.aclose()

    @property
    def host(self) -> HostId:
        """Its id."""
        return self.members.host

    def total(self) -> PartCost:
        """Return what all parts have spent."""
        total = PartCost()
        for cost in self.ledger.costs().values():
            total.sent_bytes += cost.sent_bytes
            total.sent_messages += cost.sent_messages
            total.received_messages += cost.received_messages
            total.processor_seconds += cost.processor_seconds
        return total

    def cost_since(self, before: PartCost, seconds: float) -> Cost:
        """Return what it spent a second since an earlier total."""
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
        """Return how another host stands, as this one knows."""
        for member in self.members.members():
            if member.host == host:
                return member.presence
        return Presence.GONE

    def _count_links(self) -> tuple[int, int]:
        linked = self.links.linked()
        near = sum(
            1
            for member in self.members.members()
            if member.host in linked and member.domain == self.members.domain
        )
        return near, len(linked) - near


class NoLinks:
    """Links that never come about; counts the ticks of its user."""

    def __init__(self) -> None:
        self.ticks = 0

    def listen(self, listener: LinkListener) -> None:
        """Tell nobody."""

    def maintain_links(self, addresses: Iterable[Address]) -> None:
        """Connect to nobody."""

    def linked(self) -> dict[HostId, float]:
        """Return no host."""
        self.ticks += 1
        return {}

    def drop(self, host: HostId) -> None:
        """Close nothing."""

    def members(self) -> tuple[Member, ...]:
        """Return no host."""
        return ()

    def handle(self, kind: type[Sent], handler: Handler[Sent]) -> None:
        """Call no handler."""

    def tell(self, host: HostId, message: Message) -> bool:
        """Send nothing."""
        return False

    def multicast(self, hosts: Iterable[HostId], message: Message) -> int:
        """Send nothing."""
        return 0

    def tell_all(self, message: Message) -> int:
        """Send nothing."""
        return 0

    async def ask(
        self,
        host: HostId,
        message: Message,
        timeout: float,
    ) -> Message | Refusal:
        """Ask nobody."""
        return Refusal(ResultCode.PEER_UNREACHABLE, 'There are no links.')


def identity_of(host: HostId, domain: DomainId) -> Identity:
    """Return who a host on loopback is."""
    return Identity(
        host=host,
        incarnation=Incarnation(f'{host}.0123456789abcdef'),
        generation=1,
        domain=domain,
        ip=_LOOPBACK,
        port=0,
    )
