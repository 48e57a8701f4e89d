"""HTTP clients for the platform's services, tested with its stand-in."""

import random
import socket
import unittest
from contextlib import AsyncExitStack

from aiohttp import ClientSession
from fakes.faults import FaultKind, Faults, FaultSpec, FaultTarget
from fakes.platform import FakePlatform, PlatformOptions

from nutmegroad.adapters._http_platform import (
    HttpHostList,
    HttpObjects,
    HttpRatings,
    HttpTable,
    HttpWeights,
)
from nutmegroad.adapters._platform_bodies import ListingBody
from nutmegroad.contracts.platform import (
    ABSENT,
    Conflict,
    Listing,
    RatedAnswer,
    Row,
    RowKey,
    RowVersion,
    RowWrite,
)
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    HostId,
    HostInfo,
    Ran,
    RequestId,
    TaskName,
    UpstreamId,
    UpstreamInfo,
    UpstreamKind,
    VersionId,
)

KEY = RowKey('presets/one')
OPTIONS = PlatformOptions(lag=5, rating_delay=3, writes_per_second=3)
DOMAIN = DomainId('petaling')
LISTING = Listing(
    (HostInfo(HostId('h1'), DOMAIN, Address('127.0.0.1', 1)),),
    (
        UpstreamInfo(
            UpstreamId('e1'),
            DOMAIN,
            UpstreamKind.ENGINE,
            Address('127.0.0.1', 2),
        ),
    ),
)


class ManualClock:
    """A clock that advances only when it is told to, or by sleeping."""

    def __init__(self) -> None:
        self.seconds = 100.0

    def now(self) -> float:
        """Return the current time in seconds."""
        return self.seconds

    def wall(self) -> float:
        """Return the same time as ``now``."""
        return self.seconds

    async def sleep(self, seconds: float) -> None:
        """Advance the time without waiting."""
        self.seconds += seconds


class FaultsTest(unittest.TestCase):
    """Selection of the calls that an injected fault affects."""

    def setUp(self) -> None:
        """Create a fault list without faults."""
        self.clock = ManualClock()
        self.faults = Faults(self.clock, random.Random(1))

    def test_fault_affects_only_its_target(self) -> None:
        order = FaultSpec(FaultKind.SLOW, 'all', version='m@1', task='tag')
        self.faults.add(order)
        cases = {
            FaultTarget('table', 'm@1', 'tag'): order,
            FaultTarget('table', 'm@2', 'tag'): None,
            FaultTarget('table', 'm@1', 'draft'): None,
            FaultTarget('table'): None,
        }
        for target, expected in cases.items():
            with self.subTest(target=target):
                hit = self.faults.hit(FaultKind.SLOW, target)
                self.assertEqual(hit, expected)

    def test_fault_ends_after_its_seconds(self) -> None:
        self.faults.add(FaultSpec(FaultKind.DOWN, seconds=2))
        self.faults.add(FaultSpec(FaultKind.BAD, seconds=2))
        self.assertIsNotNone(self.faults.hit(FaultKind.DOWN))
        self.clock.seconds += 2
        self.assertIsNone(self.faults.hit(FaultKind.DOWN))
        # Of this kind, the seconds are the time in which the quality falls,
        # not the duration of the fault.
        self.assertIsNotNone(self.faults.find(FaultKind.BAD))

    def test_fault_affects_its_share_of_calls(self) -> None:
        self.faults.add(FaultSpec(FaultKind.DOWN, share=0.25))
        hits = [self.faults.hit(FaultKind.DOWN) for _ in range(400)]
        self.assertAlmostEqual(hits.count(None) / 400, 0.75, delta=0.1)


class PlatformCase(unittest.IsolatedAsyncioTestCase):
    """Test case with a running platform stand-in and a client session."""

    async def asyncSetUp(self) -> None:
        """Start the platform and open the session."""
        stack = AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        self.clock = ManualClock()
        self.platform = FakePlatform(OPTIONS, self.clock)
        await stack.enter_async_context(self.platform)
        self.session = await stack.enter_async_context(ClientSession())
        self.table = HttpTable(self.session, self.platform.address)

    def fault(self, kind: FaultKind, scope: str, count: int = 1) -> None:
        """Inject a fault into the next ``count`` calls."""
        self.platform.faults.add(FaultSpec(kind, scope, count=count))

    def write(
        self,
        text: str,
        expected: int,
        key: RowKey = KEY,
    ) -> RowWrite:
        """Return a write of one row."""
        return RowWrite(key, text, RowVersion(expected))


