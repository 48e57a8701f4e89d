"""Hosts that read the store for others, and those that follow them."""

import asyncio
import random
import unittest
from collections.abc import Callable
from contextlib import AsyncExitStack
from unittest.mock import AsyncMock, Mock

from nutmegroad.fleet.announcements import GATHERING, Announcement, HostRow
from nutmegroad.fleet.followers import FeedPace, TableFollower
from nutmegroad.fleet.news import (
    Alive,
    FrameError,
    Known,
    News,
    StoreLost,
    Whole,
    encode,
    receive,
)
from nutmegroad.fleet.news_link import NewsLink
from nutmegroad.fleet.news_server import NewsServer
from nutmegroad.fleet.shared_store import SharedStore
from nutmegroad.fleet.store_clock import StoreClock
from nutmegroad.fleet.stored import (
    Committed,
    HistoryLost,
    RowsRead,
    StoredRow,
)
from nutmegroad.fleet.table_copies import TableCopies
from nutmegroad.foundations.clocks import BootClock
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import Address, HostId
from nutmegroad.testing.virtual import ManualClock
from tests.relay_rig import free_port
from tests.relay_samples import AWAY, AwayStore

TABLE = 'op'

#: Where a host of the tests listens.
ROW = HostRow('127.0.0.1', 7, 'north')


class CountingStore(AwayStore):
    """A store with one table, whose calls are counted.

    Attributes:
        version: Its version; a row has the version that it was written at.
        away: Whether it answers nothing.
        calls: Calls that were made.
        waits: Seconds that it was asked to wait, by call for changes.
    """

    def __init__(self) -> None:
        self.version = 1
        self.away = False
        self.calls = 0
        self.waits: list[float] = []

    def read(self, after: int) -> RowsRead | Refusal:
        """Return what has changed since a version."""
        self.calls += 1
        if self.away:
            return AWAY
        rows = tuple(
            StoredRow(f'k{number}', b'x', number)
            for number in range(after + 1, self.version + 1)
        )
        return RowsRead(rows, self.version, 100 + self.version)

    async def snapshot(self, table: str) -> RowsRead | Refusal:
        """Return all rows."""
        return self.read(0)

    async def changes(
        self,
        table: str,
        after: int,
        wait: float,
    ) -> RowsRead | HistoryLost | Refusal:
        """Return what has changed, at once."""
        self.waits.append(wait)
        return self.read(after)


class FramesTest(unittest.IsolatedAsyncioTestCase):
    """What goes over a link."""

    async def receive(self, *texts: bytes) -> object:
        """Return the first frame of some bytes."""
        reader = asyncio.StreamReader()
        for text in texts:
            reader.feed_data(text)
        reader.feed_eof()
        return await receive(reader)

    async def test_frames_pass_whole(self) -> None:
        """Small, without rows, and large enough to be compressed."""
        rows = tuple(StoredRow(f'k{n}', b'x' * 90, n) for n in range(99))
        frames = (
            Alive(),
            StoreLost(TABLE),
            News(TABLE, 1, 2, 3.5, (StoredRow('k', b'\0', 2, removed=True),)),
            News(TABLE, 0, 99, 3.5, rows),
            Whole(TABLE, 99, 3.5, rows),
            Known({TABLE: 7}),
        )
        for frame in frames:
            with self.subTest(frame=type(frame), rows=len(str(frame))):
                text = encode(frame)
                assert text is not None
                half = len(text) // 2
                found = await self.receive(text[:half], text[half:])
                self.assertEqual(found, frame)

    async def test_what_is_no_frame_is_refused(self) -> None:
        """Too long, empty, not ours, and cut."""
        cases = (
            (b'\xff\xff\xff\xff', FrameError),
            (b'\0\0\0\0', FrameError),
            (b'\0\0\0\2px', FrameError),
            (b'\0\0\0\2zx', FrameError),
            (b'\0\0\0\5px', EOFError),
        )
        for text, expected in cases:
            with self.subTest(text=text), self.assertRaises(expected):
                await self.receive(text)

    async def test_what_is_too_large_is_left_to_the_store(self) -> None:
        """Pattern: a configuration grows, and the reader's link is slow."""
        noise = random.Random(1)
        rows = tuple(
            StoredRow(str(number), noise.randbytes(100), number)
            for number in range(1000)
        )
        self.assertIsNotNone(encode(News(TABLE, 0, 9, 1, rows[:10])))
        self.assertIsNone(encode(News(TABLE, 0, 9, 1, rows)))


