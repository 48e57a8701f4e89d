"""Handles model requests: admission, planning, selection, attempts, retries."""

import random
from dataclasses import replace
from typing import Final

from nutmegroad.contracts.requests import ModelRequest, Plan
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Ran, VersionId
from nutmegroad.records.explanations import Explanation
from nutmegroad.routing.attempts import AttemptExecution, AttemptRunner, Sink
from nutmegroad.routing.gates import Gatekeeper
from nutmegroad.routing.request_progress import (
    Answer,
    MeteredSink,
    NullSink,
    RequestProgress,
    RequestUsage,
)
from nutmegroad.routing.steps import (
    VERSION_FALLBACK_CODES,
    Instruments,
    Policies,
    StepRunner,
)

_SEED_BITS: Final = 31


class Dispatcher:
    """Answers model requests.

    Args:
        policies: The decisions on admission, versions, upstreams and retries.
        gatekeeper: Makes the final check before each attempt.
        attempt_runner: Executes attempts.
        instruments: Metrics and invariants.
        clock: The host's clock.
        randomness: Source of attempt ids and seeds.
    """

    def __init__(
        self,
        policies: Policies,
        gatekeeper: Gatekeeper,
        attempt_runner: AttemptRunner,
        instruments: Instruments,
        clock: Clock,
        randomness: random.Random,
    ) -> None:
        self._policies = policies
        self._gatekeeper = gatekeeper
        self._metrics = instruments.metrics
        self._invariants = instruments.invariants
        self._clock = clock
        self._randomness = randomness
        self._steps = StepRunner(
            policies,
            gatekeeper,
            attempt_runner,
            instruments,
            clock,
            randomness,
        )

    async def answer(
        self,
        request: ModelRequest,
        sink: Sink,
        explanation: Explanation,
        usage: RequestUsage | None = None,
    ) -> Answer | Refusal:
        """Answer a request, writing pieces to the sink as soon as allowed.

        Args:
            request: The request.
            sink: Receives the pieces.
            explanation: Records each step of the decision.
            usage: Updated as costs arise; also valid after a cancellation.
        """
        progress = RequestProgress(
            request,
            explanation,
            MeteredSink(sink, request.task, self._clock, self._metrics),
            RequestUsage() if usage is None else usage,
            self._randomness.getrandbits(_SEED_BITS),
        )
        session_refusal = self._session_refusal(request)
        if session_refusal is not None:
            return session_refusal
        permit = await self._policies.admitter.admit(request)
        if isinstance(permit, Refusal):
            explanation.note('admission', permit.reason)
            return permit
        with permit:
            outcome = await self._run_plans(progress)
        if isinstance(outcome, Refusal):
            # ``ran`` must hold for all attempts, not only for the last one.
            refusal = replace(outcome, ran=progress.usage.ran)
            return _as_session_end(refusal, request)
        progress.sink.finish()
        return outcome

    def choose_session_version(
        self, request: ModelRequest
    ) -> VersionId | Refusal:
        """Choose the version that a new session is bound to."""
        available = tuple(
            version
            for version in request.versions
            if self._can_answer(request, version)
        )
        plan = self._policies.planner.plan(
            replace(request, versions=available or request.versions),
        )
        return plan if isinstance(plan, Refusal) else plan.steps[-1]

    def _can_answer(self, request: ModelRequest, version: VersionId) -> bool:
        """Return whether a version could answer a request now."""
        refusal = self._gatekeeper.check_version(
            request.workspace,
            request.task,
            version,
            None,
        )
        if refusal is not None:
            return False
        choice = self._policies.selector.choose(request, version, frozenset())
        return not isinstance(choice, Refusal)

    def _session_refusal(self, request: ModelRequest) -> Refusal | None:
        """Return why a session cannot continue, or None."""
        session = request.session
        if session is None:
            return None
        refusal = self._gatekeeper.check_version(
            request.workspace,
            request.task,
            session.version,
            session.epoch,
        )
        if refusal is None:
            return None
        return _as_session_end(refusal, request)

    async def _run_plans(self, progress: RequestProgress) -> Answer | Refusal:
        """Execute plans until one succeeds, each without failed versions."""
        request = progress.request
        refusal: Refusal | None = None
        while request.versions:
            plan = self._policies.planner.plan(request)
            if isinstance(plan, Refusal):
                return plan if refusal is None else refusal
            if not request.repeatable:
                plan = _only_last_step(plan)
            progress.note('planner', _describe_plan(plan))
            outcome, failed = await self._run_plan(progress, plan)
            if not isinstance(outcome, Refusal):
                return outcome
            refusal = outcome
            if not self._may_change_version(progress, outcome):
                return outcome
            request = _without_version(request, failed)
        if refusal is not None:
            return refusal
        return Refusal(
            ResultCode.NO_PLAN,
            f'No version of the workspace {request.workspace!r} is allowed to '
            f'answer this request of the task {request.task!r}.',
        )

    def _may_change_version(
        self, progress: RequestProgress, refusal: Refusal
    ) -> bool:
        """Return whether another version may be used after a refusal."""
        if progress.request.session is not None or progress.sink.pieces_written:
            return False
        if refusal.code not in VERSION_FALLBACK_CODES:
            return False
        ran = progress.usage.ran
        return ran is Ran.NOT_RUN or progress.request.repeatable

    async def _run_plan(
        self,
        progress: RequestProgress,
        plan: Plan,
    ) -> tuple[Answer | Refusal, VersionId]:
        """Execute the steps of a plan; return the outcome and last version."""
        last = len(plan.steps) - 1
        for index, version in enumerate(plan.steps):
            final = index == last
            sink = progress.sink if final else NullSink()
            sink.begin_version(version)
            execution = await self._steps.run(progress, version, sink)
            if isinstance(execution, Refusal):
                return execution, version
            if final:
                return self._answer(progress, execution), version
            if self._is_acceptable(progress, execution, plan.accept[index]):
                await _release_answer(progress.sink, execution)
                return self._answer(progress, execution), version
        raise AssertionError(f'plan without steps: {plan}')

    def _is_acceptable(
        self,
        progress: RequestProgress,
        execution: AttemptExecution,
        threshold: float,
    ) -> bool:
        """Return whether the answer of a cascade's step is acceptable."""
        if execution.end is None:
            return False
        estimate = self._policies.planner.estimate(
            progress.request, execution.end
        )
        version = execution.start.version
        progress.note(
            'cascade',
            f'{version} is estimated at {estimate:.3f}; '
            f'{threshold:.3f} is required',
        )
        return estimate >= threshold

    def _answer(
        self, progress: RequestProgress, execution: AttemptExecution
    ) -> Answer:
        """Return the result for a complete answer."""
        ending = execution.received.ending
        version = execution.start.version
        session = progress.request.session
        self._invariants.check(
            'whole-answer-has-ending',
            ending is not None,
            execution.start.attempt,
        )
        self._invariants.check(
            'session-keeps-version',
            session is None or session.version == version,
            execution.start.attempt,
        )
        usage = progress.usage
        return Answer(
            version=version,
            text=''.join(execution.received.pieces),
            finish=ending.reason if ending else '',
            prompt_tokens=ending.prompt_tokens if ending else 0,
            output_tokens=ending.output_tokens if ending else 0,
            cost=usage.cost,
            attempts=usage.attempts,
        )


