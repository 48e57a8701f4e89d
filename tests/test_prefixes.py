"""What upstreams hold of prompts: pattern of subjects that many ask about.

Long prompts share their beginnings. Whichever host sends one, the engine that
has read its beginning answers soonest; the large model reads so slowly that
fetching the beginning from another engine is quicker than reading it.
"""

import unittest

from nutmegroad.fleet.prefix_marks import (
    MOST_HELD,
    MOST_TOLD,
    MOST_UPSTREAMS,
    HeldPrefixes,
    MarkedPart,
    PrefixMark,
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
from nutmegroad.upstreams.estimates import PaceKey, Paces
from nutmegroad.upstreams.prefixes import (
    LIKELY_KEPT,
    PromptReadings,
    Reading,
    marked,
)
from tests.relay_samples import ENGINES, LARGE, NORTH, SMALL, an_entry

#: Engines whose links move a token in a microsecond.
LINKED = EngineFacts(memory=100_000, event_tokens=1, fetch_time=1e-6)
SHARED = tuple(PromptPart(PartId(part), 5000) for part in 'ab')
OWN = PromptPart(PartId('own'), 1000)


class PromptReadingsTest(unittest.TestCase):
    """What each upstream would read or fetch."""

    def setUp(self) -> None:
        """Make two upstreams that hold nothing."""
        self.held = HeldPrefixes(ManualClock())
        self.paces = Paces()
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
    ) -> Reading:
        """Return what an upstream would do about a prompt."""
        tokens = sum(part.tokens for part in parts)
        readings = PromptReadings(
            Generation(ModelName('*'), tokens, 10, 10, parts),
            PaceKey(ENGINES, model),
            facts,
            self.paces,
            self.held,
        )
        readings.look(self.both, NORTH, 0)
        return readings.at(upstream)

    def sent(self, upstream: Upstream, model: ModelName, count: int) -> None:
        """Let an upstream hold the first parts of the prompt."""
        parts = marked(model, SHARED[:count])
        self.held.sent(upstream.entry.incarnation, parts, 0)

    def test_part_counts_only_with_all_before_it(self) -> None:
        """And only for the same model."""
        self.sent(self.other, SMALL, 1)
        self.assertEqual(self.readings(SMALL, self.other).tokens, 6000)
        unread = PromptPart(PartId('c'), 5000)
        later = (unread, *SHARED, OWN)
        found = self.readings(SMALL, self.other, parts=later)
        self.assertEqual(found.tokens, 16_000)
        self.assertEqual(self.readings(LARGE, self.other).tokens, 11_000)

    def test_home_of_a_subject_is_taken_to_hold_part_of_it(self) -> None:
        """So hosts that choose at the same moment meet there."""
        expected = 1000 + int(10_000 * (1 - LIKELY_KEPT))
        self.assertEqual(self.readings(LARGE, self.first).tokens, expected)

    def test_slow_model_fetches_what_another_engine_holds(self) -> None:
        """Ten thousand tokens at 50 microseconds against one of the link."""
        self.sent(self.first, LARGE, 2)
        found = self.readings(LARGE, self.other, LINKED)
        self.assertIs(found.source, self.first)
        self.assertEqual(found.tokens, 1000)
        self.assertAlmostEqual(
            found.seconds,
            self.paces.work(PaceKey(ENGINES, LARGE), 1000) + 0.01,
        )

    def test_nothing_is_fetched_where_that_spares_little(self) -> None:
        """Links unknown, a short part, or an engine that holds it all."""
        self.sent(self.first, LARGE, 2)
        self.assertIsNone(self.readings(LARGE, self.other).source)
        short = tuple(PromptPart(part.part, 500) for part in SHARED)
        found = self.readings(LARGE, self.other, LINKED, (*short, OWN))
        self.assertIsNone(found.source)
        self.assertIsNone(self.readings(LARGE, self.first, LINKED).source)

    def test_nothing_is_fetched_from_an_engine_in_trouble(self) -> None:
        """Pattern: the holder is behind a cut, and the fetch would hang."""
        self.sent(self.first, LARGE, 2)
        self.first.health.unreachable(0)
        self.assertIsNone(self.readings(LARGE, self.other, LINKED).source)

    def test_home_is_in_the_own_domain_if_there_is_one(self) -> None:
        """Bytes between failure domains are dear."""
        far = Upstream(an_entry('far', domain=DomainId('south')))
        self.both = (far, self.other)
        found = self.readings(LARGE, self.other).tokens
        self.assertLess(found, 11_000)


class HeldPrefixesTest(unittest.TestCase):
    """What hosts remember, and tell each other."""

    def setUp(self) -> None:
        """Make two hosts."""
        self.clock = ManualClock()
        self.mine = HeldPrefixes(self.clock)
        self.theirs = HeldPrefixes(self.clock)
        self.upstream = UpstreamIncarnation('u')

    def sent(self, *numbers: int, memory: int = 0) -> None:
        """Send parts of ten tokens each."""
        parts = tuple(MarkedPart(PrefixMark(each), 10) for each in numbers)
        self.mine.sent(self.upstream, parts, memory)

    def held(self, host: HeldPrefixes, count: int) -> list[int]:
        """Return which of the first marks a host believes to be held."""
        return [
            number
            for number in range(count)
            if host.holds(self.upstream, PrefixMark(number))
        ]

    def test_others_hear_what_was_sent_a_moment_ago(self) -> None:
        """And are not told for ever."""
        self.sent(0)
        self.clock._now += 1
        self.sent(1)
        self.theirs.told(self.mine.recent(0.5))
        self.assertEqual(self.held(self.theirs, 3), [1])
        self.assertEqual(self.mine.recent(0.5), {self.upstream: [1, 10]})

    def test_what_is_told_is_bounded(self) -> None:
        """Pattern: a burst; the newest parts are told."""
        self.sent(*range(MOST_TOLD * 2))
        told = self.mine.recent(1)[self.upstream]
        self.assertEqual(len(told), MOST_TOLD * 2)
        self.assertEqual(told[-2], MOST_TOLD * 2 - 1)

    def test_what_was_used_longest_ago_yields(self) -> None:
        """An engine's memory is as large as the configuration says."""
        self.sent(0, 1)
        self.sent(0)
        self.sent(2, memory=25)
        self.assertEqual(self.held(self.mine, 4), [0, 2])

    def test_memory_that_nobody_told_is_bounded(self) -> None:
        """A host's own memory is."""
        self.sent(*range(MOST_HELD + 5))
        found = self.held(self.mine, MOST_HELD + 5)
        self.assertEqual(len(found), MOST_HELD)

    def test_upstreams_that_nobody_forgets_are_bounded(self) -> None:
        """Pattern: workers are replaced for weeks, and others still tell."""
        for number in range(MOST_UPSTREAMS + 1):
            self.theirs.told({UpstreamIncarnation(f'u{number}'): [1, 10]})
        oldest = UpstreamIncarnation('u0')
        newest = UpstreamIncarnation(f'u{MOST_UPSTREAMS}')
        self.assertFalse(self.theirs.holds(oldest, PrefixMark(1)))
        self.assertTrue(self.theirs.holds(newest, PrefixMark(1)))

    def test_upstream_that_is_gone_holds_nothing(self) -> None:
        """Its next start has read nothing."""
        self.sent(0)
        self.mine.forget(self.upstream)
        self.assertEqual(self.held(self.mine, 1), [])
