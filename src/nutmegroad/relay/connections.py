"""A connection to an upstream, built on the parser of aiohttp.

It carries one exchange. An upstream may send bytes behind an answer, early or
late, and some of its answers name no request, so on a connection that is used
again nothing tells which request an answer belongs to. A response that echoes
the id of another request is logged and dropped.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from itertools import count
from typing import Final, TypeGuard, cast

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpResponseParser, RawResponseMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from multidict import CIMultiDictProxy

from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.progress import (
    MAX_WITHOUT_PROGRESS,
    ProgressGuard,
)
from nutmegroad.foundations.timeouts import ReadTimeout
from nutmegroad.foundations.types import Address, HostId
from nutmegroad.relay.sockets import ConnectionFailedError, connect_protocol
from nutmegroad.routes.headers import RawHeaders

_LOG: Final = part_logger('connections')

#: Bytes of a response that are buffered for a slow caller before reading
#: pauses, at twice as many.
BUFFER_BYTES: Final = 16_384

#: Responses with a status below this one are interim responses.
_FIRST_FINAL: Final = 200

_NUMBERS: Final = count(1)


@unique
class Framing(Enum):
    """What marks the end of a response body."""

    #: The body has a length, which may be zero.
    LENGTH = 'length'
    #: The last chunk.
    CHUNKED = 'chunked'
    #: The end of the connection.
    CONNECTION = 'connection'


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of an upstream's response.

    Attributes:
        status: HTTP status.
        reason: HTTP reason phrase.
        headers: Headers for case-insensitive lookups.
        raw: All headers as received.
        body: Stream of the body.
        framing: What marks the end of the body.
    """

    status: int
    reason: str
    headers: CIMultiDictProxy[str]
    raw: RawHeaders
    body: StreamReader
    framing: Framing


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a request to an upstream.

    Attributes:
        method: HTTP method.
        target: Path and query, byte for byte.
        headers: All headers, including those of the framing.
    """

    method: str
    target: bytes
    headers: RawHeaders

    def encode(self) -> bytes:
        """Return the bytes to send."""
        lines = [b'%s %s HTTP/1.1' % (self.method.encode(), self.target)]
        lines.extend(b'%s: %s' % header for header in self.headers)
        lines.append(b'\r\n')
        return b'\r\n'.join(lines)


@unique
class AnswerIdentity(Enum):
    """Which request a response answers, by the id that it echoes."""

    #: The pending one.
    PENDING = 'pending'
    #: An error response names none; only the pending one is left to it.
    UNNAMED = 'unnamed'
    OTHER = 'other'


#: Returns which request a response answers.
AnswerMatcher = Callable[[RawResponseMessage], AnswerIdentity]


class UpstreamConnection(BaseProtocol):
    """A connection to an upstream, for one exchange.

    Args:
        loop: The running event loop.
        via: The host that has opened it for this one; None if it is direct.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, via: HostId | None = None
    ) -> None:
        super().__init__(loop)
        self.via = via
        #: Number of the exchange, for the log.
        self.number: Final = next(_NUMBERS)
        self._matches: AnswerMatcher | None = None
        self._answer: asyncio.Future[ResponseHead] | None = None
        self._body: StreamReader | None = None
        self._peer_closed = False
        self._progress = ProgressGuard()
        self._lost = asyncio.Event()
        #: Which request the answer named; None before its head.
        self.identity: AnswerIdentity | None = None

    @property
    def finished(self) -> bool:
        """Whether the response has been received completely."""
        return self._body is not None and self._body.is_eof()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; unrequested bytes abort the connection."""
        if self._parser is None or (data and self.finished):
            _LOG.decision(
                'stray bytes dropped',
                size=len(data),
                exchange=self.number,
            )
            self.abort()
            return
        try:
            messages, _, _ = self._parser.feed_data(data)
        except HttpProcessingError as problem:
            self.fail(f'invalid HTTP response: {problem.message}')
            return
        for message, payload in messages:
            self._deliver(message, payload)
        body = self._body
        delivered = None if body is None else body.total_bytes
        if self._progress.is_stuck(len(data), delivered):
            self.fail(f'{MAX_WITHOUT_PROGRESS} bytes without content')

    def eof_received(self) -> None:
        """Record that the upstream has closed its side of the connection."""
        self._peer_closed = True

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the pending exchange, unless an orderly close completes it.

        A local abort has no exception, but it does not complete an answer.
        """
        super().connection_lost(exc)
        self._lost.set()
        if self._parser is not None and exc is None and self._peer_closed:
            self._end_of_input()
        self.fail('connection reset' if exc else 'connection closed')

    async def closes_within(self, seconds: float) -> bool:
        """Wait for the peer to close the connection.

        Args:
            seconds: Maximum time to wait.

        Returns:
            Whether it was closed in time.
        """
        try:
            async with ReadTimeout(seconds):
                await self._lost.wait()
        except TimeoutError:
            return False
        return True

    def abort(self) -> None:
        """Close immediately; the upstream sees the request cancelled."""
        if self._answer is not None:
            self._answer.cancel()
        if self.transport is not None:
            self.transport.abort()

    def exchange(
        self,
        head: RequestHead,
        body: bytes,
        matches: AnswerMatcher,
    ) -> asyncio.Future[ResponseHead]:
        """Send a request; return a future of the response head.

        Raises:
            ConnectionFailedError: If the connection is already closed.
            RuntimeError: If it has carried an exchange.
        """
        if self._answer is not None:
            raise RuntimeError('a connection carries one exchange')
        transport = self.transport
        if transport is None or transport.is_closing():
            raise ConnectionFailedError('connection closed', sent=False)
        answer = self._expect_response(matches)
        transport.writelines((head.encode(), body))
        return answer

    def _expect_response(
        self, matches: AnswerMatcher
    ) -> asyncio.Future[ResponseHead]:
        """Prepare the parser and the future for a response."""
        self._matches = matches
        answer: asyncio.Future[ResponseHead] = self._loop.create_future()
        self._answer = answer
        self._parser = HttpResponseParser(
            self,
            self._loop,
            BUFFER_BYTES,
            payload_exception=ConnectionResetError,
            read_until_eof=True,
            auto_decompress=False,
        )
        return answer

    def _deliver(
        self,
        message: RawResponseMessage,
        payload: StreamReader,
    ) -> None:
        """Deliver a response to the pending request, or drop it as stray."""
        if message.code < _FIRST_FINAL:
            return
        answer = self._answer
        identity = self._identify(message)
        if answer is None or answer.done() or identity is AnswerIdentity.OTHER:
            _LOG.decision(
                'stray answer dropped',
                status=message.code,
                exchange=self.number,
            )
            return
        self._body = payload
        self.identity = identity
        answer.set_result(
            ResponseHead(
                message.code,
                message.reason,
                message.headers,
                message.raw_headers,
                payload,
                _framing(message, payload),
            ),
        )

    def _identify(self, message: RawResponseMessage) -> AnswerIdentity:
        """Return which request a response answers."""
        if self._matches is None:
            return AnswerIdentity.OTHER
        return self._matches(message)

    def _end_of_input(self) -> None:
        """Pass the end of input to the parser."""
        parser = cast(HttpResponseParser, self._parser)
        try:
            parser.feed_eof()
        except HttpProcessingError as problem:
            self.fail(f'response truncated: {problem.message}')

    def fail(self, reason: str) -> None:
        """Fail the pending exchange, and close the connection."""
        error = ConnectionFailedError(reason, sent=True)
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(error)
        body = self._body
        if _is_open(body):
            body.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


