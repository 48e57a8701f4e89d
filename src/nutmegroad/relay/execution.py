"""Makes a request's attempts until an upstream answers or none may follow.

Plain calls and streams share this module. It tracks the upstreams that have
been attempted and whether the request may have been executed, and decides
whether another attempt may follow.
"""

from collections.abc import Callable
from dataclasses import replace
from functools import partial
from types import MappingProxyType
from typing import Final

from nutmegroad.canary.gate import AttemptOutcome
from nutmegroad.fleet.request_attributes import format_fingerprint
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    ModelName,
    Ran,
    ServiceName,
    UpstreamIncarnation,
)
from nutmegroad.overload.departures import DEPARTED
from nutmegroad.overload.memory_budget import Holding
from nutmegroad.relay.budgets import Purpose
from nutmegroad.relay.context import RelayContext
from nutmegroad.relay.outcomes import (
    ABANDONED,
    AttemptEnd,
    AttemptFailure,
    AttemptPlan,
    UpstreamAnswer,
)
from nutmegroad.relay.refusals import harmful_refusal
from nutmegroad.relay.request_estimates import RequestEstimates
from nutmegroad.relay.timeouts import response_timeout
from nutmegroad.routes.requests import CallerRequest
from nutmegroad.upstreams.selection import Choice

_LOG: Final = part_logger('relay')

#: Maximum number of attempts of one request, including those that the upstream
#: rejected. After that many, the service as a whole counts as full.
MAX_ATTEMPTS: Final = 5

#: Seconds after which a caller should retry if no upstream was free and none
#: sent a retry time: about the time in which a queue of plain calls is served.
DEFAULT_RETRY_AFTER: Final = 0.25

#: Evidence of failed attempts on the upstream's version. Failures that are not
#: listed count as interrupted, since they may have another cause.
_EVIDENCE: Final = MappingProxyType(
    {AttemptEnd.UNVERIFIED: AttemptOutcome.POOR}
)

#: Result code of a request by the end of its last attempt.
_RESULT_CODES: Final = MappingProxyType(
    {
        AttemptEnd.UNREACHABLE: ResultCode.UPSTREAM_UNREACHABLE,
        AttemptEnd.REJECTED: ResultCode.OVERLOADED,
        AttemptEnd.WITHHELD: ResultCode.OVERLOADED,
        AttemptEnd.MISDIRECTED: ResultCode.NO_UPSTREAM,
        AttemptEnd.UNRESPONSIVE: ResultCode.UPSTREAM_TIMEOUT,
        AttemptEnd.CALLER_LEFT: ResultCode.CALLER_LEFT,
    },
)

#: Ends after which another attempt needs no repeat from the budget: nothing was
#: sent, or the attempt was abandoned only because another one may follow.
_ALWAYS_FOLLOWED: Final = frozenset(
    (AttemptEnd.UNREACHABLE, AttemptEnd.WITHHELD, AttemptEnd.UNRESPONSIVE)
)


