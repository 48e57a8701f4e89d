"""What engines of a randomised run write, and how it goes wrong."""

import random
from dataclasses import dataclass
from typing import Any, Final

from nutmegroad.contracts.upstreams import Attempt

#: Seconds that stand for never.
NEVER: Final = 10_000.0

_TAG_PREFIX: Final = 'mark:'


def extract_tag(text: str) -> str:
    """Return the mark that a request carries in its text."""
    _, _, remainder = text.partition(_TAG_PREFIX)
    return remainder.split(maxsplit=1)[0] if remainder else ''


def tagged_text(tag: str) -> str:
    """Return a text that carries a mark."""
    return f'{_TAG_PREFIX}{tag} please'


def answer_piece(tag: str, version: str, position: int) -> str:
    """Return one piece of the answer that an engine writes."""
    return f'{tag}/{version}/{position} '


def answer_text(tag: str, version: str, words: int) -> str:
    """Return the whole answer that an engine writes."""
    return ''.join(
        answer_piece(tag, version, position) for position in range(words)
    )


@dataclass(slots=True)
class ScheduledChunk:
    """A chunk that an engine sends.

    Attributes:
        seconds: Seconds after the one before.
        chunk: The chunk, before it is encoded.
    """

    delay: float
    chunk: dict[str, Any]


def schedule_answer(
    randomness: random.Random,
    attempt: Attempt,
    tag: str,
    words: int,
) -> list[ScheduledChunk]:
    """Return the steps of a whole answer, from where it is to go on."""
    attempt_id = attempt.attempt
    schedule = [
        ScheduledChunk(
            randomness.uniform(0.01, 0.2),
            _content_chunk(
                attempt_id,
                position,
                answer_piece(tag, attempt.version, position),
            ),
        )
        for position in range(attempt.skip, words)
    ]
    schedule.append(ScheduledChunk(0.01, _final_chunk(attempt_id, words)))
    return schedule


def inject_stream_fault(
    schedule: list[ScheduledChunk], randomness: random.Random
) -> None:
    """Let an answer go wrong somewhere, in some way."""
    fault_kinds = (
        _truncate,
        _drop_chunk,
        _duplicate_chunk,
        _delay_chunk,
        _stall,
        _substitute_chunk,
    )
    randomness.choice(fault_kinds)(
        schedule, randomness.randrange(len(schedule))
    )


def _truncate(schedule: list[ScheduledChunk], position: int) -> None:
    """End the stream before its end."""
    while len(schedule) > position:
        schedule.pop()


def _drop_chunk(schedule: list[ScheduledChunk], position: int) -> None:
    """Leave a piece out."""
    schedule.pop(position)


def _duplicate_chunk(schedule: list[ScheduledChunk], position: int) -> None:
    """Send a piece twice."""
    schedule.insert(position, schedule[position])


def _delay_chunk(schedule: list[ScheduledChunk], position: int) -> None:
    """Send a piece late."""
    schedule[position].delay = 3.0


def _stall(schedule: list[ScheduledChunk], position: int) -> None:
    """Send no more, and keep the stream open."""
    schedule[position].delay = NEVER


def _substitute_chunk(schedule: list[ScheduledChunk], position: int) -> None:
    """Send a piece of another answer."""
    index = schedule[position].chunk['index']
    schedule[position].chunk = _content_chunk(
        'another', index, 'of another answer '
    )


def _content_chunk(attempt: str, position: int, text: str) -> dict[str, Any]:
    """Return one piece as it is sent."""
    return {
        'id': attempt,
        'index': position,
        'choices': [{'delta': {'content': text}}],
    }


def _final_chunk(attempt: str, words: int) -> dict[str, Any]:
    """Return the chunk with the end."""
    return {
        'id': attempt,
        'index': words,
        'choices': [{'delta': {}, 'finish_reason': 'stop'}],
        'usage': {'prompt_tokens': 5, 'completion_tokens': words},
    }
