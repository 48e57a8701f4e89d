"""What all hosts have seen of a roll-out."""

import unittest
from typing import Final
from unittest.mock import Mock

from nutmegroad.canary.verdicts import Judgement, Verdict
from nutmegroad.fleet.announcements import HostRow
from nutmegroad.fleet.crash_book import CrashBook
from nutmegroad.fleet.domain_silence import DomainSilence
from nutmegroad.fleet.evidence import (
    Answers,
    summed,
)
from nutmegroad.fleet.evidence_book import EvidenceBook
from nutmegroad.fleet.heard_versions import HeardVersions
from nutmegroad.fleet.loads import LoadLedger
from nutmegroad.fleet.neighbours import TURN, Neighbours, Told
from nutmegroad.fleet.prefix_marks import HeldPrefixes
from nutmegroad.fleet.session_marks import SessionMarks
from nutmegroad.foundations.types import HostId
from nutmegroad.testing.virtual import ManualClock
from tests.relay_samples import ENGINES, KIND, a_book, counts

#: Turns of telling within which a bad version has to be halted: five seconds.
HALT_TURNS: Final = int(5 / TURN)


def is_bad(book: EvidenceBook, order: int) -> bool:
    """Tell whether what a book has shows that a version is bad."""
    judgement = Judgement()
    judgement.take(book.sums(ENGINES, order))
    return judgement.verdict() is Verdict.BAD


