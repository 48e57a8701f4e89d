"""A caller's connection, and what it is waiting for."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum, unique
from math import inf
from typing import Any, Final

from aiohttp import StreamReader, web

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal
from nutmegroad.overload.departures import has_unread

#: Header that announces for how long an idle connection is kept.
KEEP_ALIVE: Final = 'Keep-Alive'

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
    """How long callers may take.

    Attributes:
        header_timeout: Seconds from the first byte of a request's head to its
            last.
        idle_timeout: Seconds for which a connection is kept without any byte of
            a request. By default more than the 60 s for which load balancers
            usually keep one.
    """

    header_timeout: float = 10.0
    idle_timeout: float = 75.0


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


class CallerConnection(web.RequestHandler):
    """An HTTP connection from a caller.

    Args:
        server: The server, which tracks all of its connections.
        clock: The host's clock.
        limits: Returns the limits in force.
        options: Options of the base class.
    """

    __slots__ = (
        '_body',
        '_body_since',
        '_clock',
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
        **options: Any,
    ) -> None:
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=_NEVER,
            **options,
        )
        self.limits = limits
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

    def data_received(self, received: bytes) -> None:
        """Parse received bytes, and note when a head begins."""
        if self.head_since is None and received:
            self.head_since = self._clock.now()
        super().data_received(received)
        if self.has_request:
            self.head_since = None
            self.waiting_since = None
            self.is_kept = True

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

    def end(self, last_words: bytes = b'') -> None:
        """Close the connection.

        Args:
            last_words: A response to send before.
        """
        if self.transport is not None and last_words:
            self.transport.write(last_words)
        self.force_close()


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

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(
            self, self._clock, self._limits, **self._options
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
