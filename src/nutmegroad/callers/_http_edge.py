"""What stands before all routes: a request's name, and an end for every fault.

Each reply carries the request's id; whatever goes wrong in a route is a
refusal with a code, and a line in the log under the same id.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from aiohttp.typedefs import Handler, Middleware
from aiohttp.web import (
    Application,
    HTTPException,
    Request,
    RequestPayloadError,
    StreamResponse,
    middleware,
)

from nutmegroad.callers._caller_guard import STREAM_KEY
from nutmegroad.callers._http_listener import (
    NO_REQUEST,
    Connection,
    internal,
    refusal_of,
)
from nutmegroad.callers.answer_streams import EventStream
from nutmegroad.callers.replies import code_of, refuse
from nutmegroad.foundations.logs import about_request, part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import RequestId
from nutmegroad.kernel.core import Kernel

_HEADER: Final = 'Nutmegroad-Request'
_NONCE_BITS: Final = 64


class HttpEdge:
    """Stands before the routes of one listener.

    Args:
        part: Prefix of its lines in the log.
        name: Returns a new request id.
        count: Counts a refusal that was made here.
    """

    def __init__(
        self,
        part: str,
        name: Callable[[], RequestId],
        count: Callable[[ResultCode], None],
    ) -> None:
        self._log = part_logger(part)
        self._name = name
        self._count = count

    def protect(self, app: Application) -> None:
        """Stand before all routes and other middlewares."""
        app.middlewares.insert(0, self._make_middleware())

    def _make_middleware(self) -> Middleware:
        """Return the middleware."""

        @middleware
        async def edge(request: Request, handler: Handler) -> StreamResponse:
            """Name a request, and see to its end."""
            if isinstance(request.protocol, Connection):
                request.protocol.headers_arrived()
            name = self._name()
            with about_request(name):
                reply = await self._answer(request, handler, name)
            if not reply.prepared:
                _show_name(reply, name)
            return reply

        return edge

    async def _answer(
        self,
        http: Request,
        handler: Handler,
        request: RequestId,
    ) -> StreamResponse:
        """Return a route's reply, or the refusal that its failure is."""
        try:
            return await handler(http)
        except HTTPException as problem:
            return self._refuse(refusal_of(problem), request)
        except RequestPayloadError as problem:
            return self._refuse(_broken(problem), request)
        except Exception as problem:
            if isinstance(problem, ConnectionError):
                # The caller has gone: there is nobody to tell.
                raise
            self._log.exception('a request failed')
        return await self._fail(http, request)

    async def _fail(self, http: Request, request: RequestId) -> StreamResponse:
        """Tell a caller that the host failed, also in mid-stream."""
        stream: EventStream | None = http.get(STREAM_KEY)
        if stream is not None and stream.response is not None:
            self._count(ResultCode.INTERNAL)
            return await stream.fail(internal())
        return self._refuse(internal(), request)

    def _refuse(self, refusal: Refusal, request: RequestId) -> StreamResponse:
        """Return a refusal, and count it."""
        self._count(refusal.code)
        return refuse(refusal, request)


def protect(
    kernel: Kernel,
    app: Application,
    part: str,
    count: Callable[[ResultCode], None],
) -> None:
    """Name each request of a listener, and see to its end."""

    def name() -> RequestId:
        """Return a new request id."""
        nonce = f'{kernel.randomness.getrandbits(_NONCE_BITS):016x}'
        return RequestId(f'{kernel.incarnation}-{nonce}')

    HttpEdge(part, name, count).protect(app)


class BodyReader:
    """Reads whole bodies before the routes do, within limits.

    Args:
        seconds: Time that a body may take.
        count: Counts refusals, also those of the routes.
    """

    def __init__(
        self,
        seconds: float,
        count: Callable[[ResultCode], None],
    ) -> None:
        self._seconds = seconds
        self._count = count

    def protect(self, app: Application) -> None:
        """Stand before all routes of an application."""
        app.middlewares.append(self._make_middleware())

    def _make_middleware(self) -> Middleware:
        """Return the middleware."""

        @middleware
        async def read(request: Request, handler: Handler) -> StreamResponse:
            """Read a body, which the request keeps."""
            try:
                async with asyncio.timeout(self._seconds):
                    await request.read()
            except TimeoutError:
                self._count(ResultCode.BODY_TOO_SLOW)
                return refuse(_slow(self._seconds), NO_REQUEST)
            reply = await handler(request)
            code = code_of(reply)
            if code is not None:
                self._count(code)
            return reply

        return read


def _show_name(reply: StreamResponse, name: RequestId) -> None:
    """Have a reply carry a request's id, if it carries none.

    What another host answered carries the id under which it did so, which
    is the one that was billed and can be explained.
    """
    if reply.headers.get(_HEADER, NO_REQUEST) == NO_REQUEST:
        reply.headers[_HEADER] = name


def _broken(problem: Exception) -> Refusal:
    """Say that a body ended wrongly."""
    return Refusal(
        ResultCode.BODY_MALFORMED,
        f'The body broke off or is not encoded as it says: {problem}.',
    )


def _slow(seconds: float) -> Refusal:
    """Say that a body took too long."""
    return Refusal(
        ResultCode.BODY_TOO_SLOW,
        f'The body took more than {seconds} seconds.',
    )
