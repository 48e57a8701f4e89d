"""Answers of simulated engines, and the faults injected into them."""

import random
from dataclasses import dataclass
from typing import Any, Final

from nutmegroad.contracts.upstreams import Attempt

#: Delay in seconds of a chunk that is never sent during a run.
NEVER: Final = 10_000.0

_TAG_PREFIX: Final = 'mark:'


def extract_tag(text: str) -> str:
    """Return the tag that a request carries in its text, empty if none."""
    _, _, remainder = text.partition(_TAG_PREFIX)
    return remainder.split(maxsplit=1)[0] if remainder else ''


def tagged_text(tag: str) -> str:
    """Return a request text that carries a tag."""
    return f'{_TAG_PREFIX}{tag} please'


def answer_piece(tag: str, version: str, position: int) -> str:
    """Return the text of one chunk of an engine's answer."""
    return f'{tag}/{version}/{position} '


def answer_text(tag: str, version: str, words: int) -> str:
    """Return the complete text of an engine's answer."""
    return ''.join(
        answer_piece(tag, version, position) for position in range(words)
    )


@dataclass(slots=True)
class ScheduledChunk:
    """A chunk of an answer, with the time at which the engine sends it.

    Attributes:
        delay: Seconds since the preceding chunk.
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
    """Return the chunks of a complete answer.

    Args:
        randomness: Draws the delays between chunks.
        attempt: The attempt; its ``skip`` chunks are left out, since the
            answer is resumed after them.
        tag: Tag of the request.
        words: Number of content chunks of the complete answer.
    """
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
    """Apply one randomly chosen fault at a random position of an answer."""
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
    """End the stream before its terminal chunk."""
    while len(schedule) > position:
        schedule.pop()


def _drop_chunk(schedule: list[ScheduledChunk], position: int) -> None:
    """Leave out a chunk."""
    schedule.pop(position)


def _duplicate_chunk(schedule: list[ScheduledChunk], position: int) -> None:
    """Send a chunk twice."""
    schedule.insert(position, schedule[position])


def _delay_chunk(schedule: list[ScheduledChunk], position: int) -> None:
    """Send a chunk 3 seconds after the preceding one."""
    schedule[position].delay = 3.0


def _stall(schedule: list[ScheduledChunk], position: int) -> None:
    """Send no more chunks, but keep the stream open."""
    schedule[position].delay = NEVER


def _substitute_chunk(schedule: list[ScheduledChunk], position: int) -> None:
    """Replace a chunk by one that belongs to another attempt."""
    index = schedule[position].chunk['index']
    schedule[position].chunk = _content_chunk(
        'another', index, 'of another answer '
    )


def _content_chunk(attempt: str, position: int, text: str) -> dict[str, Any]:
    """Return a chunk with content, as a JSON object."""
    return {
        'id': attempt,
        'index': position,
        'choices': [{'delta': {'content': text}}],
    }


def _final_chunk(attempt: str, words: int) -> dict[str, Any]:
    """Return the terminal chunk, as a JSON object."""
    return {
        'id': attempt,
        'index': words,
        'choices': [{'delta': {}, 'finish_reason': 'stop'}],
        'usage': {'prompt_tokens': 5, 'completion_tokens': words},
    }
