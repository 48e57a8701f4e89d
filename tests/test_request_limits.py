"""Tests of the number of requests that an upstream takes from all hosts.

They guard against a fleet that sends more than that: an upstream in need names
the number in its answers, and each host that ignores it, or takes it for its
own, adds to the excess.
"""

import unittest
from collections.abc import Callable
from dataclasses import replace

from experiments.fleet_soak.limit_rule import allowed_requests, most_requests
from fakes.opaque_worker import (
    ReceivedRequest,
    Script,
    ScriptFactory,
    plain,
    rejecting,
)

from nutmegroad.fleet.request_limits import (
    MAX_STATEMENTS,
    MIN_SENDERS,
    ReportedLimit,
    RequestLimits,
)
from nutmegroad.foundations.clocks import BootClock
from nutmegroad.foundations.types import (
    DomainId,
    HostId,
    UpstreamIncarnation,
)
from nutmegroad.testing.virtual import ManualClock
from nutmegroad.upstreams.rate_shares import RateShares
from nutmegroad.upstreams.senders import select_senders
from tests.cut_rig import CutRig, by_path
from tests.relay_case import RelayCase
from tests.relay_samples import NORTH

#: Header by which an upstream names its limit.
LIMIT_HEADER = 'Server-Limit'

NAME = UpstreamIncarnation('u')


class LimitedFleetTest(unittest.IsolatedAsyncioTestCase):
    """Three hosts and two workers, one of which names a limit."""

    async def asyncSetUp(self) -> None:
        """Start the fleet."""
        self.rig = await self.enterAsyncContext(CutRig(2, 3))
        await self.rig.start()

    # An engine that took 1 request a second from all hosts got twenty in four
    # seconds: no host read the limit.
    async def test_limit_holds_for_all_hosts_together(self) -> None:
        """Callers are served by the other worker meanwhile."""
        received: list[float] = []
        limited = self.rig.workers[0]
        limited.default_script = naming('1', noting(received, by_path()))
        for host in range(3):
            await self.learn_limit(host)
        received.clear()
        for number in range(40):
            for host in range(3):
                status, _, _ = await self.rig.ask(
                    '/look/1', f'r{number}-{host}', host=host
                )
                self.assertEqual(status, 200)
        self.assertLessEqual(most_requests(received), allowed_requests(1))

    async def learn_limit(self, host: int) -> None:
        """Send requests to a host until it receives a limit."""
        headers: dict[str, str] = {}
        number = 0
        while LIMIT_HEADER not in headers and not self.knows_limit(host):
            number += 1
            request = f'first-{host}-{number}'
            _, headers, _ = await self.rig.ask('/look/1', request, host=host)

    def knows_limit(self, host: int) -> bool:
        """Return whether a host knows of a limit."""
        return self.rig.hosts[host].status.limited > 0

    async def test_hosts_inform_each_other(self) -> None:
        """A host knows of a limit before an upstream has told it."""
        self.rig.workers[0].default_script = naming('1', by_path())
        await self.learn_limit(0)
        await self.rig.until(lambda: self.knows_limit(2))

    async def test_refused_caller_is_served_when_it_returns(self) -> None:
        """At another host, if all upstreams are in need."""
        for worker in self.rig.workers:
            worker.default_script = naming('2', by_path())
        for host in range(3):
            await self.rig.until_all_limited(host, 2)
        refused = {}
        for number in range(30):
            path = f'/pay/{number}'
            status, headers, body = await self.rig.ask(path, f'r{number}')
            if status == 503:
                self.assertIn(b'UPSTREAM_LIMITED', body)
                refused[path] = float(headers['Retry-After'])
        path = min(refused, key=refused.__getitem__)
        await BootClock().sleep(refused[path])
        status, _, _ = await self.rig.ask(path, 'again', host=1)
        self.assertEqual(status, 200)

    async def test_streams_count_too(self) -> None:
        """And what another host sends for one that has no token."""
        received: list[float] = []
        for worker in self.rig.workers:
            worker.default_script = naming('1', noting(received, by_path()))
        for host in range(3):
            await self.rig.until_all_limited(host, 2)
        received.clear()
        for number in range(20):
            for host in range(3):
                await self.rig.ask('/draft/1', f's{number}-{host}', host=host)
        self.assertLessEqual(most_requests(received), 2 * allowed_requests(1))


class HeaderTest(RelayCase):
    """Values of the header that no upstream should send."""

    async def test_invalid_limits_are_ignored(self) -> None:
        """Pattern: an upstream with a fault in what it writes."""
        for text in ('-1', 'NaN', 'inf', '1e9', '', '1 2', '9' * 12, '\xb2'):
            with self.subTest(text):
                self.all_workers(naming(text, plain()))
                for number in range(4):
                    status, _, _ = await self.rig.ask('/look/1', f'r{number}')
                    self.assertEqual(status, 200)
                self.assertEqual(self.rig.host.status.limited, 0)

    async def test_smallest_of_several_counts(self) -> None:
        self.all_workers(naming('50', naming('0', plain())))
        await self.rig.until_all_limited(0, 2)
        status, _, _ = await self.rig.ask('/look/1', 'r')
        self.assertEqual(status, 503)

    # A worker at an address that was used by another one before could limit it.
    async def test_answer_of_another_upstream_says_nothing(self) -> None:
        self.all_workers(naming('1', rejecting('421 Misdirected Request')))
        await self.rig.ask('/look/1', 'r')
        self.assertEqual(self.rig.host.status.limited, 0)


