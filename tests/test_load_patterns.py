"""Load patterns: long prompts among short ones, sent by many hosts.

An engine processes one prompt after another. A long prompt of a slow model
blocks for two seconds whatever comes behind it, and a host that has not
received its load sends the next requests there.
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

LONG = Load(1, HEAVY_PREFILL, 9000)
SHORT = Load(1, HEAVY_PREFILL / 2, 300)


class Host:
    """A host whose datagrams are recorded.

    Attributes:
        told: Its shared state.
        neighbours: Sends and receives its datagrams.
        transport: Where it sends them.
    """

    def __init__(self, name: str, clock: ManualClock) -> None:
        self.told = new_shared_state(HostId('me'), HostIncarnation(1), clock, 5)
        self.transport = Mock()
        own = HostRow('127.0.0.1', 1, 'north')
        self.neighbours = PeerGossip(
            HostId(name),
            own,
            self.told,
            clock,
        )
        self.neighbours.connection_made(self.transport)

    @property
    def datagrams(self) -> list[bytes]:
        """Return the sent datagrams."""
        return [call.args[0] for call in self.transport.sendto.call_args_list]

    def find(self, count: int, domain: str) -> None:
        """Let it find other hosts in the store."""
        for number in range(count):
            row = HostRow('127.0.0.1', number, domain)
            self.neighbours.add_host(HostId(f'{domain}-{number}'), row)


class ImmediateReportTest(unittest.TestCase):
    """Hosts receive the load of a long prompt before they send a request."""

    def setUp(self) -> None:
        """Create two hosts and an engine."""
        self.clock = ManualClock()
        self.mine = Host('mine', self.clock)
        self.theirs = Host('theirs', self.clock)
        self.engine = UpstreamIncarnation('engine')
        self.other = UpstreamIncarnation('other')

    def test_long_prompt_is_reported_at_once_to_all_domains(self) -> None:
        """Pattern: two seconds of work; the next round is a second away."""
        self.mine.find(2, 'north')
        self.mine.find(3, 'south')
        self.mine.told.ledger.begin(self.engine, LONG)
        self.assertEqual(len(self.mine.datagrams), 5)
        self.theirs.neighbours.datagram_received(
            self.mine.datagrams[0],
            ('127.0.0.1', 1),
        )
        self.assertEqual(self.theirs.told.ledger.load(self.engine), LONG)

    def test_short_prompt_is_reported_at_once_locally(self) -> None:
        """Pattern: requests come in bursts, at hosts of one domain."""
        self.mine.find(2, 'north')
        self.mine.find(3, 'south')
        self.mine.told.ledger.begin(self.engine, SHORT)
        self.assertEqual(len(self.mine.datagrams), 2)

    def test_other_reported_loads_stay(self) -> None:
        """One upstream is reported; the loads of the others stay."""
        self.theirs.told.ledger.replace_reported(
            HostId('mine'), {self.other: SHORT}
        )
        self.mine.find(1, 'north')
        self.mine.told.ledger.begin(self.engine, LONG)
        self.theirs.neighbours.datagram_received(
            self.mine.datagrams[0],
            ('127.0.0.1', 1),
        )
        ledger = self.theirs.told.ledger
        self.assertEqual(ledger.load(self.other), SHORT)
        self.assertEqual(ledger.load(self.engine), LONG)
        ledger.replace_reported(HostId('mine'), {})
        self.assertEqual(ledger.load(self.engine).running, 0)

    def test_reports_are_bounded_in_a_large_fleet(self) -> None:
        """All hosts are reached in rotation."""
        self.mine.find(100, 'north')
        self.mine.find(MAX_REMOTE_WITH_REPORTS, 'south')
        for _ in range(20):
            self.mine.told.ledger.begin(self.engine, LONG)
        sent = self.mine.transport.sendto.call_args_list
        self.assertEqual(len(sent), 20 * (LOCAL_OF_HEAVY + REMOTE_OF_HEAVY))
        ports = {call.args[1][1] for call in sent}
        self.assertEqual(len(ports), 100)
        self.mine.transport.reset_mock()
        self.mine.told.ledger.begin(self.engine, SHORT)
        self.assertEqual(len(self.mine.datagrams), LOCAL_IMMEDIATE)

    def test_too_many_remote_hosts_get_no_reports(self) -> None:
        """Each of them would receive less than half of what is sent there."""
        self.mine.find(100, 'north')
        self.mine.find(MAX_REMOTE_WITH_REPORTS + 1, 'south')
        self.mine.told.ledger.begin(self.engine, LONG)
        self.assertEqual(len(self.mine.datagrams), LOCAL_OF_HEAVY)


class RankTest(unittest.TestCase):
    """Which of the waiting prompts an engine processes first."""

    def test_short_prompts_go_before_long_ones(self) -> None:
        """Whatever the operator's priority: the long prompt loses little."""
        short = engine_rank(0.05, 2, priority=2)
        middle = engine_rank(0.3, 2, priority=0)
        long = engine_rank(1.0, 2, priority=0)
        self.assertLess(short, middle)
        self.assertLess(middle, long)

    def test_operators_priority_decides_among_equals(self) -> None:
        """Urgent ones first; priorities beyond the third are equal."""
        ranks = [engine_rank(0.3, 2, priority) for priority in range(5)]
        self.assertEqual(ranks, [3, 4, 5, 5, 5])

    def test_ranks_fit_what_engines_take(self) -> None:
        """Ranks range from 0 to 9, and 9 is left free."""
        self.assertEqual(engine_rank(99, 1, 99), 3 * PRIORITY_RANKS - 1)
        self.assertEqual(engine_rank(0, 1, 0), 0)
