"""Tests of upstream selection, health, and latency estimates."""

import random
import unittest

from nutmegroad.fleet.cached_prefixes import CachedPrefixes
from nutmegroad.fleet.domain_monitor import DomainMonitor
from nutmegroad.fleet.gossip_queue import cyclic_slice
from nutmegroad.fleet.loads import LOAD_TTL, NO_LOAD, Load, LoadLedger
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
from nutmegroad.upstreams.cold_starts import ColdStarts
from nutmegroad.upstreams.directory import (
    Upstream,
)
from nutmegroad.upstreams.health import Health
from nutmegroad.upstreams.latency_estimates import LatencyEstimates
from nutmegroad.upstreams.selection import SelectionQuery, Selector
from tests.relay_samples import (
    ENGINES,
    KEY,
    NORTH,
    SMALL,
    a_request,
    an_entry,
)


class HealthTest(unittest.TestCase):
    """Health of an upstream from the results of exchanges."""

    def test_exclusion_of_a_dead_upstream_grows(self) -> None:
        """Each attempt at an unreachable upstream costs a caller time."""
        health = Health()
        health.record_unreachable(0)
        self.assertFalse(health.is_available(0.4))
        self.assertTrue(health.is_available(0.6))
        health.record_attempt()
        self.assertFalse(health.is_available(0.6))
        health.record_unreachable(0.6)
        self.assertFalse(health.is_available(1.5))
        health.record_attempt()
        health.record_answer(2, 1)
        self.assertTrue(health.is_available(2))

    def test_one_lost_packet_does_not_rule_out_an_upstream(self) -> None:
        """A link may lose packets while the service has only one upstream."""
        health = Health()
        health.record_unreachable(0)
        self.assertFalse(health.is_unreachable(0.1))

    def test_unreachable_upstream_is_probed_by_one_request(self) -> None:
        """A failure domain may be cut off from its only upstream.

        Without the limit, every request there attempted to connect to it, for
        0.3 s each time, until the callers gave up.
        """
        health = Health()
        health.record_unreachable(0)
        health.record_unreachable(1)
        self.assertTrue(health.is_unreachable(1.2))
        self.assertFalse(health.is_unreachable(1.6))
        health.record_attempt()
        self.assertTrue(health.is_unreachable(1.6))
        health.record_answer(1.7)
        self.assertFalse(health.is_unreachable(1.7))

    def test_failure_rate_decays(self) -> None:
        """An upstream may recover while it gets no requests."""
        health = Health()
        for _ in range(6):
            health.record_failure(0)
        self.assertGreater(health.failure_rate(0), 0.8)
        self.assertLess(health.failure_rate(16), 0.1)


