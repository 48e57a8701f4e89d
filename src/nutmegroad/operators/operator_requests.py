"""Operators' route for explanations of requests.

GET  /operators/requests/{request}   return the processing steps of a request

The id of a request begins with the id of the host that received it, so every
host knows which host to ask for the explanation.
"""

from typing import Final

from aiohttp.web import Application, Request, Response

from nutmegroad.contracts.peers import Mesh, Message
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import HostId, RequestId
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.operators._host_calls import (
    ExplainQuestion,
    ExplainReply,
    HostCalls,
)
from nutmegroad.operators.operator_access import (
    Access,
    outcome_response,
    refusal_response,
)
from nutmegroad.records.explanations import Explanations, Step

_PATH: Final = '/operators/requests/{request}'


def host_of(request: RequestId) -> HostId:
    """Return the host that received a request; empty for a malformed id.

    An id consists of the id of the host, its incarnation and a 64-bit number:
    ``kent-hall-1.9f86d081884c7d65-c1dfd96eea8cc2b6``.
    """
    incarnation = request.rpartition('-')[0]
    return HostId(incarnation.rpartition('.')[0])


class ExplanationService:
    """Finds explanations of requests, on this host or on others.

    Args:
        kernel: Kernel that provides the components.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._host = kernel.settings.host
        self._explanations = kernel.need(Explanations)
        mesh = kernel.need(Mesh)
        self._calls = HostCalls(mesh)
        mesh.handle(ExplainQuestion, self._on_question)

    async def explain(
        self,
        request: RequestId,
    ) -> tuple[Step, ...] | Refusal:
        """Return the processing steps of a request."""
        steps = self._local_steps(request)
        if steps:
            return steps
        host = host_of(request)
        if not host or host == self._host:
            return _unknown(request, host)
        question = ExplainQuestion(host=host, request=request)
        reply = await self._calls.call(question)
        if isinstance(reply, Refusal):
            return Refusal(
                ResultCode.NOT_FOUND,
                f'The request {request!r} was received by the host {host!r}, '
                f'which did not reply: {reply.reason}',
            )
        if isinstance(reply, ExplainReply) and reply.steps:
            return reply.steps
        return _unknown(request, host)

    async def _on_question(
        self,
        sender: HostId,
        question: ExplainQuestion,
    ) -> Message | None:
        """Answer or relay a question that another host sent."""
        if question.host == self._host:
            return ExplainReply(self._local_steps(question.request))
        return await self._calls.relay(question)

    def _local_steps(self, request: RequestId) -> tuple[Step, ...]:
        """Return the steps that this host recorded for a request."""
        explanation = self._explanations.find(request)
        return () if explanation is None else tuple(explanation.steps)


@register('operator routes', 'requests')
class RequestRoutes:
    """Route for explanations of requests.

    Args:
        kernel: Kernel that provides the components.
        access: Authenticates operators.
    """

    def __init__(self, kernel: Kernel, access: Access) -> None:
        self._access = access
        self._service = ExplanationService(kernel)

    def add_routes(self, app: Application) -> None:
        """Register the route."""
        app.router.add_get(_PATH, self.explain)

    async def explain(self, http: Request) -> Response:
        """Return what happened to a request, and why."""
        operator = self._access.authenticate(http)
        if isinstance(operator, Refusal):
            return refusal_response(operator)
        request = RequestId(http.match_info['request'])
        return outcome_response(await self._service.explain(request))


def _unknown(request: RequestId, host: HostId) -> Refusal:
    """Return the refusal for a request without an explanation."""
    if not host:
        return Refusal(
            ResultCode.NOT_FOUND,
            f'{request!r} is not a valid request id; each reply to a caller '
            'has the id in its header Nutmegroad-Request.',
        )
    return Refusal(
        ResultCode.NOT_FOUND,
        f'The host {host!r} knows no request {request!r}; a host retains its '
        'most recent requests until it stops.',
    )
