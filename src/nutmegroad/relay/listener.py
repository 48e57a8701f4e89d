"""HTTP listeners of a host, and replies to its callers, built on aiohttp."""

import asyncio
import socket
from collections.abc import Awaitable, Callable, Collection, Mapping
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Final

from aiohttp import web
from multidict import CIMultiDict

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import Address
from nutmegroad.ingress.connections import (
    CallerConnection,
    CallerServer,
    Limits,
)
from nutmegroad.ingress.delivery import deliver
from nutmegroad.ingress.descriptors import DescriptorAccount
from nutmegroad.ingress.timeouts import ConnectionTimeouts
from nutmegroad.overload.acceptor import (
    Acceptor,
    UnservedHandler,
)
from nutmegroad.overload.departures import has_departed
from nutmegroad.overload.listening import listening_socket
from nutmegroad.overload.memory_budget import Holding
from nutmegroad.relay.refusals import CallerRefusal
from nutmegroad.routes.headers import RawHeaders

#: Seconds for requests that have been read to reach their handlers.
READ_SETTLE_SECONDS: Final = 0.05

#: Iterations of the event loop in which an accepted connection is opened, and
#: its request read and handed to a handler. A late host needs as many.
READ_ITERATIONS: Final = 12

#: Maximum bytes of a line or of one header, applied before the route and its
#: configured limit are known. It is twice what operators allow for all headers
#: of a request.
HEADER_BYTES: Final = 32_768

#: Seconds that handlers may take to end when the host closes.
SHUTDOWN_TIMEOUT: Final = 0.1

_LOG: Final = part_logger('listener')

_RETRY_AFTER: Final = 'Retry-After'


#: Sockets that already listen, by their address as IP:PORT.
BoundSockets = Mapping[str, socket.socket]


class HttpReply:
    """Sends the answer of one HTTP exchange with a caller.

    Args:
        request: The request to answer.
        closing: Returns whether to close the connection after the answer.
        max_stall: Seconds for which the caller may take nothing of an answer.
        holding: Accounts for the bytes of the request and its answer.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        closing: Callable[[], bool],
        max_stall: float,
        holding: Holding,
    ) -> None:
        self._request = request
        self._closing = closing
        self._max_stall = max_stall
        self._holding = holding
        self._stream: web.StreamResponse | None = None
        #: Whether the answer is complete, so that nothing else may be sent.
        self.is_complete = False
        #: HTTP status that was sent; 0 before the head.
        self.status = 0
        #: The response that was sent last; None before the head.
        self.response: web.StreamResponse | None = None

    @property
    def stream_started(self) -> bool:
        """Whether the head of a stream has been sent."""
        return self._stream is not None

    @property
    def caller_left(self) -> bool:
        """Whether the caller has closed its connection."""
        return has_departed(self._request.transport)

    def complete(
        self,
        status: int,
        reason: str,
        headers: RawHeaders,
        body: bytes,
    ) -> None:
        """Answer with an upstream's complete answer."""
        self._complete(
            web.Response(
                status=status,
                reason=reason,
                headers=_decode(headers),
                body=body,
            )
        )

    async def start_stream(
        self,
        status: int,
        reason: str,
        headers: RawHeaders,
    ) -> None:
        """Send the head of a stream."""
        stream = web.StreamResponse(
            status=status,
            reason=reason,
            headers=_decode(headers),
        )
        stream.enable_chunked_encoding()
        self._record(stream)
        await stream.prepare(self._request)
        self._stream = stream

    async def write(self, text: bytes) -> None:
        """Send a part of a stream, when the caller has taken those before."""
        transport = self._request.transport
        if self._stream is None or transport is None:
            return
        with self._holding.awaiting_caller(transport.abort):
            await self._stream.write(text)
            await self._request.writer.drain()

    def finish_stream(self) -> None:
        """End a complete stream."""
        self.is_complete = self._stream is not None

    def abort(self) -> None:
        """Close the connection without the last chunk of a stream."""
        transport = self._request.transport
        if transport is not None:
            transport.close()
            # What was written before is still sent, to a caller that reads.
            asyncio.get_running_loop().call_later(
                self._max_stall, transport.abort
            )

    def refuse(self, refusal: CallerRefusal) -> None:
        """Answer with a refusal by this host.

        Nothing is sent to a caller that has left.
        """
        if self.caller_left:
            return
        response = web.Response(status=refusal.status, text=refusal.text)
        if refusal.retry_after > 0:
            response.headers[_RETRY_AFTER] = f'{refusal.retry_after:.2f}'
        if refusal.proof:
            response.headers[refusal.proof] = '1'
        if refusal.close:
            response.force_close()
        self._complete(response)

    async def deliver(self) -> int | None:
        """Send a complete answer for as long as the caller takes it.

        The deadline of the request does not end this: a part of the answer may
        have been written, after which no other one can follow.

        Returns:
            How many bytes the caller had taken when its connection was aborted
            because it took no more; None if it was not.
        """
        response = self.response
        if not self.is_complete or response is None:
            return None
        return await deliver(
            self._request, response, self._max_stall, self._holding
        )

    def _complete(self, response: web.Response) -> None:
        """Set the answer, unless there is one."""
        if self.response is None:
            self._record(response)
            self.is_complete = True

    def _record(self, response: web.StreamResponse) -> None:
        """Record the response that is about to be sent."""
        self.status = response.status
        self.response = response
        connection = self._request.protocol
        if self._closing():
            response.force_close()
        elif isinstance(connection, CallerConnection):
            connection.announce(response)


