"""Streams answers to callers as server-sent events."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Final

import msgspec
from aiohttp.web import Request, StreamResponse

from nutmegroad.callers.replies import (
    CHUNK_OBJECT,
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

#: Prefix of the headers that nutmegroad defines.
_HEADER_PREFIX: Final = 'Nutmegroad-'

#: Buffered bytes below which a write returns without waiting for the caller
#: to read; half of the high-water mark of asyncio's transports.
_WRITE_LIMIT: Final = 32_768

#: Placeholder for the text of a piece in the template of its event.
_TEXT_PLACEHOLDER: Final = 'text-of-the-piece'

#: Seconds that a caller may take to read what is buffered for it.
READ_TIMEOUT: Final = 30.0


class EventStream:
    """Streams an answer to a caller as server-sent events.

    The HTTP reply starts with the first piece, so that a refusal before it
    can still set the HTTP status. An answer that is cut off ends with an
    ``error`` event and without ``[DONE]``.

    A caller that reads slowly slows the engine's stream down, as the
    transport's buffer is bounded. If it does not read what is buffered within
    the timeout, its connection is aborted.

    Args:
        http: The caller's HTTP request.
        request: Id of the request.
        make_token: Returns the session token for a version.
        metrics: Counts the callers whose connection was aborted.
        read_timeout: Seconds that a caller may take to read what is buffered.
    """

    def __init__(
        self,
        http: Request,
        request: RequestId,
        make_token: Callable[[VersionId], str],
        metrics: Metrics,
        read_timeout: float = READ_TIMEOUT,
    ) -> None:
        self._http = http
        self._request = request
        self._make_token = make_token
        self._metrics = metrics
        self._read_timeout = read_timeout
        self._adopted_headers: dict[str, str] = {}
        self._chunk_start = b''
        self._chunk_end = b''
        self.begin_version(VersionId(''))
        self._response: StreamResponse | None = None

    @property
    def response(self) -> StreamResponse | None:
        """The HTTP reply, or None if it has not started."""
        return self._response

    def begin_version(self, version: VersionId) -> None:
        """Record which version writes the pieces that follow."""
        self._version = version
        # The events of one version differ only in their text, so the JSON
        # around the text is encoded once.
        choice = ChunkChoice(0, Delta(_TEXT_PLACEHOLDER))
        chunk = Chunk(self._request, CHUNK_OBJECT, version, (choice,))
        quoted = msgspec.json.encode(_TEXT_PLACEHOLDER)
        halves = msgspec.json.encode(chunk).split(quoted)
        self._chunk_start = halves[0]
        self._chunk_end = halves[1]

    def adopt_headers(self, headers: Mapping[str, str]) -> None:
        """Use the headers of a reply that another execution produced.

        Args:
            headers: Headers of that reply. They name the request under which
                the answer was executed and billed, and the first request if
                the answer is repeated.
        """
        self._adopted_headers = {
            name: text
            for name, text in headers.items()
            if name.startswith(_HEADER_PREFIX)
        }
        request_id = self._adopted_headers.get(REQUEST_HEADER)
        if request_id is not None:
            self._request = RequestId(request_id)
            # The encoded start of an event contains the request's id.
            self.begin_version(self._version)

    async def write(self, text: str) -> None:
        """Send a piece."""
        quoted = msgspec.json.encode(text)
        await self._send(b''.join((self._chunk_start, quoted, self._chunk_end)))

    async def finish(self, answer: Answer) -> StreamResponse:
        """Send the end of a complete answer."""
        chunk = Chunk(
            self._request,
            CHUNK_OBJECT,
            answer.version,
            (ChunkChoice(0, Delta(), answer.finish),),
            usage_of(answer),
            self._make_token(answer.version),
        )
        payload = b''.join((msgspec.json.encode(chunk), b'\n\ndata: [DONE]'))
        response = await self._send(payload)
        await response.write_eof()
        return response

    async def fail(self, refusal: Refusal) -> StreamResponse:
        """Send the refusal that ends an incomplete answer."""
        response = await self._send(error_body(refusal), b'event: error\n')
        await response.write_eof()
        return response

    async def _begin(self) -> StreamResponse:
        """Start the HTTP reply, now that its version is known."""
        headers = {REQUEST_HEADER: str(self._request)}
        if self._version:
            headers['Nutmegroad-Session'] = self._make_token(self._version)
        headers |= self._adopted_headers
        response = StreamResponse(headers=headers)
        response.content_type = 'text/event-stream'
        self._response = response
        await response.prepare(self._http)
        return response

    async def _send(self, payload: bytes, event: bytes = b'') -> StreamResponse:
        """Send one event, and start the HTTP reply if it has not started.

        Args:
            payload: Data of the event.
            event: The line that names the type of the event; empty for none.

        Raises:
            ConnectionResetError: If the caller does not read within the
                timeout.
        """
        response = self._response
        if response is None:
            response = await self._begin()
        content = b''.join((event, b'data: ', payload, b'\n\n'))
        if self._is_writable(len(content)):
            # The write does not wait, so it needs no timeout.
            await response.write(content)
        else:
            await self._send_with_timeout(response, content)
        return response

    def _is_writable(self, size: int) -> bool:
        """Return whether a write of ``size`` bytes returns without waiting."""
        transport = self._http.transport
        if transport is None:
            return False
        return transport.get_write_buffer_size() + size < _WRITE_LIMIT

    async def _send_with_timeout(
        self,
        response: StreamResponse,
        content: bytes,
    ) -> None:
        """Send to a caller that reads slowly.

        Raises:
            ConnectionResetError: If the caller does not read within the
                timeout.
        """
        try:
            async with asyncio.timeout(self._read_timeout):
                await response.write(content)
        except TimeoutError as error:
            self._metrics.reply_dropped('slow_caller')
            if self._http.transport is not None:
                self._http.transport.abort()
            message = (
                f'The caller did not read within {self._read_timeout} seconds.'
            )
            raise ConnectionResetError(message) from error
