"""Tests of cached prompt prefixes and of the estimates based on them.

Many requests ask about the same subjects, and their long prompts share
prefixes. The engine that has processed a prefix answers soonest, whichever host
sent it. The large model processes prompts so slowly that fetching a prefix from
another engine is faster.
"""

import unittest

from nutmegroad.fleet.cached_prefixes import (
    MAX_PARTS,
    MAX_REPORTED,
    MAX_UPSTREAMS,
    CachedPrefixes,
    FingerprintedPart,
    PrefixFingerprint,
)
from nutmegroad.foundations.types import (
    DomainId,
    ModelName,
    UpstreamIncarnation,
)
from nutmegroad.routes.deployment import EngineFacts
from nutmegroad.routes.requests import Generation, PartId, PromptPart
from nutmegroad.testing.virtual import ManualClock
from nutmegroad.upstreams.directory import Upstream
from nutmegroad.upstreams.latency_estimates import LatencyEstimates, LatencyKey
from nutmegroad.upstreams.prefixes import (
    ASSUMED_CACHED_FRACTION,
    PrefillEstimate,
    PrefillEstimator,
    fingerprint_parts,
)
from tests.relay_samples import ENGINES, LARGE, NORTH, SMALL, an_entry

#: Engines with links that transfer one token per microsecond.
LINKED = EngineFacts(
    cache_tokens=100_000, event_tokens=1, token_fetch_seconds=1e-6
)
SHARED = tuple(PromptPart(PartId(part), 5000) for part in 'ab')
OWN = PromptPart(PartId('own'), 1000)


class PromptReadingsTest(unittest.TestCase):
    """Prompt tokens that each upstream would process or fetch."""

    def setUp(self) -> None:
        """Create two upstreams without cached prefixes."""
        self.held = CachedPrefixes(ManualClock())
        self.paces = LatencyEstimates()
        self.both = (Upstream(an_entry('u')), Upstream(an_entry('v')))
        self.first, self.other = sorted(
            self.both,
            key=lambda upstream: self.readings(LARGE, upstream).tokens,
        )

    def readings(
        self,
        model: ModelName,
        upstream: Upstream,
        facts: EngineFacts | None = None,
        parts: tuple[PromptPart, ...] = (*SHARED, OWN),
    ) -> PrefillEstimate:
        """Return the estimate for one upstream and a prompt."""
        tokens = sum(part.tokens for part in parts)
        readings = PrefillEstimator(
            Generation(ModelName('*'), tokens, 10, 10, parts),
            LatencyKey(ENGINES, model),
            facts,
            self.paces,
            self.held,
        )
        readings.prepare(self.both, NORTH, 0)
        return readings.estimate(upstream)

    def sent(self, upstream: Upstream, model: ModelName, count: int) -> None:
        """Record that an upstream has cached the first parts of the prompt."""
        parts = fingerprint_parts(model, SHARED[:count])
        self.held.record_sent(upstream.entry.incarnation, parts, 0)

    def test_part_counts_only_with_all_before_it(self) -> None:
        """It also counts only for the model that has processed it."""
        self.sent(self.other, SMALL, 1)
        self.assertEqual(self.readings(SMALL, self.other).tokens, 6000)
        unread = PromptPart(PartId('c'), 5000)
        later = (unread, *SHARED, OWN)
        found = self.readings(SMALL, self.other, parts=later)
        self.assertEqual(found.tokens, 16_000)
        self.assertEqual(self.readings(LARGE, self.other).tokens, 11_000)

    def test_preferred_upstream_is_assumed_to_have_part_cached(self) -> None:
        """Hosts that choose at the same time then choose the same upstream."""
        expected = 1000 + int(10_000 * (1 - ASSUMED_CACHED_FRACTION))
        self.assertEqual(self.readings(LARGE, self.first).tokens, expected)

    def test_slow_model_fetches_prefix_from_another_engine(self) -> None:
        """Processing takes 50 us for each of 10,000 tokens, fetching 1 us."""
        self.sent(self.first, LARGE, 2)
        found = self.readings(LARGE, self.other, LINKED)
        self.assertIs(found.source, self.first)
        self.assertEqual(found.tokens, 1000)
        self.assertAlmostEqual(
            found.seconds,
            self.paces.prefill_seconds(LatencyKey(ENGINES, LARGE), 1000) + 0.01,
        )

    def test_nothing_is_fetched_if_that_saves_little(self) -> None:
        """Covers an unknown link, a short prefix, and a complete cache."""
        self.sent(self.first, LARGE, 2)
        self.assertIsNone(self.readings(LARGE, self.other).source)
        short = tuple(PromptPart(part.part_id, 500) for part in SHARED)
        found = self.readings(LARGE, self.other, LINKED, (*short, OWN))
        self.assertIsNone(found.source)
        self.assertIsNone(self.readings(LARGE, self.first, LINKED).source)

    def test_nothing_is_fetched_from_an_unhealthy_engine(self) -> None:
        """A fetch would hang if the source is cut off from the network."""
        self.sent(self.first, LARGE, 2)
        self.first.health.record_unreachable(0)
        self.assertIsNone(self.readings(LARGE, self.other, LINKED).source)

    def test_preferred_upstream_is_in_the_local_domain(self) -> None:
        """Traffic between failure domains is expensive."""
        far = Upstream(an_entry('far', domain=DomainId('south')))
        self.both = (far, self.other)
        found = self.readings(LARGE, self.other).tokens
        self.assertLess(found, 11_000)


