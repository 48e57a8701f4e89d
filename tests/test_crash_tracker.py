"""Tests of the tracking of requests under which upstreams crash."""

import unittest
from typing import Final

import msgspec

from nutmegroad.fleet.crash_causes import BLOCK_PAUSE, PROBE_DELAY
from nutmegroad.fleet.crash_probes import PROBE_INTERVAL, PROBE_TIMEOUT
from nutmegroad.fleet.crash_records import (
    HARMFUL_CRASHES,
    RETENTION,
    UpstreamCrash,
    UpstreamFingerprint,
)
from nutmegroad.fleet.crash_reports import (
    MAX_REPORTED,
    REPORTING_PERIOD,
    CrashReport,
)
from nutmegroad.fleet.crash_row_builder import MAX_CRASHES
from nutmegroad.fleet.crash_rows import (
    CHECK_INTERVAL,
    CLEAR_INTERVAL,
    RETRY_INTERVAL,
    CrashRows,
)
from nutmegroad.fleet.crash_tracker import MAX_ATTRIBUTES, CrashTracker
from nutmegroad.fleet.request_attributes import (
    ContentFingerprint,
    RequestAttributes,
    content_attribute,
    fingerprint_content,
)
from nutmegroad.fleet.store_clock import StoreClock
from nutmegroad.fleet.store_interface import (
    Committed,
    RowCondition,
    RowPut,
    StoredRow,
    VersionConflict,
)
from nutmegroad.foundations.results import Refusal
from nutmegroad.testing.virtual import ManualClock
from tests.relay_samples import AWAY, UnavailableStore

#: Seconds that an execution lasts before it crashes its upstream.
RUN: Final = 0.1
BEGIN: Final = 1000.0
#: Bytes of an Ethernet frame that a datagram may fill.
FRAME: Final = 1400

BAD, OTHER = ContentFingerprint(1), ContentFingerprint(2)


def crash_at(upstream: int, ended: float, run: float = RUN) -> UpstreamCrash:
    """Return the crash of an upstream."""
    return UpstreamCrash(UpstreamFingerprint(upstream), ended - run, ended)


def only(content: ContentFingerprint) -> RequestAttributes:
    """Return the attributes of a request that shares nothing with others."""
    return (content_attribute(content),)


class ContentFingerprintTest(unittest.TestCase):
    """What makes two requests the same."""

    def test_caller_path_and_body_tell_requests_apart(self) -> None:
        """No part can be taken for the end of another one."""
        marks = {
            fingerprint_content('a', b'/p', b'body'),
            fingerprint_content('b', b'/p', b'body'),
            fingerprint_content('a', b'/q', b'body'),
            fingerprint_content('a', b'/p', b'other'),
            fingerprint_content('a', b'/pbody', b''),
            fingerprint_content('a/p', b'', b'body'),
        }
        self.assertEqual(len(marks), 6)
        self.assertIn(fingerprint_content('a', b'/p', b'body'), marks)


