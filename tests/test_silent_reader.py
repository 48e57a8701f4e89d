"""Tests of hosts whose reader loses the store without notice.

A reader is a host that reads the platform's store for others, its followers.
When a reader was cut off from the store only, it went on sending keep-alives
and waited some three seconds for an answer of the store. Its followers inferred
from the keep-alives that its updates were recent, and went on waiting for them:
two of them refused routes of a confirmed configuration as unknown, later than
the bound allows. Only followers of such readers were late. The list of
upstreams was affected too, with a wait of twenty seconds.
"""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final, Self, cast
from unittest.mock import Mock

from experiments.virtual_time import (
    VirtualClock,
    VirtualLoop,
    run_on_virtual_loop,
)

from nutmegroad.fleet.feed_timing import bounded_timing, operator_timing
from nutmegroad.fleet.followers import FeedTiming, TableFollower
from nutmegroad.fleet.host_registration import HostRow
from nutmegroad.fleet.shared_store import SharedStore
from nutmegroad.fleet.store_clock import StoreClock
from nutmegroad.fleet.store_interface import RowsRead, StoredRow
from nutmegroad.fleet.table_updates import KnownVersions
from nutmegroad.fleet.update_link import UpdateLink
from nutmegroad.fleet.update_server import UpdateServer
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import HostId
from tests.relay_samples import (
    AWAY,
    UnavailableStore,
    ignore_position,
    no_wait,
)
from tests.shared_store_rig import MemoryLink

TABLE: Final = 'op'
#: Seconds within which a change has to be in force: today's shortest bound.
BOUND: Final = 2.0
#: Seconds for which unconfirmed keys are valid.
KEY_VALIDITY: Final = 5.0
#: Seconds until an unanswered call on the store fails, in addition to the
#: seconds that the store was asked to wait.
CALL_TIMEOUT: Final = 1.0
#: Seconds without faults before the fault, and seconds from the fault until the
#: table changes: covers all phases of a reader's calls.
PHASES: Final = tuple(
    (step / 3, more / 3) for step in range(10) for more in range(10)
)
#: Seconds without faults in which calls are counted: less than the minute after
#: which a host calibrates its clock by a call.
QUIET_PERIOD: Final = 30.0


class ChangingStore:
    """A store that may leave the calls of some hosts without an answer.

    Attributes:
        version: Version of its one row.
        unanswered: Hosts whose calls are not answered.
        calls: Number of calls by host.
    """

    def __init__(self) -> None:
        self.version = 1
        self.unanswered: set[str] = set()
        self.calls: dict[str, int] = {}
        self._changed = asyncio.Event()

    def change(self) -> None:
        """Write the row again."""
        self.version += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def seen_by(self, host: str) -> 'HostStore':
        """Return the store as one host sees it."""
        return HostStore(self, host)

    async def next_change(self, seconds: float) -> None:
        """Wait for a change, at most for some seconds."""
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return


class HostStore(UnavailableStore):
    """The store as one host sees it.

    Args:
        store: The store.
        host: The host.
    """

    def __init__(self, store: ChangingStore, host: str) -> None:
        self._store = store
        self._host = host

    async def snapshot(self, table: str) -> RowsRead | Refusal:
        """Return the one row."""
        return await self.changes(table, 0, 0)

    async def changes(
        self,
        table: str,
        after: int,
        wait: float,
    ) -> RowsRead | Refusal:
        """Return the row if it is newer, waiting for a change if it is not."""
        store = self._store
        store.calls[self._host] = store.calls.get(self._host, 0) + 1
        loop = asyncio.get_running_loop()
        wait_end = loop.time() + wait
        if not self._is_unanswered and store.version <= after:
            await store.next_change(wait)
        if self._is_unanswered:
            await asyncio.sleep(max(0, wait_end - loop.time()) + CALL_TIMEOUT)
            return AWAY
        rows = (StoredRow('config', b'', store.version),)
        if store.version <= after:
            rows = ()
        return RowsRead(rows, store.version, loop.time())

    @property
    def _is_unanswered(self) -> bool:
        """Whether the calls of this host are not answered."""
        return self._host in self._store.unanswered


class Host:
    """A host that follows one table.

    Args:
        name: Its name.
        platform: The platform's store.
        timing: How it follows the table.

    Attributes:
        received: Loop time in seconds at which each version was received.
    """

    def __init__(
        self,
        name: str,
        platform: ChangingStore,
        timing: FeedTiming,
    ) -> None:
        clock = VirtualClock(cast(VirtualLoop, asyncio.get_running_loop()))
        self.received: dict[int, float] = {}
        self.server = UpdateServer(clock)
        row = HostRow('127.0.0.1', 1, 'north')
        self.link = UpdateLink(
            HostId(name), row, dict, clock, self.server.outages
        )
        store_clock = StoreClock(clock)
        shared = SharedStore(
            platform.seen_by(name),
            self.link,
            self.server,
            store_clock,
            clock,
            no_wait,
            ignore_position,
        )
        sink = Mock(apply=self._record, replace=self._record)
        self.follower = TableFollower(
            shared,
            TABLE,
            sink,
            timing,
            clock,
            store_clock,
            random.Random(1),
        )

    def follow(self, other: Self) -> Awaitable[str]:
        """Return the coroutine that follows another host."""
        link = MemoryLink()
        other.server._add_follower(
            cast(asyncio.StreamWriter, link), KnownVersions({})
        )
        return self.link._read(HostId('reader'), link.stream)

    def _record(self, read: RowsRead) -> None:
        """Record when new versions were received."""
        now = asyncio.get_running_loop().time()
        for row in read.rows:
            self.received.setdefault(row.version, now)