#: Handles one request, and returns the response that was or is to be sent.
Answer = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@dataclass(frozen=True, slots=True)
class Listening:
    """A listener and the HTTP server of its connections.

    Attributes:
        listener: Accepts connections.
        server: Serves connections.
    """

    listener: Acceptor
    server: web.Server

    async def close(self, busy: Collection[object], clock: Clock) -> None:
        """Stop accepting connections, and close the idle ones.

        Requests that have been read or were queued are answered. Reading from
        idle connections stops first; after ``READ_SETTLE_SECONDS`` a connection
        with a request is busy.

        Args:
            busy: Connections on which a request is being answered; updated
                meanwhile.
            clock: The host's clock.
        """
        self.listener.close()
        while self.listener.queued:
            await clock.sleep(0)
        for _ in range(READ_ITERATIONS):
            await clock.sleep(0)
        idle = [each for each in self.server.connections if each not in busy]
        for connection in idle:
            if connection.transport is not None:
                connection.transport.pause_reading()
        await clock.sleep(READ_SETTLE_SECONDS)
        for connection in idle:
            if connection not in busy:
                connection.force_close()
            elif connection.transport is not None:
                connection.transport.resume_reading()


def make_server(answer: Answer, clock: Clock, limits: Limits) -> CallerServer:
    """Return a server that cancels a handler if its caller disconnects."""
    return CallerServer(
        answer,
        clock,
        limits,
        access_log=None,
        auto_decompress=False,
        max_line_size=HEADER_BYTES,
        max_field_size=HEADER_BYTES,
        lingering_time=1.0,
    )


def raw_headers(request: web.BaseRequest) -> RawHeaders:
    """Return a request's headers as received."""
    return request.raw_headers


def _decode(headers: RawHeaders) -> CIMultiDict[str]:
    """Return headers in the type that aiohttp expects."""
    decoded: CIMultiDict[str] = CIMultiDict()
    for name, text in headers:
        decoded.add(name.decode('latin-1'), text.decode('latin-1'))
    return decoded


class Listeners:
    """Opens listeners, and closes them with their owner.

    Args:
        stack: The owner's exit stack.
        bound: Sockets that listen already, if any.
        unserved: Handles connections that are not served.
        timeouts: Applies the limits to open connections.
        limits: Returns the limits in force.
        account: Makes room for new connections.
        clock: The host's clock.
    """

    def __init__(
        self,
        stack: AsyncExitStack,
        bound: BoundSockets | None,
        unserved: UnservedHandler,
        timeouts: ConnectionTimeouts,
        limits: Limits,
        account: DescriptorAccount,
        clock: Clock,
    ) -> None:
        self.timeouts = timeouts
        self._account = account
        self._limits = limits
        self._stack = stack
        self._unserved = unserved
        self._clock = clock
        self._bound: BoundSockets = {} if bound is None else bound

    def open(
        self,
        address: Address,
        answer: Answer,
    ) -> Listening:
        """Listen at an address, on the socket that is already bound if any.

        Args:
            address: The address.
            answer: Handles each request.

        Raises:
            OSError: If the socket can't be opened.
        """
        server = make_server(answer, self._clock, self._limits)
        self.timeouts.watch(server)
        bound = self._bound.get(str(address))
        listener = bound or listening_socket((address.ip, address.port))
        acceptor = Acceptor(
            listener,
            server,
            self._unserved,
            self._clock,
            self._account.has_room,
        )
        acceptor.start()
        self._stack.push_async_callback(server.shutdown, SHUTDOWN_TIMEOUT)
        self._stack.callback(acceptor.close)
        return Listening(acceptor, server)

    def open_optional(
        self,
        address: Address | None,
        answer: Answer,
    ) -> None:
        """Listen at an optional address; log a failure to bind."""
        if address is None:
            return
        try:
            self.open(address, answer)
        except OSError as problem:
            _LOG.decision(
                'not listening',
                address=str(address),
                reason=str(problem),
            )
