"""A caller's connection, and what it is waiting for."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum, unique
from math import inf
from typing import Any, Final, Protocol

from aiohttp import StreamReader, web
from aiohttp.http_parser import RawRequestMessage

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.progress import ProgressGuard
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.overload.departures import has_unread

#: Header that announces for how long an idle connection is kept.
KEEP_ALIVE: Final = 'Keep-Alive'

#: Ratio of the bytes of a head to those of the names and texts of its fields. A
#: head has a request line, too, and four bytes beside each field.
HEAD_FACTOR: Final = 2

#: Bytes that a head may always have: those of its first line have no limit of
#: their own.
HEAD_BYTES: Final = 32_768

#: Bytes of a body that wait to be read by the handler of its request. Reading
#: from the connection pauses at twice as many.
READ_BUFFER: Final = 16_384

#: Bytes of an answer that wait to be taken by the caller before its handler has
#: to wait, too.
WRITE_BUFFER: Final = 16_384

#: Seconds for which a closed connection may have bytes that its caller has not
#: taken.
CLOSE_TIMEOUT: Final = 10.0

#: Seconds after which the base class closes idle connections by itself; the
#: operator's limit is far below.
_NEVER: Final = 86_400


@unique
class ConnectionState(Enum):
    """What a caller's connection is waiting for."""

    #: Nothing has arrived on it.
    SILENT = 'silent'
    #: The head of a request has begun to arrive.
    HEAD = 'head'
    #: The body of a request has begun to arrive.
    BODY = 'body'
    #: A request is being handled.
    REQUEST = 'request'
    #: Its last request has been answered.
    IDLE = 'idle'


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """How long callers may take, and what they may send.

    Attributes:
        header_timeout: Seconds from the first byte of a request's head to its
            last.
        idle_timeout: Seconds for which a connection is kept without any byte of
            a request. By default more than the 60 s for which load balancers
            usually keep one.
        head_bytes: Maximum bytes from the end of a request, or from the
            beginning of the connection, to the end of the next head. Empty
            lines count, and so do the parts of a body that carry none of it.
    """

    header_timeout: float = 10.0
    idle_timeout: float = 75.0
    head_bytes: int = HEAD_BYTES