class SelectionTest(unittest.TestCase):
    """Selection of the upstream expected to answer first."""

    def setUp(self) -> None:
        """Create a selector and three upstreams."""
        self.clock = ManualClock()
        self.ledger = LoadLedger(self.clock)
        self.selector = Selector(
            self.clock,
            random.Random(1),
            NORTH,
            self.ledger,
            CachedPrefixes(self.clock),
            DomainMonitor(self.clock),
            ColdStarts(self.clock, lambda _: 0),
        )
        self.upstreams = [
            Upstream(an_entry('a')),
            Upstream(an_entry('b')),
            Upstream(an_entry('far', domain=DomainId('south'))),
        ]

    def chosen(self, attempted: tuple[str, ...] = ()) -> str:
        """Return the upstream selected for a request."""
        parts = (PromptPart(PartId('s'), 900), PromptPart(PartId('o'), 100))
        query = SelectionQuery(a_request(parts=parts), ENGINES, SMALL, None)
        names = [UpstreamId(name) for name in attempted]
        choice = self.selector.choose(query, self.upstreams, names)
        assert choice is not None
        return choice.upstream.entry.upstream

    def test_queued_prompts_divert_a_request(self) -> None:
        """One long prompt occupies an engine for seconds."""
        first = self.chosen()
        self.ledger.begin(UpstreamId(first), Load(1, 5.0, 50_000))
        self.assertNotEqual(self.chosen(), first)

    def test_unresponsive_domain_is_the_last_choice(self) -> None:
        """A failure domain may be cut off while its engines are idle.

        Without this rule, each host lost a request to each upstream there
        before it knew.
        """
        for name in ('a', 'b'):
            self.ledger.begin(UpstreamId(name), Load(1, 2.0, 9000))
        self.assertEqual(self.chosen(), 'far')
        for _ in range(40):
            self.clock._now += 0.1
            self.selector.silence.record_message(DomainId('south'))
        self.assertEqual(self.chosen(), 'far')
        self.clock._now += 1.2
        self.assertNotEqual(self.chosen(), 'far')
        self.assertEqual(self.chosen(('a', 'b')), 'far')

    def test_local_domain_is_never_cut_off(self) -> None:
        """At low load no messages may arrive from the local domain at all."""
        local = self.upstreams[0]
        for _ in range(40):
            self.clock._now += 0.1
            self.selector.silence.record_message(local.entry.domain)
        self.clock._now += 60
        self.assertFalse(self.selector.is_cut_off(local))

    def test_load_reported_by_peers_counts(self) -> None:
        """Hosts that see only their own load would all choose one upstream."""
        first = self.chosen()
        reported = {UpstreamId(first): Load(3, 5.0, 9000)}
        self.ledger.replace_reported(HostId('n'), reported)
        self.assertNotEqual(self.chosen(), first)

    def test_stale_load_of_peers_does_not_count(self) -> None:
        """A peer may terminate while its requests are in progress."""
        first = self.chosen()
        reported = {UpstreamId(first): Load(3, 5.0, 9000)}
        self.ledger.replace_reported(HostId('n'), reported)
        self.clock._now += 3
        self.assertEqual(self.chosen(), first)

    def test_local_domain_is_preferred_until_it_is_busy(self) -> None:
        """A remote upstream is selected only if it is considerably faster."""
        self.assertNotEqual(self.chosen(), 'far')
        for name in ('a', 'b'):
            self.ledger.begin(UpstreamId(name), Load(1, 1.0, 9000))
        self.assertEqual(self.chosen(), 'far')

    def test_tried_upstreams_come_last(self) -> None:
        """An upstream that failed a request gets it again as a last resort."""
        first = self.chosen()
        self.assertNotEqual(self.chosen(attempted=(first,)), first)
        self.assertIn(
            self.chosen(attempted=('a', 'b', 'far')), ('a', 'b', 'far')
        )

    def test_nothing_is_selected_if_all_are_unreachable(self) -> None:
        """With all upstreams unreachable, the caller is refused immediately."""
        for upstream in self.upstreams:
            upstream.health.record_unreachable(0)
            upstream.health.record_unreachable(0)
        parts = (PromptPart(PartId('s'), 900),)
        query = SelectionQuery(a_request(parts=parts), ENGINES, SMALL, None)
        self.assertIsNone(self.selector.choose(query, self.upstreams, ()))

    def test_overdue_upstream_is_avoided_before_it_fails(self) -> None:
        """Connections get no answers when a failure domain is cut off."""
        first = self.chosen()
        overdue = next(
            each for each in self.upstreams if each.entry.upstream == first
        )
        overdue.health.record_overdue(0)
        overdue.health.record_overdue(0)
        self.assertNotEqual(self.chosen(), first)

    def test_failing_upstream_is_avoided(self) -> None:
        """An upstream may fail requests although its health check succeeds."""
        first = self.chosen()
        bad = next(
            each for each in self.upstreams if each.entry.upstream == first
        )
        for _ in range(5):
            bad.health.record_failure(0)
        self.assertNotEqual(self.chosen(), first)

    def test_subject_has_the_same_preferred_upstream_on_all_hosts(self) -> None:
        """Two hosts with different random generators agree."""
        other = Selector(
            self.clock,
            random.Random(9),
            NORTH,
            LoadLedger(self.clock),
            CachedPrefixes(self.clock),
            DomainMonitor(self.clock),
            ColdStarts(self.clock, lambda _: 0),
        )
        mine, self.selector = self.chosen(), other
        self.assertEqual(self.chosen(), mine)


