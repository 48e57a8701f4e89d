"""Counts model requests by outcome and logs refusals."""

from typing import Final

from nutmegroad.callers.intake import Intake
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.routing.request_progress import Answer, RequestUsage

_LOG: Final = part_logger('callers')


def count_request(
    metrics: Metrics,
    intake: Intake,
    outcome: Answer | Refusal,
    usage: RequestUsage,
) -> None:
    """Count a model request that has ended, and log it if it was refused.

    Args:
        metrics: Receives the counts.
        intake: The request.
        outcome: Its answer or refusal.
        usage: Its cost.
    """
    model = intake.model
    code = ResultCode.OK
    if isinstance(outcome, Refusal):
        code = outcome.code
        metrics.refused(code)
        _LOG.info(
            'request for task %s of workspace %s refused: %s',
            model.task,
            model.workspace,
            code.name,
            request=model.request,
        )
    metrics.request_ended(model.workspace, model.task, code)
    metrics.charged(model.workspace, model.task, usage.cost)
