"""Load patterns: long prompts among short ones, sent by many hosts.

An engine processes one prompt at a time. A long prompt on a slow model delays
every prompt queued behind it by two seconds, and a host that has not yet
received the load report sends its next requests to the same engine.
"""

import unittest
from unittest.mock import Mock

from nutmegroad.fleet.evidence import HostIncarnation
from nutmegroad.fleet.host_registration import HostRow
from nutmegroad.fleet.loads import Load
from nutmegroad.fleet.peer_gossip import (
    HEAVY_PREFILL,
    LOCAL_IMMEDIATE,
    LOCAL_OF_HEAVY,
    MAX_REMOTE_WITH_REPORTS,
    REMOTE_OF_HEAVY,
    PeerGossip,
    new_shared_state,
)
from nutmegroad.foundations.types import HostId, UpstreamIncarnation
from nutmegroad.testing.virtual import ManualClock
from nutmegroad.upstreams.engine_ranks import PRIORITY_RANKS, engine_rank

LONG_PROMPT = Load(1, HEAVY_PREFILL, 9000)
SHORT_PROMPT = Load(1, HEAVY_PREFILL / 2, 300)


class Host:
    """A host whose datagrams are recorded.

    Attributes:
        shared_state: State that is shared with other hosts by gossip.
        gossip: Sends and receives datagrams.
        transport: Records the datagrams sent.
    """

    def __init__(self, name: str, clock: ManualClock) -> None:
        self.shared_state = new_shared_state(
            HostId('me'), HostIncarnation(1), clock, 5
        )
        self.transport = Mock()
        own = HostRow('127.0.0.1', 1, 'north')
        self.gossip = PeerGossip(
            HostId(name),
            own,
            self.shared_state,
            clock,
        )
        self.gossip.connection_made(self.transport)

    @property
    def datagrams(self) -> list[bytes]:
        """The datagrams sent so far."""
        return [call.args[0] for call in self.transport.sendto.call_args_list]

    def add_peers(self, count: int, domain: str) -> None:
        """Add other hosts, as if they had been found in the store."""
        for number in range(count):
            row = HostRow('127.0.0.1', number, domain)
            self.gossip.add_host(HostId(f'{domain}-{number}'), row)


class ImmediateReportTest(unittest.TestCase):
    """The load of a prompt is reported without waiting for the next round.

    Otherwise other hosts would send their next requests to a busy engine.
    """

    def setUp(self) -> None:
        """Create two hosts and an engine."""
        self.clock = ManualClock()
        self.sender = Host('mine', self.clock)
        self.receiver = Host('theirs', self.clock)
        self.engine = UpstreamIncarnation('engine')
        self.other_engine = UpstreamIncarnation('other')

    def test_long_prompt_is_reported_immediately_everywhere(self) -> None:
        """Pattern: two seconds of work; the next round is a second away."""
        self.sender.add_peers(2, 'north')
        self.sender.add_peers(3, 'south')
        self.sender.shared_state.ledger.begin(self.engine, LONG_PROMPT)
        self.assertEqual(len(self.sender.datagrams), 5)
        self.receiver.gossip.datagram_received(
            self.sender.datagrams[0],
            ('127.0.0.1', 1),
        )
        self.assertEqual(
            self.receiver.shared_state.ledger.load(self.engine), LONG_PROMPT
        )

    def test_short_prompt_is_reported_immediately_locally(self) -> None:
        """Pattern: requests arrive in bursts, at hosts of one domain."""
        self.sender.add_peers(2, 'north')
        self.sender.add_peers(3, 'south')
        self.sender.shared_state.ledger.begin(self.engine, SHORT_PROMPT)
        self.assertEqual(len(self.sender.datagrams), 2)

    def test_immediate_report_keeps_other_loads(self) -> None:
        """A report of one upstream leaves the loads of others unchanged."""
        self.receiver.shared_state.ledger.replace_reported(
            HostId('mine'), {self.other_engine: SHORT_PROMPT}
        )
        self.sender.add_peers(1, 'north')
        self.sender.shared_state.ledger.begin(self.engine, LONG_PROMPT)
        self.receiver.gossip.datagram_received(
            self.sender.datagrams[0],
            ('127.0.0.1', 1),
        )
        ledger = self.receiver.shared_state.ledger
        self.assertEqual(ledger.load(self.other_engine), SHORT_PROMPT)
        self.assertEqual(ledger.load(self.engine), LONG_PROMPT)
        ledger.replace_reported(HostId('mine'), {})
        self.assertEqual(ledger.load(self.engine).running, 0)

    def test_reports_are_bounded_in_a_large_fleet(self) -> None:
        """Each report goes to a few hosts, which rotate over all of them."""
        self.sender.add_peers(100, 'north')
        self.sender.add_peers(MAX_REMOTE_WITH_REPORTS, 'south')
        for _ in range(20):
            self.sender.shared_state.ledger.begin(self.engine, LONG_PROMPT)
        sent = self.sender.transport.sendto.call_args_list
        self.assertEqual(len(sent), 20 * (LOCAL_OF_HEAVY + REMOTE_OF_HEAVY))
        ports = {call.args[1][1] for call in sent}
        self.assertEqual(len(ports), 100)
        self.sender.transport.reset_mock()
        self.sender.shared_state.ledger.begin(self.engine, SHORT_PROMPT)
        self.assertEqual(len(self.sender.datagrams), LOCAL_IMMEDIATE)

    def test_too_many_remote_hosts_get_no_reports(self) -> None:
        """Each of them would receive fewer than half of the reports."""
        self.sender.add_peers(100, 'north')
        self.sender.add_peers(MAX_REMOTE_WITH_REPORTS + 1, 'south')
        self.sender.shared_state.ledger.begin(self.engine, LONG_PROMPT)
        self.assertEqual(len(self.sender.datagrams), LOCAL_OF_HEAVY)


class RankTest(unittest.TestCase):
    """The order in which an engine processes waiting prompts."""

    def test_short_prompts_go_before_long_ones(self) -> None:
        """This holds for all priorities: it delays a long prompt little."""
        short = engine_rank(0.05, 2, priority=2)
        middle = engine_rank(0.3, 2, priority=0)
        long = engine_rank(1.0, 2, priority=0)
        self.assertLess(short, middle)
        self.assertLess(middle, long)

    def test_operators_priority_decides_among_equals(self) -> None:
        """More urgent prompts go first; priorities above 2 are equal."""
        ranks = [engine_rank(0.3, 2, priority) for priority in range(5)]
        self.assertEqual(ranks, [3, 4, 5, 5, 5])

    def test_ranks_are_within_the_range_of_engines(self) -> None:
        """Engines accept ranks from 0 to 9, of which 9 is not used."""
        self.assertEqual(engine_rank(99, 1, 99), 3 * PRIORITY_RANKS - 1)
        self.assertEqual(engine_rank(0, 1, 0), 0)
