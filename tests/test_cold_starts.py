"""Tests of the limit on requests to upstreams that have just started.

They guard against a fleet that sends a cold upstream more requests than it
tolerates: each host alone sends few, but all of them choose the idle upstream
at once when a failure domain returns.
"""

import unittest
from collections import defaultdict
from collections.abc import Callable, Collection

from xxhash import xxh3_64_intdigest

from nutmegroad.fleet.store_interface import RowsRead
from nutmegroad.foundations.types import DomainId, ServiceName, UpstreamId
from nutmegroad.routes.deployment import ColdStart
from nutmegroad.testing.virtual import ManualClock
from nutmegroad.upstreams.cold_starts import ColdStarts
from nutmegroad.upstreams.directory import Directory, Upstream
from nutmegroad_platform.rows import RowCodec
from tests.relay_samples import an_entry, entry_row, upstream_sink

COLD_START = ColdStart(seconds=3, rate=14)
#: Requests per second that the operator allows at a cold upstream.
ALLOWED = 26
SOUTH = DomainId('south')


def rank_among(host: str, hosts: Collection[str]) -> Callable[[str], int]:
    """Return the rank of a host for a duty among the hosts that it knows."""

    def digest(duty: str, name: str) -> int:
        return xxh3_64_intdigest(f'{duty}/{name}'.encode())

    return lambda duty: sum(
        digest(duty, other) < digest(duty, host)
        for other in hosts
        if other != host
    )


class FleetLimitTest(unittest.TestCase):
    """A burst at the return of a failure domain, over a fleet of 74 hosts."""

    def setUp(self) -> None:
        self.clock = ManualClock(start=100)
        self.upstreams = [Upstream(an_entry(f'u{n}')) for n in range(15)]
        for upstream in self.upstreams:
            upstream.absent_at = self.clock.now()
        self.hosts = [f'host-{number}' for number in range(74)]
        self.arrivals: dict[str, list[float]] = defaultdict(list)

    def play(self, fleet: list[ColdStarts], seconds: float) -> None:
        """Let each host have 20 requests a second, all hosts in step."""
        for _ in range(int(seconds * 20)):
            for host in fleet:
                usable = tuple(host.usable(self.upstreams, COLD_START))
                if usable:
                    chosen = min(usable, key=self.count_arrivals)
                    host.record_sent(chosen)
                    self.arrivals[chosen.entry.upstream].append(
                        self.clock.now()
                    )
            self.clock._now += 0.05

    def count_arrivals(self, upstream: Upstream) -> int:
        """Return how many requests an upstream has received."""
        return len(self.arrivals[upstream.entry.upstream])

    def busiest_second(self) -> int:
        """Return the most requests at one upstream within a second."""
        return max(
            sum(start <= at < start + 1 for at in times)
            for times in self.arrivals.values()
            for start in times
        )

    def test_all_hosts_together_keep_the_rate(self) -> None:
        """Without the limit, each upstream gets about 98 in a second."""
        fleet = [
            ColdStarts(self.clock, rank_among(host, self.hosts))
            for host in self.hosts
        ]
        self.play(fleet, 2.9)
        self.assertLessEqual(self.busiest_second(), COLD_START.rate)
        self.assertEqual(len(self.arrivals), len(self.upstreams))

    def test_rate_is_kept_while_a_third_of_the_hosts_knows_no_others(
        self,
    ) -> None:
        """Hosts that have joined are not known to the earlier ones yet."""
        earlier = self.hosts[:50]
        fleet = [
            ColdStarts(
                self.clock,
                rank_among(host, earlier if host in earlier else self.hosts),
            )
            for host in self.hosts
        ]
        self.play(fleet, 2.9)
        self.assertLessEqual(self.busiest_second(), ALLOWED)

    # Guards against hosts that are killed and start again within the second
    # over which the rate of a cold upstream is counted.
    def test_rate_is_kept_when_all_hosts_start_again(self) -> None:
        for _ in range(2):
            fleet = [
                ColdStarts(self.clock, rank_among(host, self.hosts))
                for host in self.hosts
            ]
            self.play(fleet, 1.4)
        self.assertLessEqual(self.busiest_second(), COLD_START.rate)
        self.assertTrue(self.arrivals)

    def test_host_that_knows_no_hosts_yet_sends_nothing(self) -> None:
        fleet = [ColdStarts(self.clock, lambda _: None) for _ in self.hosts]
        self.play(fleet, 1)
        self.assertFalse(self.arrivals)

    def test_lone_host_keeps_the_rate(self) -> None:
        self.play([ColdStarts(self.clock, lambda _: 0)], 2.9)
        self.assertLessEqual(self.busiest_second(), COLD_START.rate)

    def test_requests_before_it_became_cold_count(self) -> None:
        """An upstream may become cold again at any moment."""
        host = ColdStarts(self.clock, lambda _: 0)
        upstream = self.upstreams[0]
        upstream.absent_at = float('-inf')
        for _ in range(10):
            host.record_sent(upstream)
        upstream.report_cold(self.clock.now(), 3)
        self.assertFalse(host.usable([upstream], COLD_START))
        self.clock._now += 1
        self.assertTrue(host.usable([upstream], COLD_START))

    def test_warm_upstreams_are_not_limited(self) -> None:
        warm = Upstream(an_entry('warm'))
        host = ColdStarts(self.clock, lambda _: 74)
        for _ in range(40):
            host.record_sent(warm)
        usable = host.usable([*self.upstreams, warm], COLD_START)
        self.assertEqual(tuple(usable), (warm,))

    def test_service_without_a_limit_is_not_affected(self) -> None:
        host = ColdStarts(self.clock, lambda _: 9)
        self.assertEqual(host.usable(self.upstreams, None), self.upstreams)


