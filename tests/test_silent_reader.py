"""A host that reads the store for others loses it without a sign.

Seen: routes that a confirmed configuration had added were refused as unknown,
by two hosts of one failure domain, later than the bound. How it came about: the
host that both followed was cut off from the platform's store alone. It went on
giving them signs of life, waited for an answer for some three seconds, and they
waited for its news. Cause: a follower took the life of the link for the age of
what it had been told. What proved it: readers cut off from just the store while
the configuration changes; their followers, and no other hosts, were late. The
same holds for the list of upstreams, which had waited for twenty seconds.
"""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final, Self, cast
from unittest.mock import Mock

from experiments.virtual_time import VirtualClock, VirtualLoop, run_virtually

from nutmegroad.fleet.announcements import HostRow
from nutmegroad.fleet.followers import FeedPace, TableFollower
from nutmegroad.fleet.news import Known
from nutmegroad.fleet.news_link import NewsLink
from nutmegroad.fleet.news_server import NewsServer
from nutmegroad.fleet.paces import bounded_pace, operator_pace
from nutmegroad.fleet.shared_store import SharedStore
from nutmegroad.fleet.store_clock import StoreClock
from nutmegroad.fleet.stored import RowsRead, StoredRow
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import HostId
from tests.relay_samples import (
    AWAY,
    AwayStore,
    nobody_hears,
    nothing_to_wait_for,
)

TABLE: Final = 'op'
#: Seconds within which a change has to be in force: the shortest of today.
BOUND: Final = 2.0
#: Seconds for which keys hold unconfirmed.
TRUST: Final = 5.0
#: Seconds that a call on the store lasts that is not answered, beside those
#: that the store was asked to wait.
ANSWER: Final = 1.0
#: Seconds from a moment of calm until the fault, and from the fault until the
#: configuration changes: all phases of a reader's questions.
PHASES: Final = tuple(
    (step / 3, more / 3) for step in range(10) for more in range(10)
)
#: Seconds of calm in which calls are counted: less than the minute after which
#: a host sets its clock by a call.
CALM: Final = 30.0


class ChangingStore:
    """A platform's store that may leave single hosts without an answer.

    Attributes:
        version: The version of its one row.
        silent: Hosts whose calls are not answered.
        calls: How many calls each host has made.
    """

    def __init__(self) -> None:
        self.version = 1
        self.silent: set[str] = set()
        self.calls: dict[str, int] = {}
        self._changed = asyncio.Event()

    def change(self) -> None:
        """Write the row anew."""
        self.version += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def seen_by(self, host: str) -> 'HostStore':
        """Return the store as one host has it."""
        return HostStore(self, host)

    async def next_change(self, seconds: float) -> None:
        """Wait for a change, so many seconds at most."""
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return


class HostStore(AwayStore):
    """The store as one host has it.

    Args:
        store: The store.
        host: The host.
    """

    def __init__(self, store: ChangingStore, host: str) -> None:
        self._store = store
        self._host = host

    async def snapshot(self, table: str) -> RowsRead | Refusal:
        """Return the row."""
        return await self.changes(table, 0, 0)

    async def changes(
        self,
        table: str,
        after: int,
        wait: float,
    ) -> RowsRead | Refusal:
        """Return the row once it is newer, or nothing after the wait."""
        store = self._store
        store.calls[self._host] = store.calls.get(self._host, 0) + 1
        loop = asyncio.get_running_loop()
        latest = loop.time() + wait
        if not self._is_silent and store.version <= after:
            await store.next_change(wait)
        if self._is_silent:
            await asyncio.sleep(max(0, latest - loop.time()) + ANSWER)
            return AWAY
        rows = (StoredRow('config', b'', store.version),)
        if store.version <= after:
            rows = ()
        return RowsRead(rows, store.version, loop.time())

    @property
    def _is_silent(self) -> bool:
        """Tell whether this host gets no answer."""
        return self._host in self._store.silent


class MemoryLink:
    """Carries what a host tells to one that follows it.

    Attributes:
        stream: Where the follower reads.
    """

    def __init__(self) -> None:
        self.stream = asyncio.StreamReader()
        self.transport = Mock()
        self.transport.is_closing.return_value = False
        self.transport.get_write_buffer_size.return_value = 0

    def write(self, text: bytes) -> None:
        """Carry bytes."""
        self.stream.feed_data(text)


class Host:
    """A host that keeps one table.

    Args:
        name: Its name.
        platform: The platform's store.
        pace: How it follows the table.

    Attributes:
        taken: When each version was taken in.
    """

    def __init__(
        self,
        name: str,
        platform: ChangingStore,
        pace: FeedPace,
    ) -> None:
        clock = VirtualClock(cast(VirtualLoop, asyncio.get_running_loop()))
        self.taken: dict[int, float] = {}
        self.server = NewsServer(clock)
        row = HostRow('127.0.0.1', 1, 'north')
        self.link = NewsLink(HostId(name), row, dict, clock)
        store_clock = StoreClock(clock)
        shared = SharedStore(
            platform.seen_by(name),
            self.link,
            self.server,
            store_clock,
            clock,
            nothing_to_wait_for,
            nobody_hears,
        )
        sink = Mock(apply=self._take, replace=self._take)
        self.follower = TableFollower(
            shared,
            TABLE,
            sink,
            pace,
            clock,
            store_clock,
            random.Random(1),
        )

    def follow(self, other: Self) -> Awaitable[str]:
        """Return the work of following another host."""
        link = MemoryLink()
        other.server._greet(cast(asyncio.StreamWriter, link), Known({}))
        return self.link._read(HostId('reader'), link.stream)

    def _take(self, read: RowsRead) -> None:
        """Note when a version came."""
        now = asyncio.get_running_loop().time()
        for row in read.rows:
            self.taken.setdefault(row.version, now)