class LedgerTest(unittest.TestCase):
    """Load ledger of requests sent by this host."""

    def test_request_leaves_nothing_behind(self) -> None:
        """Begin, read and end; the prompt is subtracted only once."""
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


class PeerLoadTest(unittest.TestCase):
    """Sum of the loads received from peers."""

    def test_sum_follows_each_message(self) -> None:
        """A new message from a host replaces its previous one."""
        clock = ManualClock()
        ledger = LoadLedger(clock)
        name = UpstreamId('a')
        ledger.replace_reported(HostId('n'), {name: Load(3, 1.0, 100)})
        ledger.replace_reported(HostId('m'), {name: Load(1, 0.5, 10)})
        ledger.replace_reported(HostId('n'), {name: Load(2, 0.5, 50)})
        self.assertEqual(ledger.load(name), Load(3, 1.0, 60))
        ledger.replace_reported(HostId('m'), {})
        self.assertEqual(ledger.load(name).running, 2)
        clock._now += LOAD_TTL + 1
        self.assertEqual(ledger.load(name), NO_LOAD)


class GossipRoundTest(unittest.TestCase):
    """Selection of the receivers of a gossip round."""

    def test_gossip_is_bounded_and_reaches_all_hosts(self) -> None:
        """A failure domain may have 44 hosts.

        Sending to all of them in every round would cost a host 150 KB per
        second there.
        """
        hosts = tuple(HostId(f'h{number}') for number in range(44))
        receivers = [
            cyclic_slice(hosts, round_number * 8, 8)
            for round_number in range(11)
        ]
        self.assertEqual({len(each) for each in receivers}, {8})
        self.assertEqual(
            {host for each in receivers for host in each}, set(hosts)
        )
        self.assertEqual(cyclic_slice(hosts[:3], 5 * 8, 8), hosts[:3])


class LatencyEstimatesTest(unittest.TestCase):
    """Latency estimates are corrected by answers."""

    def test_slow_model_is_known_after_few_answers(self) -> None:
        """The model is ten times slower than the initial estimate."""
        estimates = LatencyEstimates()
        for _ in range(10):
            expected = estimates.prefill_seconds(KEY, 10_000)
            estimates.observe(KEY, 10_000, 5.0, expected)
        self.assertAlmostEqual(
            estimates.prefill_seconds(KEY, 10_000), 5.0, delta=1.0
        )

    def test_tokens_of_long_prompts_take_longer(self) -> None:
        """A prompt of 60,000 tokens occupies an engine for seconds.

        In one test scenario 0.9 s were expected for such a prompt and 3.2 s
        were needed, and other requests were sent to wait behind it.
        """
        estimates = LatencyEstimates()
        for _ in range(20):
            for tokens, seconds in ((1000, 0.01), (60_000, 3.0)):
                expected = estimates.prefill_seconds(KEY, tokens)
                estimates.observe(KEY, tokens, seconds, expected)
        self.assertAlmostEqual(
            estimates.prefill_seconds(KEY, 60_000), 3.0, delta=0.3
        )
        self.assertAlmostEqual(
            estimates.prefill_seconds(KEY, 1000), 0.01, delta=0.002
        )

    def test_new_size_class_starts_like_the_nearest(self) -> None:
        """The first very long prompt is expected to take at least as long."""
        estimates = LatencyEstimates()
        for _ in range(20):
            estimates.observe(
                KEY, 1000, 0.1, estimates.prefill_seconds(KEY, 1000)
            )
        self.assertAlmostEqual(
            estimates.prefill_seconds(KEY, 60_000), 6.0, delta=0.6
        )


class GenerationEstimatesTest(unittest.TestCase):
    """Estimates of the duration of complete answers."""

    def test_generation_time_is_learned_from_complete_streams(self) -> None:
        """No estimate before the first stream; invalid values are ignored."""
        estimates = LatencyEstimates()
        self.assertEqual(estimates.generation_seconds(KEY, 100), 0)
        estimates.observe_generation(KEY, 0, 5)
        estimates.observe_generation(KEY, 200, 2)
        self.assertAlmostEqual(estimates.generation_seconds(KEY, 100), 1)
