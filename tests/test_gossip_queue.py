"""Tests of the gossip queue, and of the rounds between failure domains."""

import unittest
from collections import Counter

from nutmegroad.fleet.gossip_queue import (
    FORWARDED_SENDS,
    OWN_SENDS,
    DatagramCapacity,
    GossipQueue,
    Source,
)
from nutmegroad.fleet.host_registration import HostRow
from nutmegroad.fleet.remote_rounds import (
    IDLE_FACTOR,
    SENDERS_PER_ROUND,
    RemoteRounds,
)
from nutmegroad.foundations.types import HostId

KNOWN = range(100)


class GossipQueueTest(unittest.TestCase):
    """What goes into a datagram."""

    def setUp(self) -> None:
        """Create a queue for small datagrams."""
        self.queue: GossipQueue[int] = GossipQueue(
            DatagramCapacity(5, 2), DatagramCapacity(5, 2), 0
        )

    def new_sends(self, times: int) -> Counter[int]:
        """Return how often each entry was sent locally, beyond its rotation."""
        sent: Counter[int] = Counter()
        for _ in range(times):
            sent.update(self.queue.choose_local(())[:5])
        return sent

    def test_new_entries_are_sent_a_fixed_number_of_times(self) -> None:
        """A host's own entry is sent more often than a received one."""
        self.queue.add_new(1, Source.OWN)
        self.queue.add_new(2, Source.LOCAL)
        self.queue.add_new(3, Source.REMOTE)
        sent = self.new_sends(3 * OWN_SENDS)
        self.assertEqual(
            sent, {1: OWN_SENDS, 2: FORWARDED_SENDS, 3: FORWARDED_SENDS}
        )

    def test_no_entry_waits_behind_newer_ones(self) -> None:
        """Guards: a host's own entry is never sent when many more arrive."""
        self.queue.add_new(0, Source.OWN)
        for number in range(1, 100):
            self.queue.add_new(number, Source.LOCAL)
        first = self.queue.choose_local(())
        self.assertIn(0, first)
        sent = self.new_sends(len(KNOWN) // 5 + OWN_SENDS)
        self.assertEqual({*first, *sent}, set(KNOWN))

    def test_between_domains_only_local_entries_are_new(self) -> None:
        """Each domain informs all others itself."""
        self.queue.add_new(1, Source.REMOTE)
        self.assertFalse(self.queue.has_remote_updates)
        self.assertEqual(self.queue.choose_remote(()), [])
        self.queue.add_new(2, Source.LOCAL)
        self.assertTrue(self.queue.has_remote_updates)
        self.assertEqual(self.queue.choose_remote(()), [2])

    def test_own_entries_wait_for_a_remote_round(self) -> None:
        """Guards: an entry not sent locally any more is never sent remotely."""
        self.queue.add_new(1, Source.OWN)
        self.queue.add_new(2, Source.LOCAL)
        self.new_sends(OWN_SENDS)
        self.assertTrue(self.queue.has_remote_updates)
        self.assertEqual(self.queue.choose_remote(()), [1])
        self.assertFalse(self.queue.has_remote_updates)

    def test_all_entries_are_sent_in_rotation(self) -> None:
        """Guards: a host that has started never receives older entries."""
        for choose in (self.queue.choose_local, self.queue.choose_remote):
            sent = {key for _ in range(50) for key in choose(KNOWN)}
            self.assertEqual(sent, set(KNOWN))

    def test_forgotten_entries_are_not_sent(self) -> None:
        """Guards: gossip keeps a session alive that has ended."""
        self.queue.add_new(1, Source.OWN)
        self.queue.retain({2})
        self.assertEqual(self.queue.choose_local(()), [])
        self.assertFalse(self.queue.has_remote_updates)


class RemoteRoundsTest(unittest.TestCase):
    """Which hosts send to other failure domains, and to which hosts."""

    def test_senders_per_round_do_not_depend_on_domain_size(self) -> None:
        """Guards: large domains send more rarely, or all hosts send at once."""
        rounds = RemoteRounds(HostId('me'))
        for domain_size in (6, 39, 44, 200):
            for has_updates, pause in ((True, 1), (False, IDLE_FACTOR)):
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
                    self.assertLessEqual(max(senders), SENDERS_PER_ROUND)
                    mean = sum(senders) / len(senders)
                    self.assertGreater(mean, 0.9 * SENDERS_PER_ROUND / pause)

    def test_each_remote_host_is_sent_to_in_rotation(self) -> None:
        """Guards: the round also selected the host, so most got nothing."""
        rounds = RemoteRounds(HostId('me'))
        for number in range(156):
            row = HostRow('10.0.0.1', number, f'd{number % 4}')
            rounds.add_host(HostId(f'h{number}'), row)
        received = Counter(
            row.port for _ in range(39) for row in rounds.receivers()
        )
        self.assertEqual(received, Counter(range(156)))


if __name__ == '__main__':
    unittest.main()