class BodyInterruptedError(TimeoutError):
    """The reading of a body was interrupted.

    It is a timeout to the base class, which discards the rest of a body.

    Attributes:
        refusal: The refusal of its request.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


#: Returns the limits in force.
Limits = Callable[[], ConnectionLimits]


class InputGuard(Protocol):
    """Limits what callers may send before a request is complete."""

    def refuse_excess(
        self, connection: 'CallerConnection', refusal: Refusal
    ) -> None:
        """Refuse what a caller sends beyond a limit."""

    def head_begun(self, connection: 'CallerConnection') -> None:
        """Count a connection with the beginning of a head, or refuse it."""

    def head_ended(self, connection: 'CallerConnection') -> None:
        """No longer count a connection."""


class CallerConnection(web.RequestHandler):
    """An HTTP connection from a caller.

    Args:
        server: The server, which tracks all of its connections.
        clock: The host's clock.
        limits: Returns the limits in force.
        guard: Limits what the caller sends.
        options: Options of the base class.
    """

    __slots__ = (
        '_arriving',
        '_body',
        '_body_since',
        '_clock',
        '_guard',
        '_has_partial_head',
        '_progress',
        'head_since',
        'is_kept',
        'limits',
        'waiting_since',
    )

    def __init__(
        self,
        server: web.Server,
        clock: Clock,
        limits: Limits,
        guard: InputGuard,
        **options: Any,
    ) -> None:
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=_NEVER,
            read_bufsize=READ_BUFFER,
            **options,
        )
        self.limits = limits
        self._guard = guard
        self._has_partial_head = False
        # Counts what arrives without completing a head or adding to a body.
        self._progress = ProgressGuard()
        # The body of the request that arrived last.
        self._arriving: StreamReader | None = None
        self._clock = clock
        self._body: StreamReader | None = None
        self._body_since: float = 0
        #: Clock seconds at which the head that is incomplete began to arrive;
        #: None without one.
        self.head_since: float | None = None
        #: Clock seconds since which it is known to wait for a request; None
        #: while there is one.
        self.waiting_since: float | None = clock.now()
        #: Whether it has had a request.
        self.is_kept = False

    @property
    def has_request(self) -> bool:
        """Whether the head of a request has arrived that is not answered."""
        return self._waiter is None or self._waiter.done()

    @property
    def state(self) -> ConnectionState:
        """What the connection is waiting for."""
        if self._body is not None:
            return ConnectionState.BODY
        if self.has_request:
            return ConnectionState.REQUEST
        if self.head_since is not None:
            return ConnectionState.HEAD
        return ConnectionState.IDLE if self.is_kept else ConnectionState.SILENT

    @property
    def since(self) -> float:
        """Clock seconds since which it has been waiting, as far as known."""
        if self._body is not None:
            return self._body_since
        if self.head_since is not None:
            return self.head_since
        return inf if self.waiting_since is None else self.waiting_since

    @property
    def has_unread(self) -> bool:
        """Whether bytes have arrived that were not read yet."""
        if self.transport is None:
            return False
        return has_unread(self.transport.get_extra_info('socket').fileno())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit what is buffered for the caller."""
        super().connection_made(transport)
        if isinstance(transport, asyncio.WriteTransport):
            transport.set_write_buffer_limits(WRITE_BUFFER)

    async def start(self) -> None:
        """Handle requests until the connection is closed."""
        transport = self.transport
        try:
            await super().start()
        finally:
            if transport is not None and transport.get_write_buffer_size():
                # A caller that takes nothing would keep it open.
                self._loop.call_later(CLOSE_TIMEOUT, transport.abort)

    def data_received(self, received: bytes) -> None:
        """Parse received bytes, and note when a head begins."""
        if self._close:
            return
        if self.head_since is None and received:
            self.head_since = self._clock.now()
        super().data_received(received)
        if self.has_request:
            self.head_since = None
            self.waiting_since = None
            self.is_kept = True
        if received:
            self._limit_input(len(received))
        if self._has_partial_head != (self.head_since is not None):
            self._count_head()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what the connection holds."""
        super().connection_lost(exc)
        self.head_since = None
        self._guard.head_ended(self)

    def announce(self, response: web.StreamResponse) -> None:
        """Tell the caller for how long the connection is kept while idle."""
        seconds = int(self.limits().idle_timeout)
        response.headers[KEEP_ALIVE] = f'timeout={seconds}'

    @contextmanager
    def reading(self, body: StreamReader) -> Iterator[None]:
        """Read the body of a request in a block, which may be interrupted."""
        self._body = body
        self._body_since = self._clock.now()
        try:
            yield
        finally:
            self._body = None

    def interrupt_body(self, refusal: Refusal) -> None:
        """End the reading of a body; its request is refused."""
        if self._body is not None:
            self._body.set_exception(BodyInterruptedError(refusal))

    def finish(self) -> None:
        """Close the connection after the present request.

        What still arrives is read and dropped: unread bytes would reset the
        connection, and with it the answer.
        """
        self.close()

    def end(self, last_words: bytes = b'') -> None:
        """Close the connection.

        Args:
            last_words: A response to send before.
        """
        if self.transport is not None and last_words:
            self.transport.write(last_words)
        self.force_close()

    def _limit_input(self, size: int) -> None:
        """Stop a caller that sends on and on without completing a request.

        Args:
            size: Number of bytes that have just been parsed.
        """
        if self._messages:
            message, body = self._messages[-1]
            if not isinstance(message, RawRequestMessage):
                # The parser has failed, and would do so at each further read.
                self._pause_reading_for_buffer()
                return
            self._arriving = body
        arriving = self._arriving
        delivered = self._request_count, arriving and arriving.total_bytes
        limit = self.limits().head_bytes
        if self._progress.is_stuck(size, delivered, limit):
            self._guard.refuse_excess(self, _too_large(limit))

    def _count_head(self) -> None:
        """Count a head that has begun and is not complete, or stop counting."""
        self._has_partial_head = self.head_since is not None
        if self._has_partial_head:
            self._guard.head_begun(self)
        else:
            self._guard.head_ended(self)


class _NoGuard:
    """Ends connections without an answer, for a server that nothing watches."""

    def refuse_excess(
        self, connection: CallerConnection, _refusal: Refusal
    ) -> None:
        """Close a connection."""
        connection.end()

    def head_begun(self, _connection: CallerConnection) -> None:
        """Count nothing."""

    def head_ended(self, _connection: CallerConnection) -> None:
        """Count nothing."""


class CallerServer(web.Server):
    """Serves the connections of a listener.

    Args:
        answer: Handles one request.
        clock: The host's clock.
        limits: Returns the limits in force.
        options: Options of each connection.
    """

    def __init__(
        self, answer: Any, clock: Clock, limits: Limits, **options: Any
    ) -> None:
        super().__init__(answer, handler_cancellation=True)
        self._clock = clock
        self._limits = limits
        self._options = options
        #: Limits what callers send.
        self.guard: InputGuard = _NoGuard()

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(
            self,
            self._clock,
            self._limits,
            self.guard,
            **self._options,
        )


@contextmanager
def reading_body(http: web.BaseRequest) -> Iterator[None]:
    """Read the body of a request in a block.

    Raises:
        BodyInterruptedError: If its connection is needed for another caller.
    """
    connection = http.protocol
    if http.content.is_eof() or not isinstance(connection, CallerConnection):
        yield
        return
    with connection.reading(http.content):
        yield


def head_limit(header_bytes: int) -> int:
    """Return the maximum bytes of a head.

    Args:
        header_bytes: Maximum bytes of the names and texts of its fields.
    """
    return max(HEAD_BYTES, HEAD_FACTOR * header_bytes)


def _too_large(limit: int) -> Refusal:
    """Return the refusal of a head that is too large, or has no end."""
    return Refusal(
        ResultCode.HEADERS_TOO_LARGE,
        f'The head of the request has more than {limit} bytes.',
    )
