"""The platform's stand-in: table, objects, host list, ratings, weights.

Run it as ``python -m fakes.platform``, or open ``FakePlatform`` in a test.
For its bounds, a commit is one write however many rows it changes.
"""

import random
from argparse import Namespace
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final, Self

from aiohttp import web
from aiohttp.typedefs import Handler

from fakes.bodies import json_reply
from fakes.faults import (
    FaultKind,
    Faults,
    FaultTarget,
    add_fault_routes,
    drop_connection,
)
from fakes.hosts import FakeHostList
from fakes.objects import FakeObjects
from fakes.ratings import FakeRatings
from fakes.serving import Served, port_parser, run
from fakes.tables import FakeTable
from fakes.weights import FakeWeights
from nutmegroad.clocks import Clock, SystemClock
from nutmegroad.types import Address

#: Bytes that a body may have; objects are larger than aiohttp's own bound.
MAX_BODY: Final = 64 * 1024 * 1024

_ADMIN: Final = 'admin'
#: The services whose reads and writes the platform bounds.
_STORES: Final = frozenset(('table', 'objects'))


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


class CallBound:
    """Allows so many calls within each second of the clock.

    Args:
        per_second: How many; 0 for any number.
        clock: Tells the seconds.
    """

    def __init__(self, per_second: int, clock: Clock) -> None:
        self._per_second = per_second
        self._clock = clock
        self._second = 0
        self._used = 0

    def allows(self) -> bool:
        """Count a call, and tell whether it is within the bound."""
        second = int(self._clock.now())
        if second != self._second:
            self._second = second
            self._used = 0
        self._used += 1
        return not self._per_second or self._used <= self._per_second


class CallGate:
    """What every call passes: counts, bounds and faults.

    Args:
        options: The bounds.
        faults: What goes wrong.
        clock: What slow calls wait on.
    """

    def __init__(
        self,
        options: PlatformOptions,
        faults: Faults,
        clock: Clock,
    ) -> None:
        self._faults = faults
        self._clock = clock
        self._counts: Counter[str] = Counter()
        self._reads = CallBound(options.reads_per_second, clock)
        self._writes = CallBound(options.writes_per_second, clock)

    async def answer_counts(self, _request: web.Request) -> web.Response:
        """Answer with the number of calls by route."""
        return json_reply(dict(self._counts))

    @web.middleware
    async def handle(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        """Answer a call as the faults and bounds have it."""
        scope = request.path.split('/')[1]
        if scope == _ADMIN:
            return await handler(request)
        self._counts[_route(request)] += 1
        target = FaultTarget(scope)
        slow = self._faults.hit(FaultKind.SLOW, target)
        if slow:
            await self._clock.sleep(slow.delay)
        if self._faults.hit(FaultKind.DOWN, target):
            return drop_connection(request)
        if scope in _STORES and not self._bound(request).allows():
            raise web.HTTPServiceUnavailable(text='Too many calls a second.')
        response = await handler(request)
        if self._loses(request, response, target):
            return drop_connection(request)
        return response

    def _bound(self, request: web.Request) -> CallBound:
        return self._writes if _writes(request) else self._reads

    def _loses(
        self,
        request: web.Request,
        response: web.StreamResponse,
        target: FaultTarget,
    ) -> bool:
        """Tell whether the reply to a write that took effect is lost."""
        if not _writes(request) or response.status >= HTTPStatus.BAD_REQUEST:
            return False
        return self._faults.hit(FaultKind.LOSE_REPLY, target) is not None


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
        gate = CallGate(options, self.faults, clock)
        self.app = web.Application(
            middlewares=[gate.handle],
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


def _writes(request: web.Request) -> bool:
    """Tell whether a call may change something."""
    return request.method not in {'GET', 'HEAD'}


def _route(request: web.Request) -> str:
    """Return the name under which a call is counted."""
    resource = request.match_info.route.resource
    path = 'unknown' if resource is None else resource.canonical
    return f'{request.method} {path}'


if __name__ == '__main__':
    main()
