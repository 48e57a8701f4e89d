"""Model requests, from the caller's HTTP request to the run."""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Final

from msgspec.structs import replace as replace_fields

from nutmegroad.attempts import Sink
from nutmegroad.billing import BillingRecord
from nutmegroad.clocks import Clock
from nutmegroad.configuration import Configuration
from nutmegroad.dispatch import Answer, Dispatcher
from nutmegroad.documents import WorkspaceEntry
from nutmegroad.explanations import Explanations
from nutmegroad.fences import Fence
from nutmegroad.intake import Intake, IntakeDesk
from nutmegroad.once import Order
from nutmegroad.replies import JSON_TYPE, answer_body
from nutmegroad.requests import SessionClaim
from nutmegroad.results import Refusal
from nutmegroad.runs import Ended, Outcome, Runner
from nutmegroad.sessions import SessionSigner
from nutmegroad.types import Epoch, RequestId
from nutmegroad.upstreams import ServiceReply

_OK: Final = 200


@dataclass(frozen=True, slots=True)
class ModelParts:
    """What model requests are handed to.

    Attributes:
        configuration: What is in force.
        desk: Understands them.
        dispatcher: Answers them.
        runner: Has each run at most once.
        signer: Signs session tokens.
        explanations: Keeps what happened.
        clock: The host's clock.
    """

    configuration: Configuration
    desk: IntakeDesk
    dispatcher: Dispatcher
    runner: Runner
    signer: SessionSigner
    explanations: Explanations
    clock: Clock


@dataclass(slots=True)
class ModelCall:
    """A model request on its way, and its whole answer at the end.

    Attributes:
        intake: The request.
        ticket: The caller's ticket; empty for none.
        answer: The answer, once it is whole and was written here.
    """

    intake: Intake
    ticket: str
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
        intake = self._parts.desk.read(headers, content, workspace, request)
        if isinstance(intake, Refusal):
            return intake
        return ModelCall(intake, headers.get('Nutmegroad-Ticket', ''))

    async def run(self, call: ModelCall, sink: Sink) -> Outcome:
        """Answer a request; pieces go to the sink."""
        model = call.intake.model
        record = BillingRecord(
            request=model.request,
            workspace=model.workspace,
            task=model.task,
            at=self._parts.clock.wall(),
        )

        async def work(fence: Fence) -> Ended:
            """Have the dispatcher answer."""
            return await self._answer(call, sink, fence, record)

        order = Order(
            request=model.request,
            workspace=model.workspace,
            fingerprint=call.intake.fingerprint,
            repeatable=model.repeatable,
            deadline=model.deadline,
            key=model.key,
            ticket=call.ticket,
        )
        return await self._parts.runner.run(order, work, record)

    def session_token(self, call: ModelCall, answer: Answer) -> str:
        """Return the token that holds a session to its version."""
        intake = call.intake
        claim = intake.model.session
        if claim is None:
            entry = self._parts.configuration.entry(answer.version)
            epoch = Epoch(entry.epoch if entry else 0)
            name = intake.session or intake.model.request
            claim = SessionClaim(name, answer.version, epoch)
        model = intake.model
        return self._parts.signer.sign(model.workspace, model.task, claim)

    async def _answer(
        self,
        call: ModelCall,
        sink: Sink,
        fence: Fence,
        record: BillingRecord,
    ) -> Ended:
        """Have the dispatcher answer, and sum up what is billed."""
        model = replace(call.intake.model, fence=fence)
        explanation = self._parts.explanations.begin(model.request)
        outcome = await self._parts.dispatcher.answer(model, sink, explanation)
        at = self._parts.clock.wall()
        if isinstance(outcome, Refusal):
            name = outcome.code.name
            return Ended(outcome, replace_fields(record, at=at, outcome=name))
        call.answer = outcome
        # The biller adds the cost of all attempts by itself.
        billed = replace_fields(
            record,
            at=at,
            version=outcome.version,
            prompt_tokens=outcome.prompt_tokens,
            output_tokens=outcome.output_tokens,
        )
        body = answer_body(outcome, model.request)
        return Ended(ServiceReply(_OK, body, JSON_TYPE), billed)
