"""Client that passes caller requests to a host's application in process.

Requests enter at the aiohttp application of the host, including its
middleware, so that no sockets are needed.
"""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final
from unittest.mock import Mock

import msgspec
from aiohttp import StreamReader
from aiohttp.abc import AbstractStreamWriter
from aiohttp.test_utils import make_mocked_request
from aiohttp.web import Application, Response
from multidict import CIMultiDict

_MAX_BODY_BYTES: Final = 2**20
_DATA_FIELD: Final = b'data: '
_STREAM_END: Final = b'[DONE]'
_OK: Final = 200


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """An HTTP request of a caller.

    Attributes:
        method: HTTP method.
        path: Path and query.
        headers: HTTP headers.
        body: The body.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes = b''


@dataclass(slots=True)
class Reply:
    """The HTTP response that a caller received.

    Attributes:
        status: HTTP status.
        headers: HTTP headers.
        body: All bytes of the body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def is_stream(self) -> bool:
        """Whether the body consists of server-sent events."""
        return self.body.startswith((b'data:', b'event:'))

    @property
    def is_complete(self) -> bool:
        """Whether the response is marked as a complete answer."""
        if self.is_stream:
            return self.body.rstrip().endswith(_STREAM_END)
        return self.status == _OK

    def json(self) -> Any:
        """Return the decoded body of a response that is not a stream."""
        return msgspec.json.decode(self.body)

    def refusal(self) -> dict[str, Any] | None:
        """Return the refusal in the response, or None if there is none."""
        if self.is_stream:
            events = _parse_events(self.body)
            last = events[-1] if events else {}
            return last.get('error')
        if self.status == _OK:
            return None
        try:
            error = self.json().get('error')
        except (msgspec.DecodeError, AttributeError):
            return None
        return error if isinstance(error, dict) else None

    def answer(self) -> tuple[str, str]:
        """Return the model version and the text of a model's answer."""
        if not self.is_stream:
            completion = self.json()
            message = completion['choices'][0]['message']
            return completion['model'], message['content']
        chunks = [
            event for event in _parse_events(self.body) if 'choices' in event
        ]
        text = ''.join(
            chunk['choices'][0]['delta'].get('content', '') for chunk in chunks
        )
        return (chunks[-1]['model'] if chunks else ''), text


@dataclass(eq=False, slots=True)
class RecordingWriter(AbstractStreamWriter):
    """Response writer that records the body that a host sends.

    Attributes:
        chunks: The chunks of the body, in order.
    """

    chunks: list[bytes] = field(default_factory=list)

    async def write(self, chunk: Any) -> None:
        """Record a chunk."""
        self.chunks.append(bytes(chunk))

    async def write_eof(self, chunk: bytes = b'') -> None:
        """Record the last chunk."""
        self.chunks.append(chunk)

    async def drain(self) -> None:
        """Return immediately; the chunks are kept in memory."""

    def enable_compression(
        self,
        encoding: str = 'deflate',
        strategy: int | None = None,
    ) -> None:
        """Ignore the request to compress the body."""

    def enable_chunking(self) -> None:
        """Ignore the request to use chunked encoding."""

    async def write_headers(
        self,
        status_line: str,
        headers: CIMultiDict[str],
    ) -> None:
        """Ignore the headers; they are read from the response object."""


async def send(app: Application, request: CallerRequest) -> Reply:
    """Pass a request to an application and return its response."""
    transport = Mock(spec=asyncio.Transport)
    transport.is_closing.return_value = False
    transport.get_extra_info.return_value = None
    transport.get_write_buffer_size.return_value = 0
    protocol = Mock(_reading_paused=False)
    payload = StreamReader(protocol, _MAX_BODY_BYTES)
    payload.feed_data(request.body)
    payload.feed_eof()
    writer = RecordingWriter()
    mock_request = make_mocked_request(
        request.method,
        request.path,
        headers=request.headers,
        app=app,
        writer=writer,
        payload=payload,
        transport=transport,
        client_max_size=_MAX_BODY_BYTES,
    )
    response = await app._handle(mock_request)
    body = b''.join(writer.chunks)
    if isinstance(response, Response) and isinstance(response.body, bytes):
        body = response.body
    return Reply(response.status, dict(response.headers), body)


def _parse_events(body: bytes) -> list[dict[str, Any]]:
    """Return the events of a stream, without its terminal event."""
    lines = [
        line.removeprefix(_DATA_FIELD)
        for line in body.split(b'\n')
        if line.startswith(_DATA_FIELD)
    ]
    return [msgspec.json.decode(line) for line in lines if line != _STREAM_END]