class CrashTrackerTest(unittest.IsolatedAsyncioTestCase):
    """Crashes recorded by one host."""

    def setUp(self) -> None:
        """Create a tracker."""
        self.clock = ManualClock(BEGIN)
        self.tracker = CrashTracker(self.clock)

    async def crash(self, content: ContentFingerprint, *upstreams: int) -> None:
        """Let a request crash upstreams, one after the other."""
        for upstream in upstreams:
            await self.clock.advance(2 * RUN)
            self.tracker.record_crash(
                only(content), crash_at(upstream, self.clock.now())
            )

    async def test_three_crashes_in_series_are_harmful(self) -> None:
        """Two crashes are not; a crash that is reported twice counts once."""
        await self.crash(BAD, 1, 2, 2)
        self.assertIsNone(self.tracker.harmful(only(BAD)))
        await self.crash(BAD, 3)
        found = self.tracker.harmful(only(BAD))
        assert found is not None
        self.assertEqual(
            (found.crash_count, found.pause), (HARMFUL_CRASHES, PROBE_DELAY)
        )
        self.assertIsNone(self.tracker.harmful(only(OTHER)))
        self.assertEqual(self.tracker.count_harmful(), 1)

    async def test_simultaneous_crashes_count_once(self) -> None:
        """A request that is sent often runs at many upstreams at once."""
        for upstream in range(9):
            self.tracker.record_crash(
                only(BAD), crash_at(upstream, BEGIN, run=1)
            )
        self.assertIsNone(self.tracker.harmful(only(BAD)))

    async def test_pauses_grow_with_each_further_crash(self) -> None:
        """The first pause lasts a second, the next ones last minutes."""
        await self.crash(BAD, 1, 2, 3)
        await self.clock.advance(PROBE_DELAY)
        found = self.tracker.harmful(only(BAD))
        assert found is not None
        self.assertEqual(found.pause, 0)
        for upstream, pause in ((4, BLOCK_PAUSE), (5, 2 * BLOCK_PAUSE)):
            await self.crash(BAD, upstream)
            found = self.tracker.harmful(only(BAD))
            assert found is not None
            self.assertAlmostEqual(found.pause, pause)

    async def test_an_answer_clears_what_was_before_it(self) -> None:
        """Also earlier crashes that are reported late, but not later ones."""
        await self.crash(BAD, 1, 2)
        self.tracker.record_answer(only(BAD), self.clock.now())
        self.tracker.record_crash(only(BAD), crash_at(3, BEGIN))
        await self.crash(BAD, 4)
        self.assertIsNone(self.tracker.harmful(only(BAD)))
        self.assertEqual(len(self.tracker.records[BAD].crashes), 1)

    async def test_old_crashes_are_forgotten_unless_harmful(self) -> None:
        """Any request meets a crash by chance once in a while."""
        await self.crash(OTHER, 1, 2)
        await self.crash(BAD, 1, 2, 3)
        await self.clock.advance(RETENTION)
        await self.crash(OTHER, 4)
        self.assertIsNone(self.tracker.harmful(only(OTHER)))
        self.assertIsNotNone(self.tracker.harmful(only(BAD)))

    async def test_another_host_receives_the_report(self) -> None:
        """Ages keep the order of events, however long the datagram takes."""
        await self.crash(BAD, 1, 2, 3)
        other = CrashTracker(self.clock)
        text = msgspec.msgpack.encode(self.tracker.report())
        await self.clock.advance(RUN)
        other.merge(msgspec.msgpack.decode(text, type=CrashReport))
        self.assertIsNotNone(other.harmful(only(BAD)))
        other.record_answer(only(BAD), self.clock.now())
        self.tracker.merge(other.report())
        self.assertIsNone(self.tracker.harmful(only(BAD)))

    async def test_reports_are_sent_for_seconds_only(self) -> None:
        """Lasting reports are in the store."""
        await self.crash(BAD, 1)
        self.assertTrue(self.tracker.has_updates)
        await self.clock.advance(REPORTING_PERIOD + RUN)
        self.assertFalse(self.tracker.has_updates)
        self.assertEqual(self.tracker.report(), CrashReport())

    async def test_a_storm_of_crashes_fits_into_a_frame(self) -> None:
        """Requests with most crashes are sent first and are never evicted."""
        await self.crash(BAD, 1, 2, 3)
        for content in range(10, 10 + MAX_ATTRIBUTES):
            end = crash_at(9, self.clock.now())
            self.tracker.record_crash(only(ContentFingerprint(content)), end)
        told = self.tracker.report()
        self.assertEqual(len(told.crashes), MAX_REPORTED)
        self.assertEqual(
            {end.attribute for end in told.crashes[:HARMFUL_CRASHES]}, {BAD}
        )
        self.assertLess(len(msgspec.msgpack.encode(told)), FRAME)
        self.assertIsNotNone(self.tracker.harmful(only(BAD)))
        self.assertLessEqual(len(self.tracker.records), MAX_ATTRIBUTES)


class OneTableStore(UnavailableStore):
    """A store with conditional writes, for several hosts.

    Attributes:
        rows: Content and version by key.
        writes: Number of writes that took effect.
        calls: Number of calls.
        away: Whether the store does not answer.
    """

    def __init__(self) -> None:
        self.rows: dict[str, tuple[bytes, int]] = {}
        self.writes = 0
        self.calls = 0
        self.away = False

    async def commit(
        self,
        expected: tuple[RowCondition, ...],
        puts: tuple[RowPut, ...],
    ) -> Committed | VersionConflict | Refusal:
        """Write all rows if all conditions hold, otherwise none."""
        self.calls += 1
        if self.away:
            return AWAY
        for row in expected:
            if self.rows.get(row.key, (b'', 0))[1] != row.version:
                return VersionConflict()
        self.writes += 1
        for put in puts:
            self.rows[put.key] = put.content, self.writes
        return Committed(self.writes, 0)


