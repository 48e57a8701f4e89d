"""Tests of what a host concludes from its own connections to upstreams."""

import unittest
from dataclasses import replace
from unittest.mock import AsyncMock, Mock

from nutmegroad.canary.gate import AttemptOutcome, RolloutGate
from nutmegroad.canary.interrupted_attempts import InterruptedAttempts
from nutmegroad.foundations.types import DomainId, HostId, ServiceName
from nutmegroad.relay.dialer import Dialer, DialPurpose
from nutmegroad.relay.direct_paths import (
    FAILURE_TTL,
    PROBE_INTERVAL,
    DirectPaths,
)
from nutmegroad.testing.virtual import ManualClock
from nutmegroad.upstreams.directory import Upstream
from tests.relay_samples import ENGINES, NORTH, a_request, an_entry

SOUTH = DomainId('south')
DESK = ServiceName('desk')


class DirectPathsTest(unittest.TestCase):
    """When a host counts as cut off from a service."""

    def setUp(self) -> None:
        """Create a host that knows three engines and a desk."""
        self.clock = ManualClock(start=100)
        self.paths = DirectPaths(self.clock, lambda service: 3)
        self.engines = [Upstream(an_entry(f'e{n}')) for n in range(3)]
        self.desk = Upstream(replace(an_entry('d'), service=DESK))

    def fail(self, *upstreams: Upstream) -> None:
        """Record failed connections."""
        for upstream in upstreams:
            self.paths.record_failure(upstream)

    def test_one_upstream_may_have_terminated(self) -> None:
        """However often connections to it fail."""
        self.fail(self.engines[0], self.engines[0], self.engines[0])
        self.assertFalse(self.paths.is_cut_off(ENGINES))

    def test_only_upstream_is_enough(self) -> None:
        """There is no other one that could show more."""
        paths = DirectPaths(self.clock, lambda service: 1)
        paths.record_failure(self.desk)
        self.assertTrue(paths.is_cut_off(DESK))

    def test_two_upstreams_without_an_answer_are_a_cut(self) -> None:
        """Another service may be reached all the while."""
        self.fail(*self.engines[:2])
        self.paths.record_answer(self.desk)
        self.assertTrue(self.paths.is_cut_off(ENGINES))
        self.assertFalse(self.paths.is_cut_off(DESK))

    def test_an_answer_in_between_shows_that_paths_are_open(self) -> None:
        """Two upstreams have terminated one after the other."""
        self.fail(self.engines[0])
        self.paths.record_answer(self.engines[2])
        self.fail(self.engines[1])
        self.assertFalse(self.paths.is_cut_off(ENGINES))

    def test_first_answer_ends_a_cut(self) -> None:
        """No time has to pass."""
        self.fail(*self.engines)
        self.paths.record_answer(self.engines[0])
        self.assertFalse(self.paths.is_cut_off(ENGINES))

    def test_cut_is_forgotten_unless_it_shows_again(self) -> None:
        """Pattern: only requests that may not be repeated are left."""
        self.fail(*self.engines)
        self.clock._now += FAILURE_TTL + 0.1
        self.assertFalse(self.paths.is_cut_off(ENGINES))

    def test_probes_are_rare(self) -> None:
        """A proxy may accept each of them in vain."""
        self.assertTrue(self.paths.claim_probe(ENGINES))
        self.assertFalse(self.paths.claim_probe(ENGINES))
        self.assertTrue(self.paths.claim_probe(DESK))
        self.clock._now += PROBE_INTERVAL
        self.assertTrue(self.paths.claim_probe(ENGINES))

    # After a cut, hosts sent nothing to upstreams that had refused their
    # connections, as these were thought to have started anew.
    def test_refusals_of_a_lost_path_do_not_make_an_upstream_cold(self) -> None:
        """Another host reaches it, so its process runs."""
        engine = self.engines[0]
        engine.refused_at = self.clock.now()
        self.assertGreater(engine.warm_at(5), self.clock.now())
        self.paths.record_detour(engine)
        self.assertLess(engine.warm_at(5), self.clock.now())


