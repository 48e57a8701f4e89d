"""Stand-in for the platform: table, objects, host list, ratings, weights.

Run it as ``python -m fakes.platform``, or open ``FakePlatform`` in a test.
Its rate limits count a commit as one write, regardless of the number of rows.
"""

import random
from argparse import Namespace
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Final, Self

from aiohttp import web

from fakes.faults import Faults, add_fault_routes
from fakes.hosts import FakeHostList
from fakes.middleware import CallMiddleware, RateLimit
from fakes.objects import FakeObjects
from fakes.ratings import FakeRatings
from fakes.serving import LoopbackServer, port_parser, run
from fakes.tables import FakeTable
from fakes.weights import FakeWeights
from nutmegroad.foundations.clocks import Clock, SystemClock
from nutmegroad.foundations.types import Address

#: Maximum body size in bytes, 64 MiB: objects may be larger than aiohttp's
#: default limit of 1 MiB.
MAX_BODY_BYTES: Final = 67108864


@dataclass(frozen=True, slots=True)
class PlatformOptions:
    """Behaviour of the platform stand-in.

    Attributes:
        lag: Seconds until an update of the host list is visible.
        rating_delay: Seconds until an answer's rating is visible.
        loads_per_minute: Rate of weight loads.
        writes_per_second: Limit on writes to the table and the object store;
            0 for none.
        reads_per_second: Limit on reads from the table and the object store;
            0 for none.
        seed: Seed of all random choices.
    """

    lag: float = 2
    rating_delay: float = 1
    loads_per_minute: float = 60
    writes_per_second: int = 0
    reads_per_second: int = 0
    seed: int = 1


class FakePlatform:
    """All services of the platform, on a loopback port while it is open.

    Args:
        options: Behaviour of the platform.
        clock: Source of times.
        port: TCP port; 0 selects a free one.

    Attributes:
        app: The web application, for callers that serve it themselves.
        faults: Active faults, which can be changed without an HTTP call.
        table: The table, which can be read without an HTTP call.
        hosts: The host list, which can be updated without an HTTP call.
    """

    @property
    def address(self) -> Address:
        """Listening address; available only while the platform is open."""
        return self._server.address

    def __init__(
        self,
        options: PlatformOptions,
        clock: Clock,
        port: int = 0,
    ) -> None:
        randomness = random.Random(options.seed)
        self.faults = Faults(clock, randomness)
        self.table = FakeTable(self.faults)
        self.hosts = FakeHostList(options.lag, clock)
        middleware = CallMiddleware(
            self.faults,
            clock,
            RateLimit(options.reads_per_second, clock),
            RateLimit(options.writes_per_second, clock),
        )
        self.app = web.Application(
            middlewares=[middleware.handle_call],
            client_max_size=MAX_BODY_BYTES,
        )
        self.app.router.add_get('/admin/counts', middleware.serve_counts)
        add_fault_routes(self.app, self.faults)
        rating_delay = options.rating_delay
        FakeRatings(rating_delay, self.faults, clock, randomness).add_routes(
            self.app
        )
        FakeWeights(options.loads_per_minute, clock).add_routes(self.app)
        FakeObjects().add_routes(self.app)
        self.table.add_routes(self.app)
        self.hosts.add_routes(self.app)
        self._server = LoopbackServer(self.app, port)
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Start listening."""
        await self._stack.enter_async_context(self._server)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop listening."""
        await self._stack.aclose()


def main() -> None:
    """Run a platform until SIGTERM or SIGINT."""
    arguments = _parse_arguments()
    options = PlatformOptions(
        lag=arguments.lag,
        rating_delay=arguments.rating_delay,
        loads_per_minute=arguments.loads_per_minute,
        writes_per_second=arguments.writes_per_second,
        reads_per_second=arguments.reads_per_second,
        seed=arguments.seed,
    )
    run(FakePlatform(options, SystemClock()).app, arguments.port)


def _parse_arguments() -> Namespace:
    parser = port_parser('Stand-in for the platform.')
    defaults = PlatformOptions()
    parser.add_argument('--lag', type=float, default=defaults.lag)
    parser.add_argument(
        '--rating-delay', type=float, default=defaults.rating_delay
    )
    parser.add_argument(
        '--loads-per-minute', type=float, default=defaults.loads_per_minute
    )
    parser.add_argument('--writes-per-second', type=int, default=0)
    parser.add_argument('--reads-per-second', type=int, default=0)
    parser.add_argument('--seed', type=int, default=defaults.seed)
    return parser.parse_args()


if __name__ == '__main__':
    main()
