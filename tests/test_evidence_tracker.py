"""Tests of the rollout evidence that hosts exchange."""

import unittest
from typing import Final
from unittest.mock import Mock

from nutmegroad.canary.verdicts import Judgement, Verdict
from nutmegroad.fleet.cached_prefixes import CachedPrefixes
from nutmegroad.fleet.crash_tracker import CrashTracker
from nutmegroad.fleet.domain_monitor import DomainMonitor
from nutmegroad.fleet.evidence import (
    Answers,
    sum_answers,
)
from nutmegroad.fleet.evidence_tracker import EvidenceTracker
from nutmegroad.fleet.host_registration import HostRow
from nutmegroad.fleet.loads import LoadLedger
from nutmegroad.fleet.old_version_sessions import OldVersionSessions
from nutmegroad.fleet.peer_gossip import ROUND_INTERVAL, PeerGossip, SharedState
from nutmegroad.fleet.received_versions import ReceivedVersions
from nutmegroad.fleet.request_limits import RequestLimits
from nutmegroad.foundations.types import HostId
from nutmegroad.testing.virtual import ManualClock
from tests.relay_samples import ENGINES, KIND, a_book, counts

#: Gossip rounds within which a bad version has to be halted: five seconds.
HALT_ROUNDS: Final = int(5 / ROUND_INTERVAL)


def is_bad(book: EvidenceTracker, order: int) -> bool:
    """Return whether the recorded counts show that a version is bad."""
    judgement = Judgement()
    judgement.update(book.sums(ENGINES, order))
    return judgement.verdict() is Verdict.BAD


