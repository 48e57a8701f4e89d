"""Reads complete answers into memory, which all answers of a host share.

An upstream with a fault may send without end, and a host has little memory.
"""

from dataclasses import dataclass
from typing import Final

from nutmegroad.foundations.logs import part_logger
from nutmegroad.relay.connections import Framing
from nutmegroad.relay.outcomes import UpstreamAnswer
from nutmegroad.relay.sockets import ConnectionFailedError

_LOG: Final = part_logger('relay')

#: Maximum bytes of an answer that is read completely before it is sent on.
MAX_ANSWER_BYTES: Final = 4_194_304

#: Maximum bytes of all answers that are read at one time: a sixth of the memory
#: of the smallest hosts.
MAX_TOTAL_BYTES: Final = 33_554_432


@dataclass(frozen=True, slots=True)
class OversizedAnswer:
    """The beginning of an answer that is too long to be read completely.

    Attributes:
        start: Its first bytes.
        has_end: Whether the framing marks its end, so that it may be sent on as
            it arrives.
    """

    start: bytes
    has_end: bool


class AnswerBuffers:
    """The answers that are read at present.

    Args:
        max_answer: Maximum bytes of one answer.
        max_total: Maximum bytes of all answers.
    """

    def __init__(
        self,
        max_answer: int = MAX_ANSWER_BYTES,
        max_total: int = MAX_TOTAL_BYTES,
    ) -> None:
        self._max_answer = max_answer
        self._max_total = max_total
        self._total = 0

    async def read(
        self, answering: UpstreamAnswer
    ) -> bytes | OversizedAnswer | None:
        """Return the body of an answer.

        Returns:
            The body, or its beginning if it is too long; None if it was
            truncated.
        """
        chunks: list[bytes] = []
        size = 0
        try:
            while chunk := await answering.head.body.readany():
                chunks.append(chunk)
                size += len(chunk)
                self._total += len(chunk)
                if size > self._max_answer or self._total > self._max_total:
                    return _oversized(answering, b''.join(chunks), self._total)
        except (ConnectionFailedError, ConnectionError):
            return None
        finally:
            self._total -= size
        return b''.join(chunks)


def _oversized(
    answering: UpstreamAnswer, start: bytes, total: int
) -> OversizedAnswer:
    """Log an answer that is too long, and return its beginning."""
    framing = answering.head.framing
    _LOG.decision(
        'answer too long',
        upstream=answering.upstream.entry.upstream,
        status=answering.head.status,
        framing=framing.value,
        size=len(start),
        all_answers=total,
    )
    return OversizedAnswer(start, framing is not Framing.CONNECTION)
