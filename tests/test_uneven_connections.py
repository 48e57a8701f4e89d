"""Most new connections of a failure domain go to one host for some seconds.

Guards against limits of a host that are its share of the fleet's: a balancer
that hands one host nearly all connections must not make it refuse what the
hosts together could serve.
"""

import asyncio
import itertools
import unittest
from typing import Final

from aiohttp import ClientSession, TCPConnector
from fakes.opaque_worker import (
    ReceivedRequest,
    Script,
    ScriptFactory,
    plain,
    rejecting,
    stream,
)

from tests.relay_rig import Rig

HOSTS: Final = 3
WORKERS: Final = 4
#: Requests before and while one host gets nine of ten, and how many at a time.
REQUESTS: Final = 200
AT_A_TIME: Final = 20
FOCUS: Final = 10
#: Every third request is rejected by its first worker.
REJECTED: Final = 3
#: Fraction of the earlier rate at which requests must be served.
MIN_FRACTION: Final = 0.75

OK: Final = 200


class UnevenConnectionsTest(unittest.IsolatedAsyncioTestCase):
    """Three hosts; each request comes on a connection of its own."""

    async def asyncSetUp(self) -> None:
        """Start the hosts."""
        self.rig = await self.enterAsyncContext(
            Rig(workers=WORKERS, hosts=HOSTS)
        )
        self.rig.client = await self.enterAsyncContext(
            ClientSession(
                connector=TCPConnector(force_close=True, limit=0),
                auto_decompress=False,
            )
        )
        self.numbers = itertools.count()

    async def count_served(self, path: str, every: int) -> int:
        """Send requests, and return how many are served at the first attempt.

        Args:
            path: Their path.
            every: All hosts but the first get one of so many together.
        """
        slots = asyncio.Semaphore(AT_A_TIME)

        async def send(number: int) -> bool:
            other = 1 + number // every % (HOSTS - 1)
            host = 0 if number % every else other
            async with slots:
                status, _, _ = await self.rig.ask(
                    path, f'r{next(self.numbers)}', host=host
                )
            return status == OK

        return sum(await asyncio.gather(*map(send, range(REQUESTS))))

    async def test_the_host_that_gets_most_serves_them(self) -> None:
        """Calls and streams, of workers that serve and that reject some."""
        for path, script in (
            ('/look/1', plain()),
            ('/draft/1', stream()),
            ('/look/1', _rejecting_some()),
        ):
            for worker in self.rig.workers:
                worker.default_script = script
            if not self.rig.host.ready:
                await self.rig.start()
            with self.subTest(path=path):
                before = await self.count_served(path, HOSTS - 1)
                focused = await self.count_served(path, FOCUS)
                self.assertGreaterEqual(focused, MIN_FRACTION * before)


def _rejecting_some() -> ScriptFactory:
    """Return scripts of a worker that rejects some requests as full."""
    numbers = itertools.count()

    def make(request: ReceivedRequest) -> Script:
        factory = plain() if next(numbers) % REJECTED else rejecting()
        return factory(request)

    return make


if __name__ == '__main__':
    unittest.main()
