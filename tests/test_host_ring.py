"""Tests of duties by a ring of hosts."""

import unittest
from collections import Counter

from nutmegroad.fleet.duties import HostRing
from nutmegroad.foundations.types import HostId

NAMES = [HostId(f'host-{number}') for number in range(60)]
DUTIES = [f'duty-{number}' for number in range(200)]


def ring_of(own: HostId, names: list[HostId]) -> HostRing:
    """Return a host's ring of some hosts."""
    ring = HostRing(own)
    for name in names:
        ring.add(name)
    return ring


class HostRingTest(unittest.TestCase):
    """Which of sixty hosts have a duty."""

    def test_hosts_agree_whatever_the_order_in_which_they_were_found(
        self,
    ) -> None:
        """The first few have distinct ranks, and each knows its own."""
        rings = {
            name: ring_of(name, NAMES[number:] + NAMES[:number])
            for number, name in enumerate(NAMES)
        }
        for duty in DUTIES[:20]:
            expected = rings[NAMES[0]].first(duty, 6)
            for name, ring in rings.items():
                self.assertEqual(ring.first(duty, 6), expected)
                rank = ring.rank(duty)
                self.assertEqual(rank < 6, name in expected)

    def test_host_that_joins_replaces_one_at_most(self) -> None:
        """Hosts that do not know it yet have one more among the first."""
        before = ring_of(NAMES[0], NAMES)
        after = ring_of(NAMES[0], [*NAMES, HostId('new')])
        for duty in DUTIES:
            lost = set(before.first(duty, 6)) - set(after.first(duty, 6))
            self.assertLessEqual(len(lost), 1)

    def test_duties_are_spread(self) -> None:
        """No host has many times its part of them."""
        ring = ring_of(NAMES[0], NAMES)
        counts = Counter(
            host for duty in DUTIES for host in ring.first(duty, 6)
        )
        mean = 6 * len(DUTIES) / len(NAMES)
        self.assertLess(max(counts.values()), 4 * mean)

    def test_lone_host_has_every_duty(self) -> None:
        """And there are no more hosts than one."""
        ring = HostRing(NAMES[0])
        self.assertEqual(ring.rank('duty'), 0)
        self.assertEqual(ring.first('duty', 6), (NAMES[0],))


if __name__ == '__main__':
    unittest.main()
