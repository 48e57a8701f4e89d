"""What stands before every caller's request: the state of the host's stop."""

import asyncio
from typing import Final

from aiohttp.typedefs import Handler, Middleware
from aiohttp.web import (
    Application,
    Request,
    RequestKey,
    StreamResponse,
    middleware,
)

from nutmegroad.callers.answer_streams import EventStream
from nutmegroad.callers.replies import refuse
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import RequestId
from nutmegroad.kernel.stops import GracefulStop, ended_by_stop

#: Where a request keeps the stream of its answer.
STREAM_KEY: Final = RequestKey('stream', EventStream)

_NO_REQUEST: Final = RequestId('-')


class CallerGuard:
    """Refuses new work while the host stops, and counts what is open.

    Args:
        stop: The host's stop.
        metrics: Where requests are counted.
    """

    def __init__(self, stop: GracefulStop, metrics: Metrics) -> None:
        self._stop = stop
        self._metrics = metrics

    def protect(self, app: Application) -> None:
        """Stand before all handlers of an application."""
        app.middlewares.append(self._make_middleware())
        app.on_response_prepare.append(self._say_goodbye)

    def _make_middleware(self) -> Middleware:
        """Return the middleware."""

        @middleware
        async def guard(request: Request, handler: Handler) -> StreamResponse:
            """Let a request through, or refuse it as not run."""
            refusal = self._stop.refusal()
            if refusal is not None:
                self._metrics.refused(refusal.code)
                return refuse(refusal, _NO_REQUEST)
            with self._stop.request():
                return await self._handle(request, handler)

        return guard

    async def _handle(self, http: Request, handler: Handler) -> StreamResponse:
        """Run a handler; if the stop ends it, say so to the caller."""
        self._show_open()
        try:
            return await handler(http)
        except ConnectionResetError:
            # A caller that was cut, or has gone: there is nobody to tell.
            stream: EventStream | None = http.get(STREAM_KEY)
            if stream is None or stream.response is None:
                raise
            return stream.response
        except asyncio.CancelledError:
            # A caller that went away cancels too, and hears nothing more.
            if self._stop.gate_refusal() is None or _is_gone(http):
                raise
        finally:
            self._show_open()
        task = asyncio.current_task()
        if task is not None:
            task.uncancel()
        return await self._end(http, ended_by_stop())

    async def _end(self, http: Request, refusal: Refusal) -> StreamResponse:
        """Say why a request ends before its answer has."""
        self._metrics.refused(ResultCode.HOST_STOPPING)
        stream: EventStream | None = http.get(STREAM_KEY)
        if stream is not None and stream.response is not None:
            return await stream.fail(refusal)
        return refuse(refusal, _NO_REQUEST)

    async def _say_goodbye(
        self,
        http: Request,
        response: StreamResponse,
    ) -> None:
        """Have clients open no more requests on a connection."""
        if not self._stop.is_ready:
            # The library has written this header already.
            response.headers['Connection'] = 'close'
            response.force_close()

    def _show_open(self) -> None:
        """Show how many requests are open."""
        self._metrics.state.in_flight(self._stop.open_requests)


def _is_gone(http: Request) -> bool:
    """Tell whether a caller has closed its connection."""
    return http.transport is None or http.transport.is_closing()
