"""The callers' HTTP interface: the model API and the plain services."""

import asyncio
import hashlib
from typing import Final

import msgspec
from aiohttp.web import (
    Application,
    HTTPRequestEntityTooLarge,
    Request,
    Response,
    StreamResponse,
)
from msgspec.structs import replace

from nutmegroad._caller_guard import STREAM_KEY
from nutmegroad._caller_parts import CallerParts
from nutmegroad._request_counts import count_request
from nutmegroad.billing import BillingRecord
from nutmegroad.documents import ServiceEntry
from nutmegroad.intake import (
    LONGEST_NAME,
    Intake,
    authenticate,
    deadline_seconds,
)
from nutmegroad.intents import Claim, Intent, IntentState
from nutmegroad.logs import present_request
from nutmegroad.replies import JSON_TYPE, EventStream, answer_body, refuse
from nutmegroad.request_progress import Answer, KeptBack, Spent
from nutmegroad.results import Refusal, ResultCode
from nutmegroad.services import (
    ServiceRequest,
    is_repeatable,
)
from nutmegroad.types import (
    IdempotencyKey,
    Ran,
    RequestId,
    ServiceName,
    WorkspaceId,
)
from nutmegroad.upstreams import ServiceReply

_OK: Final = 200
_NONCE_BITS: Final = 64


