"""Tests of the gossip queue, and of the rounds between failure domains."""

import unittest
from collections import Counter

from nutmegroad.fleet.announcements import HostRow
from nutmegroad.fleet.far_turns import CALM, TELLERS, FarTurns
from nutmegroad.fleet.rumors import (
    OWN_TELLINGS,
    TELLINGS,
    Portion,
    Rumors,
    Source,
)
from nutmegroad.foundations.types import HostId

KNOWN = range(100)


class GossipQueueTest(unittest.TestCase):
    """What goes into a datagram."""

    def setUp(self) -> None:
        """Create a queue for small datagrams."""
        self.queue: Rumors[int] = Rumors(Portion(5, 2), Portion(5, 2), 0)

    def new_sends(self, times: int) -> Counter[int]:
        """Return how often each entry was sent locally, beyond its rotation."""
        sent: Counter[int] = Counter()
        for _ in range(times):
            sent.update(self.queue.choose_near(())[:5])
        return sent

    def test_new_entries_are_sent_a_fixed_number_of_times(self) -> None:
        """A host's own entry is sent more often than a received one."""
        self.queue.learnt(1, Source.OWN)
        self.queue.learnt(2, Source.HOME)
        self.queue.learnt(3, Source.AWAY)
        sent = self.new_sends(3 * OWN_TELLINGS)
        self.assertEqual(sent, {1: OWN_TELLINGS, 2: TELLINGS, 3: TELLINGS})

    def test_no_entry_waits_behind_newer_ones(self) -> None:
        """Guards: a host's own entry is never sent when many more arrive."""
        self.queue.learnt(0, Source.OWN)
        for number in range(1, 100):
            self.queue.learnt(number, Source.HOME)
        first = self.queue.choose_near(())
        self.assertIn(0, first)
        sent = self.new_sends(len(KNOWN) // 5 + OWN_TELLINGS)
        self.assertEqual({*first, *sent}, set(KNOWN))

    def test_between_domains_only_local_entries_are_new(self) -> None:
        """Each domain informs all others itself."""
        self.queue.learnt(1, Source.AWAY)
        self.assertFalse(self.queue.has_far_news)
        self.assertEqual(self.queue.choose_far(()), [])
        self.queue.learnt(2, Source.HOME)
        self.assertTrue(self.queue.has_far_news)
        self.assertEqual(self.queue.choose_far(()), [2])

    def test_own_entries_wait_for_a_remote_round(self) -> None:
        """Guards: an entry not sent locally any more is never sent remotely."""
        self.queue.learnt(1, Source.OWN)
        self.queue.learnt(2, Source.HOME)
        self.new_sends(OWN_TELLINGS)
        self.assertTrue(self.queue.has_far_news)
        self.assertEqual(self.queue.choose_far(()), [1])
        self.assertFalse(self.queue.has_far_news)

    def test_all_entries_are_sent_in_rotation(self) -> None:
        """Guards: a host that has started never receives older entries."""
        for choose in (self.queue.choose_near, self.queue.choose_far):
            sent = {key for _ in range(50) for key in choose(KNOWN)}
            self.assertEqual(sent, set(KNOWN))

    def test_forgotten_entries_are_not_sent(self) -> None:
        """Guards: gossip keeps a session alive that has ended."""
        self.queue.learnt(1, Source.OWN)
        self.queue.keep({2})
        self.assertEqual(self.queue.choose_near(()), [])
        self.assertFalse(self.queue.has_far_news)


class RemoteRoundsTest(unittest.TestCase):
    """Which hosts send to other failure domains, and to which hosts."""

    def test_senders_per_round_do_not_depend_on_domain_size(self) -> None:
        """Guards: large domains send more rarely, or all hosts send at once."""
        rounds = FarTurns(HostId('me'))
        for domain_size in (6, 39, 44, 200):
            for has_updates, pause in ((True, 1), (False, CALM)):
                senders = [
                    sum(
                        rounds.due(
                            round_number,
                            rank,
                            domain_size,
                            has_updates=has_updates,
                        )
                        for rank in range(domain_size)
                    )
                    for round_number in range(400)
                ]
                with self.subTest(
                    domain_size=domain_size, has_updates=has_updates
                ):
                    self.assertLessEqual(max(senders), TELLERS)
                    mean = sum(senders) / len(senders)
                    self.assertGreater(mean, 0.9 * TELLERS / pause)

    def test_each_remote_host_is_sent_to_in_rotation(self) -> None:
        """Guards: the round also selected the host, so most got nothing."""
        rounds = FarTurns(HostId('me'))
        for number in range(156):
            row = HostRow('10.0.0.1', number, f'd{number % 4}')
            rounds.found(HostId(f'h{number}'), row)
        received = Counter(
            row.port for _ in range(39) for row in rounds.receivers()
        )
        self.assertEqual(received, Counter(range(156)))


if __name__ == '__main__':
    unittest.main()
