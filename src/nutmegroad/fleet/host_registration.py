"""Registration of a host in the platform's store, where its peers find it."""

import asyncio
import secrets
from typing import Final

import msgspec
from msgspec import Struct

from nutmegroad.fleet.store_interface import FLEET_TABLE, RowPut, Store
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.decoding import Amount, Port
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import HostId

HOST_KEY_PREFIX: Final = 'host/'

#: Seconds between attempts to write this host's row.
RETRY_INTERVAL: Final = 1.0

#: Seconds for which hosts of a fleet that starts for the first time wait for
#: each other's rows: they start within a third of a second of each other, slow
#: ones a little later.
STARTUP_WAIT: Final = 0.6


#: Random bytes of the key by which peers prove that they are hosts.
LINK_KEY_BYTES: Final = 16


class HostRow(Struct, frozen=True):
    """A host's row in the fleet table.

    Attributes:
        ip: Address at which it listens for its peers.
        port: Port at which it listens for its peers.
        domain: Its failure domain.
        link: Bandwidth of its link in Mbit/s; 0 if unknown.
        key: Text that a peer has to send first on a link to this host; only
            hosts and the operator can read it here.
    """

    ip: str
    port: Port
    domain: str
    link: Amount = 0
    key: str = ''


def new_link_key() -> str:
    """Return a random key for the row of a host that starts."""
    return secrets.token_hex(LINK_KEY_BYTES)


class HostRegistration:
    """Registers a host in the store and keeps its row there.

    Args:
        host: The host.
        own: The row to write for this host. If the store has it with another
            key from an earlier start, that key stays in use.
        store: The platform's store.
        clock: The host's clock.
    """

    @property
    def knows_hosts(self) -> bool:
        """Whether the full list of hosts was read from the store."""
        return self._hosts_loaded.is_set()

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
        # Set once the full list of hosts was read from the store.
        self._hosts_loaded = asyncio.Event()
        # Set once hosts that start together with this one had time to register.
        self._startup_done = asyncio.Event()
        self._restored = asyncio.Event()
        self._is_registered = False
        # Set once peers can read this host's key.
        self._key_known = asyncio.Event()
        if not own.key:
            self._key_known.set()

    async def own_key(self) -> str:
        """Return the key in this host's row, once peers can read it there."""
        await self._key_known.wait()
        return self._own.key

    def observe_row(self, host: HostId, row: HostRow) -> None:
        """Record whether a row of the store is this host's current one."""
        if host != self._host:
            return
        self._is_registered = _is_same_host(row, self._own)
        if self._is_registered:
            self._own = row
            self._key_known.set()

    def on_hosts_loaded(self) -> None:
        """Record that the full list of hosts was read from the store."""
        self._hosts_loaded.set()

    async def wait_for_startup(self) -> None:
        """Wait until hosts that start at the same time have registered."""
        await self._startup_done.wait()

    def on_store_restored(self) -> None:
        """Record that the store was restored from a backup.

        The list of hosts is read again next; this host's row may be missing in
        it.
        """
        self._is_registered = False
        self._hosts_loaded.clear()
        self._restored.set()

    async def run(self, *, first: bool) -> None:
        """Register this host and keep it registered, until cancelled.

        Args:
            first: Whether all hosts of the fleet start for the first time.
        """
        await self.register(first=first)
        await self.keep_registered()

    async def register(self, *, first: bool) -> None:
        """Register this host, retrying until the write succeeds.

        Args:
            first: Whether all hosts of the fleet start for the first time.
                Otherwise the row of an earlier start is usually still there.
        """
        done = False
        if first:
            done = await self._write_row()
            await self._clock.sleep(STARTUP_WAIT)
        self._startup_done.set()
        if not done:
            await self._register_if_missing()

    async def keep_registered(self) -> None:
        """Register this host again whenever the store has lost its row."""
        while True:
            await self._restored.wait()
            self._restored.clear()
            await self._register_if_missing()

    async def _register_if_missing(self) -> None:
        """Write this host's row unless the store already has it."""
        await self._hosts_loaded.wait()
        while not (self._is_registered or await self._write_row()):
            await self._clock.sleep(RETRY_INTERVAL)

    async def _write_row(self) -> bool:
        """Write this host's row and return whether the write succeeded."""
        content = msgspec.json.encode(self._own)
        put = RowPut(FLEET_TABLE, f'{HOST_KEY_PREFIX}{self._host}', content)
        outcome = await self._store.commit((), (put,))
        if isinstance(outcome, Refusal):
            return False
        self._key_known.set()
        return True


def _is_same_host(row: HostRow, own: HostRow) -> bool:
    """Return whether a row of the store can stay as the row of a host."""
    if own.key and not row.key:
        return False
    return msgspec.structs.replace(own, key=row.key) == row
