"""The way of a model request: admit, plan, choose, attempt, retry."""

import random
from dataclasses import dataclass, replace
from typing import Final

import msgspec

from nutmegroad.attempts import Attempter, Received, Sink
from nutmegroad.clocks import Clock
from nutmegroad.decisions import (
    Admitter,
    AttemptEnd,
    AttemptStart,
    Choice,
    Planner,
    RetryBudget,
    Selector,
)
from nutmegroad.explanations import Explanation
from nutmegroad.fences import Crossing
from nutmegroad.gates import Gatekeeper, Passage
from nutmegroad.requests import ModelRequest, Plan
from nutmegroad.results import Refusal, ResultCode
from nutmegroad.types import AttemptId, Ran, ServiceName, UpstreamId, VersionId
from nutmegroad.upstreams import Attempt, Ending

#: Attempts that one request may make in all, whatever the budget says.
MOST_ATTEMPTS: Final = 6

_NONCE_BITS: Final = 48

#: Failures of a version after which a request may turn to another one.
_TURN_AWAY: Final = frozenset(
    (
        ResultCode.NO_UPSTREAM,
        ResultCode.VERSION_WITHDRAWN,
        ResultCode.VERSION_QUARANTINED,
        ResultCode.ISOLATED,
    )
)


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer.

    Attributes:
        version: The version that wrote it.
        text: All of it.
        finish: Why the engine stopped.
        prompt_tokens: Tokens read by that version.
        output_tokens: Tokens written by that version.
        cost: What the request cost, all attempts and steps summed.
        attempts: How many attempts were made.
    """

    version: VersionId
    text: str
    finish: str
    prompt_tokens: int
    output_tokens: int
    cost: float
    attempts: int


class _Buffer:
    """A sink that keeps back the answer of a cascade's earlier step."""

    async def piece(self, text: str) -> None:
        """Show nothing yet."""


class _Counted:
    """A sink that counts what the caller has been shown.

    Args:
        inner: The caller's sink.
    """

    def __init__(self, inner: Sink) -> None:
        self.shown = 0
        self._inner = inner

    async def piece(self, text: str) -> None:
        """Show a piece."""
        self.shown += 1
        await self._inner.piece(text)


@dataclass(slots=True)
class Progress:
    """What a request has come to so far.

    Attributes:
        request: The request.
        explanation: Where each step is noted.
        sink: The caller's side.
        excluded: Upstreams that have failed it.
        cost: Costs summed up.
        attempts: Attempts made.
        ran: The most that may have run.
    """

    request: ModelRequest
    explanation: Explanation
    sink: _Counted
    excluded: frozenset[UpstreamId] = frozenset()
    cost: float = 0
    attempts: int = 0
    ran: Ran = Ran.NOT_RUN


@dataclass(frozen=True, slots=True)
class Policies:
    """The decisions that a dispatcher asks for.

    Attributes:
        admitter: Lets requests in.
        planner: Chooses versions.
        selector: Chooses upstreams.
        retries: Bounds retries.
    """

    admitter: Admitter
    planner: Planner
    selector: Selector
    retries: RetryBudget


