"""Hosts that reach the platform's store again, and upstreams that have left.

To such a host, the entry of an upstream that left looks like one that the store
lost while it was unavailable: the first is to be removed, the second belongs to
an upstream that is alive and writes it again.
"""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final, cast
from unittest.mock import Mock

from experiments.virtual_time import (
    VirtualClock,
    VirtualLoop,
    run_on_virtual_loop,
)

from nutmegroad.fleet.feed_timing import bounded_timing
from nutmegroad.fleet.followers import TableFollower
from nutmegroad.fleet.host_registration import HostRow
from nutmegroad.fleet.shared_store import SharedStore
from nutmegroad.fleet.store_clock import StoreClock
from nutmegroad.fleet.store_interface import RowsRead, StoredRow
from nutmegroad.fleet.store_probes import OutageRecord
from nutmegroad.fleet.table_updates import (
    KnownVersions,
    TableUpdate,
    receive,
)
from nutmegroad.fleet.update_link import UpdateLink
from nutmegroad.fleet.update_server import UpdateServer
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import HostId, ServiceName
from nutmegroad.tables.row_guard import RowGuard
from nutmegroad.tables.upstream_table import UpstreamSink
from nutmegroad.testing.virtual import ManualClock
from nutmegroad.upstreams.directory import Directory
from nutmegroad_platform.rows import RowCodec
from tests.relay_samples import (
    AWAY,
    UnavailableStore,
    entry_row,
    ignore_position,
    no_wait,
    upstream_sink,
)
from tests.shared_store_rig import MemoryLink

UPSTREAMS: Final = 'servers'
SERVICE: Final = ServiceName('s')
#: Seconds for which an upstream continues to serve after its entry is removed.
DRAIN: Final = 2.0
#: Seconds after its path to the store is open again within which a host has to
#: have caught up.
CONTACT: Final = 3.0
#: Seconds between the writes of a live upstream, and those within which the
#: platform says that its entry is back.
HEARTBEAT: Final = 1.2
REAPPEARANCE: Final = 2.0
#: Seconds until a call that hangs fails, besides those that it may wait.
CALL_TIMEOUT: Final = 1.0
SEEDS: Final = 150


@unique
class Cut(Enum):
    """How the calls of a host end that does not reach the store."""

    #: They hang until their timeout, even if the path is open again meanwhile.
    SILENT = 'silent'
    #: Those under way end at once, and so do further ones.
    RESET = 'reset'


@dataclass
class ListStore(UnavailableStore):
    """A store with a list of upstreams, and the path of a host to it.

    Attributes:
        cut: How the path is cut now; None if it is open.
        rows: Version of each upstream's entry; negative if it was removed.
        version: The store's version.
        lost: Set while the path is cut; replaced when it opens.
    """

    cut: Cut | None = None
    rows: dict[str, int] = field(default_factory=dict)
    version: int = 0
    lost: asyncio.Event = field(default_factory=asyncio.Event)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, upstream: str) -> None:
        """Write an upstream's entry."""
        self._write(upstream, 1)

    def remove(self, upstream: str) -> None:
        """Remove an upstream's entry."""
        self._write(upstream, -1)

    def begin(self, cut: Cut) -> None:
        """Cut the path."""
        self.cut = cut
        self.lost.set()

    def end(self) -> None:
        """Open the path for further calls."""
        self.cut = None
        self.lost = asyncio.Event()

    async def snapshot(self, table: str) -> RowsRead | Refusal:
        """Return all entries."""
        found = await self.changes(table, 0, 0)
        return found if isinstance(found, Refusal) else self._read(0)

    async def changes(
        self, table: str, after: int, wait: float
    ) -> RowsRead | Refusal:
        """Return the changes after a version, waiting for one if necessary."""
        loop = asyncio.get_running_loop()
        began, lost, cut = loop.time(), self.lost, self.cut
        if cut is None and table == UPSTREAMS and self.version <= after:
            changed = self._changed
            await _first_of(wait, changed.wait(), lost.wait())
        elif cut is None and table != UPSTREAMS:
            await _first_of(wait, lost.wait())
        if lost.is_set():
            if (cut or self.cut) is not Cut.RESET:
                await asyncio.sleep(began + wait + CALL_TIMEOUT - loop.time())
            return AWAY
        if table != UPSTREAMS:
            return RowsRead((), self.version, loop.time())
        return self._read(after)

    def _write(self, upstream: str, sign: int) -> None:
        self.version += 1
        self.rows[upstream] = sign * self.version
        self._changed.set()
        self._changed = asyncio.Event()

    def _read(self, after: int) -> RowsRead:
        rows = tuple(
            entry_row(name, version)
            if version > 0
            else StoredRow(name, b'', -version, removed=True)
            for name, version in self.rows.items()
            if abs(version) > after
        )
        now = asyncio.get_running_loop().time()
        return RowsRead(rows, self.version, now)


