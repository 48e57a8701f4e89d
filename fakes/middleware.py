"""Middleware of the platform stand-in: call counts, rate limits and faults."""

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

#: Path of the call that writes rows.
COMMIT_PATH: Final = '/table/commit'
#: Services whose reads and writes are rate limited.
_STORES: Final = frozenset(('table', 'objects'))


class RateLimit:
    """Limits the number of calls in each second of the clock.

    Args:
        per_second: Maximum number of calls; 0 for no limit.
        clock: Source of times.
    """

    def __init__(self, per_second: int, clock: Clock) -> None:
        self._per_second = per_second
        self._clock = clock
        self._current_second = 0
        self._calls = 0

    def allow(self) -> bool:
        """Count a call and return whether it is within the limit."""
        second = int(self._clock.now())
        if second != self._current_second:
            self._current_second = second
            self._calls = 0
        self._calls += 1
        return not self._per_second or self._calls <= self._per_second


class CallMiddleware:
    """Counts all calls and applies rate limits and faults to them.

    Args:
        faults: Active faults.
        clock: Clock that slow calls sleep on.
        read_limit: Limit on reads from the table and the object store.
        write_limit: Limit on writes to the table and the object store.
    """

    def __init__(
        self,
        faults: Faults,
        clock: Clock,
        read_limit: RateLimit,
        write_limit: RateLimit,
    ) -> None:
        self._faults = faults
        self._clock = clock
        self._counts: Counter[str] = Counter()
        self._read_limit = read_limit
        self._write_limit = write_limit

    async def serve_counts(self, _request: web.Request) -> web.Response:
        """Return the number of calls by route."""
        return json_reply(dict(self._counts))

    @web.middleware
    async def handle_call(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        """Handle a call, subject to faults and rate limits."""
        scope = request.path.split('/')[1]
        if scope == _ADMIN:
            return await handler(request)
        self._counts[_route_name(request)] += 1
        target = FaultTarget(scope)
        slow = self._faults.hit(FaultKind.SLOW, target)
        if slow:
            await self._clock.sleep(slow.delay)
        if self._faults.hit(FaultKind.DOWN, target):
            return drop_connection(request)
        if scope in _STORES and not self._limit_for(request).allow():
            raise web.HTTPServiceUnavailable(text='too many calls per second')
        response = await handler(request)
        if await self._loses_reply(request, response, scope):
            return drop_connection(request)
        return response

    def _limit_for(self, request: web.Request) -> RateLimit:
        return self._write_limit if _is_write(request) else self._read_limit

    async def _loses_reply(
        self,
        request: web.Request,
        response: web.StreamResponse,
        scope: str,
    ) -> bool:
        """Return whether the reply to a successful write is to be lost."""
        if not _is_write(request) or response.status >= HTTPStatus.BAD_REQUEST:
            return False
        target = await _write_target(request, scope)
        return self._faults.hit(FaultKind.LOSE_REPLY, target) is not None


def _is_write(request: web.Request) -> bool:
    """Return whether a call may change data."""
    return request.method not in {'GET', 'HEAD'}


async def _write_target(request: web.Request, scope: str) -> FaultTarget:
    """Return the fault target of a write.

    For rows, its task is the part of their keys before the first slash.
    """
    if request.path != COMMIT_PATH:
        return FaultTarget(scope)
    body = await read_body(request, CommitBody)
    key_prefixes = {write.key.partition('/')[0] for write in body.writes}
    return FaultTarget(scope, task=min(key_prefixes, default=''))


def _route_name(request: web.Request) -> str:
    """Return the method and path template that a call is counted under."""
    resource = request.match_info.route.resource
    path = 'unknown' if resource is None else resource.canonical
    return f'{request.method} {path}'
