"""The messages of the model API, as the engine stand-in sends them."""

from typing import Final

from msgspec import Struct
from msgspec.json import encode

from fakes.answers import AnswerPlan, Prompt

DONE: Final = b'data: [DONE]\n\n'


class Delta(Struct, frozen=True, omit_defaults=True):
    """What a chunk adds."""

    content: str = ''


class ChunkChoice(Struct, frozen=True):
    """The one choice of a chunk."""

    delta: Delta
    finish_reason: str | None = None
    index: int = 0


class CachedTokens(Struct, frozen=True):
    """Where the prompt's tokens came from."""

    cached_tokens: int


class Usage(Struct, frozen=True):
    """What an answer has cost, in tokens."""

    prompt_tokens: int
    completion_tokens: int
    prompt_tokens_details: CachedTokens


class Chunk(Struct, frozen=True, omit_defaults=True):
    """One event of a streamed answer."""

    id: str
    index: int
    choices: tuple[ChunkChoice, ...]
    usage: Usage | None = None


class Message(Struct, frozen=True):
    """A whole answer's text."""

    content: str
    role: str = 'assistant'


class WholeChoice(Struct, frozen=True):
    """The one choice of an answer that is not streamed."""

    message: Message
    finish_reason: str
    index: int = 0


class WholeAnswer(Struct, frozen=True):
    """An answer that is not streamed."""

    id: str
    model: str
    choices: tuple[WholeChoice, ...]
    usage: Usage


def event_of(chunk: Chunk) -> bytes:
    """Return a chunk as a server-sent event."""
    return b'data: %b\n\n' % encode(chunk)


def piece_chunk(attempt: str, index: int, word: str) -> Chunk:
    """Return the chunk that carries a word."""
    choice = ChunkChoice(Delta(f'{word} '))
    return Chunk(attempt, index, (choice,))


def usage_of(prompt: Prompt, plan: AnswerPlan, cached: int) -> Usage:
    """Return what a whole answer has cost; a word is a token."""
    return Usage(len(prompt.words), len(plan.words), CachedTokens(cached))


def last_chunk(attempt: str, plan: AnswerPlan, usage: Usage) -> Chunk:
    """Return the chunk that ends an answer."""
    choice = ChunkChoice(Delta(), plan.reason)
    return Chunk(attempt, len(plan.words), (choice,), usage)


def whole_answer(
    attempt: str,
    version: str,
    plan: AnswerPlan,
    usage: Usage,
) -> WholeAnswer:
    """Return an answer that is not streamed."""
    message = Message(' '.join(plan.words))
    choice = WholeChoice(message, plan.reason)
    return WholeAnswer(attempt, version, (choice,), usage)
