"""Handles model requests, from the caller's HTTP request to the result."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Final

from nutmegroad.callers._request_counts import count_request
from nutmegroad.callers.intake import Intake, IntakeReader
from nutmegroad.callers.replies import JSON_TYPE, answer_body
from nutmegroad.callers.session_pins import SessionPins
from nutmegroad.contracts.documents import WorkspaceEntry
from nutmegroad.contracts.fences import Fence
from nutmegroad.contracts.upstreams import ServiceReply
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Ran, RequestId, VersionId
from nutmegroad.records.at_most_once import ClaimRequest
from nutmegroad.records.billing import BillingRecord
from nutmegroad.records.explanations import Explanations
from nutmegroad.records.runs import Outcome, RequestResult, Runner
from nutmegroad.routing.attempts import Sink
from nutmegroad.routing.dispatch import Dispatcher
from nutmegroad.routing.request_progress import Answer, RequestUsage

_OK: Final = 200


@dataclass(frozen=True, slots=True)
class ModelContext:
    """The components that answer model requests.

    Attributes:
        reader: Parses and validates requests.
        dispatcher: Answers requests.
        runner: Executes each request at most once.
        pins: Pins the requests of a session to its version.
        explanations: Records how each request was handled.
        metrics: Counts requests and their cost.
        clock: The host's clock.
    """

    reader: IntakeReader
    dispatcher: Dispatcher
    runner: Runner
    pins: SessionPins
    explanations: Explanations
    metrics: Metrics
    clock: Clock


@dataclass(slots=True)
class ModelCall:
    """A model request in progress, and its answer once it is complete.

    Attributes:
        intake: The request.
        ticket: The caller's ticket; empty if there is none.
        usage: Tokens and cost so far.
        answer: The complete answer if this host executed the request,
            otherwise None.
    """

    intake: Intake
    ticket: str
    usage: RequestUsage = field(default_factory=RequestUsage)
    answer: Answer | None = None


class ModelRoutes:
    """Answers callers' model requests.

    Args:
        context: The components that answer them.
    """

    def __init__(self, context: ModelContext) -> None:
        self._context = context

    def read(
        self,
        headers: Mapping[str, str],
        content: bytes,
        workspace: WorkspaceEntry,
        request: RequestId,
        arrived: float,
    ) -> ModelCall | Refusal:
        """Parse a caller's model request.

        Args:
            headers: HTTP headers.
            content: Body.
            workspace: The caller's workspace.
            request: Id of the request.
            arrived: Clock seconds at which it arrived.
        """
        intake = self._context.reader.read(
            headers, content, workspace, request, arrived
        )
        if isinstance(intake, Refusal):
            return intake
        return ModelCall(intake, headers.get('Nutmegroad-Ticket', ''))

    async def run(self, call: ModelCall, sink: Sink) -> Outcome:
        """Answer a request, and write the pieces of the answer to a sink."""
        pinned = await self._context.pins.pin(call.intake)
        if isinstance(pinned, Refusal):
            return pinned
        call.intake = pinned
        model = pinned.model

        async def execute(fence: Fence) -> RequestResult:
            """Execute the request."""
            return await self._answer(call, sink, fence)

        claim = ClaimRequest(
            request=model.request,
            workspace=model.workspace,
            fingerprint=pinned.fingerprint,
            repeatable=model.repeatable,
            deadline=model.deadline,
            key=model.key,
            ticket=call.ticket,
        )
        return await self._context.runner.run(
            claim,
            execute,
            lambda: self._record(call, ResultCode.ANSWER_CUT),
        )

    def session_token(self, call: ModelCall, version: VersionId) -> str:
        """Return the token that binds a request's session to a version."""
        return self._context.pins.token(call.intake, version)

    async def _answer(
        self,
        call: ModelCall,
        sink: Sink,
        fence: Fence,
    ) -> RequestResult:
        """Have the dispatcher answer, and return the result to be billed."""
        model = replace(call.intake.model, fence=fence)
        # Remains the outcome if the request is cancelled.
        outcome: Answer | Refusal = _caller_disconnected()
        try:
            outcome = await self._context.dispatcher.answer(
                model,
                sink,
                self._context.explanations.begin(model.request),
                call.usage,
            )
        finally:
            metrics = self._context.metrics
            count_request(metrics, call.intake, outcome, call.usage)
        if isinstance(outcome, Refusal):
            return RequestResult(outcome, self._record(call, outcome.code))
        call.answer = outcome
        body = answer_body(outcome, model.request)
        reply = ServiceReply(_OK, body, JSON_TYPE)
        return RequestResult(reply, self._record(call, ResultCode.OK))

    def _record(self, call: ModelCall, code: ResultCode) -> BillingRecord:
        """Return the billing record; the biller adds the attempts' cost."""
        model = call.intake.model
        usage = call.usage
        return BillingRecord(
            request=model.request,
            workspace=model.workspace,
            task=model.task,
            at=self._context.clock.wall(),
            version=usage.version,
            outcome=code.name,
            prompt_tokens=usage.prompt_tokens,
            output_tokens=usage.output_tokens,
        )


def _caller_disconnected() -> Refusal:
    """Return the refusal of a request whose caller has disconnected."""
    return Refusal(
        ResultCode.ANSWER_CUT,
        'The caller disconnected before the answer was complete.',
        Ran.UNKNOWN,
    )
