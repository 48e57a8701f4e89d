"""The other hosts of the fleet, and what this one shares with them."""

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

#: Bits of the number of a host's start: two of one host's starts during one
#: roll-out are never taken for one another.
_RUN_BITS: Final = 32


class FleetHosts:
    """Loads and sessions told to all hosts, and tables read with the near ones.

    Args:
        host: This host.
        own: As what it makes itself known.
        store: The platform's store.
        session_span: Seconds within which requests belong together.
        clock: The host's clock.
        randomness: Spreads retries of many hosts.
        first: Whether all hosts start for the first time.
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
        run = RunNumber(randomness.getrandbits(_RUN_BITS))
        self.told = nothing_told(host, run, clock, session_span)
        self.neighbours = Neighbours(host, own, self.told, clock)
        #: What is written of requests that end upstreams.
        self.crash_rows = CrashRows(
            self.told.crashes,
            self.store,
            self.store_clock,
            clock,
            self.turn,
        )
        self._announcement = Announcement(host, own, self.store, clock)
        self._link = NewsLink(host, own, lambda: self.neighbours.near, clock)
        self._server = NewsServer(clock)
        #: Where tables are followed.
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
        """Return how many hosts are known, this one included."""
        return self.neighbours.count + 1

    async def open(self, stack: AsyncExitStack) -> None:
        """Hear the others until a stack closes."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self.neighbours,
            local_addr=(self._own.ip, self._own.port),
        )
        stack.callback(transport.close)
        await self._server.open(Address(self._own.ip, self._own.port), stack)

    def found(self, host: HostId, row: HostRow) -> None:
        """Take in where a host listens."""
        self._announcement.found(host, row)
        self.neighbours.found(host, row)

    def went_back(self) -> None:
        """Note that the store may have lost this host's row, and others."""
        self._announcement.went_back()
        self.crash_rows.went_back()

    def listed(self) -> None:
        """Note that the fleet's own table was read whole."""
        self._announcement.listed()
        self._link.begin()

    def turn(self, duty: str) -> int:
        """Return this host's place among all for something one has to do.

        The same on every host that knows the same others.
        """
        mine = _place(duty, self._host)
        others = (*self.neighbours.near, *self.neighbours.far)
        return sum(_place(duty, other) < mine for other in others)

    def work(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Return what runs as long as the host does."""
        return (
            self._announcement.run(first=self._first),
            self.neighbours.run(),
            self.crash_rows.run(),
            self._server.run(),
            self._link.run(),
        )


def _place(duty: str, host: HostId) -> int:
    """Return a host's place for a duty, by rendezvous hashing."""
    return xxh3_64_intdigest(f'{duty}/{host}'.encode())
