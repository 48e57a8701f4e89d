"""Stand-in for a worker of the platform, which handles opaque requests.

It answers by scripts, plainly or as a stream, so that tests can produce every
kind of failure.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum, unique

from fakes.connections import reset_connection
from fakes.ports import reserve_port

REQUEST_ID = 'Nutmegroad-Request-Id'
SIGNATURE = 'Nutmegroad-Response-Signature'

#: Default events of a stream.
EVENTS = tuple(
    f'id: {number}\ndata: piece {number}\n\n'.encode() for number in range(1, 4)
)


@unique
class BodyEnd(Enum):
    """What marks the end of a body."""

    LENGTH = 'length'
    LAST_CHUNK = 'last chunk'
    CONNECTION = 'connection'


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request that a worker received.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: All headers, by lower-case name.
        body: The complete body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Id of the request; empty if it has none."""
        return self.headers.get(REQUEST_ID.lower(), '')


@dataclass(frozen=True, slots=True)
class Script:
    """How a worker answers one request.

    Attributes:
        pieces: Byte strings that it writes, one after the other.
        gap: Seconds before each piece.
        hold: Event to wait for before the last piece; None not to wait.
        close: Whether it closes the connection afterwards.
        reset: Whether it resets the connection afterwards.
        crash: Whether the worker crashes afterwards, with all its requests.
        restart: Restarts the worker immediately after the crash; None for no
            restart.
        endless: Bytes that it writes again and again afterwards, until the
            connection is closed.
    """

    pieces: tuple[bytes, ...]
    gap: float = 0
    hold: asyncio.Event | None = None
    close: bool = False
    reset: bool = False
    crash: bool = False
    restart: Callable[[], Awaitable[None]] | None = None
    endless: bytes = b''


#: Returns the script for a request.
ScriptFactory = Callable[[ReceivedRequest], Script]


def signed(request: ReceivedRequest, **more: str) -> dict[str, str]:
    """Return headers that mark a response as the worker's own."""
    return {REQUEST_ID: request.request_id, SIGNATURE: 'signed', **more}


def head(status: str, headers: dict[str, str]) -> bytes:
    """Return the status line and the headers of a response."""
    lines = [f'HTTP/1.1 {status}']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def plain(body: bytes = b'fine', status: str = '200 OK') -> ScriptFactory:
    """Return a factory of scripts with a complete response."""

    def make(request: ReceivedRequest) -> Script:
        """Return a complete response."""
        length = str(len(body))
        headers = signed(request, **{'Content-Length': length})
        return Script((head(status, headers) + body,))

    return make


def rejecting(
    status: str = '503 Service Unavailable',
    brittle: int | None = None,
    *,
    identified: bool = True,
) -> ScriptFactory:
    """Return a factory of scripts that declare the request not executed.

    Args:
        status: Status and reason.
        brittle: Rejections in a second that the worker tolerates; None if it
            does not say.
        identified: Whether they echo the request's id.
    """

    def make(request: ReceivedRequest) -> Script:
        """Return a rejection."""
        headers = {'Nutmegroad-Not-Executed': '1', 'Content-Length': '0'}
        if identified:
            headers[REQUEST_ID] = request.request_id
        if brittle is not None:
            headers['Server-Brittle'] = str(brittle)
        return Script((head(status, headers),))

    return make


def chunk(text: bytes) -> bytes:
    """Encode one chunk of a chunked body."""
    return b'%x\r\n%s\r\n' % (len(text), text)


def stream(
    events: tuple[bytes, ...] = EVENTS,
    *,
    cut: bool = False,
    gap: float = 0,
    confidence: int | None = None,
) -> ScriptFactory:
    """Return a factory of scripts that stream events.

    Args:
        events: Encoded events.
        cut: Whether the connection is closed before the end of the stream.
        gap: Seconds before each event.
        confidence: Value of the confidence header; None for no header.
    """

    def make(request: ReceivedRequest) -> Script:
        """Return a stream of the events after ``Last-Event-Id``."""
        after = int(request.headers.get('last-event-id') or 0)
        headers = signed(request, **{'Transfer-Encoding': 'chunked'})
        if confidence is not None:
            headers['Nutmegroad-Confidence'] = str(confidence)
        pieces = [head('200 OK', headers)]
        pieces.extend(
            chunk(event)
            for number, event in enumerate(events, 1)
            if number > after
        )
        if not cut:
            pieces.append(b'0\r\n\r\n')
        return Script(tuple(pieces), gap, close=cut)

    return make


