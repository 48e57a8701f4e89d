"""Estimates of the time until an upstream's answer starts.

An engine processes the prompts in its queue one after another, so an answer
starts when all prompts before it and its own have been processed. The time per
prompt token is learned for each service and model: each answer shows by which
factor its estimate was wrong.
"""

from dataclasses import dataclass
from typing import Final

from nutmegroad.foundations.types import ModelName, ServiceName

#: Initial estimate in seconds per prompt token, before the first answer: 20,000
#: tokens per second, a slow present-day engine. Only the first few requests
#: rely on it.
INITIAL_TOKEN_SECONDS: Final = 0.00005

#: Initial estimate in seconds for the part that does not depend on the prompt.
INITIAL_BASE_SECONDS: Final = 0.05

#: Weight of the newest answer. About the last twenty answers decide, so a
#: single answer that waited behind requests unknown to this host has little
#: effect. Until then all answers and the initial estimate have equal weight.
NEWEST_WEIGHT: Final = 0.05

#: Maximum factor by which a single answer may correct an estimate.
MAX_CORRECTION: Final = 10.0

#: Prompt tokens from which an answer says more about the time per token than
#: about the constant part.
LONG_PROMPT: Final = 500


@dataclass(frozen=True, slots=True)
class LatencyKey:
    """Requests that share one latency estimate.

    Attributes:
        service: The service.
        model: The model; None for calls that generate no text.
    """

    service: ServiceName
    model: ModelName | None


@dataclass(slots=True)
class _Mean:
    """A moving average, updated by ratios of measured to estimated times.

    Attributes:
        level: Its current value, in seconds.
        count: Number of answers that it is based on.
    """

    level: float
    count: int = 0

    def correct(self, ratio: float) -> None:
        """Apply the ratio of a measured time to its estimate."""
        self.count += 1
        self.level *= ratio ** max(NEWEST_WEIGHT, 1 / (self.count + 1))


@dataclass(slots=True)
class _Latency:
    """Latency estimates for one service and model.

    Attributes:
        base: Seconds until an answer starts, apart from those for its prompt.
        tokens: Seconds per prompt token, by the size class of the prompt. A
            token of a long prompt takes longer, because it attends to all
            tokens before it.
        generated: Seconds to generate one token; None before the first answer.
    """

    base: _Mean
    tokens: dict[int, _Mean]
    generated: float | None = None

    def token(self, size: int) -> _Mean:
        """Return the mean of a size class.

        A new class starts with the value of the nearest known class.
        """
        found = self.tokens.get(size)
        if found is None:
            nearest = min(
                self.tokens,
                key=lambda known: abs(known - size),
                default=None,
            )
            level = INITIAL_TOKEN_SECONDS
            if nearest is not None:
                level = self.tokens[nearest].level
            found = _Mean(level)
            self.tokens[size] = found
        return found


class LatencyEstimates:
    """Learns the time until answers start, by service and model."""

    def __init__(self) -> None:
        self._latencies: dict[LatencyKey, _Latency] = {}

    def prefill_seconds(self, key: LatencyKey, tokens: int) -> float:
        """Return the seconds that an upstream takes to process a prompt."""
        return self._latency(key).token(_size_class(tokens)).level * tokens

    def base_seconds(self, key: LatencyKey) -> float:
        """Return the part of the latency that does not depend on the prompt."""
        return self._latency(key).base.level

    def generation_seconds(self, key: LatencyKey, tokens: int) -> float:
        """Return the seconds to generate tokens, or 0 if unknown."""
        return (self._latency(key).generated or 0) * tokens

    def observe_generation(
        self,
        key: LatencyKey,
        tokens: int,
        seconds: float,
    ) -> None:
        """Update the seconds per generated token from a complete stream.

        Args:
            key: Service and model of the answer.
            tokens: Number of tokens generated.
            seconds: Seconds from the start of the answer to its end.
        """
        if tokens <= 0 or seconds <= 0:
            return
        latency = self._latency(key)
        found = seconds / tokens
        known = found if latency.generated is None else latency.generated
        latency.generated = known + NEWEST_WEIGHT * (found - known)

    def observe(
        self,
        key: LatencyKey,
        tokens: int,
        waited: float,
        expected: float,
    ) -> float:
        """Update the estimates from the start of an answer.

        Args:
            key: Service and model of the answer.
            tokens: Prompt tokens that the engine had to process.
            waited: Seconds until the answer started.
            expected: The estimate of those seconds.

        Returns:
            Ratio of the measured time to the estimate.
        """
        ratio = waited / max(expected, INITIAL_TOKEN_SECONDS)
        bounded = min(MAX_CORRECTION, max(1 / MAX_CORRECTION, ratio))
        latency = self._latency(key)
        if tokens >= LONG_PROMPT:
            latency.token(_size_class(tokens)).correct(bounded)
        else:
            latency.base.correct(bounded)
        return ratio

    def _latency(self, key: LatencyKey) -> _Latency:
        """Return the estimates for a service and model; created if new."""
        return self._latencies.setdefault(
            key, _Latency(_Mean(INITIAL_BASE_SECONDS), {})
        )


def _size_class(tokens: int) -> int:
    """Return the size class of a prompt.

    The bounds of each class are four times those of the class before.
    """
    return (tokens // LONG_PROMPT).bit_length() // 2