class Execution:
    """The attempts of one request.

    Args:
        context: Objects that executions share.
        request: The request.
        service: The service that it is sent to.
        caller_left: Returns whether the caller has closed its connection.
        holding: Accounts for the bytes that are held for the request.
    """

    def __init__(
        self,
        context: RelayContext,
        request: CallerRequest,
        service: ServiceName,
        caller_left: Callable[[], bool],
        holding: Holding,
    ) -> None:
        self.request = request
        self._caller_left = caller_left
        self.service = service
        self.estimates = RequestEstimates(context, request, service)
        self.crash_guard = context.crashes.guard(request)
        self.holding = holding
        self._context = context
        self.attempted: set[UpstreamIncarnation] = set()
        self._attempt_count = 0
        self._execution_count = 0
        self._executed = Ran.NOT_RUN
        context.budget.count_request(service)

    @property
    def attempts_left(self) -> int:
        """Number of further upstreams that may execute the request."""
        return self.request.route.max_attempts - self._execution_count

    @property
    def waited(self) -> float:
        """Seconds since the request arrived."""
        return self._context.clock.now() - self.request.arrived

    @property
    def time_left(self) -> float:
        """Seconds until the final answer is due."""
        return self.request.deadline - self._context.clock.now()

    async def start(
        self,
        model: ModelName | None,
        last_event: str = '',
    ) -> UpstreamAnswer | Refusal:
        """Make attempts until one is answered or none may follow.

        Args:
            model: The model to request; None to keep the caller's.
            last_event: Id of the last event that the caller has received.
        """
        choose = partial(self.estimates.choose, model, self.attempted)
        while True:
            if self.time_left <= 0:
                return self.deadline_refusal()
            if self._caller_left():
                return self._refuse(DEPARTED)
            harmful = await self.crash_guard.blocked_by(choose)
            if harmful is not None:
                return self._refuse(harmful_refusal(harmful, self.service))
            choice = choose()
            if choice is None:
                return self._refuse(self.estimates.refusal(self.time_left))
            outcome = await self._attempt(choice, model, last_event)
            if isinstance(outcome, UpstreamAnswer):
                return outcome
            if not self._may_follow(outcome):
                return self._refuse(
                    _final_refusal(self, outcome, self._attempt_count)
                )

    def may_repeat(self, purpose: Purpose = Purpose.FAILURE) -> bool:
        """Return whether the request may be executed once more.

        If it may, this takes one repeat from the budget.
        """
        route = self.request.route
        if not route.repeatable or self.attempts_left < 1:
            return False
        if self._attempt_count >= MAX_ATTEMPTS or self.time_left <= 0:
            return False
        return _take_repeat(self._context, self.request, self.service, purpose)

    def log_refusal(self, refusal: Refusal, **fields: object) -> None:
        """Log and count the refusal that ends the request."""
        request = self.request
        self._context.counters.refused(refusal.code)
        _LOG.decision(
            'refused',
            request=request.request_id,
            route=request.route.name,
            code=refusal.code.name,
            ran=refusal.ran.value,
            reason=refusal.reason,
            retry_after=refusal.retry_after,
            configuration=request.table.version,
            waited=round(self.waited, 3),
            **fields,
        )

    def deadline_refusal(self) -> Refusal:
        """Return the refusal of a request whose deadline has passed."""
        return Refusal(
            ResultCode.DEADLINE_PASSED,
            'The deadline of the request has passed.',
            self._executed,
        )

    async def _attempt(
        self,
        choice: Choice,
        model: ModelName | None,
        last_event: str,
    ) -> UpstreamAnswer | AttemptFailure:
        """Make one attempt, and log its outcome."""
        upstream = choice.upstream
        self._attempt_count += 1
        self.attempted.add(upstream.entry.incarnation)
        plan = AttemptPlan(
            choice,
            model,
            last_event,
            self.estimates.own_delay
            + response_timeout(
                self.request, choice.expected_seconds, self.time_left
            ),
            self._may_abandon,
            self._is_last_attempt(),
            self._caller_left,
        )
        # If the task is cancelled during the attempt, it remains unknown
        # whether the request was executed.
        executed_before = self._executed
        self._executed = Ran.UNKNOWN
        began = self._context.clock.now()
        self._context.version_gate.sent(
            self.request,
            self.service,
            upstream.entry.version,
        )
        outcome: UpstreamAnswer | AttemptFailure = ABANDONED
        try:
            outcome = await self._context.attempts.start(self.request, plan)
        finally:
            if outcome is ABANDONED:
                self._log_attempt(choice, model, outcome)
        if isinstance(outcome, AttemptFailure) and outcome.ran is Ran.NOT_RUN:
            self._executed = executed_before
        else:
            self._record_execution()
            await self._handle_execution(outcome, choice, began)
        self._log_attempt(choice, model, outcome)
        return outcome

    async def _handle_execution(
        self,
        outcome: UpstreamAnswer | AttemptFailure,
        choice: Choice,
        began: float,
    ) -> None:
        """Handle an attempt by which the request may have been executed.

        Args:
            outcome: The outcome of the attempt.
            choice: The upstream that was chosen.
            began: Clock seconds at which the attempt began.
        """
        upstream = choice.upstream
        version = upstream.entry.version
        gate = self._context.version_gate
        end_session = partial(gate.ended, self.request, self.service, version)
        if isinstance(outcome, UpstreamAnswer):
            outcome.stack.callback(end_session)
            self._context.counters.head_received(
                self.request.route.kind.value,
                self.waited,
            )
            return
        end_session()
        if outcome.end is AttemptEnd.BROKEN:
            await self.crash_guard.exchange_broken(upstream, began)

    def _record_execution(self) -> None:
        """Record that an upstream may have begun to execute the request."""
        self._execution_count += 1
        self.crash_guard.execution_started()

    def _log_attempt(
        self,
        choice: Choice,
        model: ModelName | None,
        outcome: UpstreamAnswer | AttemptFailure,
    ) -> None:
        """Log and count an attempt; a failed one may be evidence on a version.

        The log line has the estimates by which the upstream was chosen.
        """
        entry = choice.upstream.entry
        ended, detail = 'answering', ''
        if isinstance(outcome, AttemptFailure):
            ended = outcome.end.value
            detail = outcome.reason
            if _is_version_evidence(choice, outcome):
                self._context.version_gate.observe(
                    self.request,
                    choice.upstream,
                    _EVIDENCE.get(outcome.end, AttemptOutcome.INTERRUPTED),
                )
        self._context.counters.attempted(ended)
        _LOG.decision(
            'attempt',
            request=self.request.request_id,
            number=self._attempt_count,
            upstream=entry.upstream,
            version=entry.version,
            model=model,
            content=format_fingerprint(self.request.content),
            session=self.request.session,
            candidates=choice.candidates,
            **self.estimates.exclusions.log_fields(),
            expected=round(choice.expected_seconds, 3),
            ahead=round(choice.queued_seconds, 3),
            missing=choice.prefill.tokens,
            fetched_from=choice.prefill.source_id,
            running=choice.running,
            failures=round(choice.upstream.health.failure_average, 2),
            **self.estimates.limit_fields(choice.upstream),
            waited=round(self.waited, 3),
            via=outcome.via,
            exchange=outcome.exchange,
            answer=outcome.identity and outcome.identity.value,
            outcome=ended,
            detail=detail,
        )

    def _may_abandon(self) -> bool:
        """Return whether an unanswered attempt may be abandoned for another."""
        if self.crash_guard.probing:
            # No other attempt may follow a probe execution.
            return False
        return self.attempts_left > 1 and self.may_repeat()

    def _is_last_attempt(self) -> bool:
        """Return whether no attempt may follow this one once it is executed."""
        return (
            not self.request.route.repeatable
            or self.attempts_left <= 1
            or self._attempt_count >= MAX_ATTEMPTS
            or not self._context.budget.has_repeat(self.service)
        )

    def _may_follow(self, failure: AttemptFailure) -> bool:
        """Return whether another attempt may follow a failed one."""
        if self._attempt_count >= MAX_ATTEMPTS or self.time_left <= 0:
            return False
        if failure.is_reserved or failure.end is AttemptEnd.CALLER_LEFT:
            return False
        if failure.end in _ALWAYS_FOLLOWED:
            return True
        if failure.ran is Ran.NOT_RUN:
            return _take_repeat(
                self._context, self.request, self.service, Purpose.FAILURE
            )
        return self.may_repeat()

    def _refuse(self, why: Refusal) -> Refusal:
        """Return a refusal with what is known about the request's execution."""
        return replace(why, ran=self._executed)


