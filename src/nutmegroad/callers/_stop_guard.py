"""Middleware that handles callers' requests while the host stops."""

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
from nutmegroad.ingress.connections import CallerConnection
from nutmegroad.kernel.stops import GracefulStop, cancelled_by_stop

#: Key under which an HTTP request stores the stream of its answer.
STREAM_KEY: Final = RequestKey('stream', EventStream)

_NO_REQUEST_ID: Final = RequestId('-')


class StopGuard:
    """Refuses new requests while the host stops, and counts open ones.

    Args:
        stop: The host's graceful stop.
        metrics: Counts refusals and open requests.
    """

    def __init__(self, stop: GracefulStop, metrics: Metrics) -> None:
        self._stop = stop
        self._metrics = metrics

    def install(self, app: Application) -> None:
        """Add the middleware to an application."""
        app.middlewares.append(self._make_middleware())
        app.on_response_prepare.append(self._announce_close)

    def _make_middleware(self) -> Middleware:
        """Return the middleware function."""

        @middleware
        async def guard(request: Request, handler: Handler) -> StreamResponse:
            """Pass a request on, or refuse it as not executed."""
            refusal = self._stop.refusal()
            if refusal is not None:
                self._metrics.refused(refusal.code)
                return refuse(refusal, _NO_REQUEST_ID)
            with self._stop.track_request():
                return await self._handle(request, handler)

        return guard

    async def _handle(self, http: Request, handler: Handler) -> StreamResponse:
        """Run a handler; if the stop cancels it, reply with a refusal."""
        self._report_open()
        try:
            return await handler(http)
        except ConnectionResetError:
            # The caller's connection was aborted or closed, so no reply can
            # be sent.
            stream: EventStream | None = http.get(STREAM_KEY)
            if stream is None or stream.response is None:
                raise
            return stream.response
        except asyncio.CancelledError:
            # A caller that disconnects also cancels the handler. It gets no
            # reply.
            if self._stop.gate_refusal() is None or _is_gone(http):
                raise
        finally:
            self._report_open()
        task = asyncio.current_task()
        if task is not None:
            task.uncancel()
        return await self._reply_stopped(http, cancelled_by_stop())

    async def _reply_stopped(
        self,
        http: Request,
        refusal: Refusal,
    ) -> StreamResponse:
        """Refuse a request that the stop has cancelled."""
        self._metrics.refused(ResultCode.HOST_STOPPING)
        stream: EventStream | None = http.get(STREAM_KEY)
        if stream is not None and stream.response is not None:
            return await stream.fail(refusal)
        return refuse(refusal, _NO_REQUEST_ID)

    async def _announce_close(
        self,
        http: Request,
        response: StreamResponse,
    ) -> None:
        """Close the connection after this reply if the host is stopping."""
        if not self._stop.is_ready:
            # aiohttp has prepared the headers before it calls this hook, so
            # ``force_close`` alone would not set this one.
            response.headers['Connection'] = 'close'
            response.force_close()
        elif isinstance(http.protocol, CallerConnection):
            http.protocol.announce(response)

    def _report_open(self) -> None:
        """Update the metric of open requests."""
        self._metrics.state.set_in_flight(self._stop.open_requests)


def _is_gone(http: Request) -> bool:
    """Return whether the caller's connection is closed or closing."""
    return http.transport is None or http.transport.is_closing()
