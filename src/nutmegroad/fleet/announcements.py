"""How a host makes itself known to the others, in the platform's store."""

import asyncio
from typing import Final

import msgspec
from msgspec import Struct

from nutmegroad.fleet.stored import FLEET_TABLE, RowPut, Store
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import HostId

HOST_KEY: Final = 'host/'

#: Seconds between tries to make this host known.
AGAIN: Final = 1.0

#: Seconds for which the first hosts of all wait for each other's rows: they
#: start within a third of a second, slow ones a little later.
GATHERING: Final = 0.6


class HostRow(Struct, frozen=True):
    """A host as it makes itself known.

    Attributes:
        ip: Where it listens to its neighbours.
        port: The same.
        domain: Its failure domain.
        link: Its link's Mbit/s; 0 if that is not known.
    """

    ip: str
    port: int
    domain: str
    link: float = 0


class Announcement:
    """Makes a host known, unless its row is there already.

    Args:
        host: The host.
        own: As what it makes itself known.
        store: The platform's store.
        clock: The host's clock.
    """

    def __init__(
        self,
        host: HostId,
        own: HostRow,
        store: Store,
        clock: Clock,
    ) -> None:
        self._host = host
        self._own = own
        self._store = store
        self._clock = clock
        # Set once all hosts were read from the store, and once those that start
        # together with this one may be found there.
        self._listed = asyncio.Event()
        self._gathered = asyncio.Event()
        self._went_back = asyncio.Event()
        self._is_known = False

    def found(self, host: HostId, row: HostRow) -> None:
        """Take in a row that the store has."""
        if host == self._host:
            self._is_known = row == self._own

    def listed(self) -> None:
        """Note that all hosts were read from the store."""
        self._listed.set()

    async def gathered(self) -> None:
        """Wait until hosts that start together have made themselves known."""
        await self._gathered.wait()

    def went_back(self) -> None:
        """Note that the store came back from a copy, which is read next."""
        self._is_known = False
        self._listed.clear()
        self._went_back.set()

    async def run(self, *, first: bool) -> None:
        """Make this host known, and keep it so, until cancelled.

        Args:
            first: Whether all hosts start for the first time.
        """
        await self.make(first=first)
        await self.keep()

    async def make(self, *, first: bool) -> None:
        """Make this host known, until that has worked.

        Args:
            first: Whether all hosts start for the first time. Else a row of an
                earlier start is mostly there.
        """
        done = False
        if first:
            done = await self._put()
            await self._clock.sleep(GATHERING)
        self._gathered.set()
        if not done:
            await self._make_listed()

    async def keep(self) -> None:
        """Make this host known again whenever the store has lost its row."""
        while True:
            await self._went_back.wait()
            self._went_back.clear()
            await self._make_listed()

    async def _make_listed(self) -> None:
        """Write this host's row, unless the store has it."""
        await self._listed.wait()
        while not (self._is_known or await self._put()):
            await self._clock.sleep(AGAIN)

    async def _put(self) -> bool:
        """Write this host's row; tell whether that has worked."""
        content = msgspec.json.encode(self._own)
        put = RowPut(FLEET_TABLE, f'{HOST_KEY}{self._host}', content)
        outcome = await self._store.commit((), (put,))
        return not isinstance(outcome, Refusal)