class BookTest(unittest.TestCase):
    """What all hosts have seen."""

    def test_good_answers_of_other_hosts_count_as_poor_ones_do(self) -> None:
        """Pattern: sixty hosts, each with an answer or two of a good version.

        Told only with poor answers, six hosts with one poor answer of one
        each halted it, though sixty others had had good ones.
        """
        clock = ManualClock()
        books = [a_book(f'h{number}') for number in range(66)]
        for number, book in enumerate(books):
            poor = number < 6
            book.count(ENGINES, 7, KIND, of_new=True, poor=poor)
        told_by_rows = a_book()
        for number, book in enumerate(books[:6]):
            told_by_rows.told(
                ENGINES, HostId(f'h{number}'), book.own(ENGINES, 7)
            )
        self.assertTrue(is_bad(told_by_rows, 7))
        mine = a_book()
        own = HostRow('127.0.0.1', 1, 'north')
        hearing = neighbours('me', own, mine, clock)
        for number, book in enumerate(books):
            sender = neighbours(f'h{number}', own, book, clock)
            hearing.datagram_received(sender.telling(), ('127.0.0.1', 1))
        self.assertEqual(whole(mine, 7), Answers(66, 6))
        self.assertFalse(is_bad(mine, 7))

    def test_counts_of_a_host_never_go_back(self) -> None:
        """Pattern: datagrams cross, and a row is older than both."""
        book = a_book()
        host = HostId('h')
        for new in (3, 9, 5):
            book.told(ENGINES, host, counts(7, new=new))
        self.assertEqual(whole(book, 7).new, 9)
        book.told(ENGINES, host, counts(8, new=1))
        book.told(ENGINES, host, counts(7, new=20))
        self.assertEqual(whole(book, 8).new, 1)

    def test_sum_leaves_older_roll_outs_out(self) -> None:
        """Rows of an earlier order are not counted, and are dropped in time."""
        book = a_book()
        book.told(ENGINES, HostId('a'), counts(1, new=5, new_poor=5))
        book.told(ENGINES, HostId('b'), counts(2, new=3, new_poor=1, old=4))
        self.assertEqual(whole(book, 1), Answers(5, 5, 0, 0))
        self.assertEqual(whole(book, 2), Answers(3, 1, 4, 0))
        book.told(ENGINES, HostId('b'), counts(3, new=1))
        self.assertEqual(whole(book, 1), Answers())
        self.assertEqual(whole(book, 3), Answers(1, 0, 0, 0))

    def test_counts_under_another_number_displace_none(self) -> None:
        """A host that has started knows the order by where it is now."""
        book = a_book()
        book.told(ENGINES, HostId('a'), counts(1, new=5, new_poor=5))
        book.told(ENGINES, HostId('b'), counts(2, new=3))
        book.told(ENGINES, HostId('c'), counts(1, new=1))
        self.assertEqual(whole(book, 1), Answers(6, 5, 0, 0))

    def test_a_host_that_starts_again_adds_to_what_it_had_seen(self) -> None:
        """Pattern: half of the hosts lose power in the middle of a trial.

        A host that began at nothing was not believed until it had seen more
        than before, and what it had seen before was gone then.
        """
        book = a_book()
        host = HostId('h')
        book.told(ENGINES, host, counts(7, run=1, new=9, new_poor=4, old=50))
        book.told(ENGINES, host, counts(7, run=2, new=2, new_poor=1, old=10))
        self.assertEqual(whole(book, 7), Answers(11, 5, 60, 0))

    def test_what_was_seen_outlives_the_power_of_half_of_the_hosts(
        self,
    ) -> None:
        """Pattern: four of eight hosts lose power, and come back empty.

        Those who stayed tell them what they had told, a few each turn.
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
        tell_all(fleet)
        for name in names[:4]:
            books[name] = a_book(name, run=2)
            books[name].count(ENGINES, 7, KIND, of_new=False, poor=False)
            fleet[name] = neighbours(name, own, books[name], clock)
        for _ in range(3):
            tell_all(fleet)
        for name in names:
            with self.subTest(host=name):
                self.assertEqual(whole(books[name], 7), Answers(24, 8, 4, 0))

    def test_what_a_domain_has_seen_is_known_again_at_any_size(self) -> None:
        """Pattern: half of the hosts lose power, at three sizes of a fleet.

        Hosts tell in turns, as many as they do in the time in which a bad
        version has to be halted; who comes back knows by then at least as much
        as its failure domain had seen.
        """
        for hosts, domains in ((9, 3), (88, 4), (195, 5)):
            fleet = TurnFleet(hosts, domains)
            fleet.play(HALT_TURNS)
            back = fleet.names[: hosts // 2]
            for name in back:
                fleet.start(name, run=2)
                fleet.books[name].count(
                    ENGINES, 7, KIND, of_new=False, poor=False
                )
            fleet.play(HALT_TURNS)
            least = min(whole(fleet.books[name], 7).new for name in back)
            with self.subTest(hosts=hosts):
                self.assertGreaterEqual(least, 3 * (hosts // domains))

    def test_host_reads_what_it_had_seen_at_an_earlier_start(self) -> None:
        """Pattern: its row is in the store, and it has started again."""
        book = a_book(run=2)
        book.count(ENGINES, 7, KIND, of_new=True, poor=False)
        mine = HostId('me')
        book.told(ENGINES, mine, counts(7, run=1, new=4, new_poor=2))
        book.told(ENGINES, mine, counts(7, run=2, new=9, new_poor=9))
        self.assertEqual(whole(book, 7), Answers(5, 2, 0, 0))
        self.assertEqual(
            [
                each.evidence.run
                for each in (*book.tell_near().home, *book.tell_near().others)
            ],
            [2, 1],
        )

    def test_runs_of_hosts_are_bounded(self) -> None:
        """Pattern: a host that starts again and again through a roll-out."""
        book = a_book()
        for run in range(2000):
            book.told(ENGINES, HostId('h'), counts(7, run=run + 2, new=1))
        self.assertEqual(whole(book, 7).new, 540)


def whole(book: EvidenceBook, order: int) -> Answers:
    """Return all that a book has of an order."""
    return summed(book.sums(ENGINES, order).values())


class TurnFleet:
    """Hosts that tell each other in turns, each with three answers seen.

    Args:
        hosts: How many.
        domains: In how many failure domains.
    """

    def __init__(self, hosts: int, domains: int) -> None:
        self.names = [f'h{number}' for number in range(hosts)]
        self.books: dict[str, EvidenceBook] = {}
        self._clock = ManualClock()
        self._rows = {
            name: HostRow(f'10.0.0.{number}', 1, f'd{number % domains}')
            for number, name in enumerate(self.names)
        }
        self._at = {row.ip: name for name, row in self._rows.items()}
        self._fleet: dict[str, Neighbours] = {}
        self._turn = 0
        for name in self.names:
            self.start(name, run=1)
            for poor in (False, False, True):
                self.books[name].count(ENGINES, 7, KIND, of_new=True, poor=poor)

    def start(self, name: str, run: int) -> None:
        """Start a host, which knows of nothing but the others."""
        self.books[name] = a_book(name, run=run)
        started = neighbours(
            name, self._rows[name], self.books[name], self._clock
        )
        for other, row in self._rows.items():
            started.found(HostId(other), row)
        started.connection_made(Mock(sendto=self._carry))
        self._fleet[name] = started

    def play(self, turns: int) -> None:
        """Let all hosts tell for so many turns."""
        for _ in range(turns):
            self._clock._now += TURN
            self._turn += 1
            for name in self.names:
                self._fleet[name]._tell(self._turn)

    def _carry(self, text: bytes, address: tuple[str, int]) -> None:
        """Carry a datagram."""
        self._fleet[self._at[address[0]]].datagram_received(text, address)


def tell_all(fleet: dict[str, Neighbours]) -> None:
    """Let each host tell all others once."""
    for sender in fleet.values():
        text = sender.telling()
        for hearing in fleet.values():
            hearing.datagram_received(text, ('127.0.0.1', 1))


def neighbours(
    name: str,
    own: HostRow,
    book: EvidenceBook,
    clock: ManualClock,
) -> Neighbours:
    """Return a host that tells and hears what a book has."""
    told = Told(
        LoadLedger(clock),
        SessionMarks(clock, 5),
        book,
        HeldPrefixes(clock),
        DomainSilence(clock),
        CrashBook(clock),
        HeardVersions(clock),
    )
    return Neighbours(HostId(name), own, told, clock)


if __name__ == '__main__':
    unittest.main()
