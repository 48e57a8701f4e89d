"""A host's view of the fleet: its peers, and the state it shares with them."""

import asyncio
import random
from collections.abc import Coroutine
from contextlib import AsyncExitStack
from typing import Any, Final

from xxhash import xxh3_64_intdigest

from nutmegroad.fleet.announcements import Announcement, HostRow
from nutmegroad.fleet.crash_rows import CrashRows
from nutmegroad.fleet.eras import EraStore
from nutmegroad.fleet.evidence import RunNumber
from nutmegroad.fleet.followers import FollowedStore
from nutmegroad.fleet.neighbours import Neighbours, nothing_told
from nutmegroad.fleet.news_link import NewsLink
from nutmegroad.fleet.news_server import NewsServer
from nutmegroad.fleet.shared_store import SharedStore
from nutmegroad.fleet.store_clock import StoreClock
from nutmegroad.fleet.stored import Store
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import Address, HostId

#: Bits of a host's incarnation number: two incarnations of one host during one
#: rollout never get the same number in practice.
_INCARNATION_BITS: Final = 32


class FleetHosts:
    """Shares loads and sessions with all hosts and store reads with local ones.

    Local hosts are those of the same failure domain.

    Args:
        host: This host.
        own: This host's row in the fleet table.
        store: The platform's store.
        session_span: Seconds within which requests belong to one session.
        clock: The host's clock.
        randomness: Randomizes the retries of many hosts.
        first: Whether all hosts of the fleet start for the first time.
    """

    def __init__(
        self,
        host: HostId,
        own: HostRow,
        store: Store,
        session_span: float,
        clock: Clock,
        randomness: random.Random,
        *,
        first: bool = False,
    ) -> None:
        self._host = host
        self._own = own
        self._first = first
        self.store_clock = StoreClock(clock)
        #: The platform's store, with positions for versions.
        self.store = EraStore(store)
        self.store.tell_of_rises(self.store_clock.forget)
        run = RunNumber(randomness.getrandbits(_INCARNATION_BITS))
        self.told = nothing_told(host, run, clock, session_span)
        self.neighbours = Neighbours(host, own, self.told, clock)
        #: Crash reports in the store.
        self.crash_rows = CrashRows(
            self.told.crashes,
            self.store,
            self.store_clock,
            clock,
            self.turn,
        )
        self._announcement = Announcement(host, own, self.store, clock)
        self._link = NewsLink(
            host, own, lambda: self.neighbours.local_hosts, clock
        )
        self._server = NewsServer(clock)
        #: Creates followers of the store's tables.
        self.tables = FollowedStore(
            SharedStore(
                self.store,
                self._link,
                self._server,
                self.store_clock,
                clock,
                self._announcement.gathered,
                self.store.heard,
            ),
            clock,
            self.store_clock,
            randomness,
        )

    def count(self) -> int:
        """Return how many hosts are known, including this one."""
        return self.neighbours.count + 1

    async def open(self, stack: AsyncExitStack) -> None:
        """Listen for peers until a stack closes.

        Args:
            stack: Closes the sockets.
        """
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self.neighbours,
            local_addr=(self._own.ip, self._own.port),
        )
        stack.callback(transport.close)
        await self._server.open(Address(self._own.ip, self._own.port), stack)

    def found(self, host: HostId, row: HostRow) -> None:
        """Add a host that was found in the store."""
        self._announcement.found(host, row)
        self.neighbours.found(host, row)

    def went_back(self) -> None:
        """Record that the store may have lost this host's row and others."""
        self._announcement.went_back()
        self.crash_rows.went_back()

    def listed(self) -> None:
        """Record that the full fleet table was read."""
        self._announcement.listed()
        self._link.begin()

    def turn(self, duty: str) -> int:
        """Return this host's rank among all hosts for a duty.

        Every host that knows the same peers computes the same ranking.

        Args:
            duty: Name of a task that one host has to perform.
        """
        mine = _duty_hash(duty, self._host)
        others = (*self.neighbours.local_hosts, *self.neighbours.remote_hosts)
        return sum(_duty_hash(duty, other) < mine for other in others)

    def work(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Return the coroutines that run as long as the host does."""
        return (
            self._announcement.run(first=self._first),
            self.neighbours.run(),
            self.crash_rows.run(),
            self._server.run(),
            self._link.run(),
        )


def _duty_hash(duty: str, host: HostId) -> int:
    """Return the rendezvous hash by which hosts are ranked for a duty."""
    return xxh3_64_intdigest(f'{duty}/{host}'.encode())
