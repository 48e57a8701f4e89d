"""HTTP replies to callers: refusals, whole answers, streams."""

import asyncio
import math
from collections.abc import Callable, Mapping
from typing import Final

import msgspec
from aiohttp.web import Request, Response, ResponseKey, StreamResponse
from msgspec import Struct

from nutmegroad._http_statuses import status_of
from nutmegroad.forwards import ForwardedReply
from nutmegroad.intents import FirstAnswer
from nutmegroad.metrics import Metrics
from nutmegroad.request_progress import Answer
from nutmegroad.results import Refusal, ResultCode
from nutmegroad.types import Ran, RequestId, VersionId

JSON_TYPE: Final = 'application/json'

_MILLISECONDS: Final = 1000
#: Headers of ours begin with this.
_OURS: Final = 'Nutmegroad-'
_REQUEST_HEADER: Final = 'Nutmegroad-Request'
_CHUNK: Final = 'chat.completion.chunk'

#: Bytes below which a transport takes a write without having us wait; half
#: of what asyncio's transports buffer.
_ROOM: Final = 32_768

#: Stands for a piece's text where its event is made ready.
_MARK: Final = 'text-of-the-piece'

#: Seconds that a caller may take to read what is buffered for it.
PATIENCE: Final = 30.0

#: Where a reply keeps the code of the refusal that it is.
_CODE: Final = ResponseKey('code', ResultCode)


class RefusalBody(Struct, frozen=True):
    """A refusal, as callers see it.

    Attributes:
        code: Result code.
        name: Its name.
        message: One sentence.
        not_run: True only if no upstream ran any of it.
        retry_after_ms: When another try makes sense; 0 for never.
    """

    code: int
    name: str
    message: str
    not_run: bool
    retry_after_ms: int


class ErrorBody(Struct, frozen=True):
    """The envelope that the model API's clients expect.

    Attributes:
        error: The refusal.
    """

    error: RefusalBody


def error_body(refusal: Refusal) -> bytes:
    """Return a refusal as JSON."""
    inner = RefusalBody(
        code=int(refusal.code),
        name=refusal.code.name,
        message=refusal.reason,
        not_run=refusal.ran is Ran.NOT_RUN,
        retry_after_ms=math.ceil(refusal.retry_after * _MILLISECONDS),
    )
    return msgspec.json.encode(ErrorBody(inner))


def refuse(refusal: Refusal, request: RequestId) -> Response:
    """Return the HTTP reply of a refusal."""
    headers = {'Nutmegroad-Request': str(request)}
    if refusal.retry_after > 0:
        headers['Retry-After'] = str(math.ceil(refusal.retry_after))
    reply = Response(
        status=status_of(refusal.code),
        body=error_body(refusal),
        content_type=JSON_TYPE,
        headers=headers,
    )
    reply[_CODE] = refusal.code
    return reply


def code_of(reply: StreamResponse) -> ResultCode | None:
    """Return the code of a refusal's reply, or None if it is no refusal."""
    return reply.get(_CODE)


class Delta(Struct, frozen=True, omit_defaults=True):
    """What a chunk adds to the answer.

    Attributes:
        content: Text.
    """

    content: str = ''


class ChunkChoice(Struct, frozen=True):
    """The only choice of a chunk.

    Attributes:
        index: Always 0.
        delta: What is added.
        finish_reason: Why the answer ended; None before.
    """

    index: int
    delta: Delta
    finish_reason: str | None = None


class Usage(Struct, frozen=True):
    """Tokens of an answer.

    Attributes:
        prompt_tokens: Tokens read.
        completion_tokens: Tokens written.
        total_tokens: Both.
        cost: What the request cost, the whole cascade summed.
    """

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    cost: float


class Chunk(Struct, frozen=True, omit_defaults=True):
    """One server-sent event of an answer.

    Attributes:
        id: The request's id.
        object: Always ``chat.completion.chunk``.
        model: The version that answered; empty until it is known.
        choices: One choice.
        usage: Tokens, in the last chunk.
        session: The session's token, in the last chunk.
    """

    id: str
    object: str
    model: str
    choices: tuple[ChunkChoice, ...]
    usage: Usage | None = None
    session: str | None = None


