"""A fleet of hosts that exchange gossip datagrams, on virtual time.

There is no network: a datagram is delivered with a delay, or lost. Hosts start
at different times, so their rounds do not coincide.
"""

import asyncio
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any, Final, cast

from experiments.virtual_time import VirtualClock

from nutmegroad.fleet.evidence import HostIncarnation
from nutmegroad.fleet.host_registration import HostRow
from nutmegroad.fleet.peer_gossip import (
    ROUND_INTERVAL,
    PeerGossip,
    SharedState,
    new_shared_state,
)
from nutmegroad.foundations.types import DomainId, HostId

#: Seconds after which a session without requests has ended.
SPAN: Final = 8.5

#: Seconds that a datagram takes within a failure domain, and between two.
LOCAL_DELAY: Final = 0.001
REMOTE_DELAY: Final = 0.003

#: Fraction of the datagrams that is lost.
LOSS: Final = 0.01


@dataclass(frozen=True, slots=True)
class Member:
    """A host of the fleet.

    Attributes:
        name: Its name.
        row: Its row in the fleet table.
        state: Its shared state.
        gossip: Sends and receives its datagrams.
        clock: Its clock.
        work: The task that sends.
    """

    name: HostId
    row: HostRow
    state: SharedState
    gossip: PeerGossip
    clock: VirtualClock
    work: 'asyncio.Task[None]'


class GossipFleet:
    """Hosts that exchange gossip.

    Args:
        hosts: Number of hosts.
        domains: Number of failure domains.
        clock: Clock of all hosts.
        seed: Seed of start times, delays and losses.
    """

    def __init__(
        self,
        hosts: int,
        domains: int,
        clock: VirtualClock,
        seed: int,
    ) -> None:
        self.clock = clock
        self.randomness = random.Random(seed)
        #: Bytes sent between failure domains.
        self.far_bytes = 0
        #: Bytes sent by all hosts.
        self.sent_bytes = 0
        self._is_lost: Callable[[HostRow, HostRow], bool] = _never_lost
        self._rows = {
            HostId(f'host-{number}'): HostRow(
                f'10.0.0.{number}',
                1,
                f'd{number % domains}',
            )
            for number in range(hosts)
        }
        self._at: dict[str, Member] = {}
        for name in self._rows:
            self.start(name)

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the hosts that are running."""
        return tuple(self._at.values())

    def domain_of(self, host: HostId) -> DomainId:
        """Return the failure domain of a host."""
        return DomainId(self._rows[host].domain)

    def member(self, number: int) -> Member:
        """Return a host."""
        return self._at[f'10.0.0.{number}']

    def start(self, name: HostId) -> Member:
        """Start a host that only knows the addresses of the others."""
        row = self._rows[name]
        run = HostIncarnation(self.randomness.getrandbits(32))
        told = new_shared_state(name, run, self.clock, SPAN)
        neighbours = PeerGossip(name, row, told, self.clock)
        member = Member(
            name,
            row,
            told,
            neighbours,
            self.clock,
            asyncio.ensure_future(self._run(neighbours)),
        )
        neighbours.connection_made(cast(Any, _Wire(self, row)))
        for other, known in self._rows.items():
            neighbours.add_host(other, known)
        self._at[row.ip] = member
        return member

    def stop(self, member: Member) -> None:
        """Stop a host at once."""
        member.work.cancel()
        self._at.pop(member.row.ip, None)

    @contextmanager
    def losing(
        self,
        is_lost: Callable[[HostRow, HostRow], bool],
    ) -> Iterator[None]:
        """Lose some datagrams for a while.

        Args:
            is_lost: Returns it for a sender and a receiver.
        """
        self._is_lost = is_lost
        try:
            yield
        finally:
            self._is_lost = _never_lost

    def carry(self, payload: bytes, sender: HostRow, address: str) -> None:
        """Deliver a datagram later, or lose it."""
        receiver = self._at.get(address)
        row = receiver.row if receiver else None
        self.sent_bytes += len(payload)
        is_remote = row is None or row.domain != sender.domain
        if is_remote:
            self.far_bytes += len(payload)
        if row is None or self._is_lost(sender, row):
            return
        if self.randomness.random() < LOSS:
            return
        delay = REMOTE_DELAY if is_remote else LOCAL_DELAY
        asyncio.get_running_loop().call_later(
            delay * self.randomness.uniform(0.7, 1.5),
            self._deliver,
            payload,
            sender,
            address,
        )

    def _deliver(self, payload: bytes, sender: HostRow, address: str) -> None:
        """Pass a datagram to a host if it is running."""
        receiver = self._at.get(address)
        if receiver is not None:
            source = (sender.ip, sender.port)
            receiver.gossip.datagram_received(payload, source)

    async def _run(self, neighbours: PeerGossip) -> None:
        """Start the gossip rounds of a host after a random delay."""
        await self.clock.sleep(self.randomness.uniform(0, ROUND_INTERVAL))
        await neighbours.run()


class _Wire:
    """Stands in for a datagram socket.

    Args:
        fleet: Delivers what is sent.
        row: Row of the host that owns the socket.
    """

    def __init__(self, fleet: GossipFleet, row: HostRow) -> None:
        self._fleet = fleet
        self._row = row

    def sendto(self, payload: bytes, address: tuple[str, int]) -> None:
        """Send a datagram."""
        self._fleet.carry(payload, self._row, address[0])


def _never_lost(sender: HostRow, receiver: HostRow) -> bool:
    """Lose nothing."""
    return False
