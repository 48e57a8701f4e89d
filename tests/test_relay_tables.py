"""Tests of table updates from the store, and of how long they stay valid."""

import random
import unittest

from nutmegroad.fleet.followers import FeedTiming, TableFollower
from nutmegroad.fleet.store_clock import StoreClock
from nutmegroad.fleet.store_interface import (
    HistoryLost,
    RowsRead,
    StoredRow,
)
from nutmegroad.fleet.store_probes import OutageRecord
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Ran, ServiceName
from nutmegroad.routes.cached_configuration import CachedConfiguration
from nutmegroad.routes.deployment import (
    ConfigurationVersion,
    RoutingTable,
)
from nutmegroad.testing.virtual import ManualClock
from nutmegroad.upstreams.directory import Directory
from tests.relay_samples import UnavailableStore, entry_row, upstream_sink


class ScriptedStore(UnavailableStore):
    """A store that returns prepared answers to a follower."""

    def __init__(self, *answers: object) -> None:
        self.answers = list(answers)
        self.asked: list[str] = []
        self.waits: list[float] = []

    async def snapshot(self, table: str) -> RowsRead | Refusal:
        """Return the next answer."""
        self.asked.append('snapshot')
        return self.answers.pop(0)  # type: ignore[return-value]

    async def changes(
        self,
        table: str,
        after: int,
        wait: float,
        updates_until: float,
    ) -> RowsRead | HistoryLost | Refusal:
        """Return the next answer."""
        self.asked.append(f'after {after}')
        self.waits.append(wait)
        return self.answers.pop(0)  # type: ignore[return-value]


class Recorder:
    """A sink that records its calls."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def replace(self, read: RowsRead) -> None:
        """Record a full snapshot."""
        self.calls.append('replace')

    def apply(self, read: RowsRead) -> None:
        """Record a table update."""
        self.calls.append('apply')

    def confirm(self, moment: float, read: RowsRead) -> None:
        """Record a confirmation."""
        self.calls.append(f'confirm {moment:g}')

    def on_store_unavailable(self) -> None:
        """Record that the store is unavailable."""
        self.calls.append('lost')

    def on_store_restored(self) -> None:
        """Record that the store was restored from a backup."""
        self.calls.append('went back')


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    """A follower recovers from each kind of failure."""

    async def test_lost_history_is_read_anew(self) -> None:
        """The store drops its history while a host waits for changes."""
        refusal = Refusal(ResultCode.TABLE_UNAVAILABLE, '.', Ran.UNKNOWN)
        store = ScriptedStore(
            RowsRead((), 5, 100),
            HistoryLost(),
            refusal,
            RowsRead((), 9, 100),
            RowsRead((StoredRow('k', b'', 10),), 10, 100),
        )
        clock = ManualClock()
        sink = Recorder()
        store_clock = StoreClock(clock)
        store_clock.calibrate(0, 100)
        follower = TableFollower(
            store,
            't',
            sink,
            FeedTiming(3, 0, 3),
            clock,
            store_clock,
            random.Random(1),
        )
        for _ in range(5):
            await follower.step()
        self.assertEqual(
            store.asked,
            ['snapshot', 'after 5', 'snapshot', 'snapshot', 'after 9'],
        )
        self.assertEqual(
            sink.calls,
            [
                'replace',
                'confirm 0',
                'lost',
                'replace',
                'confirm 0',
                'apply',
                'confirm 0',
            ],
        )


class UnresponsiveStoreTest(unittest.IsolatedAsyncioTestCase):
    """Recovery after the store was unresponsive."""

    async def test_lost_store_is_not_asked_to_wait(self) -> None:
        """No long-polling call is sent to an unresponsive store.

        Such a call hung for four seconds, three of them after the store was
        available again.
        """
        refusal = Refusal(ResultCode.TABLE_UNAVAILABLE, '.', Ran.UNKNOWN)
        empty = RowsRead((), 5, 100)
        store = ScriptedStore(empty, refusal, refusal, empty, empty)
        clock = ManualClock()
        follower = TableFollower(
            store,
            't',
            Recorder(),
            FeedTiming(3, 0, 3),
            clock,
            StoreClock(clock),
            random.Random(1),
        )
        for _ in range(5):
            await follower.step()
        self.assertEqual(store.waits, [3, 0, 0, 3])


def estimate_creation(
    store_clock: StoreClock, asked: float, store_time: float
) -> float:
    """Return when the store made an answer, in the host's clock seconds."""
    store_clock.calibrate(asked, store_time)
    return store_clock.to_host_time(store_time)