#: What befalls two hosts; returns seconds, or what else is asserted of them.
Play = Callable[['Pair'], Awaitable[float]]


class Pair:
    """A host that reads the store, and one that follows it.

    Args:
        pace: How both follow the table.
    """

    def __init__(self, pace: FeedPace) -> None:
        self.platform = ChangingStore()
        self.reader = Host('reader', self.platform, pace)
        self.follower = Host('follower', self.platform, pace)
        self.reader.link._settled.set()
        self._tasks = [
            asyncio.create_task(work)
            for work in (
                self.reader.follower.run(),
                self.reader.server.run(),
                self.follower.follower.run(),
                self.follower.follow(self.reader),
            )
        ]

    async def settle(self) -> None:
        """Wait until the follower has the table from the reader."""
        while not self.follower.link.serves(TABLE):
            await asyncio.sleep(0.1)
        await asyncio.sleep(10)

    def close(self) -> None:
        """End all work."""
        for task in self._tasks:
            task.cancel()


class SilentReaderTest(unittest.TestCase):
    """Changes come to a host whose reader has lost the store."""

    def test_configuration_is_in_force_in_time(self) -> None:
        """Pattern: only the host that reads for others loses the store.

        Also where keys hold for ever, and only the bound on changes makes a
        host ask.
        """
        for trust in (TRUST, None):
            self.assert_in_time(operator_pace(trust, BOUND), change_in_silence)

    def test_leaving_upstreams_are_known_in_time(self) -> None:
        """Pattern: the same, and an upstream leaves."""
        self.assert_in_time(bounded_pace(BOUND), change_in_silence)

    def test_change_is_in_time_once_the_store_is_back(self) -> None:
        """Pattern: the store answered nobody, then all but the reader.

        A call that hangs for a second and the pause after it have to be over
        before the bound is, counted from when the outage excuses nothing more.
        """
        self.assert_in_time(operator_pace(TRUST, BOUND), change_after_outage)

    def test_host_that_only_its_reader_can_serve_is_told(self) -> None:
        """Pattern: the store answered nobody, then all but one follower.

        Its own calls go on failing; what its reader tells is young again.
        """
        self.assert_in_time(operator_pace(TRUST, BOUND), change_by_the_reader)

    def test_followers_of_a_sound_reader_ask_nothing(self) -> None:
        """Pattern: each host asks for itself, and calls cost a tenth."""
        for pace in (operator_pace(TRUST, BOUND), bounded_pace(BOUND)):
            calls = self.run_pair(pace, calls_in_calm)
            self.assertEqual(calls, 0)

    def assert_in_time(self, pace: FeedPace, play: Play) -> None:
        """Assert that a change comes within the bound, in all phases."""
        late = {
            phase: found
            for phase in PHASES
            if (found := self.run_pair(pace, partial(play, phase=phase)))
            > BOUND
        }
        self.assertEqual(late, {})

    def run_pair(
        self,
        pace: FeedPace,
        play: Play,
    ) -> float:
        """Play something with two hosts, on virtual time."""

        async def whole() -> float:
            """Make the hosts, play, and end them."""
            pair = Pair(pace)
            try:
                await pair.settle()
                return await play(pair)
            finally:
                pair.close()

        return run_virtually(VirtualLoop(), whole())


async def change_in_silence(pair: Pair, phase: tuple[float, float]) -> float:
    """Return how late a change comes that follows on the reader's silence."""
    await asyncio.sleep(phase[0])
    pair.platform.silent.add('reader')
    await asyncio.sleep(phase[1])
    return await lateness(pair)


async def change_after_outage(pair: Pair, phase: tuple[float, float]) -> float:
    """Return how late a change comes once the store serves the follower."""
    return await change_after_return(pair, phase, 'follower')


async def change_by_the_reader(pair: Pair, phase: tuple[float, float]) -> float:
    """Return how late a change comes once the store serves the reader."""
    return await change_after_return(pair, phase, 'reader')


async def change_after_return(
    pair: Pair,
    phase: tuple[float, float],
    served: str,
) -> float:
    """Return how late a change comes after an outage, as one host is served."""
    await asyncio.sleep(phase[0])
    pair.platform.silent.update(('reader', 'follower'))
    await asyncio.sleep(4 + phase[1])
    pair.platform.silent.discard(served)
    # What excuses a host lasts three seconds longer than the outage; with it,
    # this change has to be in force three seconds after the outage.
    await asyncio.sleep(1)
    return await lateness(pair)


async def lateness(pair: Pair) -> float:
    """Change the table; return the seconds until the follower has it."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    pair.platform.change()
    version = pair.platform.version
    while version not in pair.follower.taken:
        await asyncio.sleep(0.05)
        if loop.time() - began > CALM:
            break
    return pair.follower.taken.get(version, float('inf')) - began


async def calls_in_calm(pair: Pair) -> float:
    """Return how often the follower asks the store while all is well."""
    before = pair.platform.calls.get('follower', 0)
    await asyncio.sleep(CALM)
    return pair.platform.calls.get('follower', 0) - before


if __name__ == '__main__':
    unittest.main()
