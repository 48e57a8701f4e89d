"""A model's own confidence in its answer, as its answer's head tells it."""

from typing import Final

from nutmegroad.foundations.types import ModelName
from nutmegroad.routes.deployment import Route

#: Confidence of a model, from 0 to 100, below which its answer is dropped.
#: Trials on two deployments: 45 to 60 alike on calm days, less the better
#: under load, 68 worse on both; see docs/MEASUREMENTS.md.
CONFIDENT: Final = 50


def read_unsure(
    route: Route,
    model: ModelName | None,
    text: str | None,
) -> float | None:
    """Return the confidence of a model that is unsure, or None.

    Args:
        route: The request's route.
        model: The model that has answered; None if the caller named it.
        text: Its confidence as it wrote it; None if it wrote none.
    """
    confidence = read_confidence(text)
    if model not in route.models[:-1] or confidence is None:
        return None
    return confidence if confidence < CONFIDENT else None


def read_confidence(text: str | None) -> float | None:
    """Return a model's confidence, or None if it can't be read."""
    if text is None:
        return None
    try:
        return float(text)
    except ValueError:
        return None
