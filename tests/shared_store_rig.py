"""Hosts of one failure domain that share the reading of a store."""

import asyncio
import random
import unittest
from collections.abc import Callable
from contextlib import AsyncExitStack
from unittest.mock import Mock

from fakes.ports import reserve_port

from nutmegroad.fleet.host_registration import HostRow
from nutmegroad.fleet.peer_listener import PeerListener
from nutmegroad.fleet.shared_store import SharedStore
from nutmegroad.fleet.store_clock import StoreClock
from nutmegroad.fleet.store_interface import (
    HistoryLost,
    RowsRead,
    StoredRow,
)
from nutmegroad.fleet.update_link import UpdateLink
from nutmegroad.fleet.update_server import UpdateServer
from nutmegroad.foundations.clocks import BootClock
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import Address, HostId
from tests.relay_samples import (
    AWAY,
    UnavailableStore,
    ignore_position,
    no_wait,
)

TABLE = 'op'
FOREVER = float('inf')  # Updates from another host never expire.


async def _no_key() -> str:
    """Return the key of hosts without a key."""
    return ''


class CountingStore(UnavailableStore):
    """A store with one table that counts its calls.

    Attributes:
        version: Its version; a row has the version that it was written at.
        unavailable: Whether it refuses all calls.
        random_bytes: Number of random bytes in each row.
        waits: Seconds that it was asked to wait, by call for changes.
    """

    def __init__(self) -> None:
        self.version = 1
        self.unavailable = False
        self.calls = 0
        self.random_bytes = 0
        self.waits: list[float] = []

    def read(self, after: int) -> RowsRead | Refusal:
        """Count a call, and return the changes after a version."""
        self.calls += 1
        if self.unavailable:
            return AWAY
        rows = tuple(
            StoredRow(f'k{number}', self._content(number), number)
            for number in range(after + 1, self.version + 1)
        )
        return RowsRead(rows, self.version, 100 + self.version)

    async def snapshot(self, table: str) -> RowsRead | Refusal:
        """Return all rows."""
        return self.read(0)

    def _content(self, number: int) -> bytes:
        """Return the content of a row, which is the same at each call."""
        return b'x' + random.Random(number).randbytes(self.random_bytes)

    async def changes(
        self,
        table: str,
        after: int,
        wait: float,
    ) -> RowsRead | HistoryLost | Refusal:
        """Return the changes immediately."""
        self.waits.append(wait)
        return self.read(after)


class Host:
    """The parts of a host that read the store and serve its followers.

    Args:
        store: The platform's store.
        hosts: All hosts of the failure domain.
    """

    def __init__(
        self,
        name: str,
        store: CountingStore,
        hosts: 'dict[HostId, Host]',
    ) -> None:
        self.row = HostRow('127.0.0.1', reserve_port(), 'north')
        clock = BootClock()
        self.server = UpdateServer(clock)
        self.listener = PeerListener(_no_key, self.server)
        host = HostId(name)
        hosts[host] = self

        def local_hosts() -> dict[HostId, HostRow]:
            """Return the other hosts."""
            return {
                other: found.row
                for other, found in hosts.items()
                if other != host
            }

        self.link = UpdateLink(
            host, self.row, local_hosts, clock, self.server.outages
        )
        store_clock = StoreClock(clock)
        store_clock.calibrate(clock.now(), 100)
        self.store_clock = store_clock
        self.store = SharedStore(
            store,
            self.link,
            self.server,
            store_clock,
            clock,
            no_wait,
            ignore_position,
        )


class SharedReadingCase(unittest.IsolatedAsyncioTestCase):
    """Five hosts of one failure domain, of which one reads the store."""

    async def asyncSetUp(self) -> None:
        """Start all hosts, and wait until four of them follow another one."""
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.platform = CountingStore()
        self.hosts: dict[HostId, Host] = {}
        for name in 'abcde':
            Host(name, self.platform, self.hosts)
        for host in self.hosts.values():
            address = Address(host.row.ip, host.row.port)
            await host.listener.open(address, self.stack)
        for host in self.hosts.values():
            self.run_host(host)
        await self.wait_until(lambda: len(self.followers()) == 4)
        self.reader = next(
            each for each in self.hosts.values() if each.link.source is None
        )

    def run_host(self, host: Host) -> None:
        """Run the server and the link of a host."""
        host.link.start()
        for work in (host.server.run(), host.link.run()):
            task = asyncio.create_task(work)
            self.stack.callback(task.cancel)

    def followers(self) -> list[Host]:
        """Return the hosts that follow another one."""
        return [host for host in self.hosts.values() if host.link.source]

    def followers_of(self, reader: Host) -> list[Host]:
        """Return the hosts that follow a reader."""
        return [
            host
            for host in self.hosts.values()
            if host.link.source and self.hosts.get(host.link.source) is reader
        ]

    async def wait_until(self, condition: Callable[[], object]) -> None:
        """Wait for a condition, without a timeout."""
        while not condition():
            await asyncio.sleep(0.01)

    async def served_follower(self) -> Host:
        """Return a follower of a host that has read the table."""
        readers = [
            host for host in self.hosts.values() if self.followers_of(host)
        ]
        await readers[0].store.snapshot(TABLE)
        follower = self.followers_of(readers[0])[0]
        self.reader = readers[0]
        await self.wait_until(lambda: follower.link.serves(TABLE))
        # The rows that the reader had before are received first.
        await follower.store.changes(TABLE, self.platform.version, 60, FOREVER)
        return follower


class MemoryLink:
    """In-memory connection that delivers the frames of a host to its follower.

    Attributes:
        stream: Where the follower reads.
    """

    def __init__(self) -> None:
        self.stream = asyncio.StreamReader()
        self.transport = Mock()
        self.transport.is_closing.return_value = False
        self.transport.get_write_buffer_size.return_value = 0

    def write(self, text: bytes) -> None:
        """Deliver bytes."""
        self.stream.feed_data(text)
