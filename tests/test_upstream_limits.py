"""The daemon's hosts stay within the limits that upstreams name together.

They guard against the daemon ignoring the limit that the relay heeds: engines
and plain services name it in the same header.
"""

import itertools
import random
import unittest
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from aiohttp.web import Application, Request, Response, post
from experiments.fleet_soak.limit_rule import allowed_requests, most_requests
from fakes.serving import LoopbackServer

from nutmegroad.adapters._http_upstreams import (
    HttpEngineClient,
    HttpServiceClient,
)
from nutmegroad.contracts.peers import Member
from nutmegroad.contracts.upstreams import Attempt, ServiceCall
from nutmegroad.fleet.request_limits import MIN_SENDERS
from nutmegroad.foundations.results import ResultCode
from nutmegroad.foundations.types import (
    Address,
    AttemptId,
    DomainId,
    HostId,
    Incarnation,
    Presence,
    VersionId,
)
from nutmegroad.routing.limit_exchange import LimitDigest, LimitExchange
from nutmegroad.testing.virtual import ManualClock
from nutmegroad.upstreams.upstream_limits import (
    STARTUP_DELAY,
    KnownHosts,
    UpstreamLimits,
)
from tests.request_path_rig import engine_info

ENGINE = engine_info('e')

#: Seconds between the steps of a simulation.
STEP = 0.05


class DirectMesh:
    """Delivers messages between hosts at once, unless a host is cut off."""

    def __init__(self) -> None:
        self.peers: dict[HostId, DirectPeer] = {}
        self.cut: set[HostId] = set()

    def reachable(self, host: HostId) -> Iterator['DirectPeer']:
        """Yield the hosts that a host reaches."""
        for name, peer in self.peers.items():
            if name != host and not self.cut & {name, host}:
                yield peer


class DirectPeer:
    """One host's links.

    Args:
        mesh: All hosts.
        host: This host.
        domain: Its failure domain.
    """

    def __init__(
        self, mesh: DirectMesh, host: HostId, domain: DomainId
    ) -> None:
        self._mesh = mesh
        self._member = Member(
            host,
            Incarnation(1),
            domain,
            Address('127.0.0.1', 1),
            Presence.LIVE,
            0,
        )
        self.exchange: Any = None
        mesh.peers[host] = self

    def members(self) -> tuple[Member, ...]:
        """Return the hosts that are reached."""
        host = self._member.host
        return tuple(peer._member for peer in self._mesh.reachable(host))

    def handle(self, kind: type, handler: Any) -> None:
        """Ignore the handler; the exchange is called directly."""

    def broadcast(self, message: LimitDigest) -> int:
        """Deliver a message."""
        reached = list(self._mesh.reachable(self._member.host))
        for peer in reached:
            peer.exchange._limits.merge(message.limits, local=True)
        return len(reached)


@dataclass
class DaemonHost:
    """A host with its limits.

    Attributes:
        limits: Its limits.
        hosts: The hosts that it knows.
        peer: Its links.
    """

    limits: UpstreamLimits
    hosts: KnownHosts
    peer: DirectPeer


class DaemonFleet:
    """Hosts that always have a request for one limited engine.

    Args:
        count: Number of hosts.
        limit: Requests in a second that the engine takes.
        seed: Seed of the order of hosts, kills and cuts.
    """

    def __init__(self, count: int, limit: float, seed: int) -> None:
        self.clock = ManualClock(start=100)
        self.mesh = DirectMesh()
        self.randomness = random.Random(seed)
        self.limit = limit
        self.received: list[float] = []
        self.hosts = {
            HostId(f'h{number}'): self._start(number) for number in range(count)
        }
        for host in self.hosts.values():
            host.hosts.update(host.peer.members())
        self.clock._now += STARTUP_DELAY

    def restart(self, name: HostId) -> None:
        """Start a host again, without what it knew."""
        self.hosts[name] = self._start(int(name[1:]))
        self.hosts[name].hosts.update(self.hosts[name].peer.members())

    def play(self, seconds: float) -> None:
        """Let hosts send as much as they may."""
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            self.clock._now += STEP
            names = list(self.hosts)
            self.randomness.shuffle(names)
            self._report(self.hosts[names[0]])
            for name in names:
                host = self.hosts[name]
                told = host.limits.limits.any_known
                if told and host.limits.take(ENGINE) is None:
                    self.received.append(self.clock.now())
                    host.limits.callback(ENGINE)(self.limit)

    def _report(self, host: DaemonHost) -> None:
        """Let a host report the limits in force, as all do regularly."""
        host.hosts.update(host.peer.members())
        host.peer.broadcast(LimitDigest(host.limits.limits.report()))

    def _start(self, number: int) -> DaemonHost:
        """Return a host that has just started."""
        name, domain = HostId(f'h{number}'), DomainId(f'd{number % 3}')
        peer = DirectPeer(self.mesh, name, domain)
        limits = UpstreamLimits(self.clock)
        hosts = KnownHosts(name, domain, self.clock)
        limits.share_with(name, hosts)
        peer.exchange = LimitExchange(
            peer,  # type: ignore[arg-type]
            limits.limits,
            hosts,
            self.clock,
        )
        return DaemonHost(limits, hosts, peer)


