"""Which upstream is chosen, and what is expected of it."""

import random
import unittest

from nutmegroad.fleet.domain_silence import DomainSilence
from nutmegroad.fleet.loads import NO_LOAD, STALE, Load, LoadLedger
from nutmegroad.fleet.prefix_marks import HeldPrefixes
from nutmegroad.fleet.rumors import take
from nutmegroad.foundations.types import (
    DomainId,
    HostId,
    UpstreamId,
)
from nutmegroad.routes.requests import (
    PartId,
    PromptPart,
)
from nutmegroad.testing.virtual import ManualClock
from nutmegroad.upstreams.directory import (
    Upstream,
)
from nutmegroad.upstreams.estimates import Paces
from nutmegroad.upstreams.health import Health
from nutmegroad.upstreams.selection import Asked, Selector
from tests.relay_samples import (
    ENGINES,
    KEY,
    NORTH,
    SMALL,
    a_request,
    an_entry,
)


class HealthTest(unittest.TestCase):
    """What exchanges tell of an upstream."""

    def test_dead_upstream_is_left_out_longer_and_longer(self) -> None:
        """Pattern: a worker is dark; each try costs a caller its time."""
        health = Health()
        health.unreachable(0)
        self.assertFalse(health.available(0.4))
        self.assertTrue(health.available(0.6))
        health.begin()
        self.assertFalse(health.available(0.6))
        health.unreachable(0.6)
        self.assertFalse(health.available(1.5))
        health.begin()
        health.answered(2, 1)
        self.assertTrue(health.available(2))

    def test_one_lost_packet_gives_nobody_up(self) -> None:
        """Pattern: a link loses packets, and the service has one upstream."""
        health = Health()
        health.unreachable(0)
        self.assertFalse(health.hopeless(0.1))

    def test_upstream_behind_a_cut_is_tried_by_one_request(self) -> None:
        """Pattern: a failure domain is cut off from its only upstream.

        All requests there tried it, 0.3 s each, until their callers left.
        """
        health = Health()
        health.unreachable(0)
        health.unreachable(1)
        self.assertTrue(health.hopeless(1.2))
        self.assertFalse(health.hopeless(1.6))
        health.begin()
        self.assertTrue(health.hopeless(1.6))
        health.answered(1.7)
        self.assertFalse(health.hopeless(1.7))

    def test_failures_are_forgotten(self) -> None:
        """Pattern: a grey worker recovers while it gets no requests."""
        health = Health()
        for _ in range(6):
            health.failed(0)
        self.assertGreater(health.failure_share(0), 0.8)
        self.assertLess(health.failure_share(16), 0.1)


