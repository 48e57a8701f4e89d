"""Tests of hosts that read the store for others, and of their followers."""

import asyncio
import random
import unittest
from collections import Counter
from collections.abc import Callable
from unittest.mock import AsyncMock, Mock, patch

from nutmegroad.fleet.followers import FeedTiming, TableFollower
from nutmegroad.fleet.host_registration import HostRow
from nutmegroad.fleet.store_clock import StoreClock
from nutmegroad.fleet.store_interface import (
    RowsRead,
    StoredRow,
)
from nutmegroad.fleet.store_probes import OutageRecord
from nutmegroad.fleet.update_link import MAX_FOLLOWERS, UpdateLink
from nutmegroad.foundations.types import HostId
from nutmegroad.testing.virtual import ManualClock
from tests.relay_samples import AWAY
from tests.shared_store_rig import FOREVER, TABLE, Host, SharedReadingCase


def make_link(
    host: HostId,
    row: HostRow,
    local_hosts: Callable[[], dict[HostId, HostRow]],
) -> UpdateLink:
    """Return the link of a host that has not followed another one yet."""
    clock = ManualClock()
    return UpdateLink(host, row, local_hosts, clock, OutageRecord(clock))


class RelayedClockTest(unittest.TestCase):
    """Conversion of the times in relayed answers to a host's clock."""

    def test_time_is_the_stores_own(self) -> None:
        """Pattern: a host is paused, and then sends what it read before.

        The answer has the store's time, so no delay makes it look newer.
        """
        clock = ManualClock(start=50)
        store_clock = StoreClock(clock)
        self.assertEqual(store_clock.to_host_time(7), float('-inf'))
        store_clock.calibrate(50, 7)
        clock._now += 10
        moment = store_clock.to_host_time(9)
        self.assertLessEqual(moment, 52)
        self.assertGreater(moment, 51.9)
        # A host clock that runs fast must not make it newer than now.
        self.assertLessEqual(store_clock.to_host_time(99), clock.now())


