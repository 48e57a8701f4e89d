"""HTTP replies to callers: refusals, complete answers and stream chunks."""

import math
from typing import Final

import msgspec
from aiohttp.web import Response, ResponseKey, StreamResponse
from msgspec import Struct

from nutmegroad.callers._http_statuses import status_of
from nutmegroad.foundations.decoding import decode_json
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Ran, RequestId, VersionId
from nutmegroad.records.forwards import ForwardedReply
from nutmegroad.records.intents import FirstAnswer
from nutmegroad.routing.request_progress import Answer

JSON_TYPE: Final = 'application/json'

_MS_PER_SECOND: Final = 1000
REQUEST_HEADER: Final = 'Nutmegroad-Request'
IDEMPOTENCY_KEY_HEADER: Final = 'Idempotency-Key'
CHUNK_OBJECT: Final = 'chat.completion.chunk'

#: Key under which a reply stores the result code of its refusal.
_CODE: Final = ResponseKey('code', ResultCode)


class RefusalBody(Struct, frozen=True):
    """A refusal as sent to callers.

    Attributes:
        code: Result code.
        name: Name of the result code.
        message: Explanation for people.
        not_run: True only if no upstream has executed any part of the request.
        retry_after_ms: Milliseconds after which a retry makes sense; 0 if
            none does.
    """

    code: int
    name: str
    message: str
    not_run: bool
    retry_after_ms: int


class ErrorBody(Struct, frozen=True):
    """The envelope of errors that clients of the model API expect.

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
        retry_after_ms=math.ceil(refusal.retry_after * _MS_PER_SECOND),
    )
    return msgspec.json.encode(ErrorBody(inner))


def refuse(refusal: Refusal, request: RequestId) -> Response:
    """Return the HTTP reply for a refusal.

    Args:
        refusal: The refusal.
        request: Id of the refused request.
    """
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
    """Return the result code of a reply made by `refuse`, otherwise None."""
    return reply.get(_CODE)


class Delta(Struct, frozen=True, omit_defaults=True):
    """The text that a chunk adds to the answer.

    Attributes:
        content: The text.
    """

    content: str = ''


class ChunkChoice(Struct, frozen=True):
    """The only choice of a chunk.

    Attributes:
        index: Always 0.
        delta: The text that the chunk adds.
        finish_reason: Why the answer ended; None before the last chunk.
    """

    index: int
    delta: Delta
    finish_reason: str | None = None


class Usage(Struct, frozen=True):
    """Tokens and cost of an answer.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        completion_tokens: Tokens of the answer.
        total_tokens: Sum of both.
        cost: Cost of the request, summed over all steps of its cascade.
    """

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    cost: float


class Chunk(Struct, frozen=True, omit_defaults=True):
    """The data of one server-sent event of an answer.

    Attributes:
        id: Id of the request.
        object: Always ``chat.completion.chunk``.
        model: The version that answers; empty until it is known.
        choices: Exactly one choice.
        usage: Tokens and cost; only in the last chunk.
        session: The session token; only in the last chunk.
    """

    id: str
    object: str
    model: str
    choices: tuple[ChunkChoice, ...]
    usage: Usage | None = None
    session: str | None = None


class AnswerMessage(Struct, frozen=True):
    """The message of a complete answer.

    Attributes:
        role: Always ``assistant``.
        content: Text of the answer.
    """

    role: str
    content: str


class AnswerChoice(Struct, frozen=True):
    """The only choice of a complete answer.

    Attributes:
        index: Always 0.
        message: The answer.
        finish_reason: Why the answer ended.
    """

    index: int
    message: AnswerMessage
    finish_reason: str


class AnswerBody(Struct, frozen=True):
    """A complete answer in the format of the model API.

    Attributes:
        id: Id of the request.
        object: Always ``chat.completion``.
        model: The version that answered.
        choices: Exactly one choice.
        usage: Tokens and cost.
    """

    id: str
    object: str
    model: str
    choices: tuple[AnswerChoice, ...]
    usage: Usage


def usage_of(answer: Answer) -> Usage:
    """Return the tokens and cost of an answer."""
    return Usage(
        answer.prompt_tokens,
        answer.output_tokens,
        answer.prompt_tokens + answer.output_tokens,
        answer.cost,
    )


def answer_body(answer: Answer, request: RequestId) -> bytes:
    """Return a complete answer as JSON."""
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
    """Return the answer from the JSON that `answer_body` made."""
    decoded = decode_json(body, AnswerBody)
    choice = decoded.choices[0]
    return Answer(
        version=VersionId(decoded.model),
        text=choice.message.content,
        finish=choice.finish_reason,
        prompt_tokens=decoded.usage.prompt_tokens,
        output_tokens=decoded.usage.completion_tokens,
        cost=decoded.usage.cost,
        attempts=0,
    )


def replay(first: FirstAnswer, request: RequestId) -> Response:
    """Return the reply that repeats the answer to an earlier request.

    Args:
        first: The earlier request's answer.
        request: Id of the present request.
    """
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
    """Return a reply as the message that goes back to a forwarding host."""
    body = response.body
    headers = {
        name: text
        for name, text in response.headers.items()
        if name.startswith('Nutmegroad-') or name == 'Retry-After'
    }
    return ForwardedReply(
        response.status,
        body if isinstance(body, bytes) else b'',
        response.content_type,
        headers,
    )