class HeldPrefixesTest(unittest.TestCase):
    """Prefixes that hosts remember and advertise to each other."""

    def setUp(self) -> None:
        """Create the prefix caches of two hosts."""
        self.clock = ManualClock()
        self.mine = CachedPrefixes(self.clock)
        self.theirs = CachedPrefixes(self.clock)
        self.upstream = UpstreamIncarnation('u')

    def sent(self, *numbers: int, memory: int = 0) -> None:
        """Record sent parts of ten tokens each."""
        parts = tuple(
            FingerprintedPart(PrefixFingerprint(each), 10) for each in numbers
        )
        self.mine.record_sent(self.upstream, parts, memory)

    def held(self, host: CachedPrefixes, count: int) -> list[int]:
        """Return which of the first fingerprints a host takes to be cached."""
        return [
            number
            for number in range(count)
            if host.is_cached(self.upstream, PrefixFingerprint(number))
        ]

    def test_recent_sends_are_advertised(self) -> None:
        """Older sends are no longer advertised."""
        self.sent(0)
        self.clock._now += 1
        self.sent(1)
        self.theirs.merge(self.mine.recent(0.5))
        self.assertEqual(self.held(self.theirs, 3), [1])
        self.assertEqual(self.mine.recent(0.5), {self.upstream: [1, 10]})

    def test_advertisement_is_bounded(self) -> None:
        """After a burst of sends, the newest parts are advertised."""
        self.sent(*range(MAX_REPORTED * 2))
        told = self.mine.recent(1)[self.upstream]
        self.assertEqual(len(told), MAX_REPORTED * 2)
        self.assertEqual(told[-2], MAX_REPORTED * 2 - 1)

    def test_least_recently_used_part_is_evicted(self) -> None:
        """The memory of an engine is as large as configured."""
        self.sent(0, 1)
        self.sent(0)
        self.sent(2, memory=25)
        self.assertEqual(self.held(self.mine, 4), [0, 2])

    def test_prefixes_are_bounded_if_memory_is_unknown(self) -> None:
        """The host's own memory must not grow without limit."""
        self.sent(*range(MAX_PARTS + 5))
        found = self.held(self.mine, MAX_PARTS + 5)
        self.assertEqual(len(found), MAX_PARTS)

    def test_number_of_upstreams_is_bounded(self) -> None:
        """Upstreams are replaced for weeks; peers still advertise old ones."""
        for number in range(MAX_UPSTREAMS + 1):
            self.theirs.merge({UpstreamIncarnation(f'u{number}'): [1, 10]})
        oldest = UpstreamIncarnation('u0')
        newest = UpstreamIncarnation(f'u{MAX_UPSTREAMS}')
        self.assertFalse(self.theirs.is_cached(oldest, PrefixFingerprint(1)))
        self.assertTrue(self.theirs.is_cached(newest, PrefixFingerprint(1)))

    def test_terminated_upstream_has_no_prefixes(self) -> None:
        """Its next incarnation has not processed anything yet."""
        self.sent(0)
        self.mine.forget(self.upstream)
        self.assertEqual(self.held(self.mine, 1), [])