class SharedReadingTest(SharedReadingCase):
    """Five hosts of one failure domain, of which one reads the store."""

    async def test_followers_ask_nothing_of_the_store(self) -> None:
        """Guards against followers that call the store for each change.

        Each answer of the store has a cost, and there may be sixty hosts.
        """
        follower = await self.served_follower()
        before = self.platform.calls
        asked = asyncio.create_task(
            follower.store.changes(TABLE, 1, 60, FOREVER)
        )
        await asyncio.sleep(0)
        self.platform.version = 3
        await self.reader.store.changes(TABLE, 1, 0, FOREVER)
        found = await asked
        assert isinstance(found, RowsRead)
        self.assertEqual([row.version for row in found.rows], [2, 3])
        self.assertTrue(found.relayed)
        self.assertEqual(self.platform.calls, before + 1)

    async def test_what_was_missed_is_read(self) -> None:
        """Pattern: the updates of the reader start after a follower's version.

        The follower has to ask the store for the changes between the two.
        """
        self.platform.version = 5
        follower = await self.served_follower()
        found = await follower.store.changes(TABLE, 2, 60, FOREVER)
        assert isinstance(found, RowsRead)
        self.assertEqual([row.version for row in found.rows], [3, 4, 5])
        self.assertFalse(found.relayed)

    async def test_reader_that_dies_is_replaced(self) -> None:
        """Pattern: the reader is killed; a waiting follower asks the store."""
        follower = await self.served_follower()
        asked = asyncio.create_task(
            follower.store.changes(TABLE, 1, 60, FOREVER)
        )
        await asyncio.sleep(0)
        self.reader.server.close()
        found = await asked
        assert isinstance(found, RowsRead)
        self.assertFalse(found.relayed)

    async def test_followers_of_a_lost_reader_are_served_by_the_next(
        self,
    ) -> None:
        """Pattern: the reader is killed, and all its followers call the store.

        Seen as forty hosts that requested three tables each.
        """
        await self.served_follower()
        first = self.reader
        self.stack.callback(self.hosts.update, dict(self.hosts))
        for name, host in tuple(self.hosts.items()):
            if host is first:
                self.hosts.pop(name)
        first.server.close()
        rest = list(self.hosts.values())
        await self.wait_until(
            lambda: sum(host.link.source in self.hosts for host in rest) == 3,
        )
        before = self.platform.calls
        found = await asyncio.gather(
            *(host.store.snapshot(TABLE) for host in rest),
        )
        self.assertTrue(all(isinstance(each, RowsRead) for each in found))
        self.assertEqual(self.platform.calls, before + 1)

    async def test_host_that_starts_receives_full_snapshots(self) -> None:
        """Pattern: all hosts start after a power cut; each reads three tables.

        Seen at 195 hosts as two of three and a half thousand calls on a calm
        day, and as many again when all hosts started at the same time.
        """
        self.platform.version = 7
        await self.served_follower()
        before = self.platform.calls
        added = Host('f', self.platform, self.hosts)
        added.row = HostRow('127.0.0.1', added.row.port, 'north', -1)
        added.link._own = added.row
        self.run_host(added)
        found = await added.store.snapshot(TABLE)
        assert isinstance(found, RowsRead)
        self.assertEqual(
            (found.is_snapshot, found.relayed, found.version, len(found.rows)),
            (True, True, 7, 7),
        )
        self.assertEqual(self.platform.calls, before)

    async def test_host_that_starts_alone_asks_the_store_in_time(self) -> None:
        """Pattern: no other host exists, or the fleet table can't be read."""
        alone = Host('z', self.platform, {})
        alone.row = HostRow('127.0.0.1', alone.row.port, 'south')
        found = await alone.store.snapshot(TABLE)
        assert isinstance(found, RowsRead)
        self.assertFalse(found.relayed)

    async def test_snapshot_replaces_what_a_follower_knew(self) -> None:
        """Pattern: a row was removed while a follower had lost its reader."""
        calls: list[str] = []
        sink = Mock(
            replace=lambda read: calls.append('replace'),
            apply=lambda read: calls.append('apply'),
        )
        rows = (StoredRow('k', b'', 9),)
        answers = [
            RowsRead(rows, 9, 1),
            RowsRead(rows, 11, 2, relayed=True, is_snapshot=True),
            RowsRead(rows, 12, 3, relayed=True),
        ]
        store = Mock(
            snapshot=AsyncMock(return_value=answers[0]),
            changes=AsyncMock(side_effect=answers[1:]),
        )
        clock = ManualClock()
        follower = TableFollower(
            store,
            TABLE,
            sink,
            FeedTiming(1, 1, 1),
            clock,
            StoreClock(clock),
            random.Random(1),
        )
        for _ in answers:
            await follower.step()
        self.assertEqual(calls, ['replace', 'replace', 'apply'])

    async def test_reader_reports_the_loss_of_the_store(self) -> None:
        """Pattern: the store refuses the host that reads for others."""
        follower = await self.served_follower()
        asked = asyncio.create_task(
            follower.store.changes(TABLE, 1, 60, FOREVER)
        )
        await asyncio.sleep(0)
        self.platform.unavailable = True
        await self.reader.store.changes(TABLE, 1, 0, FOREVER)
        self.assertEqual(await asked, AWAY)
        self.assertFalse(follower.link.serves(TABLE))

    async def test_return_of_the_store_is_reported(self) -> None:
        """Pattern: the store is back; a host that waits to retry is woken."""
        follower = await self.served_follower()
        self.platform.unavailable = True
        await self.reader.store.changes(TABLE, 1, 0, FOREVER)
        await self.wait_until(lambda: not follower.link.serves(TABLE))
        paused = asyncio.create_task(
            follower.store.pause_after_failure(TABLE, 60)
        )
        await asyncio.sleep(0)
        self.platform.unavailable = False
        await self.reader.store.changes(TABLE, 1, 0, FOREVER)
        await paused
        self.assertTrue(follower.link.serves(TABLE))

    async def test_one_table_asks_an_unavailable_store_for_all(self) -> None:
        """Pattern: the store is away for seconds; each host follows 3 tables.

        Seen as 74 hosts that each asked for each table every 1.5 seconds.
        """
        self.enterContext(
            patch('nutmegroad.fleet.shared_store.FOLLOWER_RETRY_INTERVAL', 0)
        )
        follower = await self.served_follower()
        self.platform.unavailable = True
        await self.reader.store.changes(TABLE, 1, 0, FOREVER)
        await self.wait_until(lambda: not follower.link.serves(TABLE))
        probing = asyncio.create_task(
            follower.store.pause_after_failure(TABLE, 60)
        )
        await asyncio.sleep(0)
        waiting = [
            asyncio.create_task(follower.store.pause_after_failure(table, 0))
            for table in ('servers', 'fleet')
        ]
        await asyncio.sleep(0.05)
        self.assertFalse(any(task.done() for task in waiting))
        self.platform.unavailable = False
        await follower.store.changes(TABLE, 1, 0, 0)
        await asyncio.gather(*waiting)
        probing.cancel()

    async def test_update_of_a_table_ends_its_wait(self) -> None:
        """Pattern: the reader has one table again before the others."""
        follower = await self.served_follower()
        self.platform.unavailable = True
        await self.reader.store.changes(TABLE, 1, 0, FOREVER)
        await self.wait_until(lambda: not follower.link.serves(TABLE))
        self.assertTrue(follower.store._probes.claim('servers'))
        waiting = asyncio.create_task(
            follower.store.pause_after_failure(TABLE, 60)
        )
        await asyncio.sleep(0)
        self.platform.unavailable = False
        await self.reader.store.changes(TABLE, 1, 0, FOREVER)
        await waiting

    async def test_clock_is_calibrated_by_an_immediate_answer(
        self,
    ) -> None:
        """Pattern: without changes, each answer is held back for seconds.

        A host whose calibration was a minute old asked the store to wait. The
        answer could not renew it, so the host used no more relayed updates.
        """
        follower = await self.served_follower()
        follower.store_clock._calibrated_at -= 100
        await follower.store.changes(TABLE, 1, 60, FOREVER)
        self.assertEqual(self.platform.waits[-1], 0)

    async def test_clock_is_calibrated_from_the_start_of_the_call(self) -> None:
        """Pattern: a host was busy when the store first answered it.

        The delay made all updates look older. A later call did not correct it
        after a wait for updates, as the call was dated from before the wait.
        """
        follower = await self.served_follower()
        follower.store_clock._lead -= 10
        until = follower.store._clock.now() + 0.1
        found = await follower.store.changes(TABLE, 1, 60, until)
        assert isinstance(found, RowsRead)
        moment = follower.store_clock.to_host_time(found.store_time)
        self.assertGreater(moment, until - 0.01)

    async def test_fast_links_read_for_the_others(self) -> None:
        """Pattern: links of 5 and of 100 Mbit/s in one failure domain."""
        local_hosts = {
            HostId('slow'): HostRow('127.0.0.1', 1, 'north', 5),
            HostId('fast'): HostRow('127.0.0.1', 2, 'north', 100),
            HostId('also'): HostRow('127.0.0.1', 3, 'north', 100),
        }
        own = HostRow('127.0.0.1', 4, 'north', 20)
        link = make_link(HostId('me'), own, lambda: local_hosts)
        self.assertIn(link._select_source(), ('fast', 'also'))
        best = HostRow('127.0.0.1', 4, 'north', 1000)
        link = make_link(HostId('me'), best, lambda: local_hosts)
        self.assertIsNone(link._select_source())

    async def test_no_host_has_many_followers(self) -> None:
        """Pattern: a failure domain of 133 hosts, restarted at once.

        With one host that sends to all, its traffic grows with the fleet.
        """
        rows = {
            HostId(f'host-{number}'): HostRow(
                '127.0.0.1', number, 'north', 5 * (number % 3 + 1)
            )
            for number in range(133)
        }
        sources = {}
        for host, row in rows.items():
            others = {name: each for name, each in rows.items() if name != host}
            link = make_link(host, row, others.copy)
            sources[host] = link._select_source()
        (root,) = (host for host, source in sources.items() if source is None)
        followers = Counter(sources.values())
        self.assertLessEqual(max(followers.values()), MAX_FOLLOWERS)
        self.assertEqual(rows[root].link, 15)
        for host in rows:
            hops = 0
            while host != root:
                host = sources[host]
                hops += 1
            self.assertLessEqual(hops, 3)


if __name__ == '__main__':
    unittest.main()
