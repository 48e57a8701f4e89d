"""The callers' HTTP routes: model requests, plain services and tickets."""

import asyncio
from collections.abc import Mapping
from typing import Final

import msgspec
from aiohttp.web import (
    Application,
    Request,
    Response,
    StreamResponse,
)

from nutmegroad.callers._caller_context import CallerContext
from nutmegroad.callers._incoming_requests import (
    DetachableSink,
    IncomingRequest,
    forwarded_headers,
    new_request_id,
)
from nutmegroad.callers._memory_guard import HOLDING_KEY
from nutmegroad.callers._stop_guard import STREAM_KEY
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
from nutmegroad.callers.service_routes import IncomingServiceCall, check_key
from nutmegroad.contracts.documents import WorkspaceEntry
from nutmegroad.contracts.upstreams import ServiceReply
from nutmegroad.foundations.logs import current_request
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import RequestId, ServiceName, WorkspaceId
from nutmegroad.ingress.bodies import read_body
from nutmegroad.ingress.connections import BodyInterruptedError, reading_body
from nutmegroad.overload.arrivals import seconds_since_arrival
from nutmegroad.records.at_most_once import ForwardRequired
from nutmegroad.records.forwards import ForwardedReply, ForwardedRequest
from nutmegroad.records.intents import FirstAnswer
from nutmegroad.records.runs import Outcome, RequestResult
from nutmegroad.routing.request_progress import NullSink

_OK: Final = 200
_SERVICES: Final = '/v1/services/'
_CHAT: Final = '/v1/chat/completions'


