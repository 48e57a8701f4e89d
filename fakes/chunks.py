"""Messages of the chat completion API that the engine stand-in sends."""

from typing import Final

from msgspec import Struct
from msgspec.json import encode

from fakes.answers import AnswerPlan, Prompt

#: Event that ends a stream.
DONE: Final = b'data: [DONE]\n\n'


class Delta(Struct, frozen=True, omit_defaults=True):
    """Text that a chunk adds to the answer."""

    content: str = ''


class ChunkChoice(Struct, frozen=True):
    """The only choice of a chunk."""

    delta: Delta
    finish_reason: str | None = None
    index: int = 0


class CachedTokens(Struct, frozen=True):
    """Number of prompt tokens that were found in the prefix cache."""

    cached_tokens: int


class Usage(Struct, frozen=True):
    """Token usage of a completion."""

    prompt_tokens: int
    completion_tokens: int
    prompt_tokens_details: CachedTokens


class Chunk(Struct, frozen=True, omit_defaults=True):
    """One event of a streamed completion."""

    id: str
    index: int
    choices: tuple[ChunkChoice, ...]
    usage: Usage | None = None


class Message(Struct, frozen=True):
    """The message of a completion that is not streamed."""

    content: str
    role: str = 'assistant'


class CompletionChoice(Struct, frozen=True):
    """The only choice of a completion that is not streamed."""

    message: Message
    finish_reason: str
    index: int = 0


class CompletionReply(Struct, frozen=True):
    """A completion that is not streamed."""

    id: str
    model: str
    choices: tuple[CompletionChoice, ...]
    usage: Usage


def encode_event(chunk: Chunk) -> bytes:
    """Encode a chunk as a server-sent event."""
    return b'data: %b\n\n' % encode(chunk)


def word_chunk(attempt: str, index: int, word: str) -> Chunk:
    """Return the chunk for one word."""
    choice = ChunkChoice(Delta(f'{word} '))
    return Chunk(attempt, index, (choice,))


def make_usage(prompt: Prompt, plan: AnswerPlan, cached: int) -> Usage:
    """Return the usage of a complete answer; a word counts as one token."""
    return Usage(len(prompt.words), len(plan.words), CachedTokens(cached))


def final_chunk(attempt: str, plan: AnswerPlan, usage: Usage) -> Chunk:
    """Return the last chunk, with the finish reason and the usage."""
    choice = ChunkChoice(Delta(), plan.finish_reason)
    return Chunk(attempt, len(plan.words), (choice,), usage)


def completion_reply(
    attempt: str,
    version: str,
    plan: AnswerPlan,
    usage: Usage,
) -> CompletionReply:
    """Return a completion that is not streamed."""
    message = Message(' '.join(plan.words))
    choice = CompletionChoice(message, plan.finish_reason)
    return CompletionReply(attempt, version, (choice,), usage)
