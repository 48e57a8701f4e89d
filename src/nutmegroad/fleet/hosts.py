"""The other hosts of the fleet, and what this one shares with them."""

import asyncio
import random
from collections.abc import Coroutine
from contextlib import AsyncExitStack
from typing import Any, Final

from nutmegroad.fleet.evidence import RunNumber
from nutmegroad.fleet.followers import FollowedStore
from nutmegroad.fleet.neighbours import HostRow, Neighbours, nothing_told
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
    """

    def __init__(
        self,
        host: HostId,
        own: HostRow,
        store: Store,
        session_span: float,
        clock: Clock,
        randomness: random.Random,
    ) -> None:
        self._own = own
        self.store_clock = StoreClock(clock)
        run = RunNumber(randomness.getrandbits(_RUN_BITS))
        self.told = nothing_told(host, run, clock, session_span)
        self.neighbours = Neighbours(host, own, self.told, store, clock)
        self._link = NewsLink(host, own, lambda: self.neighbours.near, clock)
        self._server = NewsServer(clock)
        #: Where tables are followed.
        self.tables = FollowedStore(
            SharedStore(
                store,
                self._link,
                self._server,
                self.store_clock,
                clock,
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

    def work(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Return what runs as long as the host does."""
        return (
            self.neighbours.announce(),
            self.neighbours.run(),
            self._server.run(),
            self._link.run(),
        )
