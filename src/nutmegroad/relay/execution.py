"""One request on its way: attempt after attempt, until one answers.

Plain calls and streams share what is here: which upstreams were tried, what
is known about whether the request ran, and whether it may be sent again.
"""

from dataclasses import replace
from functools import partial
from types import MappingProxyType
from typing import Final

from nutmegroad.canary.gate import Observed
from nutmegroad.fleet.content_marks import spell_mark
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    ModelName,
    Ran,
    ServiceName,
    UpstreamIncarnation,
)
from nutmegroad.relay.budgets import Purpose
from nutmegroad.relay.outcomes import (
    Answering,
    AttemptEnd,
    AttemptFailure,
    AttemptPlan,
)
from nutmegroad.relay.outlook import Outlook
from nutmegroad.relay.parts import RelayParts
from nutmegroad.relay.patience import patience_for
from nutmegroad.relay.refusals import kept_out, nowhere
from nutmegroad.routes.requests import CallerRequest
from nutmegroad.upstreams.selection import Choice

_LOG: Final = part_logger('relay')

#: Upstreams that one request is offered to at most, those that rejected it
#: included: by then the service as a whole is full.
MOST_OFFERS: Final = 5

#: Seconds after which a caller whose request found no free upstream comes
#: back, if no upstream said: about the time in which a queue of plain calls
#: turns over.
COME_BACK: Final = 0.25


#: What became of an attempt whose request ended before it was answered.
_ABANDONED: Final = AttemptFailure(
    AttemptEnd.ABANDONED,
    Ran.UNKNOWN,
    'the request ended first',
)


#: What a failed attempt says of its upstream's version; others broke off, which
#: may have another cause.
_OBSERVED: Final = MappingProxyType({AttemptEnd.UNPROVED: Observed.POOR})


#: The code of a request whose last attempt failed so.
_CODES: Final = MappingProxyType(
    {
        AttemptEnd.UNREACHABLE: ResultCode.UPSTREAM_UNREACHABLE,
        AttemptEnd.REJECTED: ResultCode.OVERLOADED,
        AttemptEnd.MISDIRECTED: ResultCode.NO_UPSTREAM,
        AttemptEnd.SILENT: ResultCode.UPSTREAM_TIMEOUT,
    },
)


