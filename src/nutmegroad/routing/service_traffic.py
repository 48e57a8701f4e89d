"""Counts calls to plain services and bounds their retries."""

from dataclasses import dataclass
from typing import Protocol

from nutmegroad.contracts.decisions import (
    AttemptEnd,
    AttemptStart,
    Observer,
    RetryBudget,
    RetryRequester,
)
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.results import ResultCode
from nutmegroad.foundations.types import (
    AttemptId,
    ServiceName,
    TaskName,
    UpstreamId,
    VersionId,
)

_NO_VERSION = VersionId('')


class ServiceRetries(RetryBudget, Observer, Protocol):
    """A retry budget that is notified of each attempt."""


@dataclass(frozen=True, slots=True)
class _RunningAttempt:
    """An attempt in progress.

    Attributes:
        start: The event that the budget has received.
        started_at: Clock seconds at which it started.
    """

    start: AttemptStart
    started_at: float


class ServiceTraffic:
    """Metrics and retry budget for all calls to plain services.

    The budget is separate from that of model requests, so that neither kind
    of traffic can use up the retries of the other.

    Args:
        retries: Bounds retries.
        metrics: Counts the outcomes.
        clock: The host's clock.
    """

    def __init__(
        self,
        retries: ServiceRetries,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._retries = retries
        self._metrics = metrics
        self._clock = clock
        self._running: dict[AttemptId, _RunningAttempt] = {}

    def started(
        self,
        call: RetryRequester,
        service: ServiceName,
        attempt: AttemptId,
        upstream: UpstreamId,
    ) -> None:
        """Record the start of an attempt."""
        start = AttemptStart(
            attempt,
            call.request,
            call.workspace,
            TaskName(service),
            _NO_VERSION,
            upstream,
        )
        self._running[attempt] = _RunningAttempt(start, self._clock.now())
        self._retries.started(start)

    def ended(self, attempt: AttemptId, code: ResultCode) -> None:
        """Record and count how an attempt ended."""
        running = self._running.pop(attempt)
        seconds = self._clock.now() - running.started_at
        end = AttemptEnd(running.start, code, None, seconds, 0, 0, 0, '')
        self._retries.ended(end)
        self._metrics.service_attempt_ended(running.start.task, code)

    def may_retry(self, call: RetryRequester, code: ResultCode) -> bool:
        """Take a retry from the budget, and count it if there was one."""
        if not self._retries.spend(call):
            return False
        self._metrics.retried(code)
        return True

    def finished(
        self,
        call: RetryRequester,
        service: ServiceName,
        code: ResultCode,
    ) -> None:
        """Count a call that has ended."""
        self._metrics.request_ended(call.workspace, TaskName(service), code)
