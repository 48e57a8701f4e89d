"""The callers' HTTP interface: model requests, plain services, tickets."""

import asyncio
from collections.abc import Mapping
from typing import Final

import msgspec
from aiohttp.web import (
    Application,
    HTTPRequestEntityTooLarge,
    Request,
    Response,
    StreamResponse,
)

from nutmegroad.callers._caller_guard import STREAM_KEY
from nutmegroad.callers._caller_parts import CallerParts
from nutmegroad.callers._caller_requests import (
    CallerRequest,
    DetachableSink,
    passed_headers,
)
from nutmegroad.callers.answer_streams import EventStream
from nutmegroad.callers.intake import authenticate
from nutmegroad.callers.model_routes import ModelCall, ModelRoutes
from nutmegroad.callers.replies import (
    JSON_TYPE,
    forwarded_reply,
    read_answer,
    refuse,
    replay,
)
from nutmegroad.callers.service_routes import ServiceCallIn, check_key
from nutmegroad.contracts.documents import WorkspaceEntry
from nutmegroad.contracts.upstreams import ServiceReply
from nutmegroad.foundations.logs import present_request
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import RequestId, ServiceName, WorkspaceId
from nutmegroad.records.at_most_once import ForwardRequired
from nutmegroad.records.forwards import ForwardedReply, ForwardedRequest
from nutmegroad.records.intents import FirstAnswer
from nutmegroad.records.runs import Outcome, RequestResult
from nutmegroad.routing.request_progress import NullSink

