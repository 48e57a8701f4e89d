"""The platform's stand-in: table, objects, host list, ratings, weights.

Run it as ``python -m fakes.platform``, or open ``FakePlatform`` in a test.
For its bounds, a commit is one write however many rows it changes.
"""

import random
from argparse import Namespace
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Final, Self

from aiohttp import web

from fakes.faults import Faults, add_fault_routes
from fakes.gates import CallBound, CallGate
from fakes.hosts import FakeHostList
from fakes.objects import FakeObjects
from fakes.ratings import FakeRatings
from fakes.serving import Served, port_parser, run
from fakes.tables import FakeTable
from fakes.weights import FakeWeights
from nutmegroad.foundations.clocks import Clock, SystemClock
from nutmegroad.foundations.types import Address

#: Bytes that a body may have: 64 MiB, since objects may be larger than the
#: 1 MiB that aiohttp allows by itself.
MAX_BODY: Final = 67108864


@dataclass(frozen=True, slots=True)
class PlatformOptions:
    """How a stand-in platform behaves.

    Attributes:
        lag: Seconds by which the host list is late.
        rating_delay: Seconds until an answer is rated.
        loads_per_minute: Weight loads that the store serves.
        writes_per_second: Bound on writes to the stores; 0 for none.
        reads_per_second: Bound on reads from the stores; 0 for none.
        seed: Of all that is drawn.
    """

    lag: float = 2
    rating_delay: float = 1
    loads_per_minute: float = 60
    writes_per_second: int = 0
    reads_per_second: int = 0
    seed: int = 1


class FakePlatform:
    """The whole platform, on loopback while it is open.

    Args:
        options: How it behaves.
        clock: Time.
        port: TCP port; 0 takes a free one.

    Attributes:
        app: The application, to be served otherwise.
        faults: Its faults, to be switched without a call.
        table: Its rows, to be looked at without a call.
        hosts: Its host list, to be told the truth without a call.
    """

    @property
    def address(self) -> Address:
        """Return where it listens; it must be open."""
        return self._served.address

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
        gate = CallGate(
            self.faults,
            clock,
            CallBound(options.reads_per_second, clock),
            CallBound(options.writes_per_second, clock),
        )
        self.app = web.Application(
            middlewares=[gate.pass_call],
            client_max_size=MAX_BODY,
        )
        self.app.router.add_get('/admin/counts', gate.answer_counts)
        add_fault_routes(self.app, self.faults)
        delay = options.rating_delay
        FakeRatings(delay, self.faults, clock, randomness).add_routes(self.app)
        FakeWeights(options.loads_per_minute, clock).add_routes(self.app)
        FakeObjects().add_routes(self.app)
        self.table.add_routes(self.app)
        self.hosts.add_routes(self.app)
        self._served = Served(self.app, port)
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Begin to listen."""
        await self._stack.enter_async_context(self._served)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop listening; what it held is gone."""
        await self._stack.aclose()


def main() -> None:
    """Serve a platform until SIGTERM."""
    arguments = _parse()
    options = PlatformOptions(
        lag=arguments.lag,
        rating_delay=arguments.rating_delay,
        loads_per_minute=arguments.loads_per_minute,
        writes_per_second=arguments.writes_per_second,
        reads_per_second=arguments.reads_per_second,
        seed=arguments.seed,
    )
    run(FakePlatform(options, SystemClock()).app, arguments.port)


def _parse() -> Namespace:
    parser = port_parser('A stand-in for the platform.')
    usual = PlatformOptions()
    parser.add_argument('--lag', type=float, default=usual.lag)
    parser.add_argument(
        '--rating-delay', type=float, default=usual.rating_delay
    )
    parser.add_argument(
        '--loads-per-minute', type=float, default=usual.loads_per_minute
    )
    parser.add_argument('--writes-per-second', type=int, default=0)
    parser.add_argument('--reads-per-second', type=int, default=0)
    parser.add_argument('--seed', type=int, default=usual.seed)
    return parser.parse_args()


if __name__ == '__main__':
    main()
