"""Failure domains that fall silent, and what follows from it."""

import random
import unittest
from unittest.mock import patch

from nutmegroad.fleet import domain_silence
from nutmegroad.fleet.announcements import HostRow
from nutmegroad.fleet.domain_silence import LEAST, MOST, DomainSilence
from nutmegroad.fleet.evidence import RunNumber
from nutmegroad.fleet.neighbours import Neighbours, nothing_told
from nutmegroad.foundations.types import DomainId, HostId
from nutmegroad.testing.virtual import ManualClock

SOUTH = DomainId('south')

#: Seconds between two datagrams of a domain where ten hosts are in each.
OFTEN = 0.1


class SilenceTest(unittest.TestCase):
    """When a domain is suspected."""

    def setUp(self) -> None:
        """Begin with a host that has heard nothing."""
        self.clock = ManualClock(start=100)
        self.silence = DomainSilence(self.clock)

    def hear(self, seconds: float, interval: float) -> None:
        """Hear a domain for some time."""
        for _ in range(round(seconds / interval)):
            self.clock._now += interval
            self.silence.heard(SOUTH)

    def test_domain_that_was_never_heard_is_not_suspected(self) -> None:
        """Pattern: a host has just started."""
        self.assertFalse(self.silence.suspected(SOUTH))
        self.silence.heard(SOUTH)
        self.clock._now += 3
        self.assertFalse(self.silence.suspected(SOUTH))

    def test_busy_domain_is_suspected_within_a_second(self) -> None:
        """Pattern: a failure domain is cut off for six seconds (inc-590c)."""
        self.hear(5, OFTEN)
        self.clock._now += LEAST - 0.05
        self.assertFalse(self.silence.suspected(SOUTH))
        self.clock._now += 0.2
        self.assertTrue(self.silence.suspected(SOUTH))
        self.silence.heard(SOUTH)
        self.assertFalse(self.silence.suspected(SOUTH))

    def test_rare_signs_take_longer(self) -> None:
        """Pattern: a night on which hosts have little to tell."""
        self.hear(30, 0.6)
        self.clock._now += 4
        self.assertFalse(self.silence.suspected(SOUTH))

    def test_chance_alone_raises_few_suspicions(self) -> None:
        """Three signs a second, as three hosts of today hear, for an hour."""
        randomness = random.Random(3)
        suspicions = 0
        for _ in range(3 * 3600):
            self.clock._now += randomness.expovariate(3)
            suspicions += self.silence.suspected(SOUTH)
            self.silence.heard(SOUTH)
        self.assertLess(suspicions, 3 * 3600 / 300)

    def test_hosts_of_a_domain_hear_for_each_other(self) -> None:
        """Pattern: in a large fleet one host hears a far domain rarely."""
        self.hear(5, OFTEN)
        self.clock._now += 0.7
        other = DomainSilence(self.clock)
        other.heard(SOUTH)
        self.clock._now += 0.2
        self.silence.told(other.ages())
        self.clock._now += 0.5
        self.assertFalse(self.silence.suspected(SOUTH))

    def test_old_word_changes_nothing(self) -> None:
        """A datagram of before the cut, held up on its way."""
        self.hear(5, OFTEN)
        self.clock._now += 2
        self.silence.told({SOUTH: 1900})
        self.assertTrue(self.silence.suspected(SOUTH))

    def test_words_of_a_broken_host_are_bounded(self) -> None:
        """Ages from the future, and names that nobody has."""
        self.hear(5, OFTEN)
        self.silence.told({SOUTH: -90_000})
        self.clock._now += 2
        self.assertTrue(self.silence.suspected(SOUTH))
        self.silence.told({DomainId(f'd{number}'): 0 for number in range(999)})
        self.assertLessEqual(len(self.silence.ages()), MOST)

    def test_changes_of_belief_are_logged_once(self) -> None:
        """An operator sees in the log when a cut began and ended."""
        self.hear(5, OFTEN)
        self.clock._now += 2
        with patch.object(domain_silence, '_LOG') as log:
            self.silence.suspected(SOUTH)
            self.silence.suspected(SOUTH)
            self.silence.heard(SOUTH)
            self.silence.heard(SOUTH)
        events = [call.args[0] for call in log.decision.call_args_list]
        self.assertEqual(events, ['domain fell silent', 'domain heard again'])


class HearingTest(unittest.TestCase):
    """What counts as a sign of a domain."""

    def host(self, name: str, domain: str) -> Neighbours:
        """Return a host that knows two others."""
        told = nothing_told(HostId(name), RunNumber(1), self.clock, 5)
        row = HostRow('127.0.0.1', 1, domain)
        host = Neighbours(HostId(name), row, told, self.clock)
        host.found(HostId('near'), HostRow('127.0.0.1', 2, 'north'))
        host.found(HostId('far'), HostRow('127.0.0.1', 3, 'south'))
        return host

    def test_datagrams_of_far_hosts_and_words_of_near_ones_count(self) -> None:
        """What a far host says of its own side says nothing of ours."""
        self.clock = ManualClock(start=100)
        me = self.host('me', 'north')
        far = self.host('far', 'south')
        me.datagram_received(far.telling(), ('127.0.0.1', 3))
        self.assertEqual(me._silence.ages(), {SOUTH: 0})
        self.clock._now += 2
        near = self.host('near', 'north')
        near.datagram_received(far.telling(), ('127.0.0.1', 3))
        self.clock._now += 1
        me.datagram_received(near.telling(), ('127.0.0.1', 2))
        self.assertEqual(me._silence.ages(), {SOUTH: 1000})


if __name__ == '__main__':
    unittest.main()