_OK: Final = 200
_NONCE_BITS: Final = 64
_SERVICES: Final = '/v1/services/'
_CHAT: Final = '/v1/chat/completions'


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
        app.router.add_post(_CHAT, self.chat)
        app.router.add_get('/v1/models', self.models)
        app.router.add_post('/v1/tickets', self.ticket)
        app.router.add_route('*', f'{_SERVICES}{{path:.*}}', self.service)
        return app

    async def chat(self, http: Request) -> StreamResponse:
        """Answer a model request."""
        arrived = await self._arrive(http)
        if isinstance(arrived, Response):
            return arrived
        call = _model_call(self._parts.models, arrived)
        if isinstance(call, Refusal):
            return self._refuse(call, arrived.request)
        if not call.intake.stream:
            outcome = await self._parts.models.run(call, NullSink())
            return await self._model_reply(arrived, call, outcome)
        stream = _make_stream(http, call, self._parts)
        with DetachableSink(stream) as sink:
            outcome = await self._parts.models.run(call, sink)
        return await self._stream_end(arrived, call, outcome, stream)

    async def models(self, http: Request) -> Response:
        """List the versions that the workspace may use."""
        request = self._name()
        workspace = self._workspace(http.headers)
        if isinstance(workspace, Refusal):
            return self._refuse(workspace, request)
        listed = [
            {'id': version, 'object': 'model'} for version in workspace.versions
        ]
        body = msgspec.json.encode({'object': 'list', 'data': listed})
        return Response(body=body, content_type=JSON_TYPE)

    async def ticket(self, http: Request) -> Response:
        """Issue a ticket for one request that may not be repeated."""
        request = self._name()
        workspace = self._workspace(http.headers)
        if isinstance(workspace, Refusal):
            return self._refuse(workspace, request)
        ticket = self._parts.issuer.issue(WorkspaceId(workspace.name))
        if isinstance(ticket, Refusal):
            return self._refuse(ticket, request)
        body = msgspec.json.encode({'ticket': ticket})
        return Response(body=body, content_type=JSON_TYPE)

    async def service(self, http: Request) -> StreamResponse:
        """Make a call to a plain service."""
        arrived = await self._arrive(http)
        if isinstance(arrived, Response):
            return arrived
        call = _service_call(arrived)
        outcome = await self._parts.services.run(call)
        if isinstance(outcome, ForwardRequired):
            seconds = self._parts.services.seconds(call)
            if isinstance(seconds, Refusal):
                return self._refuse(seconds, arrived.request)
            return await self._forward(arrived, outcome, seconds)
        return self._reply(arrived.request, outcome)

    async def answer_forwarded(
        self,
        message: ForwardedRequest,
    ) -> ForwardedReply:
        """Answer a request that another host handed on to this one."""
        request = self._name()
        workspace = self._workspace(message.headers)
        if isinstance(workspace, Refusal):
            return forwarded_reply(self._refuse(workspace, request))
        arrived = CallerRequest(
            request,
            workspace,
            message.method,
            message.target,
            message.headers,
            message.content,
        )
        if message.target != _CHAT:
            outcome = await self._parts.services.run(_service_call(arrived))
            return forwarded_reply(self._reply(request, outcome))
        call = _model_call(self._parts.models, arrived)
        if isinstance(call, Refusal):
            return forwarded_reply(self._refuse(call, request))
        outcome = await self._parts.models.run(call, NullSink())
        return forwarded_reply(self._reply(request, outcome, call))

    def _name(self) -> RequestId:
        """Return the request's id, or a new one."""
        present = present_request()
        if present is not None:
            return present
        nonce = f'{self._parts.randomness.getrandbits(_NONCE_BITS):016x}'
        return RequestId(f'{self._prefix}-{nonce}')

    def _workspace(
        self,
        headers: Mapping[str, str],
    ) -> WorkspaceEntry | Refusal:
        """Return the caller's workspace."""
        return authenticate(headers, self._parts.configuration.accepted)

    def _refuse(self, refusal: Refusal, request: RequestId) -> Response:
        """Return the reply of a refusal, and count it."""
        self._parts.metrics.refused(refusal.code)
        return refuse(refusal, request)

    async def _arrive(self, http: Request) -> CallerRequest | Response:
        """Read a request whole, from a caller that is known."""
        request = self._name()
        workspace = self._workspace(http.headers)
        if isinstance(workspace, Refusal):
            return self._refuse(workspace, request)
        wrong = check_key(http.headers)
        if wrong is not None:
            return self._refuse(wrong, request)
        content = await self._body(http)
        if isinstance(content, Refusal):
            return self._refuse(content, request)
        return CallerRequest(
            request,
            workspace,
            http.method,
            http.path,
            http.headers,
            content,
        )

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

    async def _model_reply(
        self,
        arrived: CallerRequest,
        call: ModelCall,
        outcome: Outcome,
    ) -> Response:
        """Return the reply to a request that wants no stream."""
        if isinstance(outcome, ForwardRequired):
            seconds = call.intake.model.deadline - self._parts.clock.now()
            return await self._forward(arrived, outcome, seconds)
        return self._reply(arrived.request, outcome, call)

    async def _stream_end(
        self,
        arrived: CallerRequest,
        call: ModelCall,
        outcome: Outcome,
        stream: EventStream,
    ) -> StreamResponse:
        """End a stream, or show an answer that did not come as one."""
        ended = outcome.reply if isinstance(outcome, RequestResult) else None
        if isinstance(ended, Refusal) and stream.response is not None:
            return await stream.fail(ended)
        if isinstance(ended, ServiceReply) and call.answer is not None:
            return await stream.finish(call.answer)
        reply = await self._model_reply(arrived, call, outcome)
        if reply.status != _OK or not isinstance(reply.body, bytes):
            return reply
        answer = read_answer(reply.body)
        stream.adopt(reply.headers)
        stream.begin_version(answer.version)
        await stream.write(answer.text)
        return await stream.finish(answer)

    def _reply(
        self,
        request: RequestId,
        outcome: Outcome,
        call: ModelCall | None = None,
    ) -> Response:
        """Return the reply to a request that was not handed on."""
        if isinstance(outcome, ForwardRequired):
            outcome = Refusal(
                ResultCode.TICKET_INVALID,
                'The ticket was handed on to a host that did not issue it.',
            )
        if isinstance(outcome, Refusal):
            return self._refuse(outcome, request)
        if isinstance(outcome, FirstAnswer):
            return replay(outcome, request)
        if isinstance(outcome.reply, Refusal):
            if call is None:
                return self._refuse(outcome.reply, request)
            # A model request is counted with its outcome.
            return refuse(outcome.reply, request)
        headers = {'Nutmegroad-Request': str(request)}
        if call is not None and call.answer is not None:
            token = self._parts.models.session_token(
                call,
                call.answer.version,
            )
            headers['Nutmegroad-Session'] = token
        return Response(
            status=outcome.reply.status,
            body=outcome.reply.body,
            content_type=outcome.reply.content_type,
            headers=headers,
        )

    async def _forward(
        self,
        arrived: CallerRequest,
        elsewhere: ForwardRequired,
        seconds: float,
    ) -> Response:
        """Have the issuer of the request's ticket answer it."""
        message = ForwardedRequest(
            host=elsewhere.ticket.host,
            seconds=seconds,
            target=arrived.target,
            method=arrived.method,
            headers=passed_headers(arrived.headers, seconds),
            content=arrived.content,
        )
        reply = await self._parts.forwarder.forward(elsewhere.ticket, message)
        if isinstance(reply, Refusal):
            return self._refuse(reply, arrived.request)
        return Response(
            status=reply.status,
            body=reply.content,
            content_type=reply.content_type,
            headers=reply.headers,
        )


def _service_call(arrived: CallerRequest) -> ServiceCallIn:
    """Return the call that a request is."""
    named = arrived.target.removeprefix(_SERVICES)
    service, _, path = named.partition('/')
    return ServiceCallIn(
        arrived.request,
        arrived.workspace,
        ServiceName(service),
        path,
        arrived.method,
        arrived.headers,
        arrived.content,
    )


def _model_call(
    models: ModelRoutes,
    arrived: CallerRequest,
) -> ModelCall | Refusal:
    """Return the model request that a request is."""
    return models.read(
        arrived.headers,
        arrived.content,
        arrived.workspace,
        arrived.request,
    )


def _make_stream(
    http: Request,
    call: ModelCall,
    parts: CallerParts,
) -> EventStream:
    """Return the stream of an answer, known to the host's stop too."""
    stream = EventStream(
        http,
        call.intake.model.request,
        lambda version: parts.models.session_token(call, version),
        parts.metrics,
    )
    http[STREAM_KEY] = stream
    return stream
