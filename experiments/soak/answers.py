"""What engines of a randomised run write, and how it goes wrong."""

import random
from dataclasses import dataclass
from typing import Any, Final

from nutmegroad.contracts.upstreams import Attempt

#: Seconds that stand for never.
NEVER: Final = 10_000.0

_MARK: Final = 'mark:'


def mark_of(text: str) -> str:
    """Return the mark that a request carries in its text."""
    _, _, rest = text.partition(_MARK)
    return rest.split(maxsplit=1)[0] if rest else ''


def marked(mark: str) -> str:
    """Return a text that carries a mark."""
    return f'{_MARK}{mark} please'


def word_of(mark: str, version: str, place: int) -> str:
    """Return one piece of the answer that an engine writes."""
    return f'{mark}/{version}/{place} '


def text_of(mark: str, version: str, words: int) -> str:
    """Return the whole answer that an engine writes."""
    return ''.join(word_of(mark, version, place) for place in range(words))


@dataclass(slots=True)
class Step:
    """A chunk that an engine sends.

    Attributes:
        seconds: Seconds after the one before.
        chunk: The chunk, before it is encoded.
    """

    seconds: float
    chunk: dict[str, Any]


def plan_answer(
    randomness: random.Random,
    attempt: Attempt,
    mark: str,
    words: int,
) -> list[Step]:
    """Return the steps of a whole answer, from where it is to go on."""
    name = attempt.attempt
    plan = [
        Step(
            randomness.uniform(0.01, 0.2),
            _chunk(name, place, word_of(mark, attempt.version, place)),
        )
        for place in range(attempt.skip, words)
    ]
    plan.append(Step(0.01, _last(name, words)))
    return plan


def spoil(plan: list[Step], randomness: random.Random) -> None:
    """Let an answer go wrong somewhere, in some way."""
    ways = (_cut, _skip, _repeat, _delay, _fall_silent, _cross)
    randomness.choice(ways)(plan, randomness.randrange(len(plan)))


def _cut(plan: list[Step], place: int) -> None:
    """End the stream before its end."""
    while len(plan) > place:
        plan.pop()


def _skip(plan: list[Step], place: int) -> None:
    """Leave a piece out."""
    plan.pop(place)


def _repeat(plan: list[Step], place: int) -> None:
    """Send a piece twice."""
    plan.insert(place, plan[place])


def _delay(plan: list[Step], place: int) -> None:
    """Send a piece late."""
    plan[place].seconds = 3.0


def _fall_silent(plan: list[Step], place: int) -> None:
    """Send no more, and keep the stream open."""
    plan[place].seconds = NEVER


def _cross(plan: list[Step], place: int) -> None:
    """Send a piece of another answer."""
    index = plan[place].chunk['index']
    plan[place].chunk = _chunk('another', index, 'of another answer ')


def _chunk(attempt: str, place: int, text: str) -> dict[str, Any]:
    """Return one piece as it is sent."""
    return {
        'id': attempt,
        'index': place,
        'choices': [{'delta': {'content': text}}],
    }


def _last(attempt: str, words: int) -> dict[str, Any]:
    """Return the chunk with the end."""
    return {
        'id': attempt,
        'index': words,
        'choices': [{'delta': {}, 'finish_reason': 'stop'}],
        'usage': {'prompt_tokens': 5, 'completion_tokens': words},
    }
