"""Tests of the choice of hosts that are asked for a connection."""

import random
import unittest
from itertools import repeat

from nutmegroad.fleet.evidence import HostIncarnation
from nutmegroad.fleet.host_registration import HostRow
from nutmegroad.fleet.peer_gossip import PeerGossip, new_shared_state
from nutmegroad.foundations.types import DomainId, HostId, RegionId
from nutmegroad.relay.tunnel_hosts import (
    FAILURE_MEMORY,
    FAR_HOSTS_ASKED,
    NEAR_HOSTS_ASKED,
    TunnelHosts,
)
from nutmegroad.testing.virtual import ManualClock
from tests.relay_samples import ENGINES

NORTH, SOUTH, ABROAD = DomainId('north'), DomainId('south'), DomainId('abroad')
REGIONS = {
    NORTH: RegionId('here'),
    SOUTH: RegionId('here'),
    ABROAD: RegionId('there'),
}


class TunnelHostsTest(unittest.TestCase):
    """A host of a large failure domain."""

    def setUp(self) -> None:
        """Create a host that knows forty others here and ten elsewhere."""
        self.clock = ManualClock(start=100)
        own = HostRow('10.0.0.1', 1, NORTH)
        state = new_shared_state(
            HostId('me'), HostIncarnation(1), self.clock, 5
        )
        peers = PeerGossip(HostId('me'), own, state, self.clock)
        for domain, count in ((NORTH, 40), (SOUTH, 10), (ABROAD, 10)):
            for number in range(count):
                row = HostRow('10.0.0.2', number, domain)
                peers.add_host(HostId(f'{domain}-{number}'), row)
        self.hosts = TunnelHosts(
            peers, NORTH, REGIONS, self.clock, random.Random(1)
        )

    def domains(self) -> list[str]:
        """Return the domains of the hosts to ask, in order."""
        return [row.domain for _, row in self.hosts.candidates(ENGINES)]

    def test_hosts_of_the_same_domain_come_first(self) -> None:
        """Traffic between domains is expensive."""
        expected = [
            *repeat(NORTH, NEAR_HOSTS_ASKED),
            *repeat(SOUTH, FAR_HOSTS_ASKED),
        ]
        self.assertEqual(self.domains(), expected)

    # Where a whole domain was cut off, a host would have asked only hosts of
    # its own domain for as long as their failures were not all known.
    def test_hosts_elsewhere_are_asked_if_a_whole_domain_is_cut_off(
        self,
    ) -> None:
        """Also while many others of the domain have not been asked yet."""
        for _ in range(3):
            asked = self.hosts.candidates(ENGINES)
            self.assertIn(SOUTH, [row.domain for _, row in asked])
            for host, row in asked:
                if row.domain == NORTH:
                    self.hosts.record_failure(host, ENGINES)

    def test_failures_are_forgotten(self) -> None:
        """Those that failed come last meanwhile."""
        for number in range(40):
            self.hosts.record_failure(HostId(f'north-{number}'), ENGINES)
        self.assertEqual(self.domains()[0], SOUTH)
        self.clock._now += FAILURE_MEMORY
        self.assertEqual(self.domains()[0], NORTH)

    def test_hosts_of_another_region_are_never_asked(self) -> None:
        """The content of a request may not be allowed there."""
        for _ in range(20):
            self.assertNotIn(ABROAD, self.domains())

    def test_hosts_that_are_cut_off_together_ask_different_ones(self) -> None:
        """One host would have to carry the requests of all."""
        first = {self.hosts.candidates(ENGINES)[0][0] for _ in range(40)}
        self.assertGreater(len(first), 10)

    def test_only_hosts_with_a_duty_are_asked_for_a_share(self) -> None:
        """Pattern: a brittle upstream with fewer slots than hosts."""
        asked = {
            host
            for _ in range(20)
            for host, _ in self.hosts.candidates(ENGINES, 'brittle/u', 3)
        }
        self.assertLessEqual(len(asked), 3)


if __name__ == '__main__':
    unittest.main()
