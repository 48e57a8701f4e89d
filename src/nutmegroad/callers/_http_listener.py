"""An HTTP listener that also answers invalid requests with result codes.

aiohttp answers its own errors as text for people. Here they become the same
JSON as every other refusal, so that callers get one format.
"""

import asyncio
import socket
from asyncio.trsock import TransportSocket
from typing import Any, Final, Protocol

from aiohttp.http_exceptions import LineTooLong
from aiohttp.web import (
    Application,
    AppRunner,
    BaseRequest,
    HTTPException,
    RequestPayloadError,
    Server,
    StreamResponse,
)

from nutmegroad.callers._json_refusals import make_json_refusals
from nutmegroad.callers.replies import refuse
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.process_memory import resident_bytes
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Address, Ran, RequestId
from nutmegroad.ingress.connections import (
    CallerConnection,
    ConnectionLimits,
    InputGuard,
)
from nutmegroad.ingress.descriptors import (
    DescriptorAccount,
    descriptor_limit,
)
from nutmegroad.ingress.timeouts import ConnectionTimeouts
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.overload.acceptor import Acceptor, UnservedHandler
from nutmegroad.overload.listening import limit_buffers, listening_socket
from nutmegroad.overload.memory_budget import (
    connection_memory,
)

#: Seconds that replies in progress may take when a listener closes.
SHUTDOWN_TIMEOUT: Final = 1.0
#: How long callers may take. The configuration does not say.
LIMITS: Final = ConnectionLimits()
#: Maximum bytes of a request line or of one header.
MAX_LINE_BYTES: Final = 8190
#: Maximum number of headers of a request.
MAX_HEADERS: Final = 64

_LOG: Final = part_logger('http')
#: Request id of a reply to a request that has not been assigned one.
NO_REQUEST_ID: Final = RequestId('-')
_SERVER_ERROR: Final = 500
_NOT_FOUND: Final = 404
_NOT_ALLOWED: Final = 405
_TOO_LARGE: Final = 413