async def _release_answer(sink: Sink, execution: AttemptExecution) -> None:
    """Write an answer that was withheld until now to the sink."""
    sink.begin_version(execution.start.version)
    for text in filter(None, execution.received.pieces):
        await sink.write(text)


def _without_version(request: ModelRequest, version: VersionId) -> ModelRequest:
    """Return the request without one of its allowed versions."""
    remaining = tuple(other for other in request.versions if other != version)
    return replace(request, versions=remaining)


def _as_session_end(refusal: Refusal, request: ModelRequest) -> Refusal:
    """Turn the refusal of a withdrawn version into the end of the session."""
    session = request.session
    if session is None or refusal.code is not ResultCode.VERSION_WITHDRAWN:
        return refusal
    return replace(
        refusal,
        code=ResultCode.SESSION_ENDED,
        reason=f'The session {session.name!r} has ended because its version '
        f'{session.version} was withdrawn.',
        retry_after=0,
    )


def _only_last_step(plan: Plan) -> Plan:
    """Return a plan of the last step only, so that one version executes it."""
    return replace(plan, steps=plan.steps[-1:], accept=())


def _describe_plan(plan: Plan) -> str:
    """Return a description of a plan."""
    steps = ' then '.join(plan.steps)
    return f'{steps}: {plan.reason}, cost {plan.cost:.5f}.'