class SelectionTest(unittest.TestCase):
    """Which upstream is expected to answer first."""

    def setUp(self) -> None:
        """Make a selector with three upstreams."""
        self.clock = ManualClock()
        self.ledger = LoadLedger(self.clock)
        self.selector = Selector(
            self.clock,
            random.Random(1),
            NORTH,
            self.ledger,
            HeldPrefixes(self.clock),
            DomainSilence(self.clock),
        )
        self.upstreams = [
            Upstream(an_entry('a')),
            Upstream(an_entry('b')),
            Upstream(an_entry('far', domain=DomainId('south'))),
        ]

    def chosen(self, tried: tuple[str, ...] = ()) -> str:
        """Return where a request goes."""
        parts = (PromptPart(PartId('s'), 900), PromptPart(PartId('o'), 100))
        asked = Asked(a_request(parts=parts), ENGINES, SMALL, None)
        names = [UpstreamId(name) for name in tried]
        choice = self.selector.choose(asked, self.upstreams, names)
        assert choice is not None
        return choice.upstream.entry.upstream

    def test_prompts_that_wait_send_a_request_elsewhere(self) -> None:
        """Pattern: one long prompt holds an engine for seconds."""
        first = self.chosen()
        self.ledger.begin(UpstreamId(first), Load(1, 5.0, 50_000))
        self.assertNotEqual(self.chosen(), first)

    def test_domain_that_fell_silent_gets_what_no_other_can_take(self) -> None:
        """Pattern: a failure domain is cut off while its engines stand idle.

        Each host lost a request to each upstream there before it knew.
        """
        for name in ('a', 'b'):
            self.ledger.begin(UpstreamId(name), Load(1, 2.0, 9000))
        self.assertEqual(self.chosen(), 'far')
        for _ in range(40):
            self.clock._now += 0.1
            self.selector.silence.heard(DomainId('south'))
        self.assertEqual(self.chosen(), 'far')
        self.clock._now += 1.2
        self.assertNotEqual(self.chosen(), 'far')
        self.assertEqual(self.chosen(('a', 'b')), 'far')

    def test_own_domain_is_never_cut_off(self) -> None:
        """Pattern: a quiet night; nobody in the own domain says anything."""
        near = self.upstreams[0]
        for _ in range(40):
            self.clock._now += 0.1
            self.selector.silence.heard(near.entry.domain)
        self.clock._now += 60
        self.assertFalse(self.selector.is_cut_off(near))

    def test_what_neighbours_have_sent_counts(self) -> None:
        """Pattern: hosts that see only their own load all choose one."""
        first = self.chosen()
        told = {UpstreamId(first): Load(3, 5.0, 9000)}
        self.ledger.told(HostId('n'), told)
        self.assertNotEqual(self.chosen(), first)

    def test_what_was_told_long_ago_does_not_count(self) -> None:
        """Pattern: a neighbour dies with requests under way."""
        first = self.chosen()
        told = {UpstreamId(first): Load(3, 5.0, 9000)}
        self.ledger.told(HostId('n'), told)
        self.clock._now += 3
        self.assertEqual(self.chosen(), first)

    def test_own_domain_goes_first_until_it_is_busy(self) -> None:
        """A far upstream is taken only for a gain that counts."""
        self.assertNotEqual(self.chosen(), 'far')
        for name in ('a', 'b'):
            self.ledger.begin(UpstreamId(name), Load(1, 1.0, 9000))
        self.assertEqual(self.chosen(), 'far')

    def test_tried_upstreams_come_last(self) -> None:
        """One that failed a request gets it again only if no other is left."""
        first = self.chosen()
        self.assertNotEqual(self.chosen(tried=(first,)), first)
        self.assertIn(self.chosen(tried=('a', 'b', 'far')), ('a', 'b', 'far'))

    def test_nowhere_is_better_than_in_vain(self) -> None:
        """All upstreams are behind a cut: the caller is told at once."""
        for upstream in self.upstreams:
            upstream.health.unreachable(0)
            upstream.health.unreachable(0)
        parts = (PromptPart(PartId('s'), 900),)
        asked = Asked(a_request(parts=parts), ENGINES, SMALL, None)
        self.assertIsNone(self.selector.choose(asked, self.upstreams, ()))

    def test_silent_upstream_is_avoided_before_it_fails(self) -> None:
        """Pattern: connections go silent when a failure domain is cut off."""
        first = self.chosen()
        silent = next(
            each for each in self.upstreams if each.entry.upstream == first
        )
        silent.health.silent(0)
        silent.health.silent(0)
        self.assertNotEqual(self.chosen(), first)

    def test_failing_upstream_is_avoided(self) -> None:
        """Pattern: a grey worker, its health check good."""
        first = self.chosen()
        bad = next(
            each for each in self.upstreams if each.entry.upstream == first
        )
        for _ in range(5):
            bad.health.failed(0)
        self.assertNotEqual(self.chosen(), first)

    def test_subject_has_the_same_first_upstream_on_all_hosts(self) -> None:
        """Two hosts with different randomness agree."""
        other = Selector(
            self.clock,
            random.Random(9),
            NORTH,
            LoadLedger(self.clock),
            HeldPrefixes(self.clock),
            DomainSilence(self.clock),
        )
        mine, self.selector = self.chosen(), other
        self.assertEqual(self.chosen(), mine)


