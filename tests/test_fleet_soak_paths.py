"""Soaks in which hosts are cut off from workers, and workers are brittle."""

import unittest

from experiments.fleet_soak.plan import Fault

from tests.soak_case import SoakCase

CUTS = (
    Fault.HOSTS_CUT_RESET.value,
    Fault.HOSTS_CUT_SILENT.value,
    Fault.HOSTS_CUT_REFUSED.value,
)


class CutOffSoakTest(SoakCase):
    """Hosts are cut off from all workers, one after the other."""

    def test_cut_off_hosts_break_no_rule(self) -> None:
        """One host, all but one, or all of a domain."""
        status, text = self.run_soak(
            *('--seed', '2', '--seconds', '4', '--hosts', '4'),
            *('--faults', *CUTS, Fault.WORKER_STALLED.value),
        )
        self.assertEqual(status, 0, text)

    def test_hosts_that_ask_no_other_host_are_found(self) -> None:
        """Hosts that are cut off refuse their callers."""
        status, text = self.run_patched(
            'src/nutmegroad/relay/tunnel_hosts.py',
            {
                'NEAR_HOSTS_ASKED: Final = 2': 'NEAR_HOSTS_ASKED: Final = 0',
                'FAR_HOSTS_ASKED: Final = 3': 'FAR_HOSTS_ASKED: Final = 0',
            },
            *('--seed', '2', '--seconds', '2', '--hosts', '3'),
            *('--faults', Fault.HOSTS_CUT_RESET.value),
        )
        self.assertEqual(status, 1, text)
        self.assertRegex(text, r'hosts cut off: \d+ judged, [1-9]')


class BrittleSoakTest(SoakCase):
    """Workers are brittle during bursts."""

    def test_brittle_workers_stay_up(self) -> None:
        """Bursts of twice the requests that there is room for."""
        status, text = self.run_soak(
            *('--seed', '1', '--seconds', '2', '--hosts', '3'),
            *('--faults', Fault.WORKERS_BRITTLE.value),
        )
        self.assertEqual(status, 0, text)

    def test_hosts_that_claim_all_slots_are_found(self) -> None:
        """Each host sends as if it were alone."""
        status, text = self.run_patched(
            'src/nutmegroad/upstreams/brittle_limits.py',
            {'slots, hosts)': 'slots, 1)'},
            *('--seed', '1', '--seconds', '2', '--hosts', '3'),
            *('--faults', Fault.WORKERS_BRITTLE.value),
        )
        self.assertEqual(status, 1, text)
        self.assertRegex(text, r'brittle workers: \d+ judged, [1-9]')


class NeedSoakTest(SoakCase):
    """Workers name limits on their requests."""

    def test_limits_hold(self) -> None:
        """Callers are served by the other workers."""
        status, text = self.run_soak(
            *('--seed', '1', '--seconds', '2', '--hosts', '3'),
            *('--faults', Fault.WORKERS_IN_NEED.value),
        )
        self.assertEqual(status, 0, text)

    def test_hosts_that_take_the_limit_for_their_own_are_found(self) -> None:
        """Each host sends as much as the limit allows all of them."""
        status, text = self.run_patched(
            'src/nutmegroad/upstreams/rate_shares.py',
            {'limit.rate / len(senders)': 'limit.rate * len(senders)'},
            *('--seed', '1', '--seconds', '2', '--hosts', '3'),
            *('--faults', Fault.WORKERS_IN_NEED.value),
        )
        self.assertEqual(status, 1, text)
        self.assertRegex(text, r'limits of workers: \d+ judged, [1-9]')


if __name__ == '__main__':
    unittest.main()