class FleetTest(unittest.TestCase):
    """Eight hosts and a hundred and ninety-five."""

    def test_limit_holds_for_all_hosts_together(self) -> None:
        """And most of it is used."""
        for count, limit in itertools.product((8, 195), (0.2, 1, 6, 50)):
            with self.subTest(hosts=count, limit=limit):
                fleet = DaemonFleet(count, limit, 1)
                first = next(iter(fleet.hosts.values()))
                first.limits.callback(ENGINE)(limit)
                fleet.play(20)
                most = most_requests(fleet.received)
                self.assertLessEqual(most, allowed_requests(limit))
                sent = len(fleet.received)
                self.assertGreaterEqual(sent, 0.7 * limit * 20 - MIN_SENDERS)

    def test_hosts_that_are_killed_or_cut_off_add_nothing(self) -> None:
        for seed in range(6):
            with self.subTest(seed=seed):
                fleet = DaemonFleet(8, 1, seed)
                first = next(iter(fleet.hosts.values()))
                first.limits.callback(ENGINE)(1)
                for _ in range(12):
                    name = fleet.randomness.choice(list(fleet.hosts))
                    fleet.mesh.cut ^= {
                        fleet.randomness.choice(list(fleet.hosts))
                    }
                    fleet.restart(name)
                    fleet.play(1)
                most = most_requests(fleet.received)
                self.assertLessEqual(most, allowed_requests(1))


class HostTest(unittest.TestCase):
    """One host."""

    def setUp(self) -> None:
        """Create a host that knows of a limit."""
        self.clock = ManualClock(start=100)
        self.limits = UpstreamLimits(self.clock)
        self.limits.callback(ENGINE)(1)

    def test_refusal_says_when_to_retry(self) -> None:
        refusal = self.limits.take(ENGINE)
        assert refusal is not None
        self.assertIs(refusal.code, ResultCode.UPSTREAM_LIMITED)
        self.clock._now += refusal.retry_after
        self.assertIsNone(self.limits.take(ENGINE))

    def test_answer_without_a_limit_ends_it(self) -> None:
        self.limits.callback(ENGINE)(None)
        for _ in range(20):
            self.assertIsNone(self.limits.take(ENGINE))

    def test_host_that_has_just_started_sends_nothing(self) -> None:
        hosts = KnownHosts(HostId('h'), ENGINE.domain, self.clock)
        self.limits.share_with(HostId('h'), hosts)
        self.clock._now += STARTUP_DELAY - 0.1
        self.assertIsNotNone(self.limits.take(ENGINE))


class HeaderTest(unittest.IsolatedAsyncioTestCase):
    """Clients pass on what the head of an answer says."""

    async def asyncSetUp(self) -> None:
        """Start an upstream."""
        self.headers: dict[str, str] = {}
        app = Application()
        app.add_routes(
            [post('/{path:.*}', self.answer)],
        )
        server = await self.enterAsyncContext(LoopbackServer(app))
        self.info = engine_info('e', server.address.port)
        self.named: list[float | None] = []

    async def answer(self, request: Request) -> Response:
        """Answer with the present headers."""
        return Response(status=503, headers=self.headers)

    async def assert_named(self, limits: list[float | None]) -> None:
        """Check what both clients pass on."""
        self.named.clear()
        async with HttpServiceClient() as services:
            await services.call(
                ServiceCall(
                    AttemptId('a'),
                    self.info,
                    'POST',
                    'x',
                    b'',
                    '',
                    lambda: None,
                    5,
                    on_limit=self.named.append,
                )
            )
        async with HttpEngineClient() as engines:
            attempt = Attempt(
                AttemptId('a'),
                self.info,
                VersionId('v@1'),
                b'{}',
                lambda: None,
                5,
                on_limit=self.named.append,
            )
            async with engines.answer(attempt) as events:
                self.assertTrue([event async for event in events])
        self.assertEqual(self.named, limits)

    async def test_limit_is_passed_on(self) -> None:
        """In refusals too."""
        self.headers['Server-Limit'] = '1.2'
        await self.assert_named([1.2, 1.2])

    async def test_missing_limit_is_passed_on(self) -> None:
        await self.assert_named([None, None])

    async def test_invalid_limit_is_ignored(self) -> None:
        for text in ('NaN', '-1', '1e9', '9' * 20):
            with self.subTest(text):
                self.headers['Server-Limit'] = text
                await self.assert_named([])


if __name__ == '__main__':
    unittest.main()