async def _first_of(seconds: float, *events: Awaitable[object]) -> None:
    """Wait for the first of some events, or until a timeout."""
    tasks = [asyncio.ensure_future(each) for each in events]
    await asyncio.wait(
        tasks, timeout=seconds, return_when=asyncio.FIRST_COMPLETED
    )
    for task in tasks:
        task.cancel()


class Host:
    """A host that follows the list of upstreams and two other tables.

    Args:
        store: The store.
        randomness: Randomizes retries.
    """

    def __init__(self, store: ListStore, randomness: random.Random) -> None:
        clock = VirtualClock(cast(VirtualLoop, asyncio.get_running_loop()))
        self.clock = clock
        self.server = UpdateServer(clock)
        row = HostRow('127.0.0.1', 1, 'north')
        self.link = UpdateLink(
            HostId('host'), row, dict, clock, self.server.outages
        )
        self.link._decided.set()
        self.directory = Directory(clock)
        self.sink = UpstreamSink(
            RowCodec(),
            self.directory,
            clock,
            DRAIN,
            CONTACT,
            self.server.outages,
            RowGuard(UPSTREAMS),
        )
        self.sink.update_services([SERVICE])
        store_clock = StoreClock(clock)
        shared = SharedStore(
            store,
            self.link,
            self.server,
            store_clock,
            clock,
            no_wait,
            ignore_position,
        )
        self.followers = [
            TableFollower(
                shared,
                table,
                self.sink if table == UPSTREAMS else Mock(),
                bounded_timing(DRAIN),
                clock,
                store_clock,
                randomness,
            )
            for table in ('op', UPSTREAMS, 'hosts')
        ]

    def uses(self, upstream: str) -> bool:
        """Return whether the host sends requests to an upstream."""
        found = self.directory.of_service(SERVICE)
        return upstream in {each.entry.upstream for each in found}


#: A play with a host; returns what it has found, empty for nothing.
Play = Callable[[ListStore, Host, random.Random], Awaitable[str]]


def run(play: Play, seed: int) -> str:
    """Run a play on virtual time, and return what it has found."""
    randomness = random.Random(seed)

    async def run_play() -> str:
        """Start a host, run the play, and stop the host."""
        store = ListStore()
        for name in 'abc':
            store.put(name)
        host = Host(store, randomness)
        with ExitStack() as stack:
            for follower in host.followers:
                task = asyncio.create_task(follower.run())
                stack.callback(task.cancel)
            await asyncio.sleep(randomness.uniform(5, 7))
            return await play(store, host, randomness)

    return run_on_virtual_loop(VirtualLoop(), run_play())


async def leave_around_a_cut(
    store: ListStore, host: Host, randomness: random.Random
) -> str:
    """Cut the path once or twice; one upstream leaves around the end."""
    for _ in range(randomness.choice((1, 2))):
        cut = randomness.choice(tuple(Cut))
        length = randomness.uniform(0.1, 8)
        leaves = max(0, length + randomness.uniform(-4, 2.5))
        began = host.clock.now()
        store.begin(cut)
        asyncio.get_running_loop().call_later(leaves, store.remove, 'a')
        await asyncio.sleep(length)
        store.end()
        opened = host.clock.now()
        removed = began + leaves
        due = max(removed + DRAIN, opened + CONTACT)
        await asyncio.sleep(due - host.clock.now())
        if host.uses('a'):
            await asyncio.sleep(0)
            return f'{cut.value} for {length:.2f} s, left at {leaves:.2f} s'
        store.put('a')
        await asyncio.sleep(randomness.uniform(0.5, 2))
    return ''