class CutBetweenDomainsTest(unittest.IsolatedAsyncioTestCase):
    """A host whose failure domain is cut off from the others.

    Guards against a domain that fails whole: its hosts asked each other first
    for the upstreams of their own, each of which said that it is cut off, and
    refused requests that these upstreams would have served.
    """

    def setUp(self) -> None:
        """Create a host that has failed to reach two upstreams elsewhere."""
        self.clock = ManualClock(start=100)
        self.paths = DirectPaths(self.clock, lambda service: 3)
        for number in range(2):
            entry = an_entry(f'far-{number}', domain=SOUTH)
            self.paths.record_failure(Upstream(entry))
        self.near = Upstream(an_entry('near', domain=NORTH))
        self.hosts = Mock(any_known=True)
        self.connector = Mock()
        self.connector.open = AsyncMock()

    async def open(self, upstream: Upstream) -> list[str]:
        """Open a connection; return who was asked for one, in order."""
        asked: list[str] = []

        def connect(*_: object) -> Mock:
            """Open a direct connection."""
            asked.append('upstream')
            return Mock(via=None)

        def other_hosts(*_: object) -> tuple[()]:
            """Return the hosts to ask."""
            asked.append('others')
            return ()

        self.connector.open.side_effect = connect
        self.hosts.candidates.side_effect = other_hosts
        dialer = Dialer(
            HostId('host-1'),
            NORTH,
            self.connector,
            self.paths,
            self.hosts,
            self.clock,
            float,
        )
        await dialer.open(upstream, 1, DialPurpose(is_last=True))
        return asked

    async def test_upstreams_of_its_own_domain_are_asked_first(self) -> None:
        self.assertTrue(self.paths.is_cut_off(ENGINES))
        self.assertEqual(await self.open(self.near), ['upstream'])

    async def test_hosts_are_asked_first_once_they_fail_too(self) -> None:
        """The host itself may be cut off, behind a proxy that accepts."""
        self.paths.record_failure(self.near)
        self.assertEqual(await self.open(self.near), ['others', 'upstream'])


class RolloutEvidenceTest(unittest.TestCase):
    """Interrupted attempts of a host that is cut off."""

    def setUp(self) -> None:
        """Create a gate whose evidence is recorded."""
        clock = ManualClock(start=100)
        self.state = Mock()
        self.gate = RolloutGate(
            Mock(),
            self.state,
            Mock(),
            Mock(),
            InterruptedAttempts(clock),
            Mock(),
        )
        self.paths = DirectPaths(clock, lambda service: 3)
        self.paths.on_detour(self.gate.on_detour)
        self.upstream = Upstream(an_entry('u'))

    def observe(self, outcome: AttemptOutcome) -> None:
        """Observe the outcome of an attempt."""
        self.gate.observe(a_request(), self.upstream, outcome)

    def poor(self) -> list[bool]:
        """Return whether each outcome that counts was poor."""
        calls = self.state.observe.call_args_list
        return [call.kwargs['poor'] for call in calls]

    # A host that was cut off counted its broken exchanges against a good
    # version, and told the other hosts, as soon as another way was found.
    def test_interruptions_of_a_lost_path_do_not_count(self) -> None:
        """Neither those before the path was found lost nor those after."""
        self.observe(AttemptOutcome.INTERRUPTED)
        self.paths.record_detour(self.upstream)
        self.observe(AttemptOutcome.INTERRUPTED)
        self.observe(AttemptOutcome.ACCEPTABLE)
        self.assertEqual(self.poor(), [False])

    def test_failures_by_way_of_another_host_count(self) -> None:
        """A cut must not hide a bad version."""
        self.paths.record_detour(self.upstream)
        self.observe(AttemptOutcome.POOR)
        self.assertEqual(self.poor(), [True])

    def test_interruptions_count_once_the_path_is_restored(self) -> None:
        """A version that breaks exchanges off is judged by them."""
        self.paths.record_detour(self.upstream)
        self.paths.record_answer(self.upstream)
        self.observe(AttemptOutcome.INTERRUPTED)
        self.observe(AttemptOutcome.ACCEPTABLE)
        self.assertEqual(self.poor(), [True, False])


if __name__ == '__main__':
    unittest.main()
