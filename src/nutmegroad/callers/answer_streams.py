"""Streams of answers to callers, as server-sent events."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Final

import msgspec
from aiohttp.web import Request, StreamResponse

from nutmegroad.callers.replies import (
    CHUNK,
    REQUEST_HEADER,
    Chunk,
    ChunkChoice,
    Delta,
    error_body,
    usage_of,
)
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import RequestId, VersionId
from nutmegroad.routing.request_progress import Answer

#: Headers of ours begin with this.
_OURS: Final = 'Nutmegroad-'

#: Bytes below which a transport takes a write without having us wait; half
#: of what asyncio's transports buffer.
_ROOM: Final = 32_768

#: Stands for a piece's text where its event is made ready.
_MARK: Final = 'text-of-the-piece'

#: Seconds that a caller may take to read what is buffered for it.
PATIENCE: Final = 30.0


class EventStream:
    """Streams an answer to a caller as server-sent events.

    The HTTP reply begins with the first piece, so that a refusal before it
    still has its own status. An answer that is cut ends with an ``error``
    event and without ``[DONE]``.

    A caller that reads slowly holds the engine's stream up, as the
    transport's buffer is bounded; one that reads nothing for long is cut.

    Args:
        http: The caller's HTTP request.
        request: The request's id.
        token_of: Returns the session's token for a version.
        metrics: Where callers that were cut are counted.
        patience: Seconds that a caller may take to read what is buffered.
    """

    def __init__(
        self,
        http: Request,
        request: RequestId,
        token_of: Callable[[VersionId], str],
        metrics: Metrics,
        patience: float = PATIENCE,
    ) -> None:
        self._http = http
        self._request = request
        self._token_of = token_of
        self._metrics = metrics
        self._patience = patience
        self._adopted: dict[str, str] = {}
        self._before = b''
        self._after = b''
        self.begin_version(VersionId(''))
        self._response: StreamResponse | None = None

    @property
    def response(self) -> StreamResponse | None:
        """Return the reply, or None if it has not begun."""
        return self._response

    def begin_version(self, version: VersionId) -> None:
        """Learn which version writes what comes next."""
        self._version = version
        # All pieces of an answer are alike but for their text.
        choice = ChunkChoice(0, Delta(_MARK))
        chunk = Chunk(self._request, CHUNK, version, (choice,))
        quoted = msgspec.json.encode(_MARK)
        halves = msgspec.json.encode(chunk).split(quoted)
        self._before = halves[0]
        self._after = halves[1]

    def adopt(self, headers: Mapping[str, str]) -> None:
        """Show an answer that another run of the request gave.

        Args:
            headers: The headers of its reply; they name the request under
                which it ran and is billed, and the first one.
        """
        self._adopted = {
            name: given
            for name, given in headers.items()
            if name.startswith(_OURS)
        }
        named = self._adopted.get(REQUEST_HEADER)
        if named is not None:
            self._request = RequestId(named)
            # The events made ready name the request, which is another now.
            self.begin_version(self._version)

    async def write(self, text: str) -> None:
        """Send a piece."""
        quoted = msgspec.json.encode(text)
        await self._send(b''.join((self._before, quoted, self._after)))

    async def finish(self, answer: Answer) -> StreamResponse:
        """Send the end of a whole answer."""
        chunk = Chunk(
            self._request,
            CHUNK,
            answer.version,
            (ChunkChoice(0, Delta(), answer.finish),),
            usage_of(answer),
            self._token_of(answer.version),
        )
        last = b''.join((msgspec.json.encode(chunk), b'\n\ndata: [DONE]'))
        response = await self._send(last)
        await response.write_eof()
        return response

    async def fail(self, refusal: Refusal) -> StreamResponse:
        """Send why the answer is not whole."""
        response = await self._send(error_body(refusal), b'event: error\n')
        await response.write_eof()
        return response

    async def _begin(self) -> StreamResponse:
        """Begin the reply, now that its version is known."""
        headers = {REQUEST_HEADER: str(self._request)}
        if self._version:
            headers['Nutmegroad-Session'] = self._token_of(self._version)
        headers |= self._adopted
        response = StreamResponse(headers=headers)
        response.content_type = 'text/event-stream'
        self._response = response
        await response.prepare(self._http)
        return response

    async def _send(self, payload: bytes, event: bytes = b'') -> StreamResponse:
        """Send one event, and begin the reply if need be.

        Raises:
            ConnectionResetError: If the caller reads nothing for long.
        """
        response = self._response
        if response is None:
            response = await self._begin()
        sent = b''.join((event, b'data: ', payload, b'\n\n'))
        if self._has_room(len(sent)):
            # Nothing is waited for, so nothing has to be bounded.
            await response.write(sent)
        else:
            await self._send_slowly(response, sent)
        return response

    def _has_room(self, size: int) -> bool:
        """Tell whether the transport takes so many bytes at once."""
        transport = self._http.transport
        if transport is None:
            return False
        return transport.get_write_buffer_size() + size < _ROOM

    async def _send_slowly(self, response: StreamResponse, sent: bytes) -> None:
        """Send to a caller that reads slowly.

        Raises:
            ConnectionResetError: If it reads nothing for long.
        """
        try:
            async with asyncio.timeout(self._patience):
                await response.write(sent)
        except TimeoutError as error:
            self._metrics.reply_dropped('slow_caller')
            if self._http.transport is not None:
                self._http.transport.abort()
            message = 'The caller has read nothing for too long.'
            raise ConnectionResetError(message) from error
