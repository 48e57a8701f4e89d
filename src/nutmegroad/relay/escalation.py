"""Which model answers: small ones first, a larger one if need be.

A model's own opinion of its answer comes with the answer's head, before any
of it has gone to the caller. A poor one is dropped and a larger model asked,
if the request may run once more and its time allows.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from nutmegroad.foundations.types import ModelName
from nutmegroad.relay.deployment import EngineFacts, Route
from nutmegroad.relay.requests import ANY_MODEL, CallerRequest

#: Opinion of a model, from 0 to 100, below which its answer is dropped.
#: Trials on two deployments: 45 to 60 alike on calm days, less the better
#: under load, 68 worse on both; see docs/MEASUREMENTS.md.
CONFIDENT: Final = 50

#: The same where a larger model's answer is expected after the target: it is
#: then worth about a third, so it has to be likelier that the small one's is
#: worth next to nothing.
CONFIDENT_LATE: Final = 25

#: Times the estimate of a whole answer that has to be left for it: callers'
#: guesses of lengths are right at the median only.
ROOM: Final = 1.5


@dataclass(frozen=True, slots=True)
class Opinion:
    """What speaks for and against a larger model.

    Attributes:
        model: The model that has answered.
        confidence: Its own opinion, from 0 to 100; None if it has none.
        waited: Seconds since the request arrived.
        attempts_left: Upstreams that it may still be sent to.
        expected: Seconds that the larger model would need to begin.
        whole: Seconds that it would need for the whole answer.
        left: Seconds until the final answer is due.
    """

    model: ModelName
    confidence: float | None
    waited: float
    attempts_left: int
    expected: float
    whole: float
    left: float


def first_model(request: CallerRequest) -> ModelName | None:
    """Return the model that a request is begun with.

    Returns:
        None where the caller's own word stands.
    """
    generation = request.generation
    models = request.route.models
    if generation is None or not models or generation.model != ANY_MODEL:
        return None
    return models[0] if _may_escalate(request.route) else models[-1]


def larger_model(route: Route, opinion: Opinion) -> ModelName | None:
    """Return the model to ask in place of one that is unsure, or None."""
    if opinion.model not in route.models[:-1]:
        return None
    if opinion.confidence is None or opinion.attempts_left < 1:
        return None
    if opinion.whole * ROOM > opinion.left:
        # A poor answer that is whole is worth more than one that is cut.
        return None
    late = opinion.waited + opinion.expected > route.target_latency
    bound = CONFIDENT_LATE if late else CONFIDENT
    return route.models[-1] if opinion.confidence < bound else None


def read_confidence(text: str | None) -> float | None:
    """Return a model's opinion, or None if it can't be read."""
    if text is None:
        return None
    try:
        return float(text)
    except ValueError:
        return None


def costs(facts: EngineFacts, models: Sequence[ModelName]) -> list[float]:
    """Return the prices of models."""
    return [facts.cost(model) for model in models]


def _may_escalate(route: Route) -> bool:
    """Tell whether a second model may run a request of a route."""
    return route.repeatable and route.max_attempts > 1