async def lapse_in_an_outage(
    store: ListStore, host: Host, randomness: random.Random
) -> str:
    """Make the store unavailable; all entries lapse, and are written again."""
    cut = randomness.choice(tuple(Cut))
    store.begin(cut)
    await asyncio.sleep(randomness.uniform(4, 9))
    for name in 'abc':
        store.remove(name)
    await asyncio.sleep(randomness.uniform(0, 1))
    store.end()
    loop = asyncio.get_running_loop()
    latest = HEARTBEAT if cut is Cut.SILENT else REAPPEARANCE
    for name in 'abc':
        loop.call_later(randomness.uniform(0, latest), store.put, name)
    until = host.clock.now() + 2 * CONTACT
    while host.clock.now() < until:
        lost = ''.join(name for name in 'abc' if not host.uses(name))
        if lost:
            return f'{cut.value}: {lost} not used'
        await asyncio.sleep(0.02)
    return ''


class ReconnectedHostTest(unittest.TestCase):
    """Searches over cuts, leaves and outages, on virtual time."""

    def test_upstream_that_left_behind_a_cut_is_removed_in_time(self) -> None:
        """A host back in touch sent requests to upstreams that had left.

        Four things added up: a call that hung, the pause after it, the time for
        which a missing entry is kept, and the interval of the sweep.
        """
        self.search(leave_around_a_cut)

    def test_live_upstreams_stay_in_use_after_an_outage(self) -> None:
        """Guards against removing what the store has only lost."""
        self.search(lapse_in_an_outage)

    def search(self, play: Play) -> None:
        """Assert that a play finds nothing, whatever its seed."""
        found = {
            seed: problem
            for seed in range(SEEDS)
            if (problem := run(play, seed))
        }
        self.assertEqual(found, {})


class MissingUpstreamTest(unittest.TestCase):
    """An upstream whose entry is missing after an outage."""

    def test_missing_upstream_is_removed_without_a_sweep(self) -> None:
        """The sweep added up to half a second to each bound."""
        clock = ManualClock(start=50)
        directory = Directory(clock)
        outages = OutageRecord(clock)
        sink = upstream_sink(directory, clock, outages)
        sink.update_services([SERVICE])
        sink.replace(RowsRead((entry_row('a'),), 1, 0))
        outages.record_failure(50)
        sink.on_store_unavailable()
        clock._now = 51.5
        sink.replace(RowsRead((), 2, 0))
        self.assertTrue(directory.of_service(SERVICE))
        clock._now = 53
        self.assertEqual(directory.of_service(SERVICE), ())


class OutageReportTest(unittest.IsolatedAsyncioTestCase):
    """What hosts tell each other of the store's outages."""

    async def test_follower_counts_from_the_last_failed_call_of_its_reader(
        self,
    ) -> None:
        """A follower asks the store itself less often than its reader.

        By its own calls alone, it would remove live upstreams too early.
        """
        clock = ManualClock(start=100)
        reader = UpdateServer(clock)
        reader.outages.record_failure(99.5)
        outages = OutageRecord(clock)
        outages.record_failure(97)
        row = HostRow('127.0.0.1', 1, 'north')
        follower = UpdateLink(HostId('b'), row, dict, clock, outages)
        link = MemoryLink()
        reader._add_follower(
            cast(asyncio.StreamWriter, link), KnownVersions({})
        )
        reader.send_update(TableUpdate(UPSTREAMS, 1, 2, 50))
        follower._handle(await receive(link.stream))
        self.assertAlmostEqual(outages.last_failed, 99.5)