#: A scenario for two hosts; returns seconds, or another value to check.
Scenario = Callable[['Pair'], Awaitable[float]]


class Pair:
    """A host that reads the store, and its follower.

    Args:
        timing: How both follow the table.
    """

    def __init__(self, timing: FeedTiming) -> None:
        self.platform = ChangingStore()
        self.reader = Host('reader', self.platform, timing)
        self.follower = Host('follower', self.platform, timing)
        self.reader.link._decided.set()
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
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()


class SilentReaderTest(unittest.TestCase):
    """Checks when changes reach a host whose reader has lost the store."""

    def test_configuration_is_in_force_in_time(self) -> None:
        """Pattern: only the host that reads for others loses the store.

        Covers keys that are valid forever, too, where only the bound on changes
        makes a host call the store.
        """
        for key_validity in (KEY_VALIDITY, None):
            self.assert_in_time(
                operator_timing(key_validity, BOUND), change_in_silence
            )

    def test_draining_upstreams_are_known_in_time(self) -> None:
        """Pattern: only the reader loses the store, and an upstream drains."""
        self.assert_in_time(bounded_timing(BOUND), change_in_silence)

    def test_change_is_in_time_once_the_store_is_back(self) -> None:
        """Pattern: the store answered no host, then all but the reader.

        A call that hangs for a second and the pause after it have to end within
        the bound, counted from when an outage does not excuse delays any more.
        """
        self.assert_in_time(
            operator_timing(KEY_VALIDITY, BOUND), change_after_outage
        )

    def test_host_that_only_its_reader_can_serve_is_updated(self) -> None:
        """Pattern: the store answered no host, then all but one follower.

        The follower's own calls go on failing, but its reader sends recent
        updates again.
        """
        self.assert_in_time(
            operator_timing(KEY_VALIDITY, BOUND), change_by_the_reader
        )

    def test_followers_of_a_healthy_reader_ask_nothing(self) -> None:
        """Guards against followers that call the store without need.

        As long as the reader's updates are recent, a follower makes no calls of
        its own.
        """
        for timing in (
            operator_timing(KEY_VALIDITY, BOUND),
            bounded_timing(BOUND),
        ):
            calls = self.run_pair(timing, calls_without_fault)
            self.assertEqual(calls, 0)

    def assert_in_time(self, timing: FeedTiming, scenario: Scenario) -> None:
        """Assert that a change arrives within the bound, in all phases."""
        late = {
            phase: found
            for phase in PHASES
            if (found := self.run_pair(timing, partial(scenario, phase=phase)))
            > BOUND
        }
        self.assertEqual(late, {})

    def run_pair(
        self,
        timing: FeedTiming,
        scenario: Scenario,
    ) -> float:
        """Run a scenario with two hosts, on virtual time."""

        async def run_scenario() -> float:
            """Create the hosts, run the scenario, and stop them."""
            pair = Pair(timing)
            try:
                await pair.settle()
                return await scenario(pair)
            finally:
                pair.close()

        return run_on_virtual_loop(VirtualLoop(), run_scenario())


async def change_in_silence(pair: Pair, phase: tuple[float, float]) -> float:
    """Return the delay of a change after the reader has lost the store."""
    await asyncio.sleep(phase[0])
    pair.platform.unanswered.add('reader')
    await asyncio.sleep(phase[1])
    return await delay_of_change(pair)


async def change_after_outage(pair: Pair, phase: tuple[float, float]) -> float:
    """Return the delay of a change once the store serves the follower."""
    return await change_after_return(pair, phase, 'follower')


async def change_by_the_reader(pair: Pair, phase: tuple[float, float]) -> float:
    """Return the delay of a change once the store serves the reader."""
    return await change_after_return(pair, phase, 'reader')


async def change_after_return(
    pair: Pair,
    phase: tuple[float, float],
    served: str,
) -> float:
    """Return the delay of a change after the store answers one host again."""
    await asyncio.sleep(phase[0])
    pair.platform.unanswered.update(('reader', 'follower'))
    await asyncio.sleep(4 + phase[1])
    pair.platform.unanswered.discard(served)
    # An outage excuses delays until three seconds after its end, so this
    # change has to be in force by then: two seconds after it was made.
    await asyncio.sleep(1)
    return await delay_of_change(pair)


async def delay_of_change(pair: Pair) -> float:
    """Change the table and return the seconds until the follower has it."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    pair.platform.change()
    version = pair.platform.version
    while version not in pair.follower.received:
        await asyncio.sleep(0.05)
        if loop.time() - began > QUIET_PERIOD:
            break
    return pair.follower.received.get(version, float('inf')) - began


async def calls_without_fault(pair: Pair) -> float:
    """Return how often the follower calls the store without any fault."""
    before = pair.platform.calls.get('follower', 0)
    await asyncio.sleep(QUIET_PERIOD)
    return pair.platform.calls.get('follower', 0) - before


if __name__ == '__main__':
    unittest.main()
