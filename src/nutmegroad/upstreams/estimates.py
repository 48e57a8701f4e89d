"""How long an upstream's answer will take to begin.

An engine reads the prompts that wait one after another, so an answer begins
when those before it and its own have been read. How fast a model is read is
learnt from answers: each tells how far its own estimate was off.
"""

from dataclasses import dataclass
from typing import Final

from nutmegroad.foundations.types import ModelName, ServiceName

#: Seconds for a token before the first answer: 20,000 tokens a second, a
#: slow engine of today. Only the first few requests go by it.
FIRST_PACE: Final = 0.00005

#: Seconds that an answer takes besides its prompt.
FIRST_BASE: Final = 0.05

#: Weight of the newest answer: about the last twenty decide, so that one
#: that waited behind requests of which this host did not know weighs little.
#: The first few answers weigh as in a plain mean.
RECENT: Final = 0.05

#: Times by which one answer may change an estimate at most.
MOST_CHANGE: Final = 10.0

#: Prompt tokens from which an answer tells more of the pace than of the
#: time besides.
LONG_PROMPT: Final = 500


@dataclass(frozen=True, slots=True)
class PaceKey:
    """What is read at one pace.

    Attributes:
        service: The service.
        model: The model; None for calls that are no generations.
    """

    service: ServiceName
    model: ModelName | None


@dataclass(slots=True)
class _Mean:
    """A moving mean that follows ratios.

    Attributes:
        level: Its present value.
        count: Answers that it rests on.
    """

    level: float
    count: int = 0

    def correct(self, ratio: float) -> None:
        """Follow an answer that took so many times what was expected."""
        self.count += 1
        self.level *= ratio ** max(RECENT, 1 / (self.count + 1))


@dataclass(slots=True)
class _Pace:
    """What is known of one model.

    Attributes:
        base: Seconds that an answer takes besides its prompt.
        tokens: Seconds to read a token, by the size class of the prompt: a
            token of a long prompt takes longer, since it heeds all before.
        generated: Seconds to generate a token; None before the first answer.
    """

    base: _Mean
    tokens: dict[int, _Mean]
    generated: float | None = None

    def token(self, size: int) -> _Mean:
        """Return a size class; a new one begins like the nearest known."""
        found = self.tokens.get(size)
        if found is None:
            nearest = min(
                self.tokens,
                key=lambda known: abs(known - size),
                default=None,
            )
            level = FIRST_PACE
            if nearest is not None:
                level = self.tokens[nearest].level
            found = _Mean(level)
            self.tokens[size] = found
        return found


class Paces:
    """Learns how fast answers begin, by service and model."""

    def __init__(self) -> None:
        self._paces: dict[PaceKey, _Pace] = {}

    def work(self, key: PaceKey, tokens: int) -> float:
        """Return the seconds that an upstream takes to read a prompt."""
        return self._of(key).token(_size_class(tokens)).level * tokens

    def base(self, key: PaceKey) -> float:
        """Return the seconds that an answer takes besides its prompt."""
        return self._of(key).base.level

    def generation(self, key: PaceKey, tokens: int) -> float:
        """Return the seconds to generate tokens, 0 if that is not known."""
        return (self._of(key).generated or 0) * tokens

    def observe_generation(
        self,
        key: PaceKey,
        tokens: int,
        seconds: float,
    ) -> None:
        """Learn from a whole stream how fast a model generates."""
        if tokens <= 0 or seconds <= 0:
            return
        pace = self._of(key)
        found = seconds / tokens
        known = found if pace.generated is None else pace.generated
        pace.generated = known + RECENT * (found - known)

    def observe(
        self,
        key: PaceKey,
        tokens: int,
        waited: float,
        expected: float,
    ) -> float:
        """Learn from an answer.

        Args:
            key: What it was read as.
            tokens: Tokens of its prompt that had to be read.
            waited: Seconds until it began.
            expected: The estimate of that.

        Returns:
            How many times the estimate it took.
        """
        ratio = waited / max(expected, FIRST_PACE)
        bounded = min(MOST_CHANGE, max(1 / MOST_CHANGE, ratio))
        pace = self._of(key)
        if tokens >= LONG_PROMPT:
            pace.token(_size_class(tokens)).correct(bounded)
        else:
            pace.base.correct(bounded)
        return ratio

    def _of(self, key: PaceKey) -> _Pace:
        """Return what is known of a model."""
        return self._paces.setdefault(key, _Pace(_Mean(FIRST_BASE), {}))


def _size_class(tokens: int) -> int:
    """Return the class of a prompt; each is four times the one before."""
    return (tokens // LONG_PROMPT).bit_length() // 2
