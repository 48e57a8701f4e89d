"""Counts how callers' requests ended."""

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
    spent: RequestUsage,
) -> None:
    """Count a model request that has ended, and log a refusal."""
    model = intake.model
    code = ResultCode.OK
    if isinstance(outcome, Refusal):
        code = outcome.code
        metrics.refused(code)
        _LOG.info(
            '%s of %s refused: %s',
            model.task,
            model.workspace,
            code.name,
            request=model.request,
        )
    metrics.request_ended(model.workspace, model.task, code)
    metrics.charged(model.workspace, model.task, spent.cost)
