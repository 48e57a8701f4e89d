"""The stand-in for a plain service: ``python -m fakes.service --port 0``.

It runs every call that reaches it, each time, and counts. It does not
deduplicate: whether a call ran twice is then there to be seen.
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
from fakes.serving import Served, port_parser, run
from nutmegroad.foundations.clocks import Clock, SystemClock
from nutmegroad.foundations.types import Address


class CallRecord(msgspec.Struct, frozen=True):
    """A call that ran.

    Attributes:
        method: HTTP method.
        path: Path, with its leading slash.
        key: The caller's idempotency key; empty for none.
        at: Wall clock seconds.
    """

    method: str
    path: str
    key: str
    at: float


class CallReply(msgspec.Struct, frozen=True):
    """The reply to a call: how many calls have run by now."""

    ran: int
    path: str
    method: str


class FakeService:
    """A plain service that a test, a demo or an experiment owns.

    Args:
        clock: Time.
        seed: Fixes which calls faults hit.
        port: TCP port; 0 takes a free one.
    """

    @property
    def address(self) -> Address:
        """Return where it listens; it must be open."""
        return self._served.address

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
        self._served = Served(self.app, port)
        add_fault_routes(self.app, self.faults)
        self.app.router.add_get('/admin/runs', self._show_runs)
        self.app.router.add_post('/admin/leave', self._leave)
        self.app.router.add_route('*', '/{path:.*}', self._call)

    async def __aenter__(self) -> Self:
        """Begin to listen."""
        await self._served.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop, closing all connections."""
        await self._served.__aexit__(*exc_info)

    async def _call(self, request: web.Request) -> web.Response:
        """Run a call, unless a fault comes first."""
        if self.faults.hit(FaultKind.DOWN):
            return drop_connection(request)
        slow = self.faults.hit(FaultKind.SLOW)
        if slow is not None:
            await self._clock.sleep(slow.delay)
        reply = self._run(request)
        if self.faults.hit(FaultKind.LOSE_REPLY):
            return drop_connection(request)
        if self.faults.hit(FaultKind.ERROR):
            return web.Response(status=HTTPStatus.INTERNAL_SERVER_ERROR)
        late = self.faults.hit(FaultKind.LATE)
        if late is not None:
            await self._clock.sleep(late.delay)
        return json_reply(reply)

    def _run(self, request: web.Request) -> CallReply:
        """Do the call's work, which is to be counted."""
        key = request.headers.get('Idempotency-Key', '')
        record = CallRecord(
            request.method,
            request.path,
            key,
            self._clock.wall(),
        )
        self.runs.append(record)
        return CallReply(len(self.runs), request.path, request.method)

    async def _show_runs(self, request: web.Request) -> web.Response:
        """Show the calls that ran."""
        return json_reply({'runs': self.runs})

    async def _leave(self, request: web.Request) -> web.Response:
        """Note that the service is leaving; it goes on answering."""
        body = msgspec.json.decode(await request.read(), type=dict[str, bool])
        self.leaving = body.get('leaving', True)
        return web.Response(status=HTTPStatus.NO_CONTENT)


DESCRIPTION: Final = 'A stand-in for a plain service.'


def main() -> None:
    """Run a service until SIGTERM."""
    parser = port_parser(DESCRIPTION)
    parser.add_argument('--seed', type=int, default=0)
    flags = parser.parse_args()
    run(FakeService(seed=flags.seed).app, flags.port)


if __name__ == '__main__':
    main()
