"""Executes one step of a plan: one version answers, with retries.

A plan has one step, or several in a cascade, whose versions answer one after
the other until an answer is good enough.
"""

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
from nutmegroad.routing.attempts import (
    AttemptExecution,
    AttemptRunner,
    Received,
    Sink,
)
from nutmegroad.routing.gates import GateContext, Gatekeeper
from nutmegroad.routing.harmful import HarmfulRequests
from nutmegroad.routing.request_progress import RequestProgress, failure_of

#: Maximum attempts for one request, whatever the retry budget allows.
MAX_ATTEMPTS: Final = 6

_NONCE_BITS: Final = 48

#: Refusals after which a request may use another version.
VERSION_FALLBACK_CODES: Final = frozenset(
    (
        ResultCode.NO_UPSTREAM,
        ResultCode.VERSION_WITHDRAWN,
        ResultCode.VERSION_QUARANTINED,
        ResultCode.ISOLATED,
        ResultCode.UPSTREAM_LIMITED,
    )
)

#: Refusals by this host, which another upstream would not change.
HOST_REFUSALS: Final = frozenset(
    (
        ResultCode.CALLER_LEFT,
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
class _AttemptSetup:
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
        attempt_runner: Executes attempts.
        instruments: Metrics and invariants.
        clock: The host's clock.
        randomness: Source of attempt ids.
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
        self._attempt_runner = attempt_runner
        self._metrics = instruments.metrics
        self._invariants = instruments.invariants
        self._clock = clock
        self._randomness = randomness

    async def run(
        self,
        progress: RequestProgress,
        version: VersionId,
        sink: Sink,
    ) -> AttemptExecution | Refusal:
        """Have one version answer, retrying and resuming where allowed."""
        setup = self._set_up_attempt(progress, version, Received())
        while not isinstance(setup, Refusal):
            execution = await self._attempt(progress, version, setup, sink)
            await self._policies.harmful.attempt_ended(
                progress.attributed, execution
            )
            if execution.received.ending is not None:
                return execution
            refusal = failure_of(execution.received)
            if not await self._may_follow(progress, refusal, setup):
                return refusal
            next_setup = self._set_up_retry(progress, version, execution, setup)
            if isinstance(next_setup, Refusal):
                # The failure of the attempt explains more than the lack of
                # another upstream.
                return refusal
            setup = next_setup
        return setup

    def _set_up_attempt(
        self,
        progress: RequestProgress,
        version: VersionId,
        received: Received,
    ) -> _AttemptSetup | Refusal:
        """Choose an upstream and create the attempt's id."""
        refusal = self._policies.harmful.refusal_for(progress.attributed)
        if refusal is not None:
            progress.note('harmful', refusal.reason)
            return refusal
        choice = self._policies.selector.choose(
            progress.request,
            version,
            progress.excluded,
        )
        if isinstance(choice, Refusal):
            progress.note('selector', choice.reason)
            return choice
        nonce = f'{self._randomness.getrandbits(_NONCE_BITS):012x}'
        number = progress.usage.attempts + 1
        attempt = AttemptId(f'{progress.request.request}.{number}.{nonce}')
        fence = progress.request.fence
        attempt_fence = None if fence is None else fence.new_attempt()
        return _AttemptSetup(choice, attempt, received, attempt_fence)

    def _set_up_retry(
        self,
        progress: RequestProgress,
        version: VersionId,
        execution: AttemptExecution,
        setup: _AttemptSetup,
    ) -> _AttemptSetup | Refusal:
        """Choose how to continue after a failed attempt."""
        received = execution.received
        if failure_of(received).code is ResultCode.HOST_PAUSED:
            return self._set_up_attempt(progress, version, received)
        upstream = setup.choice.state.info.upstream
        resumes = failure_of(received).code in _RESUMABLE and bool(
            received.pieces
        )
        if resumes and upstream not in progress.excluded:
            # Try once more at the engine that holds the answer.
            progress.excluded |= {upstream}
            return setup
        progress.excluded |= {upstream}
        if not progress.sink.pieces_written and not resumes:
            received = Received()
        return self._set_up_attempt(progress, version, received)

    async def _attempt(
        self,
        progress: RequestProgress,
        version: VersionId,
        setup: _AttemptSetup,
        sink: Sink,
    ) -> AttemptExecution:
        """Make one attempt and add it to the progress."""
        usage = progress.usage
        usage.attempts += 1
        usage.version = version
        execution = self._prepare(progress, version, setup)
        progress.note(
            'selector',
            f'{execution.start.upstream} for {version}: {setup.choice.reason}.',
        )
        try:
            await self._attempt_runner.run(execution, sink)
        finally:
            self._record_attempt(progress, execution)
            if setup.attempt_fence is not None:
                setup.attempt_fence.record_end(execution.received.refusal)
        return execution

    def _record_attempt(
        self, progress: RequestProgress, execution: AttemptExecution
    ) -> None:
        """Add an attempt that has ended or was cancelled to the progress."""
        end = execution.end
        if end is None:
            return
        usage = progress.usage
        usage.cost += end.cost
        usage.prompt_tokens = end.prompt_tokens
        usage.output_tokens = end.output_tokens
        if execution.received.ending is not None:
            usage.ran = Ran.RAN
        elif failure_of(execution.received).ran is not Ran.NOT_RUN:
            usage.ran = Ran.UNKNOWN
        self._metrics.attempt_ended(end.start.version, end.code)
        self._invariants.check(
            'first-byte-behind-open-gate',
            execution.gate_passed
            or execution.received.next_index <= execution.attempt.skip,
            end.start.attempt,
        )
        progress.note('attempt', f'{end.start.attempt}: {end.code.name}')

    def _prepare(
        self,
        progress: RequestProgress,
        version: VersionId,
        setup: _AttemptSetup,
    ) -> AttemptExecution:
        """Create the attempt to send to the upstream."""
        request = progress.request
        state = setup.choice.state
        body = {
            'seed': progress.seed,
            **request.body,
            'model': version,
            'stream': True,
        }
        attempt = Attempt(
            attempt=setup.attempt,
            upstream=state.info,
            version=version,
            body=msgspec.json.encode(body),
            gate=self._gatekeeper.gate(_gate_context(request, version, setup)),
            timeout=max(0, request.deadline - self._clock.now()),
            priority=request.priority,
            skip=setup.received.resume_at,
            on_limit=self._gatekeeper.limit_callback(state.info),
        )
        start = AttemptStart(
            setup.attempt,
            request.request,
            request.workspace,
            request.task,
            version,
            state.info.upstream,
        )
        execution = AttemptExecution(
            start,
            attempt,
            state,
            setup.received,
            request.prompt_tokens,
        )
        execution.attempt = replace(
            attempt, gate=execution.recording_gate(attempt.gate)
        )
        return execution

    async def _may_follow(
        self,
        progress: RequestProgress,
        refusal: Refusal,
        setup: _AttemptSetup,
    ) -> bool:
        """Return whether another attempt may follow a failed one."""
        if refusal.code is ResultCode.HOST_PAUSED:
            # Nothing was sent.
            may_attempt = progress.usage.attempts < MAX_ATTEMPTS
            return may_attempt and await self._gatekeeper.wait_while_paused()
        return self._may_retry(progress, refusal, setup)

    def _may_retry(
        self,
        progress: RequestProgress,
        refusal: Refusal,
        setup: _AttemptSetup,
    ) -> bool:
        """Return whether another attempt may be made, and count it if so."""
        if (
            refusal.code in VERSION_FALLBACK_CODES
            or refusal.code in HOST_REFUSALS
        ):
            return False
        if not self._is_safe(progress, refusal, setup):
            return False
        if progress.usage.attempts >= MAX_ATTEMPTS:
            return False
        if self._clock.now() >= progress.request.deadline:
            return False
        if not self._policies.retries.spend(progress.request):
            progress.note('retries', 'The retry budget is exhausted.')
            return False
        self._metrics.retried(refusal.code)
        progress.note('retries', f'Retry after {refusal.code.name}.')
        return True

    def _is_safe(
        self,
        progress: RequestProgress,
        refusal: Refusal,
        setup: _AttemptSetup,
    ) -> bool:
        """Return whether another attempt is safe.

        It must neither execute a request twice that may not be repeated nor
        mix two answers.
        """
        if progress.request.repeatable:
            return True
        # Such a request continues only at the engine that already executes
        # it, or elsewhere if no attempt was executed.
        if progress.usage.ran is Ran.NOT_RUN:
            return True
        has_begun = bool(setup.received.pieces)
        known = setup.choice.state.info.upstream not in progress.excluded
        return has_begun and known and refusal.code in _RESUMABLE


def _gate_context(
    request: ModelRequest,
    version: VersionId,
    setup: _AttemptSetup,
) -> GateContext:
    """Return what the gate of an attempt checks."""
    session = request.session
    return GateContext(
        request.workspace,
        request.task,
        version,
        ServiceName(''),
        session.epoch if session else None,
        setup.choice.state,
        request.deadline,
        setup.attempt_fence,
    )
