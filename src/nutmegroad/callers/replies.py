"""HTTP replies to callers: refusals and whole answers."""

import math
from typing import Final

import msgspec
from aiohttp.web import Response, ResponseKey, StreamResponse
from msgspec import Struct

from nutmegroad.callers._http_statuses import status_of
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Ran, RequestId, VersionId
from nutmegroad.records.forwards import ForwardedReply
from nutmegroad.records.intents import FirstAnswer
from nutmegroad.routing.request_progress import Answer

JSON_TYPE: Final = 'application/json'

_MILLISECONDS: Final = 1000
REQUEST_HEADER: Final = 'Nutmegroad-Request'
CHUNK: Final = 'chat.completion.chunk'

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
