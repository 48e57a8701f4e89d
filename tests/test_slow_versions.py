"""Answers that come several times slower are evidence against their version."""

import unittest
from types import SimpleNamespace
from typing import Any

from nutmegroad.canary.gate import AttemptOutcome
from nutmegroad.relay.request_estimates import (
    EARLY_PACED_EVENTS,
    MIN_PACED_EVENTS,
    RequestEstimates,
)
from nutmegroad.routes.deployment import EngineFacts
from nutmegroad.testing.virtual import ManualClock
from nutmegroad.upstreams.directory import Upstream
from nutmegroad.upstreams.latency_estimates import LatencyEstimates
from nutmegroad.upstreams.limited_upstreams import LimitedUpstreams
from tests.relay_samples import ENGINES, SMALL, an_entry

#: Seconds until an answer starts, and between its events.
START = 0.05
USUAL_PACE = 0.02


class SlowPaceTest(unittest.TestCase):
    """Streams whose events come at other intervals."""

    def setUp(self) -> None:
        """Create a host that has seen some answers."""
        self.clock = ManualClock(start=100)
        self.seen: list[AttemptOutcome] = []
        gate = SimpleNamespace(
            observe=lambda request, upstream, seen: self.seen.append(seen)
        )
        self.limited = LimitedUpstreams(self.clock)
        context: Any = SimpleNamespace(
            clock=self.clock,
            version_gate=gate,
            selector=SimpleNamespace(
                latencies=LatencyEstimates(), limited=self.limited
            ),
        )
        service = SimpleNamespace(engine=EngineFacts(444_000, 9))
        table = SimpleNamespace(service_of=lambda name: service)
        request: Any = SimpleNamespace(table=table)
        self.estimates = RequestEstimates(context, request, ENGINES)
        self.upstream = Upstream(an_entry('u'))
        for _ in range(20):
            self.answer(USUAL_PACE)

    def an_answer(self) -> Any:
        """Return an answer that has just begun."""
        return SimpleNamespace(
            upstream=self.upstream,
            model=SMALL,
            started=self.clock.now(),
            waited=START,
            choice=SimpleNamespace(
                prefill=SimpleNamespace(tokens=0), expected_seconds=START
            ),
        )

    def answer(self, pace: float, events: int = 40) -> AttemptOutcome:
        """Receive a stream, and return the evidence that it is.

        Args:
            pace: Seconds between its events.
            events: Number of events.
        """
        answering = self.an_answer()
        self.clock._now += START + events * pace
        ratio = self.estimates.observe_generation(answering, events)
        self.estimates.observe(answering, AttemptOutcome.ACCEPTABLE, ratio)
        return self.seen[-1]

    # A version whose streams came four times slower was shown good by 2 of 46
    # poor answers: only the time until a stream starts was looked at, most of
    # which is spent on the prompt.
    def test_stream_that_is_generated_slowly_is_poor(self) -> None:
        for _ in range(40):
            self.assertIs(self.answer(4 * USUAL_PACE), AttemptOutcome.POOR)
            for _ in range(3):
                self.answer(USUAL_PACE)

    # Such a version got requests for 5.09 s after its fiftieth bad answer: each
    # was judged at its end, seconds later.
    def test_slow_stream_is_judged_before_its_end(self) -> None:
        answering = self.an_answer()
        self.clock._now += START + EARLY_PACED_EVENTS * 4 * USUAL_PACE
        count = len(self.seen)
        slow = self.estimates.observe_pace(answering, EARLY_PACED_EVENTS)
        self.estimates.observe(
            answering, AttemptOutcome.ACCEPTABLE, is_judged=slow
        )
        self.assertEqual(self.seen[count:], [AttemptOutcome.POOR])

    def test_stream_of_a_full_engine_is_acceptable(self) -> None:
        seen = self.answer(2 * USUAL_PACE)
        self.assertIs(seen, AttemptOutcome.ACCEPTABLE)

    def test_short_answer_says_nothing(self) -> None:
        seen = self.answer(9 * USUAL_PACE, MIN_PACED_EVENTS - 1)
        self.assertIs(seen, AttemptOutcome.ACCEPTABLE)

    def test_upstream_in_need_may_be_slow(self) -> None:
        """Whatever its version."""
        limits = self.limited.shares.limits
        limits.observe(self.upstream.entry.incarnation, 1, 0)
        seen = self.answer(9 * USUAL_PACE)
        self.assertIs(seen, AttemptOutcome.ACCEPTABLE)


if __name__ == '__main__':
    unittest.main()
