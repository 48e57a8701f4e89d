"""Executes one step of a plan: one version answers, with retries."""

import random
from dataclasses import dataclass, replace
from typing import Final

import msgspec

from nutmegroad.contracts.decisions import (
    Admitter,
    AttemptStart,
    Choice,
    Planner,
    RetryBudget,
    Selector,
)
from nutmegroad.contracts.fences import AttemptFence
from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.contracts.upstreams import Attempt
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.invariants import Invariants
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import AttemptId, Ran, ServiceName, VersionId
from nutmegroad.routing.attempts import Attempter, Received, Sink, Trial
from nutmegroad.routing.gates import Gatekeeper, Passage
from nutmegroad.routing.harmful import HarmfulRequests
from nutmegroad.routing.request_progress import Progress, why

#: Maximum attempts for one request, whatever the retry budget allows.
MOST_ATTEMPTS: Final = 6

_NONCE_BITS: Final = 48

#: Refusals after which a request may use another version.
TURN_AWAY: Final = frozenset(
    (
        ResultCode.NO_UPSTREAM,
        ResultCode.VERSION_WITHDRAWN,
        ResultCode.VERSION_QUARANTINED,
        ResultCode.ISOLATED,
    )
)

#: Refusals by this host itself, which another upstream would not change.
OWN_REFUSALS: Final = frozenset(
    (
        ResultCode.DEADLINE_PASSED,
        ResultCode.HOST_PAUSED,
        ResultCode.HOST_STOPPING,
        ResultCode.VERSION_NOT_ALLOWED,
        ResultCode.UNAUTHENTICATED,
    )
)

#: Failures after which an interrupted answer can be resumed.
_RESUMABLE: Final = frozenset(
    (
        ResultCode.ANSWER_CUT,
        ResultCode.UPSTREAM_ERROR,
        ResultCode.UPSTREAM_TIMEOUT,
        ResultCode.UPSTREAM_UNREACHABLE,
    )
)


@dataclass(frozen=True, slots=True)
class Policies:
    """The policies that a dispatcher uses.

    Attributes:
        admitter: Admits requests.
        planner: Chooses versions.
        selector: Chooses upstreams.
        retries: Bounds retries.
        harmful: Keeps requests from engines that crash under them.
    """

    admitter: Admitter
    planner: Planner
    selector: Selector
    retries: RetryBudget
    harmful: HarmfulRequests


@dataclass(frozen=True, slots=True)
class Instruments:
    """Metrics and invariants of a dispatcher.

    Attributes:
        metrics: Counters and latencies.
        invariants: Conditions that must always hold.
    """

    metrics: Metrics
    invariants: Invariants


@dataclass(frozen=True, slots=True)
class _Course:
    """The target and starting point of the next attempt.

    Attributes:
        choice: The upstream.
        attempt: The attempt's id; an attempt that resumes at the same engine
            keeps it.
        received: The part of the answer received before.
        attempt_fence: The attempt's part of the fence of its request.
    """

    choice: Choice
    attempt: AttemptId
    received: Received
    attempt_fence: AttemptFence | None


