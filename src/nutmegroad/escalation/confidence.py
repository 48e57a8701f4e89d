"""Reads the confidence score that a model reports in its response head."""

from typing import Final

from nutmegroad.foundations.types import ModelName
from nutmegroad.routes.deployment import Route

#: Confidence, from 0 to 100, below which an answer is discarded and a larger
#: model is asked.
ESCALATION_THRESHOLD: Final = 50


def low_confidence(
    route: Route,
    model: ModelName | None,
    text: str | None,
) -> float | None:
    """Return a model's confidence if it is low enough to escalate.

    Args:
        route: The request's route.
        model: The model that has answered; None if the caller chose the model.
        text: The confidence header as received; None if it is missing.

    Returns:
        The confidence, from 0 to 100, or None if the answer should stand: the
        confidence suffices or can't be read, the caller chose the model, or the
        route has no larger one.
    """
    confidence = read_confidence(text)
    if model not in route.models[:-1] or confidence is None:
        return None
    return confidence if confidence < ESCALATION_THRESHOLD else None


def read_confidence(text: str | None) -> float | None:
    """Return the confidence in a header value, or None if it is no number."""
    if text is None:
        return None
    try:
        return float(text)
    except ValueError:
        return None
