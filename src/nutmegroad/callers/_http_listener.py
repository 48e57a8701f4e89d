"""An HTTP listener that answers what is no proper request with a code too.

The library's own replies are text for people; callers get the same JSON for
every refusal, whoever found what was wrong.
"""

import asyncio
from typing import Any, Final, Protocol

from aiohttp.http_exceptions import LineTooLong
from aiohttp.web import (
    Application,
    AppRunner,
    BaseRequest,
    HTTPException,
    RequestHandler,
    RequestPayloadError,
    Server,
    StreamResponse,
)

from nutmegroad.callers.replies import refuse
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Address, Ran, RequestId
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register

#: Seconds that a listener's last replies may take when it closes.
LAST_REPLIES: Final = 1.0
#: Seconds from a connection to the end of its first request's headers.
HEADER_SECONDS: Final = 10.0
#: Seconds that a connection may be idle between requests; more than the
#: 60 s that balancers usually keep one.
KEEPALIVE_SECONDS: Final = 75.0
#: Bytes of a request line or a header, and how many headers there may be.
LONGEST_LINE: Final = 8190
MOST_HEADERS: Final = 64

_LOG: Final = part_logger('http')
#: In place of a request's id where nothing has named it yet.
NO_REQUEST: Final = RequestId('-')
_SERVER_ERROR: Final = 500
_NOT_FOUND: Final = 404
_NOT_ALLOWED: Final = 405
_TOO_LARGE: Final = 413


class Connection(RequestHandler):
    """One connection of a caller or an operator.

    Args:
        server: Knows all connections and the application.
    """

    __slots__ = ('_header_timer',)

    def __init__(self, server: Server) -> None:
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            access_log=None,  # type: ignore[arg-type]
            keepalive_timeout=KEEPALIVE_SECONDS,
            max_line_size=LONGEST_LINE,
            max_field_size=LONGEST_LINE,
            max_headers=MOST_HEADERS,
        )
        self._header_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin, and give the first request's headers their time."""
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        self._header_timer = loop.call_later(HEADER_SECONDS, self.force_close)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End."""
        self.headers_arrived()
        super().connection_lost(exc)

    def headers_arrived(self) -> None:
        """Learn that the first request's headers have come."""
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def handle_error(
        self,
        request: BaseRequest,
        status: int = _SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> StreamResponse:
        """Refuse what the library could not make a request of.

        Raises:
            ConnectionError: If a reply has begun already, or nobody is
                there to get one.
        """
        if request.writer.output_size > 0 or isinstance(exc, ConnectionError):
            raise ConnectionError from exc
        refusal = _unreadable(exc)
        if status == _SERVER_ERROR and not isinstance(exc, UnicodeError):
            _LOG.error('a request failed: %r', exc)
            refusal = internal()
        reply = refuse(refusal, NO_REQUEST)
        reply.force_close()
        return reply

    def log_exception(self, *args: Any, **kw: Any) -> None:
        """Log what the library did not expect, in our own form."""
        problem = kw.get('exc_info')
        if isinstance(problem, RequestPayloadError):
            # The rest of a body that was refused already.
            _LOG.info('a body was not read to its end: %s', problem.args)
            return
        _LOG.error('a connection failed: %r', problem)

    async def finish_response(
        self,
        request: BaseRequest,
        resp: StreamResponse,
        start_time: float | None,
    ) -> tuple[StreamResponse, bool]:
        """Send a reply; the library's own errors become refusals."""
        if isinstance(resp, HTTPException):
            resp = refuse(refusal_of(resp), NO_REQUEST)
        return await super().finish_response(request, resp, start_time)


class Listener(Protocol):
    """Serves applications."""

    async def listen(
        self,
        kernel: Kernel,
        app: Application,
        address: Address,
    ) -> Address:
        """Serve an application until the kernel closes.

        Returns:
            Where it listens; the port is known even if 0 was asked for.
        """


class SocketListener:
    """Serves applications on TCP sockets."""

    async def listen(
        self,
        kernel: Kernel,
        app: Application,
        address: Address,
    ) -> Address:
        """Serve an application until the kernel closes."""
        return await listen(kernel, app, address)


@register('part', 'listener')
class ListenerPart:
    """Provides what serves the applications of the other parts."""

    needs = ()

    async def open(self, kernel: Kernel) -> None:
        """Serve on sockets."""
        kernel.provide(Listener, SocketListener())


async def listen(
    kernel: Kernel,
    app: Application,
    address: Address,
) -> Address:
    """Serve an application until the kernel closes.

    Returns:
        Where it listens; the port is known even if 0 was asked for.
    """
    runner = AppRunner(
        app,
        # The graceful stop has waited for what was open before this.
        shutdown_timeout=LAST_REPLIES,
        handler_cancellation=True,
    )
    await runner.setup()
    kernel.stack.push_async_callback(runner.cleanup)
    server = runner.server
    if server is None:
        raise RuntimeError('the runner was set up')
    listener = await asyncio.get_running_loop().create_server(
        lambda: Connection(server),
        address.ip,
        address.port,
    )
    kernel.stack.callback(listener.close)
    ip, port = listener.sockets[0].getsockname()[:2]
    return Address(ip, port)


def refusal_of(problem: HTTPException) -> Refusal:
    """Return what a library's own error says, with a code."""
    if problem.status in {_NOT_FOUND, _NOT_ALLOWED}:
        return Refusal(
            ResultCode.ROUTE_UNKNOWN,
            f'There is no such path or method: {problem.reason}.',
        )
    if problem.status == _TOO_LARGE:
        return Refusal(
            ResultCode.BODY_TOO_LARGE,
            f'The body is too large: {problem.text}.',
        )
    return Refusal(
        ResultCode.FIELD_INVALID,
        f'The request can not be served: {problem.reason}.',
    )


def internal() -> Refusal:
    """Say that the program itself failed."""
    return Refusal(
        ResultCode.INTERNAL,
        'The host failed at this request; its log tells more under the '
        "request's id.",
        Ran.UNKNOWN,
    )


def _unreadable(exc: BaseException | None) -> Refusal:
    """Say what is wrong with what is no request."""
    if isinstance(exc, LineTooLong):
        return Refusal(
            ResultCode.FIELD_INVALID,
            f'A line of the headers has more than {LONGEST_LINE} bytes.',
        )
    if isinstance(exc, UnicodeError):
        # The library fails at showing a header that it can not read.
        return Refusal(
            ResultCode.FIELD_INVALID,
            'A header holds bytes that are no text.',
        )
    return Refusal(
        ResultCode.BODY_MALFORMED,
        'What came is no HTTP/1.1 request that can be read.',
    )