class StoreClockTest(unittest.TestCase):
    """Estimates of when the store made an answer."""

    def test_answer_held_back_is_as_new_as_the_store_says(self) -> None:
        """Keys must not seem old after a change has ended a long wait."""
        clock = ManualClock(start=10)
        store_clock = StoreClock(clock)
        self.assertEqual(estimate_creation(store_clock, 10, 500), 10)
        clock._now = 13
        self.assertAlmostEqual(
            estimate_creation(store_clock, 10, 502.9), 12.9, delta=0.01
        )

    def test_moment_is_never_later_than_the_truth(self) -> None:
        """All answers arrive seconds late, including the first."""
        clock = ManualClock(start=14)
        store_clock = StoreClock(clock)
        # Asked at 10, made at 11 (store 501), received at 14.
        self.assertLessEqual(estimate_creation(store_clock, 10, 501), 11)
        clock._now = 20
        # Asked at 15, made at 15.5, received at 20.
        self.assertLessEqual(estimate_creation(store_clock, 15, 505.5), 15.5)


class CachedConfigurationTest(unittest.TestCase):
    """Validity of keys, and versions of the cached configuration."""

    def test_keys_expire_before_the_bound(self) -> None:
        """A key may have been revoked while this host is cut off."""
        clock = ManualClock()
        cached = CachedConfiguration(clock, 5)
        cached.update(RoutingTable(ConfigurationVersion(1), (), {}))
        cached.confirm(0)
        clock._now = 4.6
        self.assertTrue(cached.keys_valid)
        clock._now = 4.9
        self.assertFalse(cached.keys_valid)
        cached.confirm(1)
        self.assertTrue(cached.keys_valid)

    def test_confirmation_never_goes_back(self) -> None:
        """A late answer confirms nothing newer."""
        clock = ManualClock(start=9)
        cached = CachedConfiguration(clock, 5)
        cached.confirm(8)
        cached.confirm(3)
        self.assertEqual(cached.age, 1)

    def test_version_never_goes_back(self) -> None:
        """An older configuration is ignored."""
        cached = CachedConfiguration(ManualClock(), 5)
        for version in (3, 2):
            cached.update(RoutingTable(ConfigurationVersion(version), (), {}))
        assert cached.table is not None
        self.assertEqual(cached.table.version, 3)


class UpstreamSinkTest(unittest.TestCase):
    """Updates of the list of upstreams."""

    def setUp(self) -> None:
        """Create a sink that has received two workers."""
        self.clock = ManualClock(start=50)
        self.directory = Directory(self.clock)
        self.outages = OutageRecord(self.clock)
        self.sink = upstream_sink(self.directory, self.clock, self.outages)
        self.sink.update_services([ServiceName('s')])
        self.sink.replace(
            RowsRead((entry_row('a'), entry_row('b')), 1, 0),
        )

    def lose_store(self) -> None:
        """Make a call fail."""
        self.outages.record_failure(self.clock.now())
        self.sink.on_store_unavailable()

    def known(self) -> int:
        """Return how many workers accept requests."""
        return len(self.directory.of_service(ServiceName('s')))

    def test_removed_entry_is_gone_at_once(self) -> None:
        """A worker terminates without draining."""
        self.sink.apply(RowsRead((StoredRow('a', b'', 2, removed=True),), 2, 0))
        self.assertEqual(self.known(), 1)

    def test_leaving_worker_gets_nothing_new(self) -> None:
        """A worker drains."""
        row = entry_row('a', 2, state='draining')
        self.sink.apply(RowsRead((row,), 2, 0))
        self.assertEqual(self.known(), 1)

    def test_entries_lost_in_an_outage_may_come_back(self) -> None:
        """Leases expire while the store is down."""
        self.lose_store()
        self.sink.replace(RowsRead((), 3, 0))
        self.assertEqual(self.known(), 2)
        self.clock._now += 1
        self.sink.apply(RowsRead((entry_row('a', 4),), 4, 0))
        self.clock._now += 2
        self.directory.remove_missing()
        self.assertEqual(self.known(), 1)

    def test_worker_that_leaves_after_an_outage_is_gone_in_time(self) -> None:
        """A worker leaves two seconds after the store is available again.

        Without the limit, it was kept for 2.5 s, although it continues to serve
        for only 2 s.
        """
        self.lose_store()
        self.sink.confirm(50, RowsRead((), 2, 0))
        self.clock._now += 2
        self.sink.apply(RowsRead((StoredRow('a', b'', 3, removed=True),), 3, 0))
        self.clock._now += 1.3
        self.directory.remove_missing()
        self.assertEqual(self.known(), 1)

    def test_entry_that_cannot_be_read_changes_nothing(self) -> None:
        """It is rejected and logged; the other entries stay."""
        bad = StoredRow('c', b'{"service": 1}', 5)
        self.sink.apply(RowsRead((bad,), 5, 0))
        self.assertEqual(self.known(), 2)