class StatementTest(unittest.TestCase):
    """What a host believes of an upstream."""

    def setUp(self) -> None:
        """Create a host that knows of a limit."""
        self.clock = ManualClock(start=100)
        self.limits = RequestLimits(self.clock)
        self.limits.observe(NAME, 2, 99)

    @property
    def limit(self) -> float | None:
        """The limit that is believed in."""
        found = self.limits.find(NAME)
        return None if found is None else found.rate

    def test_answer_without_the_header_ends_it(self) -> None:
        self.limits.observe(NAME, None, 100.1)
        self.assertIsNone(self.limit)

    # An upstream that had answered just before its need began was not limited.
    def test_answer_to_an_earlier_request_does_not_end_it(self) -> None:
        self.limits.observe(NAME, None, 99.9)
        self.assertEqual(self.limit, 2)

    # A host that had been cut off brought a limit back that had ended.
    def test_earlier_statement_of_another_host_is_ignored(self) -> None:
        earlier = self.limits.report()
        self.limits.observe(NAME, None, 100.1)
        self.limits.merge(earlier, local=True)
        self.assertIsNone(self.limit)

    def test_smaller_of_two_limits_at_once_counts(self) -> None:
        other = RequestLimits(self.clock)
        other.observe(NAME, 0.5, 99)
        self.limits.merge(other.report(), local=False)
        other.merge(self.limits.report(), local=False)
        self.assertEqual(self.limit, 0.5)

    def test_statements_of_a_broken_host_are_ignored(self) -> None:
        for limit in (float('nan'), float('inf'), -3.0, 1e10):
            with self.subTest(limit):
                told = ReportedLimit(NAME, limit, 9)
                self.limits.merge((told,), local=True)
                self.assertEqual(self.limit, 2)

    def test_statements_are_bounded(self) -> None:
        for number in range(MAX_STATEMENTS + 5):
            told = ReportedLimit(f'u{number}', 1, 1)
            self.limits.merge((told,), local=True)
        self.assertLessEqual(len(self.limits.in_need()), MAX_STATEMENTS)


class ShareTest(unittest.TestCase):
    """A host's part of a limit."""

    def setUp(self) -> None:
        """Create a fleet of nine hosts in three domains."""
        self.clock = ManualClock(start=100)
        self.near = tuple(HostId(f'near-{number}') for number in range(3))
        self.far = tuple(HostId(f'far-{number}') for number in range(6))
        self.shares = [self.share_of(host) for host in self.near + self.far]

    def share_of(self, host: HostId) -> RateShares:
        """Return the part of a host that knows of a limit."""
        limits = RequestLimits(self.clock)
        limits.observe(NAME, 1, 99)
        return RateShares(host, self.clock, limits, self.senders)

    def senders(
        self, duty: str, domain: DomainId, count: int, turn: int
    ) -> tuple[HostId, ...]:
        """Return the senders."""
        return select_senders(self.near, self.far, count, turn)

    def sent(self, seconds: float, shares: list[RateShares]) -> int:
        """Return how many requests hosts send that always have one."""
        sent = 0
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            self.clock._now += 0.05
            sent += sum(share.take(NAME, NORTH) for share in shares)
        return sent

    def renew(self) -> None:
        """Let an answer name the same limit."""
        for share in self.shares:
            share.limits.observe(NAME, 1, self.clock.now())

    def test_parts_add_up_to_the_limit(self) -> None:
        self.sent(5, self.shares)
        sent = 0
        for _ in range(8):
            self.renew()
            sent += self.sent(5, self.shares)
        # The buckets may have held three tokens and the limit before.
        self.assertIn(sent, range(36, 45))

    # Hosts that start again within a second each had a full bucket.
    def test_killed_hosts_add_nothing(self) -> None:
        sent = [
            self.sent(0.2, [self.share_of(self.near[0])]) for _ in range(20)
        ]
        self.assertEqual(sum(sent), 0)

    # An upstream stayed limited for ever where all of its senders had been
    # replaced by other hosts.
    def test_other_hosts_take_over_from_senders_that_are_gone(self) -> None:
        gone = self.senders('', NORTH, MIN_SENDERS, 0)
        rest = [each for each in self.shares if each._host not in gone]
        self.assertGreater(self.sent(60, rest), 0)

    # A host that heard nobody took the senders for gone, and sent as well.
    def test_host_that_is_cut_off_takes_nothing_over(self) -> None:
        gone = self.senders('', NORTH, MIN_SENDERS, 0)
        rest = [each for each in self.shares if each._host not in gone]
        for share in rest:
            share.limits.hears_others = bool
        self.assertEqual(self.sent(60, rest), 0)

    def test_smaller_limit_applies_at_once(self) -> None:
        for share in self.shares:
            share.limits.observe(NAME, 50, 99)
        self.sent(5, self.shares)
        for share in self.shares:
            share.limits.observe(NAME, 0.5, self.clock.now())
        self.assertLessEqual(self.sent(4, self.shares), allowed_requests(0.5))


def naming(limit: str, make: ScriptFactory) -> ScriptFactory:
    """Return a factory whose answers name a limit."""

    def make_naming(request: ReceivedRequest) -> Script:
        """Add the header to an answer."""
        script = make(request)
        first, *rest = script.pieces
        header = f'{LIMIT_HEADER}: {limit}\r\n\r\n'.encode()
        first = first.replace(b'\r\n\r\n', b'\r\n' + header, 1)
        return replace(script, pieces=(first, *rest))

    return make_naming


def noting(times: list[float], make: ScriptFactory) -> ScriptFactory:
    """Return a factory that notes when each request was received."""
    now: Callable[[], float] = BootClock().now

    def make_noting(request: ReceivedRequest) -> Script:
        """Note the time."""
        times.append(now())
        return make(request)

    return make_noting


if __name__ == '__main__':
    unittest.main()