class CallersInterface:
    """Serves callers.

    Args:
        parts: What requests are handed to.
        prefix: Begins the ids of this host's requests.
        body_timeout: Seconds that a body may take.
    """

    def __init__(
        self,
        parts: CallerParts,
        prefix: str,
        body_timeout: float,
    ) -> None:
        self._parts = parts
        self._prefix = prefix
        self._body_timeout = body_timeout

    def application(self, max_body: int) -> Application:
        """Return the aiohttp application."""
        app = Application(client_max_size=max_body)
        app.router.add_post('/v1/chat/completions', self.chat)
        app.router.add_get('/v1/models', self.models)
        app.router.add_route(
            '*',
            '/v1/services/{service}/{path:.*}',
            self.service,
        )
        return app

    async def chat(self, http: Request) -> StreamResponse:
        """Answer a model request."""
        request = self._name()
        workspace = authenticate(
            http.headers, self._parts.configuration.accepted
        )
        if isinstance(workspace, Refusal):
            return self._refuse(workspace, request)
        content = await self._body(http)
        if isinstance(content, Refusal):
            return self._refuse(content, request)
        intake = self._parts.desk.read(
            http.headers,
            content,
            workspace,
            request,
        )
        if isinstance(intake, Refusal):
            return self._refuse(intake, request)
        return await self._answer(http, intake)

    async def models(self, http: Request) -> Response:
        """List the versions that the workspace may use."""
        request = self._name()
        workspace = authenticate(
            http.headers, self._parts.configuration.accepted
        )
        if isinstance(workspace, Refusal):
            return self._refuse(workspace, request)
        listed = [
            {'id': version, 'object': 'model'} for version in workspace.versions
        ]
        body = msgspec.json.encode({'object': 'list', 'data': listed})
        return Response(body=body, content_type=JSON_TYPE)

    async def service(self, http: Request) -> StreamResponse:
        """Make a call to a plain service."""
        request = self._name()
        workspace = authenticate(
            http.headers, self._parts.configuration.accepted
        )
        if isinstance(workspace, Refusal):
            return self._refuse(workspace, request)
        service = ServiceName(http.match_info['service'])
        entry = self._parts.services.entry(service)
        if isinstance(entry, Refusal):
            return self._refuse(entry, request)
        content = await self._body(http)
        if isinstance(content, Refusal):
            return self._refuse(content, request)
        deadline = deadline_seconds(http.headers, entry.timeout)
        if isinstance(deadline, Refusal):
            return self._refuse(deadline, request)
        call = ServiceRequest(
            request=request,
            workspace=WorkspaceId(workspace.name),
            service=service,
            method=http.method,
            path=http.match_info['path'],
            body=content,
            content_type=http.content_type,
            key=http.headers.get('Idempotency-Key', '')[:LONGEST_NAME],
            deadline=self._parts.clock.now() + deadline,
        )
        return await self._call(call, entry)

    async def _call(
        self,
        call: ServiceRequest,
        entry: ServiceEntry,
    ) -> Response:
        """Make a call that was understood."""
        request = call.request
        repeatable = is_repeatable(entry, call.method, call.path)
        claim = await self._claim_call(call, repeatable)
        if isinstance(claim, Refusal):
            return refuse(claim, request)
        if isinstance(claim, Intent):
            return _replay(claim, request)
        explanation = self._parts.explanations.begin(request)
        reply = await self._parts.services.call(call, entry, explanation)
        await self._settle(claim, reply)
        self._bill_call(call, reply)
        if isinstance(reply, Refusal):
            return refuse(reply, request)
        return Response(
            status=reply.status,
            body=reply.body,
            content_type=reply.content_type,
            headers={'Nutmegroad-Request': request},
        )

    def _name(self) -> RequestId:
        """Return the request's id, or a new one."""
        present = present_request()
        if present is not None:
            return present
        nonce = f'{self._parts.randomness.getrandbits(_NONCE_BITS):016x}'
        return RequestId(f'{self._prefix}-{nonce}')

    def _refuse(self, refusal: Refusal, request: RequestId) -> Response:
        """Return the reply of a refusal, and count it."""
        self._parts.metrics.refused(refusal.code)
        return refuse(refusal, request)

    async def _body(self, http: Request) -> bytes | Refusal:
        """Read a body within its limits of size and time."""
        try:
            async with asyncio.timeout(self._body_timeout):
                return await http.read()
        except HTTPRequestEntityTooLarge as problem:
            return Refusal(
                ResultCode.BODY_TOO_LARGE,
                f'The body is too large: {problem.reason}.',
            )
        except TimeoutError:
            return Refusal(
                ResultCode.BODY_TOO_SLOW,
                f'The body took more than {self._body_timeout} seconds.',
            )

    async def _answer(self, http: Request, intake: Intake) -> StreamResponse:
        """Answer a request that was understood."""
        model = intake.model
        pinned = await self._parts.pins.pin(intake)
        if isinstance(pinned, Refusal):
            self._parts.metrics.refused(pinned.code)
            return refuse(pinned, model.request)
        intake = pinned
        claim = await self._claim_model(intake)
        if isinstance(claim, Refusal):
            return refuse(claim, model.request)
        if isinstance(claim, Intent):
            return _replay(claim, model.request)
        return await self._dispatch(http, intake, claim)

    async def _dispatch(
        self,
        http: Request,
        intake: Intake,
        claim: Claim | None,
    ) -> StreamResponse:
        """Have a request answered, and send the answer."""
        request = intake.model.request
        stream = EventStream(
            http,
            request,
            lambda version: self._parts.pins.token(intake, version),
            self._parts.metrics,
        )
        http[STREAM_KEY] = stream
        sink = stream if intake.stream else KeptBack()
        spent = Spent()
        outcome: Answer | Refusal = _caller_gone()
        try:
            outcome = await self._parts.dispatcher.answer(
                intake.model,
                sink,
                self._parts.explanations.begin(request),
                spent,
            )
        finally:
            # A caller that goes away cancels this, and pays what was spent.
            self._bill_model(intake, outcome, spent)
            count_request(self._parts.metrics, intake, outcome, spent)
        await self._settle(claim, _as_reply(outcome, request))
        if isinstance(outcome, Refusal):
            if stream.response is not None:
                return await stream.fail(outcome)
            return refuse(outcome, request)
        if intake.stream:
            return await stream.finish(outcome)
        return Response(
            body=answer_body(outcome, request),
            content_type=JSON_TYPE,
            headers={
                'Nutmegroad-Request': str(request),
                'Nutmegroad-Session': self._parts.pins.token(
                    intake,
                    outcome.version,
                ),
            },
        )

    async def _claim_model(
        self,
        intake: Intake,
    ) -> Claim | Intent | Refusal | None:
        """Claim the key of a request that has one."""
        model = intake.model
        if not model.key:
            return None
        return await self._parts.intents.claim(
            model.workspace,
            model.key,
            model.request,
            intake.fingerprint,
        )

    async def _claim_call(
        self,
        call: ServiceRequest,
        repeatable: bool,
    ) -> Claim | Intent | Refusal | None:
        """Claim the key of a call that may not be repeated."""
        if repeatable or not call.key:
            return None
        digest = hashlib.sha256(call.body)
        digest.update(f'{call.method} {call.service}/{call.path}'.encode())
        return await self._parts.intents.claim(
            call.workspace,
            IdempotencyKey(call.key),
            call.request,
            digest.hexdigest(),
        )

    async def _settle(
        self,
        claim: Claim | None,
        reply: ServiceReply | Refusal,
    ) -> None:
        """Write how a claimed request ended."""
        if claim is None:
            return
        if isinstance(reply, Refusal):
            if reply.ran is Ran.NOT_RUN:
                settled = replace(
                    claim.intent,
                    state=IntentState.NOT_RUN,
                )
                await self._parts.intents.settle(claim, settled)
            return
        settled = replace(
            claim.intent,
            state=IntentState.DONE,
            status=reply.status,
            content_type=reply.content_type,
            answer=reply.body.decode(errors='replace'),
        )
        await self._parts.intents.settle(claim, settled)

    def _bill_model(
        self,
        intake: Intake,
        outcome: Answer | Refusal,
        spent: Spent,
    ) -> None:
        """Record what a model request cost."""
        model = intake.model
        record = BillingRecord(
            request=model.request,
            workspace=model.workspace,
            task=model.task,
            at=self._parts.clock.wall(),
        )
        if isinstance(outcome, Refusal):
            bill = replace(
                record,
                outcome=outcome.code.name,
                version=spent.version,
                prompt_tokens=spent.prompt_tokens,
                output_tokens=spent.output_tokens,
                cost=spent.cost,
            )
        else:
            bill = replace(
                record,
                version=outcome.version,
                prompt_tokens=outcome.prompt_tokens,
                output_tokens=outcome.output_tokens,
                cost=outcome.cost,
            )
        self._parts.biller.record(bill)

    def _bill_call(
        self,
        call: ServiceRequest,
        reply: ServiceReply | Refusal,
    ) -> None:
        """Record a plain service's call."""
        code = reply.code if isinstance(reply, Refusal) else ResultCode.OK
        self._parts.biller.record(
            BillingRecord(
                request=call.request,
                workspace=call.workspace,
                task=call.service,
                outcome=code.name,
                at=self._parts.clock.wall(),
            ),
        )


def _caller_gone() -> Refusal:
    """Say how a request ended whose caller went away."""
    return Refusal(
        ResultCode.ANSWER_CUT,
        'The caller went away before the answer had ended.',
        Ran.UNKNOWN,
    )


def _replay(intent: Intent, request: RequestId) -> Response:
    """Give the first answer again."""
    return Response(
        status=intent.status,
        body=intent.answer.encode(),
        content_type=intent.content_type,
        headers={
            'Nutmegroad-Request': request,
            'Nutmegroad-First-Request': intent.request,
        },
    )


def _as_reply(
    outcome: Answer | Refusal,
    request: RequestId,
) -> ServiceReply | Refusal:
    """Return what a repeated request is to be answered with."""
    if isinstance(outcome, Refusal):
        return outcome
    return ServiceReply(_OK, answer_body(outcome, request), JSON_TYPE)
