"""A stand-in for a worker of the platform: opaque requests, plain or streamed.

It answers as it is told to, so that a test can have each way of failing.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

REQUEST_ID = 'Nutmegroad-Request-Id'
SIGNATURE = 'Nutmegroad-Response-Signature'

#: Events of a stream, as most tests want them.
EVENTS = tuple(
    f'id: {number}\ndata: piece {number}\n\n'.encode() for number in range(1, 4)
)


@dataclass(frozen=True, slots=True)
class Seen:
    """A request that a worker received.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: All headers, names in lower case.
        body: The whole body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request(self) -> str:
        """Return its id."""
        return self.headers.get(REQUEST_ID.lower(), '')


@dataclass(frozen=True, slots=True)
class Script:
    """How a worker answers one request.

    Attributes:
        pieces: Bytes that it writes, one after the other.
        gap: Seconds before each piece.
        hold: What it waits for before the last; None for nothing.
        close: Whether it then closes the connection.
        reset: Whether it then resets the connection.
        crash: Whether the worker then ends, with all that runs there.
        again: Starts it once more right after that; None for nobody.
    """

    pieces: tuple[bytes, ...]
    gap: float = 0
    hold: asyncio.Event | None = None
    close: bool = False
    reset: bool = False
    crash: bool = False
    again: Callable[[], Awaitable[None]] | None = None


#: Makes the script for a request.
MakeScript = Callable[[Seen], Script]


def signed(seen: Seen, **more: str) -> dict[str, str]:
    """Return the headers of a worker's own answer."""
    return {REQUEST_ID: seen.request, SIGNATURE: 'signed', **more}


def head(status: str, headers: dict[str, str]) -> bytes:
    """Return the beginning of an answer."""
    lines = [f'HTTP/1.1 {status}']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def plain(body: bytes = b'fine', status: str = '200 OK') -> MakeScript:
    """Return scripts that answer whole."""

    def make(seen: Seen) -> Script:
        """Answer a request."""
        length = str(len(body))
        headers = signed(seen, **{'Content-Length': length})
        return Script((head(status, headers) + body,))

    return make


def rejecting(status: str = '503 Service Unavailable') -> MakeScript:
    """Return scripts that prove that the request did not run."""

    def make(seen: Seen) -> Script:
        """Reject a request."""
        headers = {
            REQUEST_ID: seen.request,
            'Nutmegroad-Not-Executed': '1',
            'Content-Length': '0',
        }
        return Script((head(status, headers),))

    return make


def chunk(text: bytes) -> bytes:
    """Return one chunk of a body."""
    return b'%x\r\n%s\r\n' % (len(text), text)


def stream(
    events: tuple[bytes, ...] = EVENTS,
    *,
    cut: bool = False,
    gap: float = 0,
    confidence: int | None = None,
) -> MakeScript:
    """Return scripts that stream events, whole or cut before the end."""

    def make(seen: Seen) -> Script:
        """Stream events, those that the caller has left out."""
        after = int(seen.headers.get('last-event-id') or 0)
        headers = signed(seen, **{'Transfer-Encoding': 'chunked'})
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


def crashing(
    body: bytes,
    otherwise: MakeScript,
    again: Callable[[], Awaitable[None]] | None = None,
) -> MakeScript:
    """Return scripts by which requests with some body end the worker.

    They end it as such requests do: after the head of an answer.
    """

    def make(seen: Seen) -> Script:
        """Answer a request, or end."""
        if seen.body != body:
            return otherwise(seen)
        headers = signed(seen, **{'Transfer-Encoding': 'chunked'})
        return Script((head('200 OK', headers),), crash=True, again=again)

    return make


@dataclass(slots=True)
class OpaqueWorker:
    """A worker on a loopback port.

    Attributes:
        usual: Scripts for all requests but those that ``once`` is for.
        once: Scripts for the next requests, in order.
        seen: Requests received whole.
        port: Where it listens.
        dropped: Requests whose connection closed before the script's end.
        crashes: How often it has ended by a request.
    """

    usual: MakeScript = field(default_factory=plain)
    once: deque[MakeScript] = field(default_factory=deque)
    seen: list[Seen] = field(default_factory=list)
    port: int = 0
    dropped: int = 0
    crashes: int = 0
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port, or on its own once more."""
        self._server = await asyncio.start_server(
            self._take,
            '127.0.0.1',
            self.port,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    async def crash(self) -> None:
        """End as a process does: nothing listens, all connections break."""
        self.crashes += 1
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _end(self, script: Script) -> None:
        """End, and start again if the script says so."""
        await self.crash()
        if script.again is not None:
            await script.again()

    async def _take(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection."""
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._writers.add(writer)
        try:
            await self._serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            self.dropped += 1
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer the requests of one connection."""
        while True:
            seen = await _read(reader)
            if seen is None:
                return
            self.seen.append(seen)
            make = self.once.popleft() if self.once else self.usual
            script = make(seen)
            if not await _play(script, writer):
                self.dropped += 1
                return
            if script.crash:
                await self._end(script)
            if script.reset:
                writer.transport.abort()
            if script.close or script.reset or script.crash:
                return


async def _play(script: Script, writer: asyncio.StreamWriter) -> bool:
    """Write a script's pieces; tell whether somebody took all of them."""
    for number, piece in enumerate(script.pieces, 1):
        await asyncio.sleep(script.gap)
        if script.hold is not None and number == len(script.pieces):
            await script.hold.wait()
        if writer.transport.is_closing():
            return False
        writer.write(piece)
        await writer.drain()
    return True


async def _read(reader: asyncio.StreamReader) -> Seen | None:
    """Return the next request, or None at the end."""
    try:
        text = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    except asyncio.IncompleteReadError:
        return None
    first, *lines = text.strip().split('\r\n')
    method, target, _ = first.split(' ')
    headers = {}
    for line in lines:
        name, _, content = line.partition(':')
        headers[name.lower()] = content.strip()
    length = int(headers.get('content-length', 0))
    return Seen(method, target, headers, await reader.readexactly(length))
