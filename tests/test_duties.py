"""Tests of the distribution of duties."""

import unittest

from nutmegroad.foundations.types import HostId, UpstreamId
from nutmegroad.membership.duties import (
    WATCHERS_PER_UPSTREAM,
    Duties,
    DutyName,
    watch_duty,
)

DUTIES = tuple(
    watch_duty(UpstreamId(f'engine-{number}')) for number in range(890)
)
HOSTS = tuple(HostId(f'host-{number}') for number in range(44))

Hosts = tuple[HostId, ...]


class FixedHosts:
    """Membership with live hosts that a test sets."""

    def __init__(self, host: HostId, live: Hosts) -> None:
        self.host = host
        self.live = live

    def live_hosts(self) -> Hosts:
        return self.live


def holders_of(live: Hosts) -> dict[DutyName, Hosts]:
    """Return the watchers of each upstream, given the live hosts."""
    duties = Duties(FixedHosts(live[0], live))
    return {
        duty: duties.holders(duty, WATCHERS_PER_UPSTREAM) for duty in DUTIES
    }


class DutiesTest(unittest.TestCase):
    """Duties of the hosts of one domain."""

    def test_all_hosts_agree_on_the_holders(self) -> None:
        holders = holders_of(HOSTS)[DUTIES[0]]
        mirrored = tuple(reversed(HOSTS))
        for host in HOSTS:
            duties = Duties(FixedHosts(host, mirrored))
            self.assertEqual(duties.holders(DUTIES[0], 2), holders)
            self.assertEqual(duties.is_mine(DUTIES[0], 2), host in holders)
        self.assertEqual(len(set(holders)), 2)

    def test_removed_host_moves_only_its_own_duties(self) -> None:
        before = holders_of(HOSTS)
        after = holders_of(HOSTS[1:])
        for duty, holders in before.items():
            unaffected = set(holders) - {HOSTS[0]}
            self.assertLessEqual(unaffected, set(after[duty]))

    def test_added_host_takes_its_fair_fraction_of_duties(self) -> None:
        before = holders_of(HOSTS[1:])
        after = holders_of(HOSTS)
        moved = sum(before[duty] != after[duty] for duty in DUTIES)
        fraction = WATCHERS_PER_UPSTREAM / len(HOSTS)
        self.assertLess(moved / len(DUTIES), 1.5 * fraction)
        self.assertGreater(moved / len(DUTIES), 0.5 * fraction)

    def test_duties_follow_the_live_hosts(self) -> None:
        hosts = FixedHosts(HOSTS[0], HOSTS[:2])
        duties = Duties(hosts)
        self.assertEqual(len(duties.holders(DUTIES[0], 3)), 2)
        hosts.live = HOSTS[:1]
        self.assertTrue(duties.watches(UpstreamId('any')))
        hosts.live = ()
        self.assertEqual(duties.holders(DUTIES[0]), ())
        self.assertFalse(duties.is_mine(DUTIES[0]))