class Connection(CallerConnection):
    """One HTTP connection from a caller or an operator.

    Args:
        server: The aiohttp server, which tracks all connections.
        clock: The host's clock.
        guard: Limits what the caller sends.
    """

    __slots__ = ()

    def __init__(self, server: Server, clock: Clock, guard: InputGuard) -> None:
        super().__init__(
            server,
            clock,
            lambda: LIMITS,
            guard,
            access_log=None,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            max_headers=MAX_HEADERS,
        )

    def handle_error(
        self,
        request: BaseRequest,
        status: int = _SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> StreamResponse:
        """Return the refusal of a request that aiohttp could not handle.

        Raises:
            ConnectionError: If a reply has started already, or the caller
                has disconnected.
        """
        if request.writer.output_size > 0 or isinstance(exc, ConnectionError):
            raise ConnectionError from exc
        refusal = _unreadable_request(exc)
        if status == _SERVER_ERROR and not isinstance(exc, UnicodeError):
            _LOG.error('request could not be handled: %r', exc)
            refusal = internal_error()
        reply = refuse(refusal, NO_REQUEST_ID)
        reply.force_close()
        return reply

    def log_exception(self, *args: Any, **kw: Any) -> None:
        """Log an exception that aiohttp reports, as a line of this part."""
        error = kw.get('exc_info')
        if isinstance(error, RequestPayloadError):
            # The request was already refused, and aiohttp failed to read the
            # rest of its body.
            _LOG.info('request body not read to its end: %s', error.args)
            return
        _LOG.error('connection failed: %r', error)

    async def finish_response(
        self,
        request: BaseRequest,
        resp: StreamResponse,
        start_time: float | None,
    ) -> tuple[StreamResponse, bool]:
        """Send a reply, replacing aiohttp's own error pages by refusals."""
        if isinstance(resp, HTTPException):
            resp = refuse(http_error_refusal(resp), NO_REQUEST_ID)
        return await super().finish_response(request, resp, start_time)


class Listener(Protocol):
    """Serves HTTP applications."""

    async def listen(
        self,
        kernel: Kernel,
        app: Application,
        address: Address,
        unserved: UnservedHandler | None = None,
    ) -> Address:
        """Serve an application until the kernel closes.

        Args:
            kernel: The kernel.
            app: The application.
            address: Address to listen at.
            unserved: Handles the connections that an overloaded host does not
                serve; None if it serves all of them.

        Returns:
            The address listened on; its port is the actual one if the
            requested port was 0.
        """


class SocketListener:
    """Serves HTTP applications on TCP sockets."""

    async def listen(
        self,
        kernel: Kernel,
        app: Application,
        address: Address,
        unserved: UnservedHandler | None = None,
    ) -> Address:
        """Serve an application until the kernel closes."""
        server = await _start_server(kernel, app)
        timeouts = _watch(kernel, server)
        if unserved is None:
            return await _listen(kernel, server, address, timeouts)
        listener = listening_socket((address.ip, address.port))
        acceptor = Acceptor(
            listener,
            lambda: Connection(server, kernel.clock, timeouts),
            unserved,
            kernel.clock,
            DescriptorAccount(
                descriptor_limit(0),
                timeouts,
                kernel.clock,
                connection_memory(kernel.settings.memory_mb, resident_bytes()),
            ).has_room,
        )
        acceptor.start()
        kernel.stack.callback(acceptor.close)
        return _address_of(listener)


@register('part', 'listener')
class ListenerPart:
    """Provides the listener that serves the applications of other parts."""

    needs = ()

    async def open(self, kernel: Kernel) -> None:
        """Provide a listener on TCP sockets."""
        kernel.provide(Listener, SocketListener())


async def _start_server(kernel: Kernel, app: Application) -> Server:
    """Return a server of an application, which closes with the kernel."""
    runner = AppRunner(
        app,
        # The graceful stop has waited for open requests before this closes.
        shutdown_timeout=SHUTDOWN_TIMEOUT,
        handler_cancellation=True,
    )
    await runner.setup()
    kernel.stack.push_async_callback(runner.cleanup)
    server = runner.server
    if server is None:
        raise RuntimeError('the aiohttp runner has no server after its setup')
    return server


def _watch(kernel: Kernel, server: Server) -> ConnectionTimeouts:
    """Apply the time limits to connections until the kernel closes."""
    timeouts = ConnectionTimeouts(
        make_json_refusals(kernel), kernel.need(Metrics), kernel.clock
    )
    timeouts.watch(server)
    watching = asyncio.create_task(timeouts.run())
    kernel.stack.callback(watching.cancel)
    return timeouts


async def _listen(
    kernel: Kernel,
    server: Server,
    address: Address,
    timeouts: ConnectionTimeouts,
) -> Address:
    """Serve all connections to an address until the kernel closes."""
    listener = await asyncio.get_running_loop().create_server(
        lambda: Connection(server, kernel.clock, timeouts),
        address.ip,
        address.port,
    )
    kernel.stack.callback(listener.close)
    for sock in listener.sockets:
        limit_buffers(sock)
    return _address_of(listener.sockets[0])


def _address_of(listener: socket.socket | TransportSocket) -> Address:
    """Return the address that a socket listens at, with its actual port."""
    ip, port = listener.getsockname()[:2]
    return Address(ip, port)


def http_error_refusal(error: HTTPException) -> Refusal:
    """Return the refusal that corresponds to an error of aiohttp."""
    if error.status in {_NOT_FOUND, _NOT_ALLOWED}:
        return Refusal(
            ResultCode.ROUTE_UNKNOWN,
            f'There is no such path or method: {error.reason}.',
        )
    if error.status == _TOO_LARGE:
        return Refusal(
            ResultCode.BODY_TOO_LARGE,
            f'The body is too large: {error.text}.',
        )
    return Refusal(
        ResultCode.FIELD_INVALID,
        f'The request cannot be processed: {error.reason}.',
    )


def internal_error() -> Refusal:
    """Return the refusal of a request that failed by a fault of the host."""
    return Refusal(
        ResultCode.INTERNAL,
        'The request failed with an internal error; the log of this host has '
        "the details under the request's id.",
        Ran.UNKNOWN,
    )


def _unreadable_request(exc: BaseException | None) -> Refusal:
    """Return the refusal of bytes that cannot be parsed as a request."""
    if isinstance(exc, LineTooLong):
        return Refusal(
            ResultCode.FIELD_INVALID,
            f'A header line is longer than {MAX_LINE_BYTES} bytes.',
        )
    if isinstance(exc, UnicodeError):
        # aiohttp raises this when it puts an undecodable header into its
        # own error message.
        return Refusal(
            ResultCode.FIELD_INVALID,
            'A header contains bytes that are not text.',
        )
    return Refusal(
        ResultCode.BODY_MALFORMED,
        'The received bytes are not a valid HTTP/1.1 request.',
    )
