"""What the engine stand-in writes: words, and the quality of an answer.

An answer depends only on the seed, the version and the name of the draw, so
that it can be resumed on another engine that was started with the same seed.
"""

import random
from dataclasses import dataclass, field
from typing import Any, Final

#: Quality of a version that nothing was said of.
DEFAULT_QUALITY: Final = 0.9

#: Standard deviation of the quality of single answers.
QUALITY_SPREAD: Final = 0.05

#: Bounds of an answer's length in words where a request states none.
SHORTEST: Final = 20
LONGEST: Final = 120

_WORDS: Final = (
    'the council permit outlet applies trolley galley licence manifest of',
    'stock each item meal flight form fee receipt is was stated checked by',
    'and with for under objection summary dossier owner packed swapped no',
)
VOCABULARY: Final = tuple(' '.join(_WORDS).split())


@dataclass(frozen=True, slots=True)
class AnswerPlan:
    """A whole answer, known before its first word is sent.

    Attributes:
        words: The words; the last states the quality.
        quality: From 0 to 1.
        reason: Why it ends, ``stop`` or ``length``.
    """

    words: tuple[str, ...]
    quality: float
    reason: str


@dataclass(slots=True)
class QualityTable:
    """Mean quality by version, and by version and task.

    Attributes:
        means: Mean by ``version`` or ``version:task``.
    """

    means: dict[str, float] = field(default_factory=dict)

    def mean(self, version: str, task: str) -> float:
        """Return the most exact entry that there is."""
        for_version = self.means.get(version, DEFAULT_QUALITY)
        return self.means.get(f'{version}:{task}', for_version)


def parse_qualities(settings: list[str]) -> QualityTable:
    """Read ``version:task=mean`` and ``version=mean`` settings.

    Raises:
        ValueError: If a setting has no number behind an equals sign.
    """
    table = QualityTable()
    for setting in settings:
        name, _, mean = setting.rpartition('=')
        table.means[name] = float(mean)
    return table


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a completion request asks for.

    Attributes:
        version: Model and version.
        task: Task class; empty if it states none.
        words: Words of all messages.
        tokens: Words that the answer is to have; None to draw.
        limit: Words that it may have; None for no limit.
        streams: Whether the answer is to be streamed.
        draw: Seed that the request states; None for the attempt's id.
    """

    version: str
    task: str
    words: tuple[str, ...]
    tokens: int | None
    limit: int | None
    streams: bool
    draw: str | None = None


def read_prompt(body: dict[str, Any]) -> Prompt:
    """Read a completion request in the model API's usual shape."""
    texts = [str(part.get('content', '')) for part in body.get('messages', [])]
    draw = body.get('seed')
    return Prompt(
        version=str(body.get('model', '')),
        task=str(body.get('nutmegroad_task', '')),
        words=tuple(' '.join(texts).split()),
        tokens=body.get('nutmegroad_tokens'),
        limit=body.get('max_tokens'),
        streams=bool(body.get('stream', False)),
        draw=None if draw is None else str(draw),
    )


def plan_answer(
    prompt: Prompt,
    mean: float,
    seed: int,
    attempt: str,
) -> AnswerPlan:
    """Draw an answer.

    Args:
        prompt: The request.
        mean: Mean quality of the version for the task.
        seed: The engine's seed.
        attempt: Names the draw where the request states no seed.
    """
    draw = attempt if prompt.draw is None else prompt.draw
    # A generator of its own for each answer: nothing else can shift it.
    randomness = random.Random(f'{seed}:{prompt.version}:{draw}')
    length = randomness.randint(SHORTEST, LONGEST)
    if prompt.tokens is not None:
        length = max(1, prompt.tokens)
    reason = 'stop'
    if prompt.limit is not None and prompt.limit < length:
        length = max(1, prompt.limit)
        reason = 'length'
    quality = min(1, max(0, randomness.gauss(mean, QUALITY_SPREAD)))
    written = randomness.choices(VOCABULARY, k=length - 1)
    return AnswerPlan(
        words=(*written, f'q={quality:.2f}'),
        quality=quality,
        reason=reason,
    )
