"""Tests of what the crashes under several requests are attributed to."""

import unittest
from typing import Final

from nutmegroad.fleet.crash_causes import (
    BLOCK_PAUSE,
    COMMON_PAUSE,
    JOINT_PROBE_DELAY,
    PROBE_DELAY,
    WARM_UP,
    BlockedRequest,
)
from nutmegroad.fleet.crash_records import UpstreamCrash, UpstreamFingerprint
from nutmegroad.fleet.crash_tracker import CrashTracker
from nutmegroad.fleet.request_attributes import (
    ContentFingerprint,
    RequestAttributes,
    broad_attributes,
    content_attribute,
    shared_attributes,
)
from nutmegroad.testing.virtual import ManualClock

#: Seconds from one crash to the next, and from a request to its crash.
GAP: Final = 0.2
RUN: Final = 0.1


def request(
    number: int, *parts: str, workspace: str = 'clerks'
) -> RequestAttributes:
    """Return the attributes of a request with parts of its prompt."""
    return (
        content_attribute(ContentFingerprint(number)),
        *shared_attributes('part', parts),
        *broad_attributes(workspace=workspace),
    )


class CrashCausesTest(unittest.IsolatedAsyncioTestCase):
    """Crashes recorded by one host."""

    def setUp(self) -> None:
        """Create a tracker."""
        self.clock = ManualClock(1000)
        self.tracker = CrashTracker(self.clock)
        self.upstreams = 0

    async def asyncSetUp(self) -> None:
        """Wait until the host may know what was answered before."""
        await self.clock.advance(WARM_UP)

    async def crash(
        self, *requests: RequestAttributes, times: int = 1, gap: float = GAP
    ) -> None:
        """Let upstreams crash that execute some requests together."""
        for _ in range(times):
            await self.clock.advance(gap)
            self.upstreams += 1
            now = self.clock.now()
            crash = UpstreamCrash(
                UpstreamFingerprint(self.upstreams), now - RUN, now
            )
            for attributes in requests:
                self.tracker.record_crash(attributes, crash)

    def answer(self, attributes: RequestAttributes) -> None:
        """Let an upstream answer a request."""
        self.tracker.record_answer(attributes, self.clock.now())

    def blocked(self, attributes: RequestAttributes) -> BlockedRequest:
        """Return why a request is blocked."""
        found = self.tracker.harmful(attributes)
        assert found is not None
        return found

    def causes(self, attributes: RequestAttributes) -> list[str]:
        """Return the labels of what a request is blocked for."""
        found = self.tracker.harmful(attributes)
        return [] if found is None else [each.label for each in found.causes]

    async def test_requests_with_one_part_add_up(self) -> None:
        """Guards against a record for each of them, as no two are alike."""
        for number in range(4):
            await self.crash(request(number, 'bad', f'own{number}'))
        found = self.blocked(request(9, 'bad', 'own9'))
        self.assertEqual([each.label for each in found.causes], ['part bad'])
        self.assertAlmostEqual(found.pause, BLOCK_PAUSE)
        self.assertEqual(self.causes(request(9, 'good', 'own9')), [])

    async def test_three_crashes_under_one_request_are_due_to_it(self) -> None:
        """Others that share a part with it are served; its repeats are not."""
        await self.crash(request(1, 'part'), times=3)
        self.assertEqual(self.causes(request(2, 'part')), [])
        self.assertIn(
            'content 0000000000000001', self.causes(request(1, 'part'))
        )

    async def test_an_answered_part_is_not_blamed_for_another(self) -> None:
        """The first part of a route is in each request that crashes."""
        self.answer(request(0, 'first'))
        for number in range(1, 8):
            await self.crash(request(number, 'first', 'bad'))
        self.assertEqual(self.causes(request(9, 'first')), [])
        self.assertEqual(self.causes(request(9, 'first', 'bad')), ['part bad'])

    async def test_bystanders_are_served(self) -> None:
        """A part that ran beside the cause three times, and never without."""
        beside = request(50, 'beside')
        for number in range(3):
            await self.crash(request(number, 'bad'), beside)
        await self.crash(request(4, 'bad'))
        self.assertEqual(self.causes(request(51, 'beside')), [])
        self.assertEqual(self.causes(request(5, 'bad')), ['part bad'])

    async def test_two_parts_at_once_are_both_found(self) -> None:
        """Neither explains the crashes under the other one."""
        self.answer(request(0, 'first'))
        for number in range(4):
            await self.crash(request(2 * number, 'first', 'bad'))
            await self.crash(request(2 * number + 1, 'first', 'worse'))
        self.assertEqual(self.causes(request(90, 'bad')), ['part bad'])
        self.assertEqual(self.causes(request(91, 'worse')), ['part worse'])
        self.assertEqual(self.causes(request(92, 'first')), [])

    async def test_a_request_with_one_of_two_suspects_is_probed_first(
        self,
    ) -> None:
        """Its answer tells which of them is the cause."""
        for number in range(5):
            await self.crash(request(number, 'first', 'bad'))
        both = self.blocked(request(8, 'first', 'bad'))
        self.assertGreaterEqual(both.pause, BLOCK_PAUSE)
        one = self.blocked(request(9, 'first'))
        self.assertLessEqual(one.pause, PROBE_DELAY)
        self.answer(request(9, 'first'))
        self.assertEqual(self.causes(request(10, 'first')), [])
        self.assertEqual(self.causes(request(8, 'first', 'bad')), ['part bad'])

    async def test_the_probe_of_both_waits(self) -> None:
        """After three crashes, before either is known."""
        for number in range(3):
            await self.crash(request(number, 'first', 'bad'))
        both = self.blocked(request(8, 'first', 'bad'))
        self.assertAlmostEqual(both.pause, PROBE_DELAY + JOINT_PROBE_DELAY)

    async def test_crashes_of_one_moment_are_probed(self) -> None:
        """Many requests with a new part run at several upstreams at once."""
        for number in range(5):
            await self.crash(request(number, 'new'), gap=0)
        found = self.blocked(request(9, 'new'))
        self.assertAlmostEqual(found.pause, PROBE_DELAY)
        self.answer(request(9, 'new'))
        for number in range(10, 15):
            await self.crash(request(number, 'new'), gap=0)
        self.assertEqual(self.causes(request(9, 'new')), [])

    async def test_a_broad_attribute_is_blocked_for_seconds(self) -> None:
        """No two requests of a caller are alike, and each crashes."""
        for number in range(7):
            await self.crash(request(number, workspace='odd'))
        found = self.blocked(request(9, workspace='odd'))
        self.assertEqual(
            [each.label for each in found.causes], ['workspace odd']
        )
        self.assertAlmostEqual(found.pause, COMMON_PAUSE)
        self.assertEqual(self.causes(request(9)), [])

    async def test_a_broad_attribute_is_not_blamed_for_a_part(self) -> None:
        """All requests with the part come from one caller."""
        for number in range(8):
            await self.crash(request(number, 'bad'))
        self.assertEqual(self.causes(request(9, 'good')), [])

    async def test_a_part_that_becomes_harmful_is_found(self) -> None:
        """It was answered before, for example by another version."""
        self.answer(request(0, 'part'))
        for number in range(1, 9):
            await self.crash(request(number, 'part'))
        self.assertEqual(self.causes(request(9, 'part')), ['part part'])

    async def test_a_host_that_has_just_started_probes_first(self) -> None:
        """Guards: what all requests have in common is blocked for long."""
        self.tracker = CrashTracker(self.clock)
        for number in range(5):
            await self.crash(request(number, 'first'))
        found = self.blocked(request(9, 'first'))
        self.assertAlmostEqual(found.pause, PROBE_DELAY)
        await self.clock.advance(WARM_UP)
        self.assertGreater(self.blocked(request(9, 'first')).pause, WARM_UP)

    async def test_a_host_that_reads_earlier_answers_need_not(self) -> None:
        """It has read from the store's row what was answered before."""
        self.tracker = CrashTracker(self.clock)
        (first,) = shared_attributes('part', ('first',))
        earlier = self.clock.now() - RUN
        self.tracker.add_progress(first.fingerprint, earlier)
        for number in range(5):
            await self.crash(request(number, 'first', 'bad'))
        found = self.blocked(request(9, 'bad'))
        self.assertGreater(found.pause, WARM_UP)

    async def test_a_host_learns_of_earlier_answers(self) -> None:
        """A part that another host has answered is no cause here either."""
        other = CrashTracker(self.clock)
        other.record_answer(request(0, 'first'), self.clock.now())
        for number in range(1, 6):
            await self.crash(request(number, 'first', 'bad'))
        other.merge(self.tracker.report())
        self.tracker.merge(other.report())
        self.assertEqual(self.causes(request(9, 'first')), [])


if __name__ == '__main__':
    unittest.main()
