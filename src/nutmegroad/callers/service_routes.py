"""Handles calls to plain services, from the HTTP request to the result."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

from msgspec.structs import replace

from nutmegroad.callers.intake import MAX_NAME_LENGTH, deadline_seconds
from nutmegroad.callers.replies import IDEMPOTENCY_KEY_HEADER
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
class IncomingServiceCall:
    """A caller's call to a plain service.

    Attributes:
        request_id: Id of the request.
        workspace: The caller's workspace.
        service: Name of the service.
        path: Path below the service.
        method: HTTP method.
        headers: HTTP headers.
        content: Body.
        arrived: Clock seconds at which it arrived, before it was read.
    """

    request_id: RequestId
    workspace: WorkspaceEntry
    service: ServiceName
    path: str
    method: str
    headers: Mapping[str, str]
    content: bytes
    arrived: float


class ServiceRoutes:
    """Makes callers' calls to plain services.

    Args:
        services: Makes the calls.
        runner: Executes each call at most once.
        explanations: Records how each call was handled.
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

    def timeout(self, call: IncomingServiceCall) -> float | Refusal:
        """Return the seconds that are left until the deadline of a call."""
        entry = self._services.entry(call.service)
        if isinstance(entry, Refusal):
            return entry
        seconds = deadline_seconds(call.headers, entry.timeout)
        if isinstance(seconds, Refusal):
            return seconds
        return call.arrived + seconds - self._clock.now()

    async def run(self, call: IncomingServiceCall) -> Outcome:
        """Make a call at most once."""
        entry = self._services.entry(call.service)
        if isinstance(entry, Refusal):
            return entry
        seconds = deadline_seconds(call.headers, entry.timeout)
        if isinstance(seconds, Refusal):
            return seconds
        deadline = call.arrived + seconds
        record = BillingRecord(
            request=call.request_id,
            workspace=call.workspace.name,
            task=call.service,
            at=self._clock.wall(),
        )

        async def execute(fence: Fence) -> RequestResult:
            """Make the attempts of the call."""
            request = _service_request(call, deadline, fence)
            return await self._call(request, entry, record)

        claim = _claim_request(call, entry, deadline)
        return await self._runner.run(
            claim,
            execute,
            lambda: replace(record, outcome=ResultCode.ANSWER_CUT.name),
        )

    async def _call(
        self,
        request: ServiceRequest,
        entry: ServiceEntry,
        record: BillingRecord,
    ) -> RequestResult:
        """Make the attempts of a call, and return its result."""
        explanation = self._explanations.begin(request.request)
        reply = await self._services.call(request, entry, explanation)
        code = reply.code if isinstance(reply, Refusal) else ResultCode.OK
        ended = replace(record, outcome=code.name, at=self._clock.wall())
        return RequestResult(reply, ended)


def key_of(headers: Mapping[str, str]) -> IdempotencyKey:
    """Return the caller's idempotency key; empty if there is none."""
    return IdempotencyKey(headers.get(IDEMPOTENCY_KEY_HEADER, ''))


def check_key(headers: Mapping[str, str]) -> Refusal | None:
    """Return the refusal of an idempotency key that is too long, or None.

    Long keys are not truncated, as two different keys could then match.
    """
    if len(key_of(headers)) <= MAX_NAME_LENGTH:
        return None
    return Refusal(
        ResultCode.FIELD_INVALID,
        f'An Idempotency-Key may have at most {MAX_NAME_LENGTH} characters.',
    )


def _claim_request(
    call: IncomingServiceCall,
    entry: ServiceEntry,
    deadline: float,
) -> ClaimRequest:
    """Return the claim with which the runner executes a call."""
    repeatable = is_repeatable(entry, call.method, call.path)
    digest = hashlib.sha256(call.content)
    digest.update(f'{call.method} {call.service}/{call.path}'.encode())
    return ClaimRequest(
        request=call.request_id,
        workspace=WorkspaceId(call.workspace.name),
        fingerprint=digest.hexdigest(),
        repeatable=repeatable,
        deadline=deadline,
        # A call that may be repeated is claimed without its key: avoiding a
        # repeat is not worth a write to the table.
        key=IdempotencyKey('') if repeatable else key_of(call.headers),
        ticket=call.headers.get('Nutmegroad-Ticket', ''),
    )


def _service_request(
    call: IncomingServiceCall,
    deadline: float,
    fence: Fence,
) -> ServiceRequest:
    """Return a call in the form that `ServiceCaller` takes."""
    kind = call.headers.get('Content-Type', 'application/octet-stream')
    return ServiceRequest(
        request=call.request_id,
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
