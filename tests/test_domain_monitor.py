"""Tests of the detection of unreachable failure domains."""

import random
import unittest
from unittest.mock import patch

from nutmegroad.fleet import domain_monitor
from nutmegroad.fleet.domain_monitor import (
    MAX_DOMAINS,
    MIN_TIMEOUT,
    DomainMonitor,
)
from nutmegroad.fleet.evidence import HostIncarnation
from nutmegroad.fleet.host_registration import HostRow
from nutmegroad.fleet.peer_gossip import PeerGossip, new_shared_state
from nutmegroad.foundations.types import DomainId, HostId
from nutmegroad.testing.virtual import ManualClock

SOUTH = DomainId('south')

#: Seconds between two datagrams of a domain where each domain has ten hosts.
FREQUENT = 0.1


class SuspicionTest(unittest.TestCase):
    """When a domain is suspected."""

    def setUp(self) -> None:
        """Start with a host that has received nothing."""
        self.clock = ManualClock(start=100)
        self.monitor = DomainMonitor(self.clock)

    def receive(self, seconds: float, interval: float) -> None:
        """Receive messages from a domain for some time."""
        for _ in range(round(seconds / interval)):
            self.clock._now += interval
            self.monitor.record_message(SOUTH)

    def test_domain_without_any_message_is_not_suspected(self) -> None:
        """Pattern: a host has just started."""
        self.assertFalse(self.monitor.is_suspected(SOUTH))
        self.monitor.record_message(SOUTH)
        self.clock._now += 3
        self.assertFalse(self.monitor.is_suspected(SOUTH))

    def test_busy_domain_is_suspected_within_a_second(self) -> None:
        """Pattern: a failure domain is cut off for six seconds (inc-590c)."""
        self.receive(5, FREQUENT)
        self.clock._now += MIN_TIMEOUT - 0.05
        self.assertFalse(self.monitor.is_suspected(SOUTH))
        self.clock._now += 0.2
        self.assertTrue(self.monitor.is_suspected(SOUTH))
        self.monitor.record_message(SOUTH)
        self.assertFalse(self.monitor.is_suspected(SOUTH))

    def test_rare_messages_take_longer(self) -> None:
        """Pattern: at night hosts have little to send."""
        self.receive(30, 0.6)
        self.clock._now += 4
        self.assertFalse(self.monitor.is_suspected(SOUTH))

    def test_chance_alone_raises_few_suspicions(self) -> None:
        """Three messages a second, as from three of today's hosts, for 1 h."""
        randomness = random.Random(3)
        suspicions = 0
        for _ in range(3 * 3600):
            self.clock._now += randomness.expovariate(3)
            suspicions += self.monitor.is_suspected(SOUTH)
            self.monitor.record_message(SOUTH)
        self.assertLess(suspicions, 3 * 3600 / 300)

    def test_hosts_of_a_domain_share_their_ages(self) -> None:
        """Pattern: in a large fleet a host rarely hears a remote domain."""
        self.receive(5, FREQUENT)
        self.clock._now += 0.7
        other = DomainMonitor(self.clock)
        other.record_message(SOUTH)
        self.clock._now += 0.2
        self.monitor.merge_ages(other.ages())
        self.clock._now += 0.5
        self.assertFalse(self.monitor.is_suspected(SOUTH))

    def test_delayed_report_changes_nothing(self) -> None:
        """A datagram from before the partition that was delayed."""
        self.receive(5, FREQUENT)
        self.clock._now += 2
        self.monitor.merge_ages({SOUTH: 1900})
        self.assertTrue(self.monitor.is_suspected(SOUTH))

    def test_reports_of_a_broken_host_are_bounded(self) -> None:
        """Ages from the future, and names of domains that do not exist."""
        self.receive(5, FREQUENT)
        self.monitor.merge_ages({SOUTH: -90_000})
        self.clock._now += 2
        self.assertTrue(self.monitor.is_suspected(SOUTH))
        self.monitor.merge_ages(
            {DomainId(f'd{number}'): 0 for number in range(999)}
        )
        self.assertLessEqual(len(self.monitor.ages()), MAX_DOMAINS)

    def test_changes_of_suspicion_are_logged_once(self) -> None:
        """An operator sees in the log when a partition began and ended."""
        self.receive(5, FREQUENT)
        self.clock._now += 2
        with patch.object(domain_monitor, '_LOG') as log:
            self.monitor.is_suspected(SOUTH)
            self.monitor.is_suspected(SOUTH)
            self.monitor.record_message(SOUTH)
            self.monitor.record_message(SOUTH)
        events = [call.args[0] for call in log.decision.call_args_list]
        self.assertEqual(events, ['domain fell silent', 'domain heard again'])


class MessageTest(unittest.TestCase):
    """What counts as a message from a domain."""

    def host(self, name: str, domain: str) -> PeerGossip:
        """Return a host that knows two others."""
        told = new_shared_state(HostId(name), HostIncarnation(1), self.clock, 5)
        row = HostRow('127.0.0.1', 1, domain)
        host = PeerGossip(HostId(name), row, told, self.clock)
        host.add_host(HostId('near'), HostRow('127.0.0.1', 2, 'north'))
        host.add_host(HostId('far'), HostRow('127.0.0.1', 3, 'south'))
        return host

    def test_remote_datagrams_and_local_reports_count(self) -> None:
        """Ages from a remote host say nothing about this host's connection."""
        self.clock = ManualClock(start=100)
        me = self.host('me', 'north')
        far = self.host('far', 'south')
        me.datagram_received(far.encode_report(), ('127.0.0.1', 3))
        self.assertEqual(me._domains.ages(), {SOUTH: 0})
        self.clock._now += 2
        near = self.host('near', 'north')
        near.datagram_received(far.encode_report(), ('127.0.0.1', 3))
        self.clock._now += 1
        me.datagram_received(near.encode_report(), ('127.0.0.1', 2))
        self.assertEqual(me._domains.ages(), {SOUTH: 1000})


if __name__ == '__main__':
    unittest.main()
