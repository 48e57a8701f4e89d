"""Calls to plain services, from the caller's HTTP request to the run."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

from msgspec.structs import replace

from nutmegroad.callers.intake import LONGEST_NAME, deadline_seconds
from nutmegroad.contracts.documents import ServiceEntry, WorkspaceEntry
from nutmegroad.contracts.fences import Fence
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    IdempotencyKey,
    RequestId,
    ServiceName,
    WorkspaceId,
)
from nutmegroad.records.at_most_once import ClaimRequest
from nutmegroad.records.billing import BillingRecord
from nutmegroad.records.explanations import Explanations
from nutmegroad.records.runs import Outcome, RequestResult, Runner
from nutmegroad.routing.services import (
    ServiceCaller,
    ServiceRequest,
    is_repeatable,
)


@dataclass(frozen=True, slots=True)
class ServiceCallIn:
    """A caller's call as it came in.

    Attributes:
        request: Its id.
        workspace: Who asks.
        service: The service's name.
        path: Path below the service.
        method: HTTP method.
        headers: HTTP headers.
        content: Body.
    """

    request: RequestId
    workspace: WorkspaceEntry
    service: ServiceName
    path: str
    method: str
    headers: Mapping[str, str]
    content: bytes


class ServiceRoutes:
    """Makes callers' calls to plain services.

    Args:
        services: Makes the calls.
        runner: Has each run at most once.
        explanations: Keeps what happened.
        clock: The host's clock.
    """

    def __init__(
        self,
        services: ServiceCaller,
        runner: Runner,
        explanations: Explanations,
        clock: Clock,
    ) -> None:
        self._services = services
        self._runner = runner
        self._explanations = explanations
        self._clock = clock

    def seconds(self, call: ServiceCallIn) -> float | Refusal:
        """Return how long the caller will wait."""
        entry = self._services.entry(call.service)
        if isinstance(entry, Refusal):
            return entry
        return deadline_seconds(call.headers, entry.timeout)

    async def run(self, call: ServiceCallIn) -> Outcome:
        """Make a call."""
        entry = self._services.entry(call.service)
        if isinstance(entry, Refusal):
            return entry
        seconds = deadline_seconds(call.headers, entry.timeout)
        if isinstance(seconds, Refusal):
            return seconds
        deadline = self._clock.now() + seconds
        record = BillingRecord(
            request=call.request,
            workspace=call.workspace.name,
            task=call.service,
            at=self._clock.wall(),
        )

        async def work(fence: Fence) -> RequestResult:
            """Make the call's attempts."""
            request = _request(call, deadline, fence)
            return await self._call(request, entry, record)

        order = _order(call, entry, deadline)
        return await self._runner.run(
            order,
            work,
            lambda: replace(record, outcome=ResultCode.ANSWER_CUT.name),
        )

    async def _call(
        self,
        request: ServiceRequest,
        entry: ServiceEntry,
        record: BillingRecord,
    ) -> RequestResult:
        """Make the attempts of a call that may run."""
        explanation = self._explanations.begin(request.request)
        reply = await self._services.call(request, entry, explanation)
        code = reply.code if isinstance(reply, Refusal) else ResultCode.OK
        ended = replace(record, outcome=code.name, at=self._clock.wall())
        return RequestResult(reply, ended)


def key_of(headers: Mapping[str, str]) -> IdempotencyKey:
    """Return the caller's idempotency key; empty for none."""
    return IdempotencyKey(headers.get('Idempotency-Key', ''))


def check_key(headers: Mapping[str, str]) -> Refusal | None:
    """Refuse a key that is too long; cut short it would be another's."""
    if len(key_of(headers)) <= LONGEST_NAME:
        return None
    return Refusal(
        ResultCode.FIELD_INVALID,
        f'An Idempotency-Key has at most {LONGEST_NAME} characters.',
    )


def _order(
    call: ServiceCallIn,
    entry: ServiceEntry,
    deadline: float,
) -> ClaimRequest:
    """Return what the call asks of the runner."""
    repeatable = is_repeatable(entry, call.method, call.path)
    digest = hashlib.sha256(call.content)
    digest.update(f'{call.method} {call.service}/{call.path}'.encode())
    return ClaimRequest(
        request=call.request,
        workspace=WorkspaceId(call.workspace.name),
        fingerprint=digest.hexdigest(),
        repeatable=repeatable,
        deadline=deadline,
        # A look-up that may be repeated is not worth a write.
        key=IdempotencyKey('') if repeatable else key_of(call.headers),
        ticket=call.headers.get('Nutmegroad-Ticket', ''),
    )


def _request(
    call: ServiceCallIn,
    deadline: float,
    fence: Fence,
) -> ServiceRequest:
    """Return the call as the caller of services takes it."""
    kind = call.headers.get('Content-Type', 'application/octet-stream')
    return ServiceRequest(
        request=call.request,
        workspace=WorkspaceId(call.workspace.name),
        service=call.service,
        method=call.method,
        path=call.path,
        body=call.content,
        content_type=kind.partition(';')[0].strip(),
        key=key_of(call.headers),
        deadline=deadline,
        fence=fence,
    )
