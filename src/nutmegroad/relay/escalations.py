"""Decides whether an answer is discarded and a larger model is asked."""

from typing import Final

from nutmegroad.escalation.confidence import low_confidence
from nutmegroad.escalation.decisions import (
    EscalationCase,
    NotEscalated,
    larger_model,
)
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import ModelName
from nutmegroad.relay.budgets import Purpose
from nutmegroad.relay.execution import Execution
from nutmegroad.relay.outcomes import UpstreamAnswer

_LOG: Final = part_logger('relay')


def choose_larger_model(
    execution: Execution,
    answering: UpstreamAnswer,
    confidence_header: str,
) -> ModelName | None:
    """Return the larger model to ask, or None to keep an answer.

    An escalation takes one repeat from the budget.

    Args:
        execution: The request's attempts.
        answering: The answer, of which the caller has received nothing.
        confidence_header: Name of the header with a model's confidence.
    """
    case = _escalation_case(execution, answering, confidence_header)
    if case is None:
        return None
    larger = larger_model(execution.request.route, case)
    if not isinstance(larger, NotEscalated) and not execution.may_repeat(
        Purpose.ESCALATION,
    ):
        larger = NotEscalated.BUDGET
    if isinstance(larger, NotEscalated):
        _log_not_escalated(execution, case, larger)
        return None
    return larger


def _escalation_case(
    execution: Execution,
    answering: UpstreamAnswer,
    confidence_header: str,
) -> EscalationCase | None:
    """Return the inputs of an escalation decision, or None.

    There are none if the confidence is no reason to escalate, or if no upstream
    is available for the larger model.
    """
    route = execution.request.route
    text = answering.head.headers.get(confidence_header)
    confidence = low_confidence(route, answering.model, text)
    if confidence is None:
        return None
    expected = execution.estimates.estimate_answer(
        route.models[-1],
        execution.attempted,
    )
    if expected is None:
        return None
    return EscalationCase(
        confidence,
        execution.waited,
        execution.attempts_left,
        expected,
        execution.time_left,
    )


def _log_not_escalated(
    execution: Execution, case: EscalationCase, why: NotEscalated
) -> None:
    """Log why an answer of low confidence is kept."""
    _LOG.decision(
        'not escalated',
        request=execution.request.request_id,
        confidence=case.confidence,
        why=why.value,
        begins=round(case.estimate.start_seconds, 3),
        whole=round(case.estimate.complete_seconds, 3),
        ahead=round(case.estimate.queued_seconds, 3),
        crowd=round(case.estimate.occupancy, 2),
        attempts_left=case.attempts_left,
        left=round(case.seconds_left, 3),
    )