class Dispatcher:
    """Answers model requests.

    Args:
        policies: The decisions.
        gatekeeper: Makes the last check of each attempt.
        attempter: Carries attempts out.
        clock: The host's clock.
        randomness: Names attempts.
    """

    def __init__(
        self,
        policies: Policies,
        gatekeeper: Gatekeeper,
        attempter: Attempter,
        clock: Clock,
        randomness: random.Random,
    ) -> None:
        self._policies = policies
        self._gatekeeper = gatekeeper
        self._attempter = attempter
        self._clock = clock
        self._randomness = randomness

    async def answer(
        self,
        request: ModelRequest,
        sink: Sink,
        explanation: Explanation,
    ) -> Answer | Refusal:
        """Answer a request; pieces go to the sink as soon as they may."""
        permit = await self._policies.admitter.admit(request)
        if isinstance(permit, Refusal):
            explanation.note('admission', permit.reason)
            return permit
        progress = Progress(request, explanation, _Counted(sink))
        with permit:
            outcome = await self._follow_plans(progress)
        if isinstance(outcome, Refusal):
            # Only what no attempt contradicts may be said of the whole.
            return replace(outcome, ran=progress.ran)
        return outcome

    async def _follow_plans(self, progress: Progress) -> Answer | Refusal:
        """Follow plans until one answers, each without failed versions."""
        request = progress.request
        refusal: Refusal | None = None
        while request.versions:
            plan = self._policies.planner.plan(request)
            if isinstance(plan, Refusal):
                return plan if refusal is None else refusal
            progress.explanation.note('planner', _describe(plan))
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
            'No version may answer this request.',
        )

    def _may_turn(self, progress: Progress, refusal: Refusal) -> bool:
        """Tell whether another version may be tried."""
        if progress.request.session is not None or progress.sink.shown:
            return False
        if refusal.code not in _TURN_AWAY:
            return False
        return progress.ran is Ran.NOT_RUN or progress.request.repeatable

    async def _follow(
        self,
        progress: Progress,
        plan: Plan,
    ) -> tuple[Answer | Refusal, VersionId]:
        """Take a plan's steps; return the outcome and the last version."""
        last = len(plan.steps) - 1
        for place, version in enumerate(plan.steps):
            final = place == last
            sink = progress.sink if final else _Buffer()
            outcome = await self._step(progress, version, sink)
            if isinstance(outcome, Refusal):
                return outcome, version
            received, end = outcome
            if final:
                return _answer(progress, received, end), version
            estimate = self._policies.planner.estimate(progress.request, end)
            progress.explanation.note(
                'cascade',
                f'{version} is estimated at {estimate:.3f}, '
                f'{plan.accept[place]:.3f} is enough.',
            )
            if estimate >= plan.accept[place]:
                await _show(progress.sink, received)
                return _answer(progress, received, end), version
        raise AssertionError('a plan has at least one step')

    async def _step(
        self,
        progress: Progress,
        version: VersionId,
        sink: Sink,
    ) -> tuple[Received, AttemptEnd] | Refusal:
        """Have one version answer, with retries."""
        while True:
            choice = self._policies.selector.choose(
                progress.request,
                version,
                progress.excluded,
            )
            if isinstance(choice, Refusal):
                progress.explanation.note('selector', choice.reason)
                return choice
            received, end = await self._attempt(
                progress,
                version,
                choice,
                sink,
            )
            if received.ending is not None:
                return received, end
            refusal = _why(received)
            if not self._may_retry(progress, refusal, choice):
                return refusal

    async def _attempt(
        self,
        progress: Progress,
        version: VersionId,
        choice: Choice,
        sink: Sink,
    ) -> tuple[Received, AttemptEnd]:
        """Make one attempt and add it to the progress."""
        progress.attempts += 1
        start = self._start(progress, version, choice)
        progress.explanation.note(
            'selector',
            f'{choice.state.info.upstream} for {version}: {choice.reason}.',
        )
        fence = progress.request.fence
        crossing = None if fence is None else fence.attempt()
        attempt = self._prepare(progress, start, choice, crossing)
        received, end = await self._attempter.run(
            start,
            attempt,
            choice.state,
            sink,
        )
        if crossing is not None:
            crossing.end(received.refusal)
        progress.cost += end.cost
        if received.ending is not None:
            progress.ran = Ran.RAN
        elif _why(received).ran is not Ran.NOT_RUN:
            progress.ran = Ran.UNKNOWN
        progress.explanation.note(
            'attempt', f'{start.attempt}: {end.code.name}'
        )
        return received, end

    def _start(
        self,
        progress: Progress,
        version: VersionId,
        choice: Choice,
    ) -> AttemptStart:
        """Name an attempt."""
        request = progress.request
        nonce = f'{self._randomness.getrandbits(_NONCE_BITS):012x}'
        return AttemptStart(
            AttemptId(f'{request.request}.{progress.attempts}.{nonce}'),
            request.request,
            request.workspace,
            request.task,
            version,
            choice.state.info.upstream,
        )

    def _prepare(
        self,
        progress: Progress,
        start: AttemptStart,
        choice: Choice,
        crossing: Crossing | None,
    ) -> Attempt:
        """Put together what goes to the upstream."""
        request = progress.request
        body = {**request.body, 'model': start.version, 'stream': True}
        session = request.session
        passage = Passage(
            request.workspace,
            request.task,
            start.version,
            ServiceName(''),
            session.epoch if session else None,
            choice.state,
            request.deadline,
            crossing,
        )
        return Attempt(
            attempt=start.attempt,
            upstream=choice.state.info,
            version=start.version,
            body=msgspec.json.encode(body),
            gate=self._gatekeeper.gate(passage),
            timeout=max(0, request.deadline - self._clock.now()),
            priority=request.priority,
        )

    def _may_retry(
        self,
        progress: Progress,
        refusal: Refusal,
        choice: Choice,
    ) -> bool:
        """Tell whether another upstream may be tried, and count it."""
        request = progress.request
        progress.excluded |= {choice.state.info.upstream}
        if refusal.code in _TURN_AWAY or progress.sink.shown:
            return False
        if refusal.ran is not Ran.NOT_RUN and not request.repeatable:
            return False
        if progress.attempts >= MOST_ATTEMPTS:
            return False
        if self._clock.now() >= request.deadline:
            return False
        if not self._policies.retries.spend(request):
            progress.explanation.note('retries', 'The retry budget is spent.')
            return False
        progress.explanation.note('retries', f'Again: {refusal.code.name}.')
        return True


def _why(received: Received) -> Refusal:
    """Return why an attempt failed."""
    # A refusal is false, so ``or`` would pass over it.
    if received.refusal is not None:
        return received.refusal
    return Refusal(
        ResultCode.ANSWER_CUT,
        'The answer ended without its terminal mark.',
        Ran.UNKNOWN,
    )


async def _show(sink: Sink, received: Received) -> None:
    """Show an answer that was kept back."""
    for text in received.pieces:
        await sink.piece(text)


def _answer(
    progress: Progress,
    received: Received,
    end: AttemptEnd,
) -> Answer:
    """Sum a whole answer up."""
    ending = received.ending
    finish = ending.reason if isinstance(ending, Ending) else ''
    return Answer(
        version=end.start.version,
        text=end.text,
        finish=finish,
        prompt_tokens=end.prompt_tokens,
        output_tokens=end.output_tokens,
        cost=progress.cost,
        attempts=progress.attempts,
    )


def _without(request: ModelRequest, version: VersionId) -> ModelRequest:
    """Return the request as if a version were not allowed."""
    left = tuple(other for other in request.versions if other != version)
    return replace(request, versions=left)


def _describe(plan: Plan) -> str:
    """Say what a plan is."""
    steps = ' then '.join(plan.steps)
    return f'{steps}: {plan.reason}, cost {plan.cost:.5f}.'
