"""A connection to an upstream, with the library's parser on it.

It carries one exchange at a time and knows what a pool must know of it:
whether the request's bytes may have left, and whether it may be used again.
An answer that echoes another request's id belongs to nobody; it is logged,
dropped, and the connection is not used again.
"""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, TypeGuard, cast

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpResponseParser, RawResponseMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from multidict import CIMultiDictProxy

from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import Address
from nutmegroad.routes.headers import RawHeaders

_LOG: Final = part_logger('connections')

#: Bytes of an answer that wait for a slow caller before reading stops.
BUFFERED: Final = 65_536

#: Seconds of silence after which the kernel asks whether a peer is there,
#: and between its questions. A connection may go silent for good without a
#: reset; three seconds is the least span in which any bound of a deployment
#: lets us notice, and one of them is left for the reply.
KEEPALIVE_IDLE: Final = 1
KEEPALIVE_PROBES: Final = 2
#: Milliseconds for which sent bytes may stay unacknowledged.
USER_TIMEOUT: Final = 1500

#: Responses below this status are interim ones.
_FIRST_FINAL: Final = 200


class ConnectionFailedError(Exception):
    """An upstream's connection broke, or carried what is no answer.

    Attributes:
        sent: Whether bytes of the request may have reached the upstream.
        refused: Whether its machine said that nobody listens there.
    """

    def __init__(
        self,
        reason: str,
        *,
        sent: bool,
        refused: bool = False,
    ) -> None:
        super().__init__(reason)
        self.sent = sent
        self.refused = refused


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The beginning of an upstream's answer.

    Attributes:
        status: HTTP status.
        reason: The words beside it.
        headers: For look-ups.
        raw: All headers as they were received.
        body: The rest of the answer.
    """

    status: int
    reason: str
    headers: CIMultiDictProxy[str]
    raw: RawHeaders
    body: StreamReader


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The beginning of a request to an upstream.

    Attributes:
        method: HTTP method.
        target: Path and query, byte for byte.
        headers: All headers, the framing too.
    """

    method: str
    target: bytes
    headers: RawHeaders

    def encode(self) -> bytes:
        """Return the bytes that are sent."""
        lines = [b'%s %s HTTP/1.1' % (self.method.encode(), self.target)]
        lines.extend(b'%s: %s' % header for header in self.headers)
        lines.append(b'\r\n')
        return b'\r\n'.join(lines)


#: Tells whether an answer's headers are those of the exchange under way.
BelongsHere = Callable[[RawResponseMessage], bool]