def _is_open(body: StreamReader | None) -> TypeGuard[StreamReader]:
    """Return whether more of a body is expected."""
    if body is None or body is EMPTY_PAYLOAD:
        return False
    return not body.is_eof() and body.exception() is None


def _framing(message: RawResponseMessage, payload: StreamReader) -> Framing:
    """Return what marks the end of a response body."""
    if message.chunked:
        return Framing.CHUNKED
    if payload is EMPTY_PAYLOAD or 'Content-Length' in message.headers:
        return Framing.LENGTH
    return Framing.CONNECTION


class Connector:
    """Opens connections to upstreams.

    Args:
        source_ip: IP address to connect from, by which upstreams and their
            networks can tell hosts apart; empty to let the kernel choose.
    """

    def __init__(self, source_ip: str = '') -> None:
        self.source_ip = source_ip

    async def open(
        self, address: Address, timeout: float
    ) -> UpstreamConnection:
        """Open a connection to an upstream.

        Args:
            address: Address of the upstream.
            timeout: Maximum seconds to wait.

        Raises:
            ConnectionFailedError: If it can't be opened in time; nothing was
                sent.
        """
        connection = UpstreamConnection(asyncio.get_running_loop())
        await connect_protocol(
            address, lambda: connection, timeout, self.source_ip
        )
        return connection