class NewsTest(unittest.TestCase):
    """News of a table, put together."""

    def test_gap_has_to_be_read(self) -> None:
        """A host that has missed a version is told nothing of it."""
        news = News(TABLE, 5, 7, 1, (StoredRow('k', b'', 7),))
        self.assertIsNone(news.after(4))
        found = news.after(5)
        assert found is not None
        self.assertTrue(found.relayed)
        self.assertEqual(len(found.rows), 1)
        again = news.after(7)
        assert again is not None
        self.assertEqual(again.rows, ())

    def test_news_that_were_not_taken_are_joined(self) -> None:
        """Unless something between them was missed."""
        first = News(TABLE, 5, 7, 1, (StoredRow('a', b'', 7),))
        joined = first.joined(News(TABLE, 7, 9, 2, (StoredRow('b', b'', 9),)))
        self.assertEqual(
            (joined.base, joined.version, joined.store_time, len(joined.rows)),
            (5, 9, 2, 2),
        )
        later = News(TABLE, 8, 9, 2)
        self.assertEqual(first.joined(later), later)


class CopiesTest(unittest.TestCase):
    """Tables as they are told whole."""

    def setUp(self) -> None:
        """Keep a copy of a table with two rows."""
        self.copies = TableCopies()
        rows = (StoredRow('a', b'1', 3), StoredRow('b', b'1', 4))
        self.copies.replace(TABLE, RowsRead(rows, 4, 10))

    def told(self, version: int) -> News | Whole:
        """Return what one is told who knows a version."""
        return self.copies.beyond({TABLE: version})[0]

    def test_who_knows_the_version_is_told_no_rows(self) -> None:
        """A link that broke for a moment costs no table."""
        self.assertEqual(self.told(4), News(TABLE, 4, 4, 10))

    def test_who_knows_another_is_told_all(self) -> None:
        """Rows that were removed are not among them."""
        removed = StoredRow('a', b'', 6, removed=True)
        changed = StoredRow('b', b'2', 7)
        self.copies.apply(News(TABLE, 4, 7, 12, (removed, changed)))
        self.assertEqual(self.told(4), Whole(TABLE, 7, 12, (changed,)))

    def test_older_rows_change_nothing(self) -> None:
        """News of two readers cross."""
        older = StoredRow('b', b'0', 2)
        self.copies.apply(News(TABLE, 1, 3, 9, (older,)))
        whole = self.told(0)
        assert isinstance(whole, Whole)
        self.assertEqual(whole.version, 4)
        self.assertEqual(whole.rows[1].content, b'1')

    def test_copy_that_has_missed_something_is_forgotten(self) -> None:
        """Nobody is told a table with a hole in it."""
        self.copies.apply(News(TABLE, 8, 9, 12))
        self.assertEqual(self.copies.beyond({}), [])


class AnnounceTest(unittest.IsolatedAsyncioTestCase):
    """How a host makes itself known."""

    def announcement(self, store: Mock) -> Announcement:
        """Return a host that has not made itself known yet."""
        self.clock = ManualClock()
        return Announcement(HostId('me'), ROW, store, self.clock)

    async def test_host_that_starts_again_writes_nothing(self) -> None:
        """Pattern: power returns everywhere; its row is still there."""
        store = Mock(commit=AsyncMock())
        announcement = self.announcement(store)
        announcement.found(HostId('me'), ROW)
        announcement.listed()
        await announcement.make(first=False)
        await announcement.gathered()
        store.commit.assert_not_called()

    async def test_row_of_another_address_is_written_anew(self) -> None:
        """Pattern: a host is replaced under its name."""
        store = Mock(commit=AsyncMock(return_value=Committed(3, 1)))
        announcement = self.announcement(store)
        announcement.found(HostId('me'), HostRow('127.0.0.9', 7, 'north'))
        announcement.listed()
        await announcement.make(first=False)
        store.commit.assert_called_once()

    async def test_first_hosts_make_themselves_known_before_they_look(
        self,
    ) -> None:
        """Pattern: all hosts start at once, and find nobody to follow."""
        store = Mock(commit=AsyncMock(return_value=Committed(3, 1)))
        announcement = self.announcement(store)
        announcing = asyncio.create_task(announcement.make(first=True))
        looking = asyncio.create_task(announcement.gathered())
        await self.clock.settle()
        store.commit.assert_called_once()
        self.assertFalse(looking.done())
        await self.clock.advance(GATHERING)
        self.assertTrue(looking.done())
        await announcing


class RelayedClockTest(unittest.TestCase):
    """How old what another host has read is."""

    def test_moment_is_the_stores_own(self) -> None:
        """Pattern: a host is paused, and then tells what it read before.

        The moment comes from the store's clock, so it is no newer for that.
        """
        clock = ManualClock(start=50)
        store_clock = StoreClock(clock)
        self.assertEqual(store_clock.relayed(7), float('-inf'))
        store_clock.moment(50, 7)
        clock._now += 10
        moment = store_clock.relayed(9)
        self.assertLessEqual(moment, 52)
        self.assertGreater(moment, 51.9)
        # A clock of ours that runs fast must not make it newer than now.
        self.assertLessEqual(store_clock.relayed(99), clock.now())