class UpstreamConnection(BaseProtocol):
    """One connection, one exchange at a time.

    Args:
        loop: The running event loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._belongs: BelongsHere | None = None
        self._answer: asyncio.Future[ResponseHead] | None = None
        self._body: StreamReader | None = None
        self._keep = True
        self._lost = asyncio.Event()
        #: Clock seconds since which it has been idle; the pool's to set.
        self.idle_since: float = 0
        #: Seconds for which the upstream keeps it idle; 0 if not said.
        self.keeps_idle: float = 0

    @property
    def reusable(self) -> bool:
        """Tell whether another exchange may follow on it."""
        if not self._keep or self.transport is None:
            return False
        if self.transport.is_closing():
            return False
        # One whose request was given up still owes an answer.
        return self._answer is None or self.finished

    @property
    def finished(self) -> bool:
        """Tell whether the answer has been received whole."""
        return self._body is not None and self._body.is_eof()

    def data_received(self, data: bytes) -> None:
        """Parse what came; what nobody asked for spoils the connection."""
        if self._parser is None or (data and self.finished):
            _LOG.decision('stray bytes dropped', size=len(data))
            self.abort()
            return
        try:
            messages, _, _ = self._parser.feed_data(data)
        except HttpProcessingError as problem:
            self.fail(f'not an answer: {problem.message}')
            return
        for message, payload in messages:
            self._take(message, payload)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the exchange under way; an orderly end may complete it."""
        super().connection_lost(exc)
        self._lost.set()
        if self._parser is not None and exc is None:
            self._end_of_input()
        self.fail('connection reset' if exc else 'connection closed')

    async def closes_within(self, seconds: float) -> bool:
        """Wait for the other side to close it; tell whether it did."""
        try:
            async with asyncio.timeout(seconds):
                await self._lost.wait()
        except TimeoutError:
            return False
        return True

    def abort(self) -> None:
        """Close at once; the upstream sees that nobody waits any more."""
        self._keep = False
        if self._answer is not None:
            self._answer.cancel()
        if self.transport is not None:
            self.transport.abort()

    def exchange(
        self,
        head: RequestHead,
        body: bytes,
        belongs: BelongsHere,
    ) -> asyncio.Future[ResponseHead]:
        """Send a request and return the beginning of its answer to come.

        Raises:
            ConnectionFailedError: If the connection broke before.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            raise ConnectionFailedError('connection closed', sent=False)
        answer = self._begin(belongs)
        transport.writelines((head.encode(), body))
        return answer

    def _begin(self, belongs: BelongsHere) -> asyncio.Future[ResponseHead]:
        """Make ready for an answer."""
        self._belongs = belongs
        self._body = None
        answer: asyncio.Future[ResponseHead] = self._loop.create_future()
        self._answer = answer
        self._parser = HttpResponseParser(
            self,
            self._loop,
            BUFFERED,
            payload_exception=ConnectionResetError,
            read_until_eof=True,
            auto_decompress=False,
        )
        return answer

    def _take(
        self,
        message: RawResponseMessage,
        payload: StreamReader,
    ) -> None:
        """Hand an answer to whom it is for, or count it as a stray."""
        if message.code < _FIRST_FINAL:
            return
        answer = self._answer
        if answer is None or answer.done() or not self._is_ours(message):
            _LOG.decision('stray answer dropped', status=message.code)
            self._keep = False
            return
        self._body = payload
        self._keep = self._keep and not message.should_close
        self.keeps_idle = _idle_limit(message)
        answer.set_result(
            ResponseHead(
                message.code,
                message.reason,
                message.headers,
                message.raw_headers,
                payload,
            ),
        )

    def _is_ours(self, message: RawResponseMessage) -> bool:
        """Tell whether an answer is to the request under way."""
        return self._belongs is not None and self._belongs(message)

    def _end_of_input(self) -> None:
        """Tell the parser that nothing more comes."""
        parser = cast(HttpResponseParser, self._parser)
        try:
            parser.feed_eof()
        except HttpProcessingError as problem:
            self.fail(f'answer cut: {problem.message}')

    def fail(self, reason: str) -> None:
        """End the exchange under way without a whole answer, and close."""
        self._keep = False
        error = ConnectionFailedError(reason, sent=True)
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(error)
        body = self._body
        if _is_open(body):
            body.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


def _is_open(body: StreamReader | None) -> TypeGuard[StreamReader]:
    """Tell whether more of a body was to come."""
    if body is None or body is EMPTY_PAYLOAD:
        return False
    return not body.is_eof() and body.exception() is None


def _idle_limit(message: RawResponseMessage) -> float:
    """Return the seconds that an answer's Keep-Alive header gives."""
    text = message.headers.get('Keep-Alive', '')
    for word in text.split(','):
        name, _, number = word.strip().partition('=')
        if name.lower() == 'timeout' and number.strip().isdigit():
            return float(number)
    return 0


def prepare_socket(made: socket.socket) -> None:
    """Let the kernel notice a peer that has gone silent."""
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    options = (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE),
        (socket.TCP_KEEPINTVL, KEEPALIVE_IDLE),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT),
    )
    for option, number in options:
        made.setsockopt(socket.IPPROTO_TCP, option, number)


async def connect(address: Address, timeout: float) -> UpstreamConnection:
    """Open a connection.

    Raises:
        ConnectionFailedError: If it can't be had in time; nothing was sent.
    """
    loop = asyncio.get_running_loop()
    made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    made.setblocking(False)
    prepare_socket(made)
    try:
        async with asyncio.timeout(timeout):
            await loop.sock_connect(made, (address.ip, address.port))
            _, connection = await loop.create_connection(
                lambda: UpstreamConnection(loop),
                sock=made,
            )
    except TimeoutError as silence:
        made.close()
        reason = f'no connection within {timeout:.2f} s'
        raise ConnectionFailedError(reason, sent=False) from silence
    except OSError as problem:
        made.close()
        raise ConnectionFailedError(
            str(problem),
            sent=False,
            refused=isinstance(problem, ConnectionRefusedError),
        ) from problem
    except asyncio.CancelledError:
        made.close()
        raise
    return connection
