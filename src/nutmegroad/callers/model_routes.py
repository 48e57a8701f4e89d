"""Model requests, from the caller's HTTP request to the run."""

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
class ModelParts:
    """What model requests are handed to.

    Attributes:
        reader: Understands them.
        dispatcher: Answers them.
        runner: Has each run at most once.
        pins: Holds sessions to their versions.
        explanations: Keeps what happened.
        metrics: Counts what happens.
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
    """A model request on its way, and its whole answer at the end.

    Attributes:
        intake: The request.
        ticket: The caller's ticket; empty for none.
        spent: What it has cost so far.
        answer: The answer, once it is whole and was written here.
    """

    intake: Intake
    ticket: str
    spent: RequestUsage = field(default_factory=RequestUsage)
    answer: Answer | None = None


class ModelRoutes:
    """Answers callers' model requests.

    Args:
        parts: What they are handed to.
    """

    def __init__(self, parts: ModelParts) -> None:
        self._parts = parts

    def read(
        self,
        headers: Mapping[str, str],
        content: bytes,
        workspace: WorkspaceEntry,
        request: RequestId,
    ) -> ModelCall | Refusal:
        """Return the request that a caller sent."""
        intake = self._parts.reader.read(headers, content, workspace, request)
        if isinstance(intake, Refusal):
            return intake
        return ModelCall(intake, headers.get('Nutmegroad-Ticket', ''))

    async def run(self, call: ModelCall, sink: Sink) -> Outcome:
        """Answer a request; pieces go to the sink."""
        pinned = await self._parts.pins.pin(call.intake)
        if isinstance(pinned, Refusal):
            return pinned
        call.intake = pinned
        model = pinned.model

        async def work(fence: Fence) -> RequestResult:
            """Have the dispatcher answer."""
            return await self._answer(call, sink, fence)

        order = ClaimRequest(
            request=model.request,
            workspace=model.workspace,
            fingerprint=pinned.fingerprint,
            repeatable=model.repeatable,
            deadline=model.deadline,
            key=model.key,
            ticket=call.ticket,
        )
        return await self._parts.runner.run(
            order,
            work,
            lambda: self._record(call, ResultCode.ANSWER_CUT),
        )

    def session_token(self, call: ModelCall, version: VersionId) -> str:
        """Return the token that holds a session to its version."""
        return self._parts.pins.token(call.intake, version)

    async def _answer(
        self,
        call: ModelCall,
        sink: Sink,
        fence: Fence,
    ) -> RequestResult:
        """Have the dispatcher answer, and sum up what is billed."""
        model = replace(call.intake.model, fence=fence)
        outcome: Answer | Refusal = _caller_gone()
        try:
            outcome = await self._parts.dispatcher.answer(
                model,
                sink,
                self._parts.explanations.begin(model.request),
                call.spent,
            )
        finally:
            metrics = self._parts.metrics
            count_request(metrics, call.intake, outcome, call.spent)
        if isinstance(outcome, Refusal):
            return RequestResult(outcome, self._record(call, outcome.code))
        call.answer = outcome
        body = answer_body(outcome, model.request)
        reply = ServiceReply(_OK, body, JSON_TYPE)
        return RequestResult(reply, self._record(call, ResultCode.OK))

    def _record(self, call: ModelCall, code: ResultCode) -> BillingRecord:
        """Return what is billed; the biller adds all attempts' cost."""
        model = call.intake.model
        spent = call.spent
        return BillingRecord(
            request=model.request,
            workspace=model.workspace,
            task=model.task,
            at=self._parts.clock.wall(),
            version=spent.version,
            outcome=code.name,
            prompt_tokens=spent.prompt_tokens,
            output_tokens=spent.output_tokens,
        )


def _caller_gone() -> Refusal:
    """Say how a request ended whose caller went away."""
    return Refusal(
        ResultCode.ANSWER_CUT,
        'The caller went away before the answer had ended.',
        Ran.UNKNOWN,
    )
