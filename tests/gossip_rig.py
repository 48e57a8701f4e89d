"""A fleet of hosts that tell each other by datagrams, on virtual time.

No network: a datagram comes a moment later, or is lost. Hosts start at moments
of their own, so their turns don't fall together.
"""

import asyncio
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any, Final, cast

from experiments.virtual_time import VirtualClock

from nutmegroad.fleet.announcements import HostRow
from nutmegroad.fleet.evidence import RunNumber
from nutmegroad.fleet.neighbours import TURN, Neighbours, Told, nothing_told
from nutmegroad.foundations.types import HostId

#: Seconds in which the life of a session ends.
SPAN: Final = 8.5

#: Seconds that a datagram takes within a failure domain, and between two.
NEAR_WAY: Final = 0.001
FAR_WAY: Final = 0.003

#: Part of the datagrams that is lost.
LOSS: Final = 0.01


@dataclass(frozen=True, slots=True)
class Member:
    """A host of the fleet.

    Attributes:
        name: Its name.
        row: As what it makes itself known.
        told: What it knows of the others.
        neighbours: What tells and hears.
        clock: Its clock.
        work: The task that tells.
    """

    name: HostId
    row: HostRow
    told: Told
    neighbours: Neighbours
    clock: VirtualClock
    work: 'asyncio.Task[None]'


class GossipFleet:
    """Hosts that tell each other.

    Args:
        hosts: How many.
        domains: In how many failure domains.
        clock: The clock of all.
        seed: Seed of starts, ways and losses.
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
        self._is_lost: Callable[[HostRow, HostRow], bool] = _passes
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
        """Return the hosts that are up."""
        return tuple(self._at.values())

    def member(self, number: int) -> Member:
        """Return a host."""
        return self._at[f'10.0.0.{number}']

    def start(self, name: HostId) -> Member:
        """Start a host that knows of nothing but the others."""
        row = self._rows[name]
        run = RunNumber(self.randomness.getrandbits(32))
        told = nothing_told(name, run, self.clock, SPAN)
        neighbours = Neighbours(name, row, told, self.clock)
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
            neighbours.found(other, known)
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
            is_lost: Tells it by sender and receiver.
        """
        self._is_lost = is_lost
        try:
            yield
        finally:
            self._is_lost = _passes

    def carry(self, text: bytes, sender: HostRow, address: str) -> None:
        """Carry a datagram."""
        receiver = self._at.get(address)
        row = receiver.row if receiver else None
        self.sent_bytes += len(text)
        is_far = row is None or row.domain != sender.domain
        if is_far:
            self.far_bytes += len(text)
        if row is None or self._is_lost(sender, row):
            return
        if self.randomness.random() < LOSS:
            return
        way = FAR_WAY if is_far else NEAR_WAY
        asyncio.get_running_loop().call_later(
            way * self.randomness.uniform(0.7, 1.5),
            self._deliver,
            text,
            sender,
            address,
        )

    def _deliver(self, text: bytes, sender: HostRow, address: str) -> None:
        """Let a host hear a datagram, if it is up."""
        receiver = self._at.get(address)
        if receiver is not None:
            source = (sender.ip, sender.port)
            receiver.neighbours.datagram_received(text, source)

    async def _run(self, neighbours: Neighbours) -> None:
        """Let a host tell, from a moment of its own on."""
        await self.clock.sleep(self.randomness.uniform(0, TURN))
        await neighbours.run()


class _Wire:
    """Stands for a datagram socket.

    Args:
        fleet: Carries what is sent.
        row: Whose socket it is.
    """

    def __init__(self, fleet: GossipFleet, row: HostRow) -> None:
        self._fleet = fleet
        self._row = row

    def sendto(self, text: bytes, address: tuple[str, int]) -> None:
        """Send a datagram."""
        self._fleet.carry(text, self._row, address[0])


def _passes(sender: HostRow, receiver: HostRow) -> bool:
    """Lose nothing."""
    return False
