"""Middleware that assigns request ids, reads bodies and handles errors.

Every reply carries the id of its request. If a route fails, the caller gets a
refusal with a result code, and the log has a line with the same id.
"""

import asyncio
from collections.abc import Callable

from aiohttp.typedefs import Handler, Middleware
from aiohttp.web import (
    Application,
    HTTPException,
    Request,
    RequestPayloadError,
    StreamResponse,
    middleware,
)

from nutmegroad.callers._http_listener import (
    NO_REQUEST_ID,
    http_error_refusal,
    internal_error,
)
from nutmegroad.callers._incoming_requests import new_request_id
from nutmegroad.callers._stop_guard import STREAM_KEY
from nutmegroad.callers.answer_streams import EventStream
from nutmegroad.callers.replies import (
    IDEMPOTENCY_KEY_HEADER,
    REQUEST_HEADER,
    code_of,
    refuse,
)
from nutmegroad.foundations.logs import part_logger, request_context
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import RequestId
from nutmegroad.kernel.core import Kernel
from nutmegroad.overload.departures import caller_connection


class RequestMiddleware:
    """Middleware for all routes of one listener.

    Args:
        part: Prefix of the middleware's log lines.
        new_id: Returns a new request id.
        count_refusal: Counts a refusal that the middleware makes.
    """

    def __init__(
        self,
        part: str,
        new_id: Callable[[], RequestId],
        count_refusal: Callable[[ResultCode], None],
    ) -> None:
        self._log = part_logger(part)
        self._new_id = new_id
        self._count_refusal = count_refusal

    def install(self, app: Application) -> None:
        """Add the middleware to an application, outside all others."""
        app.middlewares.insert(0, self._make_middleware())

    def _make_middleware(self) -> Middleware:
        """Return the middleware function."""

        @middleware
        async def handle(request: Request, handler: Handler) -> StreamResponse:
            """Assign an id to a request, and return its reply."""
            request_id = self._new_id()
            with (
                request_context(request_id),
                caller_connection(_connection_of(request)),
            ):
                reply = await self._answer(request, handler, request_id)
            if not reply.prepared:
                _set_request_id(reply, request_id)
            return reply

        return handle

    async def _answer(
        self,
        http: Request,
        handler: Handler,
        request_id: RequestId,
    ) -> StreamResponse:
        """Return the reply of a route, or a refusal if the route fails."""
        try:
            return await handler(http)
        except HTTPException as error:
            return self._refuse(http_error_refusal(error), request_id)
        except RequestPayloadError as error:
            return self._refuse(_truncated_body(error), request_id)
        except Exception as error:
            if isinstance(error, ConnectionError):
                # The caller has disconnected, so no reply can be sent.
                raise
            self._log.exception('unhandled error in a request handler')
        return await self._fail(http, request_id)

    async def _fail(
        self,
        http: Request,
        request_id: RequestId,
    ) -> StreamResponse:
        """Reply with an internal error, also within a started stream."""
        stream: EventStream | None = http.get(STREAM_KEY)
        if stream is not None and stream.response is not None:
            self._count_refusal(ResultCode.INTERNAL)
            return await stream.fail(internal_error())
        return self._refuse(internal_error(), request_id)

    def _refuse(
        self,
        refusal: Refusal,
        request_id: RequestId,
    ) -> StreamResponse:
        """Count a refusal, and return its reply."""
        self._count_refusal(refusal.code)
        return refuse(refusal, request_id)


def _connection_of(http: Request) -> asyncio.BaseTransport | None:
    """Return the connection without which a request is not run.

    Other callers may wait for a request with an idempotency key.
    """
    if IDEMPOTENCY_KEY_HEADER in http.headers:
        return None
    return http.transport


def install_request_middleware(
    kernel: Kernel,
    app: Application,
    part: str,
    count_refusal: Callable[[ResultCode], None],
) -> None:
    """Add a `RequestMiddleware` to the application of a listener.

    Args:
        kernel: Provides the host's incarnation and randomness for request
            ids.
        app: The application.
        part: Prefix of the middleware's log lines.
        count_refusal: Counts a refusal that the middleware makes.
    """
    RequestMiddleware(
        part,
        lambda: new_request_id(kernel.incarnation, kernel.randomness),
        count_refusal,
    ).install(app)


class BodyReader:
    """Middleware that reads complete bodies before the routes run.

    Args:
        timeout: Seconds that a body may take to arrive.
        count_refusal: Counts refusals, including those of the routes.
    """

    def __init__(
        self,
        timeout: float,
        count_refusal: Callable[[ResultCode], None],
    ) -> None:
        self._timeout = timeout
        self._count_refusal = count_refusal

    def install(self, app: Application) -> None:
        """Add the middleware to an application."""
        app.middlewares.append(self._make_middleware())

    def _make_middleware(self) -> Middleware:
        """Return the middleware function."""

        @middleware
        async def read(request: Request, handler: Handler) -> StreamResponse:
            """Read the body, which aiohttp caches for the route."""
            try:
                async with asyncio.timeout(self._timeout):
                    await request.read()
            except TimeoutError:
                self._count_refusal(ResultCode.BODY_TOO_SLOW)
                return refuse(_slow_body(self._timeout), NO_REQUEST_ID)
            reply = await handler(request)
            code = code_of(reply)
            if code is not None:
                self._count_refusal(code)
            return reply

        return read


def _set_request_id(reply: StreamResponse, request_id: RequestId) -> None:
    """Set the request id of a reply that has none.

    The reply of another host keeps the id that the other host assigned,
    because the request was billed and can be explained under that id.
    """
    if reply.headers.get(REQUEST_HEADER, NO_REQUEST_ID) == NO_REQUEST_ID:
        reply.headers[REQUEST_HEADER] = request_id


def _truncated_body(error: Exception) -> Refusal:
    """Return the refusal of a truncated or wrongly encoded body."""
    return Refusal(
        ResultCode.BODY_MALFORMED,
        f'The body is truncated or does not match its encoding: {error}.',
    )


def _slow_body(seconds: float) -> Refusal:
    """Return the refusal of a body that did not arrive in time."""
    return Refusal(
        ResultCode.BODY_TOO_SLOW,
        f'The body did not arrive within {seconds} seconds.',
    )