class StepRunner:
    """Has one version answer a request.

    Args:
        policies: The policies.
        gatekeeper: Makes the final check before each attempt.
        attempter: Executes attempts.
        instruments: Metrics and invariants.
        clock: The host's clock.
        randomness: Source of attempt ids.
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
        self._attempter = attempter
        self._metrics = instruments.metrics
        self._invariants = instruments.invariants
        self._clock = clock
        self._randomness = randomness

    async def run(
        self,
        progress: Progress,
        version: VersionId,
        sink: Sink,
    ) -> Trial | Refusal:
        """Have one version answer, retrying and resuming where allowed."""
        course = self._begin(progress, version, Received())
        while not isinstance(course, Refusal):
            trial = await self._attempt(progress, version, course, sink)
            await self._policies.harmful.ended(progress.request, trial)
            if trial.received.ending is not None:
                return trial
            refusal = why(trial.received)
            if not self._may_retry(progress, refusal, course):
                return refusal
            following = self._next(progress, version, trial, course)
            if isinstance(following, Refusal):
                # The failure of the attempt explains more than the lack of
                # another upstream.
                return refusal
            course = following
        return course

    def _begin(
        self,
        progress: Progress,
        version: VersionId,
        received: Received,
    ) -> _Course | Refusal:
        """Choose an upstream and create the attempt's id."""
        kept_out = self._policies.harmful.keeps_out(progress.request)
        if kept_out is not None:
            progress.note('harmful', kept_out.reason)
            return kept_out
        choice = self._policies.selector.choose(
            progress.request,
            version,
            progress.excluded,
        )
        if isinstance(choice, Refusal):
            progress.note('selector', choice.reason)
            return choice
        nonce = f'{self._randomness.getrandbits(_NONCE_BITS):012x}'
        number = progress.spent.attempts + 1
        name = AttemptId(f'{progress.request.request}.{number}.{nonce}')
        fence = progress.request.fence
        attempt_fence = None if fence is None else fence.attempt()
        return _Course(choice, name, received, attempt_fence)

    def _next(
        self,
        progress: Progress,
        version: VersionId,
        trial: Trial,
        course: _Course,
    ) -> _Course | Refusal:
        """Choose how to continue after a failed attempt."""
        received = trial.received
        upstream = course.choice.state.info.upstream
        resumes = why(received).code in _RESUMABLE and bool(received.pieces)
        if resumes and upstream not in progress.excluded:
            # Try once more at the engine that holds the answer.
            progress.excluded |= {upstream}
            return course
        progress.excluded |= {upstream}
        if not progress.sink.shown and not resumes:
            received = Received()
        return self._begin(progress, version, received)

    async def _attempt(
        self,
        progress: Progress,
        version: VersionId,
        course: _Course,
        sink: Sink,
    ) -> Trial:
        """Make one attempt and add it to the progress."""
        spent = progress.spent
        spent.attempts += 1
        spent.version = version
        trial = self._prepare(progress, version, course)
        progress.note(
            'selector',
            f'{trial.start.upstream} for {version}: {course.choice.reason}.',
        )
        try:
            await self._attempter.run(trial, sink)
        finally:
            self._sum_up(progress, trial)
            if course.attempt_fence is not None:
                course.attempt_fence.end(trial.received.refusal)
        return trial

    def _sum_up(self, progress: Progress, trial: Trial) -> None:
        """Add an attempt that has ended or was cancelled to the progress."""
        end = trial.end
        if end is None:
            return
        spent = progress.spent
        spent.cost += end.cost
        spent.prompt_tokens = end.prompt_tokens
        spent.output_tokens = end.output_tokens
        if trial.received.ending is not None:
            spent.ran = Ran.RAN
        elif why(trial.received).ran is not Ran.NOT_RUN:
            spent.ran = Ran.UNKNOWN
        self._metrics.attempt_ended(end.start.version, end.code)
        self._invariants.check(
            'first-byte-behind-open-gate',
            trial.passed or trial.received.read <= trial.attempt.skip,
            end.start.attempt,
        )
        progress.note('attempt', f'{end.start.attempt}: {end.code.name}')

    def _prepare(
        self,
        progress: Progress,
        version: VersionId,
        course: _Course,
    ) -> Trial:
        """Create the attempt to send to the upstream."""
        request = progress.request
        state = course.choice.state
        body = {
            'seed': progress.seed,
            **request.body,
            'model': version,
            'stream': True,
        }
        attempt = Attempt(
            attempt=course.attempt,
            upstream=state.info,
            version=version,
            body=msgspec.json.encode(body),
            gate=self._gatekeeper.gate(_passage(request, version, course)),
            timeout=max(0, request.deadline - self._clock.now()),
            priority=request.priority,
            skip=course.received.resume_at,
        )
        start = AttemptStart(
            course.attempt,
            request.request,
            request.workspace,
            request.task,
            version,
            state.info.upstream,
        )
        trial = Trial(
            start,
            attempt,
            state,
            course.received,
            request.prompt_tokens,
        )
        trial.attempt = replace(attempt, gate=trial.watch(attempt.gate))
        return trial

    def _may_retry(
        self,
        progress: Progress,
        refusal: Refusal,
        course: _Course,
    ) -> bool:
        """Return whether another attempt may be made, and count it if so."""
        if refusal.code in TURN_AWAY or refusal.code in OWN_REFUSALS:
            return False
        if not self._is_harmless(progress, refusal, course):
            return False
        if progress.spent.attempts >= MOST_ATTEMPTS:
            return False
        if self._clock.now() >= progress.request.deadline:
            return False
        if not self._policies.retries.spend(progress.request):
            progress.note('retries', 'The retry budget is exhausted.')
            return False
        self._metrics.retried(refusal.code)
        progress.note('retries', f'Retry after {refusal.code.name}.')
        return True

    def _is_harmless(
        self,
        progress: Progress,
        refusal: Refusal,
        course: _Course,
    ) -> bool:
        """Return whether another attempt is safe.

        It must neither execute a request twice that may not be repeated nor
        mix two answers.
        """
        if progress.request.repeatable:
            return True
        # Such a request continues only at the engine that already executes
        # it, or elsewhere if no attempt was executed.
        if progress.spent.ran is Ran.NOT_RUN:
            return True
        has_begun = bool(course.received.pieces)
        known = course.choice.state.info.upstream not in progress.excluded
        return has_begun and known and refusal.code in _RESUMABLE


def _passage(
    request: ModelRequest,
    version: VersionId,
    course: _Course,
) -> Passage:
    """Return what the gate of an attempt checks."""
    session = request.session
    return Passage(
        request.workspace,
        request.task,
        version,
        ServiceName(''),
        session.epoch if session else None,
        course.choice.state,
        request.deadline,
        course.attempt_fence,
    )