class ColdnessTest(unittest.TestCase):
    """How a host learns that an upstream is cold."""

    def setUp(self) -> None:
        self.clock = ManualClock(start=100)
        self.directory = Directory(self.clock)
        self.cold_starts = ColdStarts(self.clock, lambda _: 0)

    def is_cold(self, name: str = 'a') -> bool:
        """Return whether an upstream counts as cold."""
        upstream = next(
            each
            for each in self.directory.of_service(an_entry(name).service)
            if each.entry.upstream == name
        )
        return self.cold_starts.is_cold(upstream, COLD_START)

    def test_upstream_that_joins_is_cold_without_a_report(self) -> None:
        self.directory.put(an_entry('a'))
        self.assertTrue(self.is_cold())
        self.clock._now += 3
        self.assertFalse(self.is_cold())

    def test_upstreams_of_the_first_list_are_warm(self) -> None:
        self.directory.put(an_entry('a'), is_new=False)
        self.assertFalse(self.is_cold())

    def test_first_list_that_precedes_the_configuration_is_warm(self) -> None:
        """A host that starts may read the upstreams first.

        Without this, all upstreams were cold for a host that had just started,
        and it refused its callers for seconds after a loss of power.
        """
        sink = upstream_sink(self.directory, self.clock)
        sink.replace(RowsRead((entry_row('a'),), 1, 1))
        sink.update_services([ServiceName('s')])
        sink.apply(RowsRead((entry_row('b', 2),), 2, 2))
        cold = {
            name: self.cold_starts.is_cold(
                self.directory.find(UpstreamId(name)), COLD_START
            )
            for name in ('a', 'b')
        }
        self.assertEqual(cold, {'a': False, 'b': True})

    def test_report_counts_for_any_upstream(self) -> None:
        """A host that has just started learns of a start only from it."""
        row = entry_row('a', coldRemainingMs=2000, service='engines')
        entry = RowCodec().upstream_row(row)
        assert entry
        self.directory.put(entry, is_new=False)
        upstream = self.directory.find(entry.upstream)
        assert upstream is not None
        self.assertTrue(self.cold_starts.is_cold(upstream, COLD_START))
        self.clock._now += 2
        self.assertFalse(self.cold_starts.is_cold(upstream, COLD_START))

    def test_late_report_of_no_coldness_changes_nothing(self) -> None:
        self.directory.put(an_entry('a'))
        self.directory.put(an_entry('a'))
        self.assertTrue(self.is_cold())

    def test_upstreams_of_a_returning_domain_may_be_cold(self) -> None:
        self.directory.put(an_entry('a'), is_new=False)
        self.directory.put(an_entry('b', domain=SOUTH, port=2), is_new=False)
        self.directory.mark_domain_absent(SOUTH)
        self.assertFalse(self.is_cold('a'))
        self.assertTrue(self.is_cold('b'))
