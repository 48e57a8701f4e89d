"""Makes calls to plain services, retrying those that may be repeated."""

import random
from dataclasses import dataclass, replace
from fnmatch import fnmatchcase
from http import HTTPStatus
from typing import Final

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.documents import ServiceEntry
from nutmegroad.contracts.fences import Fence
from nutmegroad.contracts.upstreams import (
    ServiceCall,
    ServiceClient,
    ServiceReply,
    UpstreamState,
)
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    AttemptId,
    Ran,
    RequestId,
    ServiceName,
    TaskName,
    UpstreamId,
    VersionId,
    WorkspaceId,
)
from nutmegroad.records.explanations import Explanation
from nutmegroad.routing._ejection import HealthRegistry
from nutmegroad.routing.attributes import (
    AttributedRequest,
    attribute_service_call,
)
from nutmegroad.routing.directory import Directory
from nutmegroad.routing.gates import GateContext, Gatekeeper
from nutmegroad.routing.harmful import EndedAttempt, HarmfulRequests
from nutmegroad.routing.service_traffic import ServiceTraffic
from nutmegroad.routing.steps import HOST_REFUSALS

#: Maximum attempts for one repeatable call.
MAX_ATTEMPTS: Final = 3

_NO_VERSION: Final = VersionId('')


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A caller's call to a plain service.

    Attributes:
        request: Its id.
        workspace: The workspace of the caller.
        service: The service.
        method: HTTP method.
        path: Path below the service.
        body: Request body.
        content_type: Media type of the body.
        key: The caller's idempotency key; empty for none.
        deadline: Clock seconds at which the caller gives up.
        fence: Checked before each attempt is sent.
    """

    request: RequestId
    workspace: WorkspaceId
    service: ServiceName
    method: str
    path: str
    body: bytes
    content_type: str
    key: str
    deadline: float
    fence: Fence


@dataclass(frozen=True, slots=True)
class CallPolicies:
    """What limits the attempts of calls.

    Attributes:
        traffic: Counts calls and bounds their retries.
        harmful: Keeps calls from services that crash under them.
    """

    traffic: ServiceTraffic
    harmful: HarmfulRequests


def is_repeatable(entry: ServiceEntry, method: str, path: str) -> bool:
    """Return whether a call may be executed twice; by default it may not."""
    for rule in entry.calls:
        if rule.method == method and fnmatchcase(path, rule.path):
            return rule.repeatable
    return False


class ServiceCaller:
    """Makes calls to plain services.

    Args:
        clients: Client for services.
        directory: The upstreams known to this host.
        gatekeeper: Makes the final check before each attempt.
        configuration: Defines which calls may be repeated.
        policies: What limits the attempts of calls.
        clock: The host's clock.
        randomness: Breaks ties between upstreams.
    """

    def __init__(
        self,
        clients: ServiceClient,
        directory: Directory,
        gatekeeper: Gatekeeper,
        configuration: Configuration,
        policies: CallPolicies,
        clock: Clock,
        randomness: random.Random,
    ) -> None:
        self._clients = clients
        self._directory = directory
        self._gatekeeper = gatekeeper
        self._configuration = configuration
        self._traffic = policies.traffic
        self._harmful = policies.harmful
        self._clock = clock
        self._randomness = randomness
        self._healths = HealthRegistry(randomness)

    def entry(self, service: ServiceName) -> ServiceEntry | Refusal:
        """Return the service's entry in the configuration."""
        accepted = self._configuration.accepted
        entry = accepted.document.service(service) if accepted else None
        if entry is None:
            return Refusal(
                ResultCode.SERVICE_UNKNOWN,
                f'The configuration has no service {service!r}.',
            )
        return entry

    async def call(
        self,
        request: ServiceRequest,
        entry: ServiceEntry,
        explanation: Explanation,
    ) -> ServiceReply | Refusal:
        """Make a call, and retry it only if that is safe."""
        code = ResultCode.ANSWER_CUT
        try:
            outcome = await self._attempts(request, entry, explanation)
            code = _code_of(outcome)
        finally:
            self._traffic.finished(request, request.service, code)
        return outcome

    async def _attempts(
        self,
        request: ServiceRequest,
        entry: ServiceEntry,
        explanation: Explanation,
    ) -> ServiceReply | Refusal:
        """Make attempts until one succeeds or no further one is allowed."""
        repeatable = is_repeatable(entry, request.method, request.path)
        attributed = _attribute(request)
        tried: frozenset[UpstreamId] = frozenset()
        ran = Ran.NOT_RUN
        refusal = _no_upstream(request.service)
        for number in range(MAX_ATTEMPTS):
            state = self._next_upstream(
                request, attributed, tried, refusal, explanation
            )
            if isinstance(state, Refusal):
                refusal = state
                break
            tried |= {state.info.upstream}
            reply = await self._attempt(
                request, attributed, entry, state, number
            )
            explanation.note('service', _describe_reply(state, reply))
            if isinstance(reply, ServiceReply):
                return reply
            refusal = reply
            if reply.ran is not Ran.NOT_RUN:
                ran = Ran.UNKNOWN
            is_safe = repeatable or ran is Ran.NOT_RUN
            if not _may_continue(reply, is_safe):
                break
        return replace(refusal, ran=ran)

    def _next_upstream(
        self,
        request: ServiceRequest,
        attributed: AttributedRequest,
        tried: frozenset[UpstreamId],
        failure: Refusal,
        explanation: Explanation,
    ) -> UpstreamState | Refusal:
        """Return the upstream of the next attempt, or why there is none.

        Args:
            request: The call.
            attributed: The call with its attributes.
            tried: The upstreams of its earlier attempts.
            failure: Why the last attempt failed, or that no upstream is
                available if there was none.
            explanation: Receives why there is no further attempt.
        """
        state = self._choose_upstream(request.service, tried)
        if state is None:
            limited = self._directory.limits.refusal_for(
                self._directory.services(request.service)
            )
            return failure if tried or limited is None else limited
        if tried and not self._traffic.may_retry(request, failure.code):
            explanation.note('retries', 'The retry budget is exhausted.')
            return failure
        harmful = self._harmful.refusal_for(attributed)
        if harmful is None:
            return state
        explanation.note('harmful', harmful.reason)
        # The failure of an attempt explains more.
        return failure if tried else harmful

    def _choose_upstream(
        self,
        service: ServiceName,
        tried: frozenset[UpstreamId],
    ) -> UpstreamState | None:
        """Return the untried upstream with the fewest requests in flight.

        An upstream that keeps failing is skipped for a while, unless all
        that are left keep failing.
        """
        remaining = [
            state
            for state in self._directory.services(service)
            if state.info.upstream not in tried
            and self._directory.limits.may_send(state.info)
        ]
        now = self._clock.now()
        states = [
            one for one in remaining if self._healths.admits(one, now)
        ] or remaining
        if not states:
            return None
        self._randomness.shuffle(states)
        return min(states, key=lambda state: state.in_flight)

    async def _attempt(
        self,
        request: ServiceRequest,
        attributed: AttributedRequest,
        entry: ServiceEntry,
        state: UpstreamState,
        number: int,
    ) -> ServiceReply | Refusal:
        """Make one attempt."""
        attempt_fence = request.fence.new_attempt()
        context = GateContext(
            request.workspace,
            TaskName(''),
            _NO_VERSION,
            request.service,
            None,
            state,
            request.deadline,
            attempt_fence,
        )
        began = self._clock.now()
        remaining = request.deadline - began
        call = ServiceCall(
            attempt=AttemptId(f'{request.request}.{number}'),
            upstream=state.info,
            method=request.method,
            path=request.path,
            body=request.body,
            content_type=request.content_type,
            gate=self._gatekeeper.gate(context),
            timeout=max(0, min(remaining, entry.timeout)),
            key=request.key,
            on_limit=self._directory.limits.callback(state.info),
        )
        health = self._healths.health(state)
        health.started(call.attempt)
        self._traffic.started(
            request,
            request.service,
            call.attempt,
            state.info.upstream,
        )
        code = ResultCode.ANSWER_CUT
        try:
            with self._directory.in_flight(state, _NO_VERSION):
                reply = await self._clients.call(call)
            code = _code_of(reply)
        finally:
            health.ended(call.attempt, code, self._clock.now())
            self._traffic.ended(call.attempt, code)
        attempt_fence.record_end(reply)
        if isinstance(reply, ServiceReply):
            self._directory.answered(state.info.upstream)
        elif reply.code is ResultCode.UPSTREAM_UNREACHABLE:
            self._directory.refused(state.info.upstream)
        attempt = EndedAttempt(
            call.attempt, state.info, _NO_VERSION, self._clock.now() - began
        )
        await self._record_end(attributed, attempt, reply)
        return reply

    async def _record_end(
        self,
        request: AttributedRequest,
        attempt: EndedAttempt,
        reply: ServiceReply | Refusal,
    ) -> None:
        """Record whether an attempt crashed its upstream or was answered."""
        if isinstance(reply, Refusal):
            await self._harmful.record_failure(request, attempt, reply)
        elif reply.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            self._harmful.record_answer(request)


def _attribute(request: ServiceRequest) -> AttributedRequest:
    """Return a call with the attributes that a crash may be due to."""
    return attribute_service_call(
        request.request,
        request.workspace,
        request.service,
        f'{request.method} {request.path}',
        request.body,
    )


def _code_of(reply: ServiceReply | Refusal) -> ResultCode:
    """Return the result code of a reply."""
    return reply.code if isinstance(reply, Refusal) else ResultCode.OK


def _may_continue(reply: Refusal, is_safe: bool) -> bool:
    """Return whether another upstream may be tried after a refusal."""
    return is_safe and reply.code not in HOST_REFUSALS


def _describe_reply(state: UpstreamState, reply: ServiceReply | Refusal) -> str:
    """Return a description of how an attempt ended."""
    if isinstance(reply, Refusal):
        return f'{state.info.upstream}: {reply.code.name}.'
    return f'{state.info.upstream}: status {reply.status}.'


def _no_upstream(service: ServiceName) -> Refusal:
    """Return the refusal for a call without an upstream to try."""
    return Refusal(
        ResultCode.NO_UPSTREAM,
        f'No untried upstream of the service {service!r} is available.',
        retry_after=2,
    )
