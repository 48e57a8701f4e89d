"""Tests of the number of requests that an upstream takes from all hosts.

They guard against a fleet that sends more than that: an upstream in need names
the number in its answers, and each host that ignores it, or takes it for its
own, adds to the excess.
"""

import unittest
from collections.abc import Callable
from dataclasses import replace

from fakes.opaque_worker import (
    ReceivedRequest,
    Script,
    ScriptFactory,
)

from nutmegroad.foundations.clocks import BootClock
from tests.cut_rig import CutRig, by_path
from tests.limit_judge import allowed_requests, most_requests

#: Header by which an upstream names its limit.
LIMIT_HEADER = 'Server-Limit'


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
        while LIMIT_HEADER not in headers:
            number += 1
            request = f'first-{host}-{number}'
            _, headers, _ = await self.rig.ask('/look/1', request, host=host)


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
