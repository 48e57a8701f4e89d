"""Validates the events of an engine's streamed answer."""

from dataclasses import dataclass
from typing import Final

from msgspec import Struct
from msgspec.json import Decoder

from nutmegroad.contracts.upstreams import AnswerEnd, AnswerEvent, Piece
from nutmegroad.foundations.decoding import MessageDecoder, UndecodableError
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import AttemptId, Ran

_DONE: Final = b'[DONE]'


class Delta(Struct, frozen=True):
    """The text that a chunk adds to the answer."""

    content: str | None = None


class Choice(Struct, frozen=True):
    """The only choice of a chunk."""

    delta: Delta = Delta()
    finish_reason: str | None = None


class CachedTokens(Struct, frozen=True):
    """Details of the prompt tokens: how many were cached."""

    cached_tokens: int = 0


class Usage(Struct, frozen=True):
    """Token counts of an answer."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: CachedTokens = CachedTokens()


class Chunk(Struct, frozen=True):
    """One event of an answer's stream.

    Attributes:
        id: Id of the attempt that the chunk belongs to.
        index: Position in the answer, counted from 0; the chunk that ends the
            answer has the position after the last piece.
        choices: At most one choice.
        usage: Token counts; only the last chunk has them.
    """

    id: str
    index: int
    choices: tuple[Choice, ...] = ()
    usage: Usage | None = None


_CHUNK_DECODER: Final = MessageDecoder[Chunk](Decoder(Chunk))


@dataclass(slots=True)
class AnswerReader:
    """Validates the chunks of one answer and converts them into events.

    Attributes:
        attempt: Id of the attempt that each chunk must carry.
        expected: Index of the next chunk.
        ending: The ending, once its chunk has been read.
        is_finished: Whether the answer has ended, complete or with a refusal.
        duplicates: Number of chunks that were dropped because a chunk with
            their index had been read before.
    """

    attempt: AttemptId
    expected: int = 0
    ending: AnswerEnd | None = None
    is_finished: bool = False
    duplicates: int = 0

    def read(self, event: bytes) -> AnswerEvent | None:
        """Process the data of one event; None if it yields no answer event."""
        if self.is_finished:
            return None
        if event == _DONE:
            return self.close()
        try:
            chunk = _CHUNK_DECODER.decode(event)
        except UndecodableError as error:
            reason = f'The engine sent a malformed event: {error}.'
            return self._stop(ResultCode.UPSTREAM_ERROR, reason)
        return self._read_chunk(chunk)

    def close(self) -> AnswerEnd | Refusal:
        """Return the ending, or a refusal if the stream ended without one."""
        if self.ending is None:
            reason = 'The engine closed the stream before the answer ended.'
            return self._stop(ResultCode.ANSWER_CUT, reason)
        self.is_finished = True
        return self.ending

    def _read_chunk(self, chunk: Chunk) -> Piece | Refusal | None:
        """Check the attempt and the index of a chunk."""
        if chunk.id != self.attempt:
            reason = (
                f'The engine sent a piece of another attempt, {chunk.id!r}.'
            )
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
        """Process the content of a chunk that has the expected index."""
        choice = chunk.choices[0] if chunk.choices else Choice()
        if choice.finish_reason is not None:
            usage = chunk.usage or Usage()
            self.ending = AnswerEnd(
                reason=choice.finish_reason,
                prompt_tokens=usage.prompt_tokens,
                output_tokens=usage.completion_tokens,
                cached_tokens=usage.prompt_tokens_details.cached_tokens,
            )
        if choice.delta.content:
            return Piece(chunk.index, choice.delta.content)
        return None

    def _stop(self, code: ResultCode, reason: str) -> Refusal:
        """Mark the answer as ended and return the refusal."""
        self.is_finished = True
        return Refusal(code, reason, Ran.UNKNOWN)