class CrashRowsTest(unittest.IsolatedAsyncioTestCase):
    """Two hosts that receive no datagrams from each other."""

    def setUp(self) -> None:
        """Create the hosts."""
        self.clock = ManualClock(BEGIN)
        self.store = OneTableStore()
        self.trackers = [CrashTracker(self.clock) for _ in range(2)]
        store_clock = StoreClock(self.clock)
        # The store's clock differs from the hosts' clock.
        store_clock.calibrate(BEGIN, 5)
        self.rows = [
            CrashRows(
                tracker,
                self.store,
                store_clock,
                self.clock,
                lambda _duty: 0,
            )
            for tracker in self.trackers
        ]

    def crash(
        self, host: int, content: ContentFingerprint, *upstreams: int
    ) -> None:
        """Let a request crash upstreams at a host within the last seconds."""
        for number, upstream in enumerate(reversed(upstreams)):
            ended = self.clock.now() - 2 * RUN * number
            self.trackers[host].record_crash(
                only(content), crash_at(upstream, ended)
            )

    def read(self, host: int) -> None:
        """Let a host read the rows."""
        for key, (content, version) in self.store.rows.items():
            row = StoredRow(key, content, version)
            name = key.partition('/')[2]
            self.rows[host].apply_row(name, row, self.clock.now() - BEGIN + 5)

    async def test_crashes_add_up_over_hosts_by_the_row(self) -> None:
        """Two crashes here and one there; readers of the row know all."""
        self.crash(0, BAD, 1, 2)
        await self.rows[0].write()
        await self.clock.advance(1)
        self.read(1)
        self.crash(1, BAD, 3)
        self.assertIsNotNone(self.trackers[1].harmful(only(BAD)))
        await self.rows[1].write()
        self.read(0)
        self.assertIsNotNone(self.trackers[0].harmful(only(BAD)))
        self.assertEqual(self.store.writes, 2)

    async def test_a_single_crash_is_not_written(self) -> None:
        """Most requests that are hit by a crash are answered elsewhere."""
        self.crash(0, BAD, 1)
        await self.rows[0].write()
        self.assertEqual(self.store.writes, 0)

    async def test_an_unavailable_store_is_asked_seldom(self) -> None:
        """Seen: each host tried four times a second during an outage."""
        self.store.away = True
        self.crash(0, BAD, 1, 2, 3)
        for _ in range(9):
            await self.rows[0].write()
            await self.clock.advance(CHECK_INTERVAL)
        self.assertEqual(self.store.calls, 2)
        self.store.away = False
        await self.clock.advance(RETRY_INTERVAL)
        await self.rows[0].write()
        self.assertEqual(self.store.writes, 1)

    async def test_an_answer_reaches_hosts_without_datagrams(self) -> None:
        """The request is not written again and again after that."""
        self.crash(0, BAD, 1, 2, 3)
        await self.rows[0].write()
        self.read(1)
        await self.clock.advance(CLEAR_INTERVAL)
        self.trackers[1].record_answer(only(BAD), self.clock.now())
        await self.rows[1].write()
        self.read(0)
        self.assertIsNone(self.trackers[0].harmful(only(BAD)))
        writes = self.store.writes
        for _ in range(3):
            await self.clock.advance(CLEAR_INTERVAL)
            for host in (0, 1):
                await self.rows[host].write()
                self.read(1 - host)
        self.assertEqual(self.store.writes, writes)

    async def test_one_host_probes_a_request(self) -> None:
        """The other host is refused; without the store both are."""
        self.assertTrue(await self.rows[0].claim_probe(only(BAD)))
        self.assertFalse(await self.rows[1].claim_probe(only(BAD)))
        self.read(1)
        await self.clock.advance(PROBE_INTERVAL)
        self.assertFalse(await self.rows[1].claim_probe(only(BAD)))
        self.assertTrue(await self.rows[1].claim_probe(only(OTHER)))
        self.read(0)
        await self.clock.advance(PROBE_TIMEOUT)
        self.store.away = True
        self.assertFalse(await self.rows[0].claim_probe(only(BAD)))
        self.store.away = False
        self.assertTrue(await self.rows[0].claim_probe(only(BAD)))

    async def test_a_full_row_takes_harmful_requests_only(self) -> None:
        """Hosts do not alternate in writing requests that do not fit."""
        for content in range(10, 10 + MAX_CRASHES):
            self.crash(0, ContentFingerprint(content), 1, 2)
        await self.rows[0].write()
        await self.rows[0].write()
        self.assertEqual(self.store.writes, 1)
        self.crash(0, BAD, 1, 2, 3)
        await self.rows[0].write()
        self.read(1)
        self.assertIsNotNone(self.trackers[1].harmful(only(BAD)))

    async def test_a_row_that_the_store_has_lost_is_written_again(self) -> None:
        """Pattern: the store was restored from a backup."""
        self.crash(0, BAD, 1, 2, 3)
        await self.rows[0].write()
        self.store.rows.clear()
        self.rows[0].on_store_restored()
        await self.clock.advance(CHECK_INTERVAL)
        await self.rows[0].write()
        self.read(1)
        self.assertIsNotNone(self.trackers[1].harmful(only(BAD)))