class AnswerMessage(Struct, frozen=True):
    """The answer, whole.

    Attributes:
        role: Always ``assistant``.
        content: Its text.
    """

    role: str
    content: str


class AnswerChoice(Struct, frozen=True):
    """The only choice of a whole answer.

    Attributes:
        index: Always 0.
        message: The answer.
        finish_reason: Why it ended.
    """

    index: int
    message: AnswerMessage
    finish_reason: str


class AnswerBody(Struct, frozen=True):
    """A whole answer, in the model API's shape.

    Attributes:
        id: The request's id.
        object: Always ``chat.completion``.
        model: The version that answered.
        choices: One choice.
        usage: Tokens and cost.
    """

    id: str
    object: str
    model: str
    choices: tuple[AnswerChoice, ...]
    usage: Usage


def usage_of(answer: Answer) -> Usage:
    """Return an answer's tokens and cost."""
    return Usage(
        answer.prompt_tokens,
        answer.output_tokens,
        answer.prompt_tokens + answer.output_tokens,
        answer.cost,
    )


def answer_body(answer: Answer, request: RequestId) -> bytes:
    """Return a whole answer as JSON."""
    message = AnswerMessage('assistant', answer.text)
    choice = AnswerChoice(0, message, answer.finish)
    return msgspec.json.encode(
        AnswerBody(
            request,
            'chat.completion',
            answer.version,
            (choice,),
            usage_of(answer),
        ),
    )


def read_answer(body: bytes) -> Answer:
    """Return the answer that such JSON holds."""
    read = msgspec.json.decode(body, type=AnswerBody)
    choice = read.choices[0]
    return Answer(
        version=VersionId(read.model),
        text=choice.message.content,
        finish=choice.finish_reason,
        prompt_tokens=read.usage.prompt_tokens,
        output_tokens=read.usage.completion_tokens,
        cost=read.usage.cost,
        attempts=0,
    )


def replay(first: FirstAnswer, request: RequestId) -> Response:
    """Give the first answer to a request again."""
    return Response(
        status=first.reply.status,
        body=first.reply.body,
        content_type=first.reply.content_type,
        headers={
            'Nutmegroad-Request': request,
            'Nutmegroad-First-Request': first.request,
        },
    )


def forwarded_reply(response: Response) -> ForwardedReply:
    """Return a reply in the form in which it goes to another host."""
    body = response.body
    headers = {
        name: given
        for name, given in response.headers.items()
        if name.startswith('Nutmegroad-') or name == 'Retry-After'
    }
    return ForwardedReply(
        response.status,
        body if isinstance(body, bytes) else b'',
        response.content_type,
        headers,
    )


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
        self.answering(VersionId(''))
        self._response: StreamResponse | None = None

    @property
    def response(self) -> StreamResponse | None:
        """Return the reply, or None if it has not begun."""
        return self._response

    def answering(self, version: VersionId) -> None:
        """Learn which version writes what comes next."""
        self._version = version
        # All pieces of an answer are alike but for their text.
        choice = ChunkChoice(0, Delta(_MARK))
        chunk = Chunk(self._request, _CHUNK, version, (choice,))
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
        named = self._adopted.get(_REQUEST_HEADER)
        if named is not None:
            self._request = RequestId(named)
            # The events made ready name the request, which is another now.
            self.answering(self._version)

    async def piece(self, text: str) -> None:
        """Send a piece."""
        quoted = msgspec.json.encode(text)
        await self._send(b''.join((self._before, quoted, self._after)))

    async def finish(self, answer: Answer) -> StreamResponse:
        """Send the end of a whole answer."""
        chunk = Chunk(
            self._request,
            _CHUNK,
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
        headers = {_REQUEST_HEADER: str(self._request)}
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
