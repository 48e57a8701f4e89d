"""Stand-in for a plain service: ``python -m fakes.service --port 0``.

It executes and records every call that reaches it. It does not deduplicate
calls, so that tests can detect a call that was executed twice.
"""

import random
from http import HTTPStatus
from typing import Final, Self

import msgspec
from aiohttp import web

from fakes.faults import (
    FaultKind,
    Faults,
    add_fault_routes,
    drop_connection,
)
from fakes.replies import json_reply
from fakes.serving import LoopbackServer, port_parser, run
from nutmegroad.foundations.clocks import Clock, SystemClock
from nutmegroad.foundations.types import Address


class CallRecord(msgspec.Struct, frozen=True):
    """A call that was executed.

    Attributes:
        method: HTTP method.
        path: Path, with its leading slash.
        key: Idempotency key of the caller; empty for none.
        at: Wall clock time of the call, in seconds.
    """

    method: str
    path: str
    key: str
    at: float


class CallReply(msgspec.Struct, frozen=True):
    """Reply to a call.

    Attributes:
        ran: Number of calls executed so far.
        path: Path of the call.
        method: HTTP method of the call.
    """

    ran: int
    path: str
    method: str


class FakeService:
    """A plain service for tests, demos and experiments.

    Args:
        clock: Source of times; None for the system clock.
        seed: Seed of the choice of calls that faults affect.
        port: TCP port; 0 selects a free one.

    Attributes:
        app: The web application, for callers that serve it themselves.
        runs: All executed calls, in order.
        leaving: Whether the service is draining.
        faults: Active faults, which can be changed without an HTTP call.
    """

    @property
    def address(self) -> Address:
        """Listening address; available only while the service is open."""
        return self._server.address

    def __init__(
        self,
        clock: Clock | None = None,
        seed: int = 0,
        port: int = 0,
    ) -> None:
        self._clock = clock or SystemClock()
        self.app = web.Application()
        self.runs: list[CallRecord] = []
        self.leaving = False
        self.faults = Faults(self._clock, random.Random(seed))
        self._server = LoopbackServer(self.app, port)
        add_fault_routes(self.app, self.faults)
        self.app.router.add_get('/admin/runs', self._serve_runs)
        self.app.router.add_post('/admin/leave', self._leave)
        self.app.router.add_route('*', '/{path:.*}', self._handle_call)

    async def __aenter__(self) -> Self:
        """Start listening."""
        await self._server.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop listening and close all connections."""
        await self._server.__aexit__(*exc_info)

    async def _handle_call(self, request: web.Request) -> web.Response:
        """Handle a call, subject to faults before and after its execution."""
        if self.faults.hit(FaultKind.DOWN):
            return drop_connection(request)
        slow = self.faults.hit(FaultKind.SLOW)
        if slow is not None:
            await self._clock.sleep(slow.delay)
        reply = self._execute(request)
        if self.faults.hit(FaultKind.LOSE_REPLY):
            return drop_connection(request)
        if self.faults.hit(FaultKind.ERROR):
            return web.Response(status=HTTPStatus.INTERNAL_SERVER_ERROR)
        late = self.faults.hit(FaultKind.LATE)
        if late is not None:
            await self._clock.sleep(late.delay)
        return json_reply(reply)

    def _execute(self, request: web.Request) -> CallReply:
        """Execute a call: record it and return the number of calls."""
        key = request.headers.get('Idempotency-Key', '')
        record = CallRecord(
            request.method,
            request.path,
            key,
            self._clock.wall(),
        )
        self.runs.append(record)
        return CallReply(len(self.runs), request.path, request.method)

    async def _serve_runs(self, request: web.Request) -> web.Response:
        """Return the records of all executed calls."""
        return json_reply({'runs': self.runs})

    async def _leave(self, request: web.Request) -> web.Response:
        """Start or stop draining; the service continues to answer calls."""
        body = msgspec.json.decode(await request.read(), type=dict[str, bool])
        self.leaving = body.get('leaving', True)
        return web.Response(status=HTTPStatus.NO_CONTENT)


DESCRIPTION: Final = 'Stand-in for a plain service.'


def main() -> None:
    """Run a service until SIGTERM or SIGINT."""
    parser = port_parser(DESCRIPTION)
    parser.add_argument('--seed', type=int, default=0)
    arguments = parser.parse_args()
    run(FakeService(seed=arguments.seed).app, arguments.port)


if __name__ == '__main__':
    main()