class TrackerTest(unittest.TestCase):
    """Counts of all hosts."""

    def test_good_answers_of_other_hosts_count_as_poor_ones_do(self) -> None:
        """Pattern: sixty hosts, each with an answer or two of a good version.

        When counts were sent with poor answers only, six hosts with one poor
        answer each halted the version, though sixty others had had good ones.
        """
        clock = ManualClock()
        books = [a_book(f'h{number}') for number in range(66)]
        for number, book in enumerate(books):
            poor = number < 6
            book.count(ENGINES, 7, KIND, of_new=True, poor=poor)
        from_rows = a_book()
        for number, book in enumerate(books[:6]):
            from_rows.merge(ENGINES, HostId(f'h{number}'), book.own(ENGINES, 7))
        self.assertTrue(is_bad(from_rows, 7))
        mine = a_book()
        own = HostRow('127.0.0.1', 1, 'north')
        receiver = neighbours('me', own, mine, clock)
        for number, book in enumerate(books):
            sender = neighbours(f'h{number}', own, book, clock)
            receiver.datagram_received(sender.encode_report(), ('127.0.0.1', 1))
        self.assertEqual(total(mine, 7), Answers(66, 6))
        self.assertFalse(is_bad(mine, 7))

    def test_counts_of_a_host_never_go_back(self) -> None:
        """Pattern: datagrams cross, and a row is older than both."""
        book = a_book()
        host = HostId('h')
        for new in (3, 9, 5):
            book.merge(ENGINES, host, counts(7, new=new))
        self.assertEqual(total(book, 7).new, 9)
        book.merge(ENGINES, host, counts(8, new=1))
        book.merge(ENGINES, host, counts(7, new=20))
        self.assertEqual(total(book, 8).new, 1)

    def test_sum_leaves_older_rollouts_out(self) -> None:
        """Rows of an earlier order are not counted, and are dropped in time."""
        book = a_book()
        book.merge(ENGINES, HostId('a'), counts(1, new=5, new_poor=5))
        book.merge(ENGINES, HostId('b'), counts(2, new=3, new_poor=1, old=4))
        self.assertEqual(total(book, 1), Answers(5, 5, 0, 0))
        self.assertEqual(total(book, 2), Answers(3, 1, 4, 0))
        book.merge(ENGINES, HostId('b'), counts(3, new=1))
        self.assertEqual(total(book, 1), Answers())
        self.assertEqual(total(book, 3), Answers(1, 0, 0, 0))

    def test_counts_under_another_number_displace_none(self) -> None:
        """A restarted host numbers the order by its current position."""
        book = a_book()
        book.merge(ENGINES, HostId('a'), counts(1, new=5, new_poor=5))
        book.merge(ENGINES, HostId('b'), counts(2, new=3))
        book.merge(ENGINES, HostId('c'), counts(1, new=1))
        self.assertEqual(total(book, 1), Answers(6, 5, 0, 0))

    def test_a_host_that_starts_again_adds_to_its_counts(self) -> None:
        """Pattern: half of the hosts lose power during a canary stage.

        Counts that started again at zero were ignored until they exceeded the
        earlier ones, and the earlier ones were lost then.
        """
        book = a_book()
        host = HostId('h')
        book.merge(ENGINES, host, counts(7, run=1, new=9, new_poor=4, old=50))
        book.merge(ENGINES, host, counts(7, run=2, new=2, new_poor=1, old=10))
        self.assertEqual(total(book, 7), Answers(11, 5, 60, 0))

    def test_counts_survive_a_power_loss_of_half_of_the_hosts(
        self,
    ) -> None:
        """Pattern: four of eight hosts lose power and come back empty.

        The other hosts send them their counts back, a few in each round.
        """
        clock = ManualClock()
        own = HostRow('127.0.0.1', 1, 'north')
        names = [f'h{number}' for number in range(8)]
        books = {name: a_book(name) for name in names}
        for book in books.values():
            for poor in (False, False, True):
                book.count(ENGINES, 7, KIND, of_new=True, poor=poor)
        fleet = {
            name: neighbours(name, own, book, clock)
            for name, book in books.items()
        }
        exchange_all(fleet)
        for name in names[:4]:
            books[name] = a_book(name, run=2)
            books[name].count(ENGINES, 7, KIND, of_new=False, poor=False)
            fleet[name] = neighbours(name, own, books[name], clock)
        for _ in range(3):
            exchange_all(fleet)
        for name in names:
            with self.subTest(host=name):
                self.assertEqual(total(books[name], 7), Answers(24, 8, 4, 0))

    def test_counts_of_a_domain_are_recovered_at_any_fleet_size(self) -> None:
        """Pattern: half of the hosts lose power, in fleets of three sizes.

        Hosts send for as many rounds as fit into the time in which a bad
        version has to be halted. By then, each host that comes back knows at
        least as much as its failure domain had seen.
        """
        for hosts, domains in ((9, 3), (88, 4), (195, 5)):
            fleet = RoundFleet(hosts, domains)
            fleet.play(HALT_ROUNDS)
            back = fleet.names[: hosts // 2]
            for name in back:
                fleet.start(name, run=2)
                fleet.books[name].count(
                    ENGINES, 7, KIND, of_new=False, poor=False
                )
            fleet.play(HALT_ROUNDS)
            least = min(total(fleet.books[name], 7).new for name in back)
            with self.subTest(hosts=hosts):
                self.assertGreaterEqual(least, 3 * (hosts // domains))

    def test_host_reads_the_counts_of_its_earlier_incarnation(self) -> None:
        """Pattern: its row is in the store, and the host has started again."""
        book = a_book(run=2)
        book.count(ENGINES, 7, KIND, of_new=True, poor=False)
        mine = HostId('me')
        book.merge(ENGINES, mine, counts(7, run=1, new=4, new_poor=2))
        book.merge(ENGINES, mine, counts(7, run=2, new=9, new_poor=9))
        self.assertEqual(total(book, 7), Answers(5, 2, 0, 0))
        self.assertEqual(
            [
                each.evidence.run
                for each in (
                    *book.local_report().local,
                    *book.local_report().remote,
                )
            ],
            [2, 1],
        )

    def test_incarnations_of_hosts_are_bounded(self) -> None:
        """Pattern: a host starts again and again during a rollout."""
        book = a_book()
        for run in range(2000):
            book.merge(ENGINES, HostId('h'), counts(7, run=run + 2, new=1))
        self.assertEqual(total(book, 7).new, 540)


def total(book: EvidenceTracker, order: int) -> Answers:
    """Return the sum of all counts of an order."""
    return sum_answers(book.sums(ENGINES, order).values())


class RoundFleet:
    """Hosts that gossip in rounds; each starts with three answers counted.

    Args:
        hosts: Number of hosts.
        domains: Number of failure domains.
    """

    def __init__(self, hosts: int, domains: int) -> None:
        self.names = [f'h{number}' for number in range(hosts)]
        self.books: dict[str, EvidenceTracker] = {}
        self._clock = ManualClock()
        self._rows = {
            name: HostRow(f'10.0.0.{number}', 1, f'd{number % domains}')
            for number, name in enumerate(self.names)
        }
        self._at = {row.ip: name for name, row in self._rows.items()}
        self._fleet: dict[str, PeerGossip] = {}
        self._round = 0
        for name in self.names:
            self.start(name, run=1)
            for poor in (False, False, True):
                self.books[name].count(ENGINES, 7, KIND, of_new=True, poor=poor)

    def start(self, name: str, run: int) -> None:
        """Start a host that only knows the addresses of the others."""
        self.books[name] = a_book(name, run=run)
        started = neighbours(
            name, self._rows[name], self.books[name], self._clock
        )
        for other, row in self._rows.items():
            started.add_host(HostId(other), row)
        started.connection_made(Mock(sendto=self._carry))
        self._fleet[name] = started

    def play(self, rounds: int) -> None:
        """Let all hosts send for a number of rounds."""
        for _ in range(rounds):
            self._clock._now += ROUND_INTERVAL
            self._round += 1
            for name in self.names:
                self._fleet[name]._send_round(self._round)

    def _carry(self, payload: bytes, address: tuple[str, int]) -> None:
        """Deliver a datagram."""
        self._fleet[self._at[address[0]]].datagram_received(payload, address)


def exchange_all(fleet: dict[str, PeerGossip]) -> None:
    """Let each host send to all others once."""
    for sender in fleet.values():
        payload = sender.encode_report()
        for receiver in fleet.values():
            receiver.datagram_received(payload, ('127.0.0.1', 1))


def neighbours(
    name: str,
    own: HostRow,
    book: EvidenceTracker,
    clock: ManualClock,
) -> PeerGossip:
    """Return a host that sends and receives the counts of a tracker."""
    told = SharedState(
        LoadLedger(clock),
        OldVersionSessions(clock, 5),
        book,
        CachedPrefixes(clock),
        DomainMonitor(clock),
        CrashTracker(clock),
        ReceivedVersions(clock),
        RequestLimits(clock),
    )
    return PeerGossip(HostId(name), own, told, clock)


if __name__ == '__main__':
    unittest.main()