class LedgerTest(unittest.TestCase):
    """What upstreams are busy with."""

    def test_request_leaves_nothing_behind(self) -> None:
        """Begun, read and ended, however often it is said to be read."""
        ledger = LoadLedger(ManualClock())
        name = UpstreamId('u')
        load = Load(1, 0.5, 10)
        read = ledger.begin(name, load)
        self.assertEqual(ledger.load(name), load)
        read()
        read()
        self.assertEqual(ledger.load(name), Load(1, 0, 10))
        ledger.end(name, load)
        self.assertEqual(ledger.own, {})


class ToldTest(unittest.TestCase):
    """The sum of what neighbours told."""

    def test_sum_follows_each_telling(self) -> None:
        """A host that tells anew replaces what it told before."""
        clock = ManualClock()
        ledger = LoadLedger(clock)
        name = UpstreamId('a')
        ledger.told(HostId('n'), {name: Load(3, 1.0, 100)})
        ledger.told(HostId('m'), {name: Load(1, 0.5, 10)})
        ledger.told(HostId('n'), {name: Load(2, 0.5, 50)})
        self.assertEqual(ledger.load(name), Load(3, 1.0, 60))
        ledger.told(HostId('m'), {})
        self.assertEqual(ledger.load(name).running, 2)
        clock._now += STALE + 1
        self.assertEqual(ledger.load(name), NO_LOAD)


class TurnTest(unittest.TestCase):
    """Which hosts are told at a turn."""

    def test_telling_is_bounded_and_reaches_everybody(self) -> None:
        """Pattern: forty-four hosts in a failure domain, as the letter has.

        Telling all at every turn would cost a host 150 KB a second there.
        """
        hosts = tuple(HostId(f'h{number}') for number in range(44))
        told = [take(hosts, turn * 8, 8) for turn in range(11)]
        self.assertEqual({len(each) for each in told}, {8})
        self.assertEqual({host for each in told for host in each}, set(hosts))
        self.assertEqual(take(hosts[:3], 5 * 8, 8), hosts[:3])


class PaceTest(unittest.TestCase):
    """Estimates learn from answers."""

    def test_slow_model_is_known_after_few_answers(self) -> None:
        """Pattern: ten times slower than the first guess."""
        paces = Paces()
        for _ in range(10):
            expected = paces.work(KEY, 10_000)
            paces.observe(KEY, 10_000, 5.0, expected)
        self.assertAlmostEqual(paces.work(KEY, 10_000), 5.0, delta=1.0)

    def test_tokens_of_long_prompts_take_longer(self) -> None:
        """Pattern: sixty thousand tokens hold an engine for seconds.

        Seen on lsf trouble-1: 0.9 s expected, 3.2 s taken, and others sent
        to wait behind it.
        """
        paces = Paces()
        for _ in range(20):
            for tokens, seconds in ((1000, 0.01), (60_000, 3.0)):
                expected = paces.work(KEY, tokens)
                paces.observe(KEY, tokens, seconds, expected)
        self.assertAlmostEqual(paces.work(KEY, 60_000), 3.0, delta=0.3)
        self.assertAlmostEqual(paces.work(KEY, 1000), 0.01, delta=0.002)

    def test_new_size_begins_like_the_nearest(self) -> None:
        """The first very long prompt is expected to take at least as long."""
        paces = Paces()
        for _ in range(20):
            paces.observe(KEY, 1000, 0.1, paces.work(KEY, 1000))
        self.assertAlmostEqual(paces.work(KEY, 60_000), 6.0, delta=0.6)


class GenerationTest(unittest.TestCase):
    """How long whole answers take."""

    def test_pace_of_generation_is_learnt_from_whole_streams(self) -> None:
        """Nothing is claimed before the first; nonsense changes nothing."""
        paces = Paces()
        self.assertEqual(paces.generation(KEY, 100), 0)
        paces.observe_generation(KEY, 0, 5)
        paces.observe_generation(KEY, 200, 2)
        self.assertAlmostEqual(paces.generation(KEY, 100), 1)