class TableTest(PlatformCase):
    """The table client, with and without faults."""

    async def test_write_is_applied_at_expected_version(self) -> None:
        absent = await self.table.read(KEY)
        self.assertEqual(absent, Row(KEY, '', ABSENT))
        rows = await self.table.commit((self.write('a', 0),))
        self.assertEqual(rows, (Row(KEY, 'a', RowVersion(1)),))
        self.assertEqual(await self.table.scan('presets/'), rows)
        self.assertEqual(await self.table.scan('leases/'), ())

    async def test_conflict_changes_no_row(self) -> None:
        await self.table.commit((self.write('a', 0),))
        other = RowKey('presets/other')
        writes = (self.write('b', 0, other), self.write('b', 0))
        outcome = await self.table.commit(writes)
        current = Row(KEY, 'a', RowVersion(1))
        self.assertEqual(outcome, Conflict(current))
        self.assertEqual(await self.table.scan(''), (current,))

    async def test_lost_reply_may_hide_an_applied_write(self) -> None:
        self.fault(FaultKind.LOSE_REPLY, 'table')
        refusal = await self.table.commit((self.write('a', 0),))
        self.assert_refused(refusal, ResultCode.TABLE_UNAVAILABLE, Ran.UNKNOWN)
        row = await self.table.read(KEY)
        self.assertEqual(row, Row(KEY, 'a', RowVersion(1)))

    async def test_unavailable_table_writes_nothing(self) -> None:
        self.fault(FaultKind.DOWN, 'table')
        refusal = await self.table.commit((self.write('a', 0),))
        self.assert_refused(refusal, ResultCode.TABLE_UNAVAILABLE, Ran.UNKNOWN)
        self.assertEqual(self.platform.table.row(KEY).version, ABSENT)

    async def test_stale_read_returns_the_previous_row(self) -> None:
        await self.table.commit((self.write('a', 0),))
        await self.table.commit((self.write('b', 1),))
        self.fault(FaultKind.STALE, 'table')
        stale = await self.table.read(KEY)
        self.assertEqual(stale, Row(KEY, 'a', RowVersion(1)))
        fresh = await self.table.read(KEY)
        self.assertEqual(fresh, Row(KEY, 'b', RowVersion(2)))

    async def test_writes_above_the_rate_limit_are_refused(self) -> None:
        for version in range(OPTIONS.writes_per_second):
            write = self.write('a', version)
            self.assertTrue(await self.table.commit((write,)))
        write = self.write('a', OPTIONS.writes_per_second)
        refusal = await self.table.commit((write,))
        self.assert_refused(refusal, ResultCode.TABLE_UNAVAILABLE, Ran.UNKNOWN)
        self.clock.seconds += 1
        self.assertTrue(await self.table.commit((write,)))

    async def test_refused_connection_means_not_run(self) -> None:
        with socket.socket() as closed:
            # A port that is bound but not listening refuses connections.
            closed.bind(('127.0.0.1', 0))
            table = HttpTable(self.session, Address(*closed.getsockname()))
            refusal = await table.commit((self.write('a', 0),))
        self.assert_refused(refusal, ResultCode.TABLE_UNAVAILABLE, Ran.NOT_RUN)

    async def test_timeout_means_unknown_outcome(self) -> None:
        with socket.socket() as unresponsive:
            unresponsive.bind(('127.0.0.1', 0))
            unresponsive.listen()
            address = Address(*unresponsive.getsockname())
            table = HttpTable(self.session, address, timeout=0.05)
            refusal = await table.commit((self.write('a', 0),))
        self.assert_refused(refusal, ResultCode.TABLE_UNAVAILABLE, Ran.UNKNOWN)

    def assert_refused(
        self,
        outcome: object,
        code: ResultCode,
        ran: Ran,
    ) -> None:
        """Check the code of a refusal and whether the call ran."""
        assert isinstance(outcome, Refusal)
        self.assertEqual((outcome.code, outcome.ran), (code, ran))


class ServicesTest(PlatformCase):
    """Clients of the services other than the table."""

    async def test_stored_object_is_immutable(self) -> None:
        store = HttpObjects(self.session, self.platform.address)
        self.assertIsNone(await store.put('d/é?1', b'one'))
        self.assertIsNone(await store.put('d/é?1', b'one'))
        conflict = await store.put('d/é?1', b'two')
        self.assertIsInstance(conflict, Refusal)
        self.assertEqual(await store.fetch('d/é?1'), b'one')
        self.assertEqual(await store.names('d/'), ('d/é?1',))
        missing = await store.fetch('d/2')
        assert isinstance(missing, Refusal)
        self.assertEqual(missing.code, ResultCode.OBJECT_MISSING)

    async def test_host_list_shows_changes_after_its_lag(self) -> None:
        hosts = HttpHostList(self.session, self.platform.address)
        self.platform.hosts.update(ListingBody.from_listing(LISTING))
        self.clock.seconds += OPTIONS.lag - 1
        self.assertEqual(await hosts.listing(), Listing((), ()))
        self.clock.seconds += 1
        self.assertEqual(await hosts.listing(), LISTING)

    async def test_ratings_are_delayed_and_may_be_wrong(self) -> None:
        ratings = HttpRatings(self.session, self.platform.address)
        answer = RatedAnswer(
            RequestId('r1'),
            TaskName('tag'),
            VersionId('m@1'),
            'licence form q=0.83',
        )
        self.assertIsNone(await ratings.submit(answer))
        self.fault(FaultKind.WRONG, 'ratings')
        await ratings.submit(answer)
        self.assertEqual(await ratings.feed(0), ())
        self.clock.seconds += OPTIONS.rating_delay
        feed = await ratings.feed(0)
        assert not isinstance(feed, Refusal)
        self.assertEqual([rating.position for rating in feed], [1, 2])
        self.assertEqual(feed[0].score, 0.83)
        self.assertNotEqual(feed[1].score, 0.83)
        self.assertEqual(await ratings.feed(1), feed[1:])

    async def test_weight_loads_are_limited_in_rate(self) -> None:
        weights = HttpWeights(self.session, self.platform.address)
        self.assertEqual(await weights.loads_per_minute(), 60)
        before = self.clock.now()
        await self.load_weights()
        await self.load_weights()
        await self.load_weights()
        self.assertEqual(self.clock.now() - before, 2)

    async def load_weights(self) -> None:
        """Fetch the weights of a version, as an engine does."""
        address = self.platform.address
        url = f'http://{address}/weights/fetch'
        async with self.session.post(url, data=b'{"version": "m@1"}') as reply:
            self.assertEqual(reply.status, 200)


if __name__ == '__main__':
    unittest.main()