def framed(
    body: bytes,
    end: BodyEnd,
    *,
    status: str = '200 OK',
    content_type: str = 'text/event-stream',
    reset: bool = False,
    hold: bool = False,
) -> ScriptFactory:
    """Return a factory of scripts that send one body.

    Args:
        body: The bytes of the body.
        end: What marks its end.
        status: Status and reason.
        content_type: Value of the content type header.
        reset: Whether the connection is reset after the body; if not, it is
            closed in an orderly way where that marks the end.
        hold: Whether the connection stays open after the body instead.
    """
    headers = {'Content-Type': content_type}
    encoded = body
    if end is BodyEnd.LENGTH:
        headers['Content-Length'] = str(len(body))
    elif end is BodyEnd.LAST_CHUNK:
        headers['Transfer-Encoding'] = 'chunked'
        encoded = b'0\r\n\r\n'
        if body:
            encoded = chunk(body) + encoded

    def make(request: ReceivedRequest) -> Script:
        """Return the head and the body."""
        pieces = (head(status, signed(request, **headers)), encoded)
        if hold:
            return Script((*pieces, b''), hold=asyncio.Event())
        closes = end is BodyEnd.CONNECTION and not reset
        return Script(pieces, close=closes, reset=reset)

    return make


@dataclass(slots=True)
class OpaqueWorker:
    """A worker on a loopback port.

    Attributes:
        default_script: Factory that is used when ``next_scripts`` is empty.
        next_scripts: Script factories for the next requests, in order.
        requests: Requests that were received completely.
        port: TCP port; 0 until the first start.
        connections: Number of connections that were accepted.
        aborted: Requests whose connection ended before their script did.
        endless_bytes: Bytes that were written to answers without an end.
        crashes: Number of crashes, each caused by a request.
        repeats_late: Whether it sends each answer once more when the next
            request arrives on the same connection.
    """

    default_script: ScriptFactory = field(default_factory=plain)
    next_scripts: deque[ScriptFactory] = field(default_factory=deque)
    requests: list[ReceivedRequest] = field(default_factory=list)
    port: int = 0
    connections: int = 0
    aborted: int = 0
    endless_bytes: int = 0
    crashes: int = 0
    repeats_late: bool = False
    stray_bytes: bytes = b''
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    @property
    def is_listening(self) -> bool:
        """Whether the worker accepts connections."""
        return self._server is not None and self._server.is_serving()

    async def start(self) -> None:
        """Listen on a free port, or on the previous one after a restart."""
        self.port = self.port or reserve_port()
        self._server = await asyncio.start_server(
            self._handle_connection,
            '127.0.0.1',
            self.port,
        )

    async def stop(self) -> None:
        """Stop listening and cancel all connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    async def crash(self) -> None:
        """Stop listening and abort all connections, like a process crash."""
        self.crashes += 1
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _crash_and_restart(self, script: Script) -> None:
        """Crash, and restart if the script requires it."""
        await self.crash()
        if script.restart is not None:
            await script.restart()

    async def _handle_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection until it ends."""
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._writers.add(writer)
        self.connections += 1
        try:
            await self._serve_requests(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            self.aborted += 1
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _write_endlessly(
        self, text: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Write a text again and again until the connection is closed."""
        while text:
            writer.write(text)
            await writer.drain()
            self.endless_bytes += len(text)

    def _next_script(self) -> ScriptFactory:
        """Return the factory of the script for the next request."""
        if self.next_scripts:
            return self.next_scripts.popleft()
        return self.default_script

    async def _serve_requests(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer the requests of one connection, one after the other."""
        late = b''
        while True:
            request = await _read_request(reader)
            if request is None:
                return
            writer.write(late)
            self.requests.append(request)
            script = self._next_script()(request)
            late = self.stray_bytes
            if self.repeats_late:
                late = b''.join(script.pieces)
            if not await _write_script(script, writer):
                self.aborted += 1
                return
            await self._write_endlessly(script.endless, writer)
            if script.crash:
                await self._crash_and_restart(script)
            if script.reset:
                reset_connection(writer.transport)
            if script.close or script.reset or script.crash:
                return


async def _write_script(script: Script, writer: asyncio.StreamWriter) -> bool:
    """Write a script's pieces; return whether the connection stayed open."""
    for number, piece in enumerate(script.pieces, 1):
        await asyncio.sleep(script.gap)
        if script.hold is not None and number == len(script.pieces):
            await script.hold.wait()
        if writer.transport.is_closing():
            return False
        writer.write(piece)
        await writer.drain()
    return True


async def _read_request(reader: asyncio.StreamReader) -> ReceivedRequest | None:
    """Return the next request, or None at the end of the connection."""
    try:
        text = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    except asyncio.IncompleteReadError:
        return None
    request_line, *lines = text.strip().split('\r\n')
    method, target, _ = request_line.split(' ')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.lower()] = value.strip()
    length = int(headers.get('content-length', 0))
    return ReceivedRequest(
        method, target, headers, await reader.readexactly(length)
    )
