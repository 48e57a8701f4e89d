"""Reads an engine's answer: server-sent events, split at any byte."""

from dataclasses import dataclass
from typing import Final

from msgspec import DecodeError, Struct
from msgspec.json import Decoder

from nutmegroad.contracts.upstreams import AnswerEvent, Ending, Piece
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import AttemptId, Ran

#: Bytes that one event may have; a longer one is no answer of an engine's.
LONGEST_EVENT: Final = 1_048_576

_FIELD: Final = b'data:'
_DONE: Final = b'[DONE]'


class Delta(Struct, frozen=True):
    """What a chunk adds to the answer."""

    content: str | None = None


class Choice(Struct, frozen=True):
    """The one choice that a chunk speaks of."""

    delta: Delta = Delta()
    finish_reason: str | None = None


class CachedTokens(Struct, frozen=True):
    """Where the prompt's tokens came from."""

    cached_tokens: int = 0


class Usage(Struct, frozen=True):
    """What an answer has cost, in tokens."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: CachedTokens = CachedTokens()


class Chunk(Struct, frozen=True):
    """One event of an answer's stream.

    Attributes:
        id: The attempt that it belongs to.
        index: Its place in the answer; the end has the next place.
        choices: One choice.
        usage: Tokens, with the last chunk.
    """

    id: str
    index: int
    choices: tuple[Choice, ...] = ()
    usage: Usage | None = None


_chunks: Final = Decoder(Chunk)


class EventSplitter:
    """Cuts a stream of bytes into the data of its events."""

    def __init__(self) -> None:
        self._rest = b''

    def feed(self, received: bytes) -> list[bytes]:
        """Return the data lines that are whole by now.

        Raises:
            ValueError: If a line is longer than any event may be.
        """
        lines = (self._rest + received).split(b'\n')
        self._rest = lines.pop()
        if len(self._rest) > LONGEST_EVENT:
            message = f'An event is longer than {LONGEST_EVENT} bytes.'
            raise ValueError(message)
        return [
            line[len(_FIELD) :].strip()
            for line in lines
            if line.startswith(_FIELD)
        ]


@dataclass(slots=True)
class AnswerReader:
    """Checks the chunks of one answer and turns them into events.

    Attributes:
        attempt: The attempt that each chunk must name.
        expected: Place of the next chunk.
        ending: The ending, once it was read.
        is_over: Nothing more is to be read.
        duplicates: Chunks that were dropped, since they came before.
    """

    attempt: AttemptId
    expected: int = 0
    ending: Ending | None = None
    is_over: bool = False
    duplicates: int = 0

    def read(self, event: bytes) -> AnswerEvent | None:
        """Take one event's data; None if there is nothing to hand on."""
        if self.is_over:
            return None
        if event == _DONE:
            return self.close()
        try:
            chunk = _chunks.decode(event)
        except DecodeError as error:
            reason = f'The engine sent an event that is no chunk: {error}.'
            return self._stop(ResultCode.UPSTREAM_ERROR, reason)
        return self._read_chunk(chunk)

    def close(self) -> Ending | Refusal:
        """Say how the answer ended, now that the stream has."""
        if self.ending is None:
            reason = 'The engine closed the stream before the answer ended.'
            return self._stop(ResultCode.ANSWER_CUT, reason)
        self.is_over = True
        return self.ending

    def _read_chunk(self, chunk: Chunk) -> Piece | Refusal | None:
        """Check a chunk's owner and its place."""
        if chunk.id != self.attempt:
            reason = f'A piece belongs to another attempt, {chunk.id!r}.'
            return self._stop(ResultCode.ANSWER_CROSSED, reason)
        if chunk.index < self.expected:
            self.duplicates += 1
            return None
        if chunk.index > self.expected:
            reason = f'Piece {self.expected} of the answer is missing.'
            return self._stop(ResultCode.ANSWER_CUT, reason)
        self.expected += 1
        return self._accept(chunk)

    def _accept(self, chunk: Chunk) -> Piece | None:
        """Take over what a chunk in its place brings."""
        choice = chunk.choices[0] if chunk.choices else Choice()
        if choice.finish_reason is not None:
            usage = chunk.usage or Usage()
            self.ending = Ending(
                reason=choice.finish_reason,
                prompt_tokens=usage.prompt_tokens,
                output_tokens=usage.completion_tokens,
                cached_tokens=usage.prompt_tokens_details.cached_tokens,
            )
        if choice.delta.content:
            return Piece(chunk.index, choice.delta.content)
        return None

    def _stop(self, code: ResultCode, reason: str) -> Refusal:
        """End the answer with a refusal."""
        self.is_over = True
        return Refusal(code, reason, Ran.UNKNOWN)
