"""Handles model requests: admission, planning, selection, attempts, retries."""

import random
from dataclasses import replace
from typing import Final

from nutmegroad.contracts.requests import ModelRequest, Plan
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Ran, VersionId
from nutmegroad.records.explanations import Explanation
from nutmegroad.routing.attempts import Attempter, Sink, Trial
from nutmegroad.routing.gates import Gatekeeper
from nutmegroad.routing.request_progress import (
    Answer,
    CountedSink,
    KeptBack,
    Progress,
    Spent,
)
from nutmegroad.routing.steps import (
    TURN_AWAY,
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
        attempter: Executes attempts.
        instruments: Metrics and invariants.
        clock: The host's clock.
        randomness: Source of attempt ids and seeds.
    """

    def __init__(
        self,
        policies: Policies,
        gatekeeper: Gatekeeper,
        attempter: Attempter,
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
            attempter,
            instruments,
            clock,
            randomness,
        )

    async def answer(
        self,
        request: ModelRequest,
        sink: Sink,
        explanation: Explanation,
        spent: Spent | None = None,
    ) -> Answer | Refusal:
        """Answer a request, writing pieces to the sink as soon as allowed.

        Args:
            request: The request.
            sink: Receives the pieces.
            explanation: Records each step of the decision.
            spent: Updated as costs arise; also valid after a cancellation.
        """
        progress = Progress(
            request,
            explanation,
            CountedSink(sink, request.task, self._clock, self._metrics),
            Spent() if spent is None else spent,
            self._randomness.getrandbits(_SEED_BITS),
        )
        ended = self._session_refusal(request)
        if ended is not None:
            return ended
        permit = await self._policies.admitter.admit(request)
        if isinstance(permit, Refusal):
            explanation.note('admission', permit.reason)
            return permit
        with permit:
            outcome = await self._follow_plans(progress)
        if isinstance(outcome, Refusal):
            # ``ran`` must hold for all attempts, not only for the last one.
            known = replace(outcome, ran=progress.spent.ran)
            return _as_session_end(known, request)
        progress.sink.finish()
        return outcome

    def settle_on(self, request: ModelRequest) -> VersionId | Refusal:
        """Choose the version that a new session is bound to."""
        able = tuple(
            version
            for version in request.versions
            if self._is_able(request, version)
        )
        plan = self._policies.planner.plan(
            replace(request, versions=able or request.versions),
        )
        return plan if isinstance(plan, Refusal) else plan.steps[-1]

    def _is_able(self, request: ModelRequest, version: VersionId) -> bool:
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

    async def _follow_plans(self, progress: Progress) -> Answer | Refusal:
        """Execute plans until one succeeds, each without failed versions."""
        request = progress.request
        refusal: Refusal | None = None
        while request.versions:
            plan = self._policies.planner.plan(request)
            if isinstance(plan, Refusal):
                return plan if refusal is None else refusal
            if not request.repeatable:
                plan = _last_step(plan)
            progress.note('planner', _describe(plan))
            outcome, failed = await self._follow(progress, plan)
            if not isinstance(outcome, Refusal):
                return outcome
            refusal = outcome
            if not self._may_turn(progress, outcome):
                return outcome
            request = _without(request, failed)
        if refusal is not None:
            return refusal
        return Refusal(
            ResultCode.NO_PLAN,
            'No version is allowed to answer this request.',
        )

    def _may_turn(self, progress: Progress, refusal: Refusal) -> bool:
        """Return whether another version may be used after a refusal."""
        if progress.request.session is not None or progress.sink.shown:
            return False
        if refusal.code not in TURN_AWAY:
            return False
        ran = progress.spent.ran
        return ran is Ran.NOT_RUN or progress.request.repeatable

    async def _follow(
        self,
        progress: Progress,
        plan: Plan,
    ) -> tuple[Answer | Refusal, VersionId]:
        """Execute the steps of a plan; return the outcome and last version."""
        last = len(plan.steps) - 1
        for place, version in enumerate(plan.steps):
            final = place == last
            sink = progress.sink if final else KeptBack()
            sink.answering(version)
            trial = await self._steps.run(progress, version, sink)
            if isinstance(trial, Refusal):
                return trial, version
            if final:
                return self._answer(progress, trial), version
            if self._is_enough(progress, trial, plan.accept[place]):
                await _show(progress.sink, trial)
                return self._answer(progress, trial), version
        raise AssertionError('a plan has at least one step')

    def _is_enough(
        self,
        progress: Progress,
        trial: Trial,
        wanted: float,
    ) -> bool:
        """Return whether the answer of a cascade's step is acceptable."""
        if trial.end is None:
            return False
        estimate = self._policies.planner.estimate(progress.request, trial.end)
        version = trial.start.version
        progress.note(
            'cascade',
            f'{version} is estimated at {estimate:.3f}; '
            f'{wanted:.3f} is required',
        )
        return estimate >= wanted

    def _answer(self, progress: Progress, trial: Trial) -> Answer:
        """Return the result for a complete answer."""
        ending = trial.received.ending
        version = trial.start.version
        session = progress.request.session
        self._invariants.check(
            'whole-answer-has-ending',
            ending is not None,
            trial.start.attempt,
        )
        self._invariants.check(
            'session-keeps-version',
            session is None or session.version == version,
            trial.start.attempt,
        )
        spent = progress.spent
        return Answer(
            version=version,
            text=''.join(trial.received.pieces),
            finish=ending.reason if ending else '',
            prompt_tokens=ending.prompt_tokens if ending else 0,
            output_tokens=ending.output_tokens if ending else 0,
            cost=spent.cost,
            attempts=spent.attempts,
        )


async def _show(sink: Sink, trial: Trial) -> None:
    """Write an answer that was withheld to the sink."""
    sink.answering(trial.start.version)
    for text in filter(None, trial.received.pieces):
        await sink.piece(text)


def _without(request: ModelRequest, version: VersionId) -> ModelRequest:
    """Return the request without one of its allowed versions."""
    left = tuple(other for other in request.versions if other != version)
    return replace(request, versions=left)


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


def _last_step(plan: Plan) -> Plan:
    """Return only the last step; a cascade may execute a request twice."""
    return replace(plan, steps=plan.steps[-1:], accept=())


def _describe(plan: Plan) -> str:
    """Return a description of a plan."""
    steps = ' then '.join(plan.steps)
    return f'{steps}: {plan.reason}, cost {plan.cost:.5f}.'
