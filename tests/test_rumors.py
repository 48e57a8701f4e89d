"""Which facts a datagram tells, and to whom between failure domains."""

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


class RumorsTest(unittest.TestCase):
    """What goes into a datagram."""

    def setUp(self) -> None:
        """Make room for few facts."""
        self.rumors: Rumors[int] = Rumors(Portion(5, 2), Portion(5, 2), 0)

    def news(self, times: int) -> Counter[int]:
        """Return how often each fact was told near by, beyond its turn."""
        told: Counter[int] = Counter()
        for _ in range(times):
            told.update(self.rumors.choose_near(())[:5])
        return told

    def test_what_was_learnt_is_told_so_many_times(self) -> None:
        """What a host has seen itself more often than what it has heard."""
        self.rumors.learnt(1, Source.OWN)
        self.rumors.learnt(2, Source.HOME)
        self.rumors.learnt(3, Source.AWAY)
        told = self.news(3 * OWN_TELLINGS)
        self.assertEqual(told, {1: OWN_TELLINGS, 2: TELLINGS, 3: TELLINGS})

    def test_nothing_waits_behind_what_is_newer(self) -> None:
        """Guards: a host's own fact is never told where many more come in."""
        self.rumors.learnt(0, Source.OWN)
        for number in range(1, 100):
            self.rumors.learnt(number, Source.HOME)
        first = self.rumors.choose_near(())
        self.assertIn(0, first)
        told = self.news(len(KNOWN) // 5 + OWN_TELLINGS)
        self.assertEqual({*first, *told}, set(KNOWN))

    def test_between_domains_only_what_was_seen_at_home_is_news(self) -> None:
        """Each domain tells all others itself."""
        self.rumors.learnt(1, Source.AWAY)
        self.assertFalse(self.rumors.has_far_news)
        self.assertEqual(self.rumors.choose_far(()), [])
        self.rumors.learnt(2, Source.HOME)
        self.assertTrue(self.rumors.has_far_news)
        self.assertEqual(self.rumors.choose_far(()), [2])

    def test_own_facts_wait_for_a_turn_that_is_long_to_come(self) -> None:
        """Guards: what is told near by no more is never told further."""
        self.rumors.learnt(1, Source.OWN)
        self.rumors.learnt(2, Source.HOME)
        self.news(OWN_TELLINGS)
        self.assertTrue(self.rumors.has_far_news)
        self.assertEqual(self.rumors.choose_far(()), [1])
        self.assertFalse(self.rumors.has_far_news)

    def test_all_that_is_known_has_its_turn(self) -> None:
        """Guards: a host that has started never hears the older facts."""
        for choose in (self.rumors.choose_near, self.rumors.choose_far):
            told = {key for _ in range(50) for key in choose(KNOWN)}
            self.assertEqual(told, set(KNOWN))

    def test_what_is_forgotten_is_told_no_more(self) -> None:
        """Guards: a session that lives no longer is kept alive by rumors."""
        self.rumors.learnt(1, Source.OWN)
        self.rumors.keep({2})
        self.assertEqual(self.rumors.choose_near(()), [])
        self.assertFalse(self.rumors.has_far_news)


class FarTurnsTest(unittest.TestCase):
    """Who tells other failure domains, and whom there."""

    def test_as_many_of_a_domain_tell_at_a_turn_whatever_its_size(self) -> None:
        """Guards: with more hosts each is heard less often, or all at once."""
        turns = FarTurns(HostId('me'))
        for near in (6, 39, 44, 200):
            for news, pause in ((True, 1), (False, CALM)):
                tellers = [
                    sum(
                        turns.due(turn, place, near, news=news)
                        for place in range(near)
                    )
                    for turn in range(400)
                ]
                with self.subTest(near=near, news=news):
                    self.assertLessEqual(max(tellers), TELLERS)
                    mean = sum(tellers) / len(tellers)
                    self.assertGreater(mean, 0.9 * TELLERS / pause)

    def test_each_far_host_is_told_in_turn(self) -> None:
        """Guards: the turn also picked the host, so most were never told."""
        turns = FarTurns(HostId('me'))
        for number in range(156):
            row = HostRow('10.0.0.1', number, f'd{number % 4}')
            turns.found(HostId(f'h{number}'), row)
        told = Counter(row.port for _ in range(39) for row in turns.receivers())
        self.assertEqual(told, Counter(range(156)))


if __name__ == '__main__':
    unittest.main()
