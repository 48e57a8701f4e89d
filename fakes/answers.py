"""Generates the engine stand-in's answers: words and a quality.

An answer is drawn from the engine's seed, the version and the request's seed
or attempt id, so another engine that was started with the same seed can
resume it.
"""

import random
from dataclasses import dataclass, field
from typing import Any, Final

#: Mean quality of a version without an entry.
DEFAULT_QUALITY: Final = 0.9

#: Standard deviation of the quality of individual answers.
QUALITY_SPREAD: Final = 0.05

#: Bounds of an answer's length in words if a request states none.
MIN_LENGTH: Final = 20
MAX_LENGTH: Final = 120

_WORDS: Final = (
    'the council permit outlet applies trolley galley licence manifest of',
    'stock each item meal flight form fee receipt is was stated checked by',
    'and with for under objection summary dossier owner packed swapped no',
)
VOCABULARY: Final = tuple(' '.join(_WORDS).split())


@dataclass(frozen=True, slots=True)
class AnswerPlan:
    """A complete answer, determined before its first word is sent.

    Attributes:
        words: Words of the answer; the last one states the quality.
        quality: Quality from 0 to 1.
        finish_reason: Finish reason, ``stop`` or ``length``.
    """

    words: tuple[str, ...]
    quality: float
    finish_reason: str


@dataclass(slots=True)
class QualityTable:
    """Mean answer quality by version and task.

    Attributes:
        means: Mean quality by ``version`` or ``version:task``.
    """

    means: dict[str, float] = field(default_factory=dict)

    def mean(self, version: str, task: str) -> float:
        """Return the mean for the task, or else that for the version."""
        for_version = self.means.get(version, DEFAULT_QUALITY)
        return self.means.get(f'{version}:{task}', for_version)


def parse_qualities(settings: list[str]) -> QualityTable:
    """Parse ``version:task=mean`` and ``version=mean`` settings.

    Raises:
        ValueError: If a setting has no number after the equals sign.
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
        exact_length: Length of the answer in words; None for a random length.
        max_length: Maximum length in words; None for no limit.
        streams: Whether the answer is to be streamed.
        seed: Seed that the request states; None to use the attempt id.
    """

    version: str
    task: str
    words: tuple[str, ...]
    exact_length: int | None
    max_length: int | None
    streams: bool
    seed: str | None = None


def read_prompt(body: dict[str, Any]) -> Prompt:
    """Parse the body of a chat completion request."""
    texts = [str(part.get('content', '')) for part in body.get('messages', [])]
    seed = body.get('seed')
    return Prompt(
        version=str(body.get('model', '')),
        task=str(body.get('nutmegroad_task', '')),
        words=tuple(' '.join(texts).split()),
        exact_length=body.get('nutmegroad_tokens'),
        max_length=body.get('max_tokens'),
        streams=bool(body.get('stream', False)),
        seed=None if seed is None else str(seed),
    )


def plan_answer(
    prompt: Prompt,
    mean: float,
    engine_seed: int,
    attempt: str,
) -> AnswerPlan:
    """Generate an answer.

    Args:
        prompt: Content of the request.
        mean: Mean quality of the version for the task.
        engine_seed: Seed of the engine.
        attempt: Attempt id; replaces the request's seed if it states none.
    """
    seed = attempt if prompt.seed is None else prompt.seed
    # Each answer has its own generator, so other draws can't affect it.
    randomness = random.Random(f'{engine_seed}:{prompt.version}:{seed}')
    length = randomness.randint(MIN_LENGTH, MAX_LENGTH)
    if prompt.exact_length is not None:
        length = max(1, prompt.exact_length)
    reason = 'stop'
    if prompt.max_length is not None and prompt.max_length < length:
        length = max(1, prompt.max_length)
        reason = 'length'
    quality = min(1, max(0, randomness.gauss(mean, QUALITY_SPREAD)))
    words = randomness.choices(VOCABULARY, k=length - 1)
    return AnswerPlan(
        words=(*words, f'q={quality:.2f}'),
        quality=quality,
        finish_reason=reason,
    )
