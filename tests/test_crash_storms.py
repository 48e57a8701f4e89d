"""Random storms: requests with harmful parts, while hosts and upstreams fail.

Guards against requests with one part in common that crash one upstream after
the other, however few or many they are, and against sound requests that are
refused with them because they have their caller, route or other parts in
common. ``test_crashing_parts`` has the same on loopback.
"""

import unittest
from dataclasses import replace
from typing import Final
from unittest.mock import patch

from absl import logging

from nutmegroad.fleet.request_attributes import (
    RequestAttributes,
    content_attribute,
)
from nutmegroad.routes.requests import CallerRequest
from tests.storm_rig import play
from tests.storms import LATER_REQUESTS, Outcome, Storm, random_storm

#: Fraction of the sound requests that are served once the part is known.
MIN_SERVED: Final = 0.5
#: Sound requests from which that fraction is judged.
MIN_JUDGED: Final = 20

SMALL: Final = Storm(sound_rate=40, duration=14)
LARGE: Final = Storm(
    hosts=195,
    domains=5,
    upstreams=37,
    slots=16,
    contact=5,
    sound_rate=185,
    duration=14,
)
SEEDS: Final = 12
#: Seed of a storm that tells the program from one without shared attributes.
FOUND_BY: Final = 3


class CrashStormTest(unittest.TestCase):
    """Fleets of 8 and of 195 hosts, on virtual time."""

    def setUp(self) -> None:
        """Silence the log, which has a line for each crash and request."""
        self.addCleanup(logging.set_verbosity, logging.get_verbosity())
        logging.set_verbosity(logging.FATAL)

    def check(self, storm: Storm, seed: int) -> Outcome:
        """Run a storm, and check what is promised."""
        outcome = play(storm, seed)
        known = outcome.known_at() + 2 * storm.contact
        with self.subTest(storm=storm, seed=seed):
            late = outcome.late_arrivals(storm.contact)
            self.assertLessEqual(late, LATER_REQUESTS)
            end = storm.sound_before + storm.duration
            if sum(outcome.counts(known).values()) >= MIN_JUDGED:
                served = outcome.served_share(known, end)
                self.assertGreaterEqual(served, MIN_SERVED)
        return outcome

    def test_parts_are_found_among_those_that_ran_beside_them(self) -> None:
        """Thin and thick traffic, several parts, kills, losses, silence."""
        for seed in range(SEEDS):
            self.check(random_storm(seed, SMALL), seed)

    def test_the_search_finds_what_it_guards_against(self) -> None:
        """With the whole content as the only attribute, a storm breaks it."""
        with patch('tests.storm_rig.request_attributes', _content_alone):
            outcome = play(random_storm(FOUND_BY, SMALL), FOUND_BY)
        late = outcome.late_arrivals(SMALL.contact)
        self.assertGreater(late, LATER_REQUESTS)

    def test_parts_are_found_by_a_large_fleet(self) -> None:
        """Each host sees few of the crashes."""
        self.check(replace(LARGE, bad_rate=20, sound_rate=20), 1)

    def test_parts_are_found_by_hosts_that_receive_no_datagrams(self) -> None:
        """One failure domain learns of the crashes by the row alone."""
        self.check(replace(SMALL, is_cut=True, bad_rate=10), 1)

    def test_parts_are_known_to_hosts_that_start(self) -> None:
        """All hosts are killed, with the store there, after it was found."""
        storm = replace(SMALL, kills=(9.0,), kill_share=1)
        outcome = self.check(storm, 2)
        after = [
            time
            for times in outcome.arrivals.values()
            for time in times
            if time > storm.kills[0]
        ]
        self.assertLessEqual(len(after), LATER_REQUESTS)

    def test_nothing_is_blamed_when_domains_lose_power(self) -> None:
        """Guards: requests beside one another are taken for the cause."""
        storm = replace(SMALL, bad_rate=1e-9, outages=(4.0, 8.0, 12.0))
        outcome = play(storm, 3)
        self.assertEqual(outcome.counts(0)['blocked'], 0)


def _content_alone(request: CallerRequest) -> RequestAttributes:
    """Return the attribute by which crashes were recorded before."""
    return (content_attribute(request.content),)


if __name__ == '__main__':
    unittest.main()