def _take_repeat(
    context: RelayContext,
    request: CallerRequest,
    service: ServiceName,
    purpose: Purpose,
) -> bool:
    """Take one repeat from the budget, and log what it was decided on."""
    usage = context.budget.usage(service)
    permitted = context.budget.spend(service, purpose)
    if permitted:
        context.counters.repeated(purpose.value)
    else:
        context.counters.repeat_denied(purpose.value)
    _LOG.decision(
        'repeat',
        request=request.request_id,
        service=service,
        purpose=purpose.value,
        permitted=permitted,
        requests=usage.requests,
        repeats=usage.repeats,
        share=round(usage.share, 2),
        counted_for=round(usage.counted_for, 3),
        waited=round(context.clock.now() - request.arrived, 3),
    )
    return permitted


def _is_version_evidence(choice: Choice, failure: AttemptFailure) -> bool:
    """Return whether a failed attempt may be evidence on a version."""
    if failure is ABANDONED or failure.ran is Ran.NOT_RUN:
        return False
    return not choice.upstream.restarted


def _final_refusal(
    execution: Execution, failure: AttemptFailure, attempts: int
) -> Refusal:
    """Return the refusal that ends a request after its last attempt."""
    if failure.is_reserved:
        return execution.estimates.reserved_refusal(failure.retry_after)
    return Refusal(
        _RESULT_CODES.get(failure.end, ResultCode.UPSTREAM_ERROR),
        f'After {attempts} attempts: {failure.reason}.',
        retry_after=failure.retry_after or DEFAULT_RETRY_AFTER,
    )
