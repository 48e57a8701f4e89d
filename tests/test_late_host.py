"""Tests of what a host that is late itself concludes from its timeouts.

They guard against a host without processor time that takes its own lateness for
failures of sound upstreams and paths: it then asks other hosts in vain, repeats
requests, and has less time than before.
"""

import asyncio
import socket
import time
import unittest
from collections.abc import Iterator
from contextlib import AsyncExitStack
from typing import Any, cast
from unittest.mock import AsyncMock, Mock

import uvloop

from nutmegroad.foundations.races import StaggeredRace
from nutmegroad.foundations.types import Address, HostId
from nutmegroad.overload.loop_monitor import LATE, SAMPLES, LoopMonitor
from nutmegroad.relay.connections import Connector, UpstreamConnection
from nutmegroad.relay.crashes import CHECK_TIMEOUT, CrashMonitor
from nutmegroad.relay.dialer import HEAD_START, Dialer, DialPurpose
from nutmegroad.relay.direct_paths import DirectPaths
from nutmegroad.relay.end_checks import EndVerifier
from nutmegroad.relay.sockets import ConnectionFailedError
from nutmegroad.relay.tunnel_hosts import TunnelHosts
from nutmegroad.testing.virtual import ManualClock
from nutmegroad.upstreams.directory import Upstream
from tests.relay_samples import ENGINES, NORTH, an_entry
from tests.storm_stand_ins import ConfirmingVerifier

#: Iterations of the event loop that a connection takes once it is open.
CONNECT_ITERATIONS = 4

#: Seconds after which no test goes on.
NEVER = 3600


class SlowConnector:
    """Opens connections after some seconds, in time or not.

    Args:
        seconds: Seconds that each connection takes.
        refuses: Whether the upstreams refuse it then.
    """

    def __init__(self, seconds: float, *, refuses: bool = False) -> None:
        self._seconds = seconds
        self._refuses = refuses

    async def open(
        self, address: Address, timeout: float
    ) -> UpstreamConnection:
        """Open a connection."""
        await asyncio.sleep(min(self._seconds, timeout))
        if timeout < self._seconds:
            raise ConnectionFailedError('late', sent=False, timed_out=True)
        if self._refuses:
            raise ConnectionFailedError('refused', sent=False, refused=True)
        return UpstreamConnection(asyncio.get_running_loop())


class LateCrashCheckTest(unittest.IsolatedAsyncioTestCase):
    """A request whose exchange broke, on a host that is late.

    Guards against requests that crash upstreams: one went to a fourth upstream,
    as the check of the third was late on a busy machine.
    """

    def setUp(self) -> None:
        """Create a host without a measurement."""
        self.clock = ManualClock(start=100)
        self.monitor = LoopMonitor(self.clock)
        self.tracker = Mock()
        self.tracker.harmful.return_value = None

    async def break_exchange(self, check_seconds: float) -> int:
        """Break an exchange; return how many crashes it waited for."""
        crashes = CrashMonitor(
            cast(Connector, SlowConnector(check_seconds, refuses=True)),
            cast(EndVerifier, ConfirmingVerifier()),
            self.tracker,
            AsyncMock(),
            self.clock,
            Mock(),
            lambda: self.monitor.own_delay,
        )
        upstream = Upstream(an_entry('e'))
        async with AsyncExitStack() as stack:
            crashes.close_with(stack)
            request = Mock(content=1, generation=None)
            await crashes.exchange_broken(request, upstream, 99)
            count: int = self.tracker.record_crash.call_count
        return count

    async def test_a_late_host_waits_for_its_check(self) -> None:
        for _ in range(SAMPLES):
            self.monitor.record(LATE * 2)
        self.assertEqual(await self.break_exchange(CHECK_TIMEOUT * 2), 1)

    async def test_a_host_on_time_goes_on(self) -> None:
        """A machine without power never answers."""
        self.assertEqual(await self.break_exchange(NEVER), 0)


class LateDialerTest(unittest.IsolatedAsyncioTestCase):
    """A dialer whose connections take longer than the usual head start."""

    def setUp(self) -> None:
        """Create a host with one upstream and no measurement."""
        self.clock = ManualClock(start=100)
        self.monitor = LoopMonitor(self.clock)
        self.paths = DirectPaths(self.clock, lambda service: 1)
        self.upstream = Upstream(an_entry('e'))
        self.hosts = Mock(any_known=True)
        self.hosts.candidates.return_value = iter(())

    def dialer(self, seconds: float) -> Dialer:
        """Return a dialer whose connections take some seconds."""
        return Dialer(
            HostId('host-1'),
            NORTH,
            cast(Connector, SlowConnector(seconds)),
            self.paths,
            cast(TunnelHosts, self.hosts),
            self.clock,
            lambda: self.monitor.own_delay,
        )

    def be_late(self) -> None:
        """Let the iterations of the event loop take long."""
        for _ in range(SAMPLES):
            self.monitor.record(LATE * 2)

    async def test_a_late_host_gives_a_connection_more_time(self) -> None:
        """Others are not asked while the direct connection may come."""
        self.be_late()
        dialer = self.dialer(HEAD_START * 2)
        asked: list[str] = []
        self.hosts.candidates.side_effect = lambda *_: _note(asked)
        connection = await dialer.open(self.upstream, 2, DialPurpose())
        self.assertIsNone(connection.via)
        self.assertEqual(asked, [])

    async def test_others_are_asked_by_a_host_on_time(self) -> None:
        """The same connection is late there."""
        dialer = self.dialer(HEAD_START * 2)
        asked: list[str] = []
        self.hosts.candidates.side_effect = lambda *_: _note(asked)
        await dialer.open(self.upstream, 2, DialPurpose())
        self.assertEqual(len(asked), 1)

    async def test_a_hurried_timeout_shows_nothing(self) -> None:
        """A request with little time left can't tell that a path is lost."""
        dialer = self.dialer(1)
        for hurried in (True, False):
            with self.subTest(hurried=hurried):
                purpose = DialPurpose(hurried=hurried)
                with self.assertRaises(ConnectionFailedError):
                    await dialer.open(self.upstream, 0.01, purpose)
                self.assertNotEqual(self.paths.is_cut_off(ENGINES), hurried)


class BlockedRaceTest(unittest.TestCase):
    """A race in the event loop of hosts, blocked beyond the head start."""

    def test_a_way_that_succeeded_meanwhile_wins_alone(self) -> None:
        """Its success is read after the timer of the head start."""
        reader, writer = socket.socketpair()
        self.addCleanup(reader.close)
        self.addCleanup(writer.close)
        reader.setblocking(False)
        started: list[str] = []

        async def first() -> bytes:
            """Succeed once the peer has written, while the loop is blocked."""
            loop = asyncio.get_running_loop()
            loop.call_later(0.01, writer.send, b'x')
            loop.call_later(0.01, time.sleep, HEAD_START * 2)
            received = await loop.sock_recv(reader, 1)
            for _ in range(CONNECT_ITERATIONS):
                await asyncio.sleep(0)
            return received

        async def second() -> bytes:
            """Note that this way was started."""
            started.append('second')
            return await first()

        async def race() -> None:
            """Run both ways."""
            contest = StaggeredRace[bytes](lambda _: None)
            await contest.run(((first, HEAD_START), (second, 0)))

        uvloop.run(race())
        self.assertEqual(started, [])


def _note(asked: list[str]) -> Iterator[Any]:
    """Record that other hosts are asked; none is known to help."""
    asked.append('asked')
    return iter(())


if __name__ == '__main__':
    unittest.main()