class CallersInterface:
    """Answers the HTTP requests of callers.

    Args:
        context: The components that answer requests.
        prefix: Prefix of the request ids that this host assigns.
        body_timeout: Seconds that a body may take to arrive.
        max_body: Maximum bytes of a body.
    """

    def __init__(
        self,
        context: CallerContext,
        prefix: str,
        body_timeout: float,
        max_body: int,
    ) -> None:
        self._context = context
        self._prefix = prefix
        self._body_timeout = body_timeout
        self._max_body = max_body

    def application(self) -> Application:
        """Return the aiohttp application."""
        app = Application()
        app.router.add_post(_CHAT, self.chat)
        app.router.add_get('/v1/models', self.models)
        app.router.add_post('/v1/tickets', self.ticket)
        app.router.add_route('*', f'{_SERVICES}{{path:.*}}', self.service)
        return app

    async def chat(self, http: Request) -> StreamResponse:
        """Answer a model request."""
        incoming = await self._read_request(http)
        if isinstance(incoming, Response):
            return incoming
        call = _model_call(self._context.models, incoming)
        if isinstance(call, Refusal):
            return self._refuse(call, incoming.request_id)
        if not call.intake.stream:
            outcome = await self._context.models.run(call, NullSink())
            return await self._model_reply(incoming, call, outcome)
        stream = _make_stream(http, call, self._context)
        with DetachableSink(stream) as sink:
            outcome = await self._context.models.run(call, sink)
        return await self._finish_stream(incoming, call, outcome, stream)

    async def models(self, http: Request) -> Response:
        """List the versions that the workspace may use."""
        request_id = self._request_id()
        workspace = self._workspace(http.headers)
        if isinstance(workspace, Refusal):
            return self._refuse(workspace, request_id)
        listed = [
            {'id': version, 'object': 'model'} for version in workspace.versions
        ]
        body = msgspec.json.encode({'object': 'list', 'data': listed})
        return Response(body=body, content_type=JSON_TYPE)

    async def ticket(self, http: Request) -> Response:
        """Issue a ticket for one request that must not be repeated."""
        request_id = self._request_id()
        workspace = self._workspace(http.headers)
        if isinstance(workspace, Refusal):
            return self._refuse(workspace, request_id)
        ticket = self._context.issuer.issue(WorkspaceId(workspace.name))
        if isinstance(ticket, Refusal):
            return self._refuse(ticket, request_id)
        body = msgspec.json.encode({'ticket': ticket})
        return Response(body=body, content_type=JSON_TYPE)

    async def service(self, http: Request) -> StreamResponse:
        """Make a call to a plain service."""
        incoming = await self._read_request(http)
        if isinstance(incoming, Response):
            return incoming
        call = _service_call(incoming)
        outcome = await self._context.services.run(call)
        if isinstance(outcome, ForwardRequired):
            seconds = self._context.services.timeout(call)
            if isinstance(seconds, Refusal):
                return self._refuse(seconds, incoming.request_id)
            return await self._forward(incoming, outcome, seconds)
        return self._reply(incoming.request_id, outcome)

    async def answer_forwarded(
        self,
        message: ForwardedRequest,
    ) -> ForwardedReply:
        """Answer a request that another host forwarded to this one."""
        request_id = self._request_id()
        workspace = self._workspace(message.headers)
        if isinstance(workspace, Refusal):
            return forwarded_reply(self._refuse(workspace, request_id))
        incoming = IncomingRequest(
            request_id,
            workspace,
            message.method,
            message.target,
            message.headers,
            message.content,
            self._context.clock.now(),
        )
        if message.target != _CHAT:
            outcome = await self._context.services.run(_service_call(incoming))
            return forwarded_reply(self._reply(request_id, outcome))
        call = _model_call(self._context.models, incoming)
        if isinstance(call, Refusal):
            return forwarded_reply(self._refuse(call, request_id))
        outcome = await self._context.models.run(call, NullSink())
        return forwarded_reply(self._reply(request_id, outcome, call))

    def _request_id(self) -> RequestId:
        """Return the id assigned to the current request, or a new one."""
        present = current_request()
        if present is not None:
            return present
        return new_request_id(self._prefix, self._context.randomness)

    def _workspace(
        self,
        headers: Mapping[str, str],
    ) -> WorkspaceEntry | Refusal:
        """Return the workspace of the caller's key."""
        return authenticate(headers, self._context.configuration.accepted)

    def _refuse(self, refusal: Refusal, request_id: RequestId) -> Response:
        """Count a refusal, and return its reply."""
        self._context.metrics.refused(refusal.code)
        return refuse(refusal, request_id)

    async def _read_request(self, http: Request) -> IncomingRequest | Response:
        """Authenticate a caller and read its complete request.

        Returns:
            The request, or the reply that refuses it.
        """
        request_id = self._request_id()
        waited = seconds_since_arrival(http.transport)
        arrived = self._context.clock.now() - waited
        workspace = self._workspace(http.headers)
        if isinstance(workspace, Refusal):
            return self._refuse(workspace, request_id)
        invalid = check_key(http.headers)
        if invalid is not None:
            return self._refuse(invalid, request_id)
        http[HOLDING_KEY].owners = (f'workspace {workspace.name}',)
        content = await self._read_body(http)
        if isinstance(content, Refusal):
            return self._refuse(content, request_id)
        return IncomingRequest(
            request_id,
            workspace,
            http.method,
            http.path,
            http.headers,
            content,
            arrived,
        )

    async def _read_body(self, http: Request) -> bytes | Refusal:
        """Read a body within the limits of size and time."""
        try:
            async with asyncio.timeout(self._body_timeout):
                with reading_body(http):
                    return await read_body(
                        http, self._max_body, http[HOLDING_KEY]
                    )
        except BodyInterruptedError as interrupted:
            return interrupted.refusal
        except TimeoutError:
            return Refusal(
                ResultCode.BODY_TOO_SLOW,
                f'The body did not arrive within {self._body_timeout} seconds.',
            )

    async def _model_reply(
        self,
        incoming: IncomingRequest,
        call: ModelCall,
        outcome: Outcome,
    ) -> Response:
        """Return the reply to a model request as one complete response."""
        if isinstance(outcome, ForwardRequired):
            seconds = call.intake.model.deadline - self._context.clock.now()
            return await self._forward(incoming, outcome, seconds)
        return self._reply(incoming.request_id, outcome, call)

    async def _finish_stream(
        self,
        incoming: IncomingRequest,
        call: ModelCall,
        outcome: Outcome,
        stream: EventStream,
    ) -> StreamResponse:
        """End a stream, or stream an answer that came as one response.

        The answer of another host, or of an earlier request with the same
        key or ticket, comes as one response.
        """
        result = outcome.reply if isinstance(outcome, RequestResult) else None
        if isinstance(result, Refusal) and stream.response is not None:
            return await stream.fail(result)
        if isinstance(result, ServiceReply) and call.answer is not None:
            return await stream.finish(call.answer)
        reply = await self._model_reply(incoming, call, outcome)
        if reply.status != _OK or not isinstance(reply.body, bytes):
            return reply
        answer = read_answer(reply.body)
        stream.adopt_headers(reply.headers)
        stream.begin_version(answer.version)
        await stream.write(answer.text)
        return await stream.finish(answer)

    def _reply(
        self,
        request_id: RequestId,
        outcome: Outcome,
        call: ModelCall | None = None,
    ) -> Response:
        """Return the reply to a request that is answered on this host.

        Args:
            request_id: Id of the request.
            outcome: Its outcome.
            call: The request if it is a model request, otherwise None.
        """
        if isinstance(outcome, ForwardRequired):
            outcome = Refusal(
                ResultCode.TICKET_INVALID,
                'The request was forwarded to a host that did not issue its '
                'ticket.',
            )
        if isinstance(outcome, Refusal):
            return self._refuse(outcome, request_id)
        if isinstance(outcome, FirstAnswer):
            return replay(outcome, request_id)
        if isinstance(outcome.reply, Refusal):
            if call is None:
                return self._refuse(outcome.reply, request_id)
            # The refusal of a model request that was executed has been
            # counted with the outcome of the request.
            return refuse(outcome.reply, request_id)
        headers = {'Nutmegroad-Request': str(request_id)}
        if call is not None and call.answer is not None:
            token = self._context.models.session_token(
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
        incoming: IncomingRequest,
        forward: ForwardRequired,
        seconds: float,
    ) -> Response:
        """Forward a request to the host that issued its ticket.

        Args:
            incoming: The request.
            forward: Names the host that issued the ticket.
            seconds: Seconds left until the deadline of the request.
        """
        message = ForwardedRequest(
            host=forward.ticket.host,
            seconds=seconds,
            target=incoming.target,
            method=incoming.method,
            headers=forwarded_headers(incoming.headers, seconds),
            content=incoming.content,
        )
        reply = await self._context.forwarder.forward(forward.ticket, message)
        if isinstance(reply, Refusal):
            return self._refuse(reply, incoming.request_id)
        return Response(
            status=reply.status,
            body=reply.content,
            content_type=reply.content_type,
            headers=reply.headers,
        )


def _service_call(incoming: IncomingRequest) -> IncomingServiceCall:
    """Return the service call that a request asks for."""
    below = incoming.target.removeprefix(_SERVICES)
    service, _, path = below.partition('/')
    return IncomingServiceCall(
        incoming.request_id,
        incoming.workspace,
        ServiceName(service),
        path,
        incoming.method,
        incoming.headers,
        incoming.content,
        incoming.arrived,
    )


def _model_call(
    models: ModelRoutes,
    incoming: IncomingRequest,
) -> ModelCall | Refusal:
    """Parse a model request; return a refusal if it is invalid."""
    return models.read(
        incoming.headers,
        incoming.content,
        incoming.workspace,
        incoming.request_id,
        incoming.arrived,
    )


def _make_stream(
    http: Request,
    call: ModelCall,
    context: CallerContext,
) -> EventStream:
    """Return the stream for an answer, and store it in the HTTP request.

    The middlewares find it there when they have to end a started stream.
    """
    stream = EventStream(
        http,
        call.intake.model.request,
        lambda version: context.models.session_token(call, version),
        context.metrics,
    )
    http[STREAM_KEY] = stream
    return stream