class Host:
    """A host's part in reading the store.

    Args:
        name: Its name.
        store: The platform's store.
        hosts: All hosts of the failure domain.
    """

    def __init__(
        self,
        name: str,
        store: CountingStore,
        hosts: 'dict[HostId, Host]',
    ) -> None:
        self.row = HostRow('127.0.0.1', free_port(), 'north')
        clock = BootClock()
        self.server = NewsServer(clock)
        host = HostId(name)
        hosts[host] = self

        def near() -> dict[HostId, HostRow]:
            """Return the other hosts."""
            return {
                other: found.row
                for other, found in hosts.items()
                if other != host
            }

        self.link = NewsLink(host, self.row, near, clock)
        store_clock = StoreClock(clock)
        store_clock.moment(clock.now(), 100)
        self.store_clock = store_clock
        self.store = SharedStore(
            store,
            self.link,
            self.server,
            store_clock,
            clock,
            nothing_to_wait_for,
        )


async def nothing_to_wait_for() -> None:
    """Wait for nobody: not all hosts start for the first time."""


class SharedReadingTest(unittest.IsolatedAsyncioTestCase):
    """Five hosts with one store."""

    async def asyncSetUp(self) -> None:
        """Start all hosts, and wait until those that may follow do."""
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.platform = CountingStore()
        self.hosts: dict[HostId, Host] = {}
        for name in 'abcde':
            Host(name, self.platform, self.hosts)
        for host in self.hosts.values():
            address = Address(host.row.ip, host.row.port)
            await host.server.open(address, self.stack)
        for host in self.hosts.values():
            self.run_host(host)
        await self.until(lambda: len(self.followers()) == 4)
        self.reader = next(
            each for each in self.hosts.values() if each.link.source is None
        )

    def run_host(self, host: Host) -> None:
        """Let a host tell and follow."""
        host.link.begin()
        for work in (host.server.run(), host.link.run()):
            task = asyncio.create_task(work)
            self.stack.callback(task.cancel)

    def followers(self) -> list[Host]:
        """Return the hosts that follow another."""
        return [host for host in self.hosts.values() if host.link.source]

    def followers_of(self, reader: Host) -> list[Host]:
        """Return the hosts that follow one."""
        return [
            host
            for host in self.hosts.values()
            if host.link.source and self.hosts.get(host.link.source) is reader
        ]

    async def until(self, condition: Callable[[], object]) -> None:
        """Wait for a condition, however long that takes."""
        while not condition():
            await asyncio.sleep(0.01)

    async def served(self) -> Host:
        """Return a host that follows one which has read the table."""
        readers = [
            host for host in self.hosts.values() if self.followers_of(host)
        ]
        await readers[0].store.snapshot(TABLE)
        follower = self.followers_of(readers[0])[0]
        self.reader = readers[0]
        await self.until(lambda: follower.link.serves(TABLE))
        # What the reader knew already is heard first.
        await follower.store.changes(TABLE, self.platform.version, 60)
        return follower

    async def test_followers_ask_nothing_of_the_store(self) -> None:
        """Pattern: sixty hosts each read each change: a tenth of the worth."""
        follower = await self.served()
        before = self.platform.calls
        asked = asyncio.create_task(follower.store.changes(TABLE, 1, 60))
        await asyncio.sleep(0)
        self.platform.version = 3
        await self.reader.store.changes(TABLE, 1, 0)
        found = await asked
        assert isinstance(found, RowsRead)
        self.assertEqual([row.version for row in found.rows], [2, 3])
        self.assertTrue(found.relayed)
        self.assertEqual(self.platform.calls, before + 1)

    async def test_what_was_missed_is_read(self) -> None:
        """A host that knows less than its reader did asks the store."""
        self.platform.version = 5
        follower = await self.served()
        found = await follower.store.changes(TABLE, 2, 60)
        assert isinstance(found, RowsRead)
        self.assertEqual([row.version for row in found.rows], [3, 4, 5])
        self.assertFalse(found.relayed)

    async def test_reader_that_dies_is_replaced(self) -> None:
        """Pattern: the host that reads for others is killed."""
        follower = await self.served()
        asked = asyncio.create_task(follower.store.changes(TABLE, 1, 60))
        await asyncio.sleep(0)
        self.reader.server._close()
        found = await asked
        assert isinstance(found, RowsRead)
        self.assertFalse(found.relayed)

    async def test_followers_of_a_lost_reader_are_told_by_the_next(
        self,
    ) -> None:
        """Pattern: the reader is killed; forty hosts asked for three tables."""
        await self.served()
        first = self.reader
        self.stack.callback(self.hosts.update, dict(self.hosts))
        for name, host in tuple(self.hosts.items()):
            if host is first:
                self.hosts.pop(name)
        first.server._close()
        rest = list(self.hosts.values())
        await self.until(
            lambda: sum(host.link.source in self.hosts for host in rest) == 3,
        )
        before = self.platform.calls
        found = await asyncio.gather(
            *(host.store.snapshot(TABLE) for host in rest),
        )
        self.assertTrue(all(isinstance(each, RowsRead) for each in found))
        self.assertEqual(self.platform.calls, before + 1)

    async def test_host_that_starts_is_told_tables_whole(self) -> None:
        """Pattern: power returns everywhere; each host read three tables.

        Seen at 195 hosts as two calls of three and a half thousand in a calm
        day, and as many again when all started at once.
        """
        self.platform.version = 7
        await self.served()
        before = self.platform.calls
        newcomer = Host('f', self.platform, self.hosts)
        newcomer.row = HostRow('127.0.0.1', newcomer.row.port, 'north', -1)
        newcomer.link._own = newcomer.row
        self.run_host(newcomer)
        found = await newcomer.store.snapshot(TABLE)
        assert isinstance(found, RowsRead)
        self.assertEqual(
            (found.whole, found.relayed, found.version, len(found.rows)),
            (True, True, 7, 7),
        )
        self.assertEqual(self.platform.calls, before)

    async def test_host_that_starts_alone_asks_the_store_in_time(self) -> None:
        """Pattern: nobody else is there, or the table of hosts is not read."""
        lonely = Host('z', self.platform, {})
        lonely.row = HostRow('127.0.0.1', lonely.row.port, 'south')
        found = await lonely.store.snapshot(TABLE)
        assert isinstance(found, RowsRead)
        self.assertFalse(found.relayed)

    async def test_whole_table_replaces_what_a_follower_knew(self) -> None:
        """Pattern: a row was removed while a host was cut from its reader."""
        told: list[str] = []
        sink = Mock(
            replace=lambda read: told.append('replace'),
            apply=lambda read: told.append('apply'),
        )
        rows = (StoredRow('k', b'', 9),)
        answers = [
            RowsRead(rows, 9, 1),
            RowsRead(rows, 11, 2, relayed=True, whole=True),
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
            FeedPace(1, 1),
            clock,
            StoreClock(clock),
            random.Random(1),
        )
        for _ in answers:
            await follower.step()
        self.assertEqual(told, ['replace', 'replace', 'apply'])

    async def test_reader_without_the_store_says_so(self) -> None:
        """Pattern: the store turns away the host that reads for others."""
        follower = await self.served()
        asked = asyncio.create_task(follower.store.changes(TABLE, 1, 60))
        await asyncio.sleep(0)
        self.platform.away = True
        await self.reader.store.changes(TABLE, 1, 0)
        self.assertEqual(await asked, AWAY)
        self.assertFalse(follower.link.serves(TABLE))

    async def test_return_of_the_store_is_told(self) -> None:
        """Pattern: the store is back; who waits to try again is woken."""
        follower = await self.served()
        self.platform.away = True
        await self.reader.store.changes(TABLE, 1, 0)
        await self.until(lambda: not follower.link.serves(TABLE))
        resting = asyncio.create_task(follower.store.rest(TABLE, 60))
        await asyncio.sleep(0)
        self.platform.away = False
        await self.reader.store.changes(TABLE, 1, 0)
        await resting
        self.assertTrue(follower.link.serves(TABLE))

    async def test_clock_is_set_by_an_answer_that_was_not_held_back(
        self,
    ) -> None:
        """Pattern: a calm table; each answer is held back for seconds.

        Found by reading: a host whose clock was a minute old asked the store
        to wait, learnt nothing from the answer, and followed nobody any more.
        """
        follower = await self.served()
        follower.store_clock._found -= 100
        await follower.store.changes(TABLE, 1, 60)
        self.assertEqual(self.platform.waits[-1], 0)

    async def test_fast_links_read_for_the_others(self) -> None:
        """Pattern: links of 5 and of 100 Mbit/s in one failure domain."""
        near = {
            HostId('slow'): HostRow('127.0.0.1', 1, 'north', 5),
            HostId('fast'): HostRow('127.0.0.1', 2, 'north', 100),
            HostId('also'): HostRow('127.0.0.1', 3, 'north', 100),
        }
        own = HostRow('127.0.0.1', 4, 'north', 20)
        link = NewsLink(HostId('me'), own, lambda: near, ManualClock())
        self.assertIn(link._choose(), ('fast', 'also'))
        best = HostRow('127.0.0.1', 4, 'north', 1000)
        link = NewsLink(HostId('me'), best, lambda: near, ManualClock())
        self.assertIsNone(link._choose())


if __name__ == '__main__':
    unittest.main()
