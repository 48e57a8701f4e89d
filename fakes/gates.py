"""What every call to the platform's stand-in passes on its way in and out."""

from collections import Counter
from http import HTTPStatus
from typing import Final

from aiohttp import web
from aiohttp.typedefs import Handler

from fakes.bodies import json_reply, read_body
from fakes.faults import FaultKind, Faults, FaultTarget, drop_connection
from nutmegroad.adapters._platform_bodies import CommitBody
from nutmegroad.foundations.clocks import Clock

_ADMIN: Final = 'admin'

#: Where rows are written.
COMMIT_PATH: Final = '/table/commit'
#: The services whose reads and writes the platform bounds.
_STORES: Final = frozenset(('table', 'objects'))


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
        faults: What goes wrong.
        clock: What slow calls wait on.
        reads: Bound on reads from the stores.
        writes: Bound on writes to the stores.
    """

    def __init__(
        self,
        faults: Faults,
        clock: Clock,
        reads: CallBound,
        writes: CallBound,
    ) -> None:
        self._faults = faults
        self._clock = clock
        self._counts: Counter[str] = Counter()
        self._reads = reads
        self._writes = writes

    async def answer_counts(self, _request: web.Request) -> web.Response:
        """Answer with the number of calls by route."""
        return json_reply(dict(self._counts))

    @web.middleware
    async def pass_call(
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
        if await self._loses(request, response, scope):
            return drop_connection(request)
        return response

    def _bound(self, request: web.Request) -> CallBound:
        return self._writes if _writes(request) else self._reads

    async def _loses(
        self,
        request: web.Request,
        response: web.StreamResponse,
        scope: str,
    ) -> bool:
        """Tell whether the reply to a write that took effect is lost."""
        if not _writes(request) or response.status >= HTTPStatus.BAD_REQUEST:
            return False
        target = await _written(request, scope)
        return self._faults.hit(FaultKind.LOSE_REPLY, target) is not None


def _writes(request: web.Request) -> bool:
    """Tell whether a call may change something."""
    return request.method not in {'GET', 'HEAD'}


async def _written(request: web.Request, scope: str) -> FaultTarget:
    """Return what a call has written; rows are named by their first word."""
    if request.path != COMMIT_PATH:
        return FaultTarget(scope)
    body = await read_body(request, CommitBody)
    kinds = {write.key.partition('/')[0] for write in body.writes}
    return FaultTarget(scope, task=min(kinds, default=''))


def _route(request: web.Request) -> str:
    """Return the name under which a call is counted."""
    resource = request.match_info.route.resource
    path = 'unknown' if resource is None else resource.canonical
    return f'{request.method} {path}'