class Execution:
    """The attempts of one request.

    Args:
        parts: What executions share.
        request: The request.
        service: Where it goes.
    """

    def __init__(
        self,
        parts: RelayParts,
        request: CallerRequest,
        service: ServiceName,
    ) -> None:
        self.request = request
        self.service = service
        self.outlook = Outlook(parts, request, service)
        self.guard = parts.crashes.guard(request)
        self._parts = parts
        self.tried: set[UpstreamIncarnation] = set()
        self._offers = 0
        self._runs = 0
        self._ran = Ran.NOT_RUN
        parts.budget.requested(service)

    @property
    def attempts_left(self) -> int:
        """Return how many more upstreams may run the request."""
        return self.request.route.max_attempts - self._runs

    @property
    def waited(self) -> float:
        """Return the seconds since the request arrived."""
        return self._parts.clock.now() - self.request.arrived

    @property
    def left(self) -> float:
        """Return the seconds until the final answer is due."""
        return self.request.deadline - self._parts.clock.now()

    async def begin(
        self,
        model: ModelName | None,
        last_event: str = '',
    ) -> Answering | Refusal:
        """Make attempts until one is answered or none may follow.

        Args:
            model: The model to name; None to leave the caller's.
            last_event: Id of the last event that the caller has.
        """
        while True:
            if self.left <= 0:
                return self.refuse_late()
            harmful = await self.guard.keeps_out()
            if harmful is not None:
                return self._refuse(kept_out(harmful, self.service))
            choice = self.outlook.choose(model, self.tried)
            if choice is None:
                known = self.outlook.known
                return self._refuse(nowhere(known, self.service))
            outcome = await self._attempt(choice, model, last_event)
            if isinstance(outcome, Answering):
                return outcome
            if not self._may_follow(outcome):
                return _final(outcome, self._offers, self._ran)

    def may_repeat(self, purpose: Purpose = Purpose.FAILURE) -> bool:
        """Tell whether a request that ran may run once more."""
        route = self.request.route
        if not route.repeatable or self.attempts_left < 1:
            return False
        if self._offers >= MOST_OFFERS or self.left <= 0:
            return False
        if not self._parts.budget.spend(self.service, purpose):
            return False
        self._parts.counters.repeated(purpose.value)
        return True

    def refused(self, refusal: Refusal, **fields: object) -> None:
        """Write down the refusal that ends the request, and count it."""
        request = self.request
        self._parts.counters.refused(refusal.code)
        _LOG.decision(
            'refused',
            request=request.request,
            route=request.route.name,
            code=refusal.code.name,
            ran=refusal.ran.value,
            reason=refusal.reason,
            retry_after=refusal.retry_after,
            configuration=request.table.version,
            waited=round(self.waited, 3),
            **fields,
        )

    def refuse_cut(self) -> Refusal:
        """Return the refusal of a request whose answer broke off."""
        return Refusal(
            ResultCode.ANSWER_CUT,
            'The answer broke off, and the request may not run again.',
            Ran.RAN,
        )

    def refuse_late(self) -> Refusal:
        """Return the refusal of a request whose time is over."""
        return Refusal(
            ResultCode.DEADLINE_PASSED,
            'The time of the request is over.',
            self._ran,
        )

    async def _attempt(
        self,
        choice: Choice,
        model: ModelName | None,
        last_event: str,
    ) -> Answering | AttemptFailure:
        """Make one attempt and write down how it began."""
        upstream = choice.upstream
        self._offers += 1
        self.tried.add(upstream.entry.incarnation)
        plan = AttemptPlan(
            choice,
            model,
            last_event,
            patience_for(self.request, choice.expected, self.left),
            self._may_leave,
        )
        # Until it is known better: a task that is cancelled here leaves a
        # request behind of which nobody can say whether it ran.
        known = self._ran
        self._ran = Ran.UNKNOWN
        began = self._parts.clock.now()
        self._parts.versions.sent(
            self.request,
            self.service,
            upstream.entry.version,
        )
        outcome: Answering | AttemptFailure = _ABANDONED
        try:
            outcome = await self._parts.attempts.begin(self.request, plan)
        finally:
            if outcome is _ABANDONED:
                self._note(choice, model, outcome)
        if isinstance(outcome, AttemptFailure) and outcome.ran is Ran.NOT_RUN:
            self._ran = known
        else:
            self._reached()
            await self._follow_up(outcome, choice, began)
        self._note(choice, model, outcome)
        return outcome

    async def _follow_up(
        self,
        outcome: Answering | AttemptFailure,
        choice: Choice,
        began: float,
    ) -> None:
        """Take in an attempt by which the request may have run.

        Args:
            outcome: What came of it.
            choice: Where it went.
            began: Clock seconds at which it began.
        """
        upstream = choice.upstream
        end_session = partial(
            self._parts.versions.ended,
            self.request,
            self.service,
            upstream.entry.version,
        )
        if isinstance(outcome, Answering):
            outcome.stack.callback(end_session)
            self._parts.counters.begun(
                self.request.route.kind.value,
                self.waited,
            )
            return
        end_session()
        if outcome.end is AttemptEnd.BROKEN:
            await self.guard.broke(upstream, began)

    def _reached(self) -> None:
        """Take in that an upstream may have begun to run the request."""
        self._runs += 1
        self.guard.reached()

    def _note(
        self,
        choice: Choice,
        model: ModelName | None,
        outcome: Answering | AttemptFailure,
    ) -> None:
        """Log an attempt with what decided it."""
        entry = choice.upstream.entry
        ended = 'answering'
        detail = ''
        if isinstance(outcome, AttemptFailure):
            ended = outcome.end.value
            detail = outcome.reason
            if _speaks_of_version(choice, outcome):
                self._parts.versions.observe(
                    self.request,
                    choice.upstream,
                    _OBSERVED.get(outcome.end, Observed.BROKEN),
                )
        self._parts.counters.attempted(ended)
        _LOG.decision(
            'attempt',
            request=self.request.request,
            number=self._offers,
            upstream=entry.upstream,
            version=entry.version,
            model=model,
            content=spell_mark(self.request.content),
            session=self.request.session,
            candidates=choice.candidates,
            expected=round(choice.expected, 3),
            ahead=round(choice.ahead, 3),
            missing=choice.reading.tokens,
            fetched_from=choice.reading.source_id,
            running=choice.running,
            failures=round(choice.upstream.health.failures, 2),
            waited=round(self.waited, 3),
            outcome=ended,
            detail=detail,
        )

    def _may_leave(self) -> bool:
        """Tell whether a silent attempt may be left for another one."""
        if self.guard.on_trial:
            # No other attempt may follow it.
            return False
        return self.attempts_left > 1 and self.may_repeat()

    def _may_follow(self, failure: AttemptFailure) -> bool:
        """Tell whether another attempt may follow a failed one."""
        if self._offers >= MOST_OFFERS or self.left <= 0:
            return False
        if failure.end is AttemptEnd.UNREACHABLE:
            return True
        if failure.end is AttemptEnd.SILENT:
            # It was left only because another attempt may follow.
            return True
        if failure.ran is Ran.NOT_RUN:
            return self._parts.budget.spend(self.service, Purpose.FAILURE)
        return self.may_repeat()

    def _refuse(self, why: Refusal) -> Refusal:
        """Return a refusal that says whether the request ran."""
        return replace(why, ran=self._ran)


def _speaks_of_version(choice: Choice, failure: AttemptFailure) -> bool:
    """Tell whether a failed attempt may be evidence on a version."""
    if failure is _ABANDONED or failure.ran is Ran.NOT_RUN:
        return False
    return not choice.upstream.restarted


def _final(failure: AttemptFailure, offers: int, ran: Ran) -> Refusal:
    """Return the refusal that ends a request after a failure."""
    return Refusal(
        _CODES.get(failure.end, ResultCode.UPSTREAM_ERROR),
        f'After {offers} attempts: {failure.reason}.',
        ran,
        failure.retry_after or COME_BACK,
    )
