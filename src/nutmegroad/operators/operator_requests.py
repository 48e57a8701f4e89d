"""Operators' route for what happened to a request.

GET  /operators/requests/{request}   its steps, wherever it was taken

A request's id begins with the host that took it, so any host knows whom to
ask.
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
from nutmegroad.operators.operator_access import Access, answer, refuse_operator
from nutmegroad.records.explanations import Explanations, Step

_PATH: Final = '/operators/requests/{request}'


def host_of(request: RequestId) -> HostId:
    """Return the host that an id names; empty if it names none.

    An id is a host's name, its incarnation and a number of 64 bits:
    ``kent-hall-1.9f86d081884c7d65-c1dfd96eea8cc2b6``.
    """
    incarnation = request.rpartition('-')[0]
    return HostId(incarnation.rpartition('.')[0])


class ExplainDesk:
    """Finds out what happened to requests, here or on other hosts.

    Args:
        kernel: Where the parts are.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._host = kernel.settings.host
        self._explanations = kernel.need(Explanations)
        mesh = kernel.need(Mesh)
        self._calls = HostCalls(mesh)
        mesh.handle(ExplainQuestion, self._take)

    async def explain(
        self,
        request: RequestId,
    ) -> tuple[Step, ...] | Refusal:
        """Return the steps of a request."""
        steps = self._own(request)
        if steps:
            return steps
        host = host_of(request)
        if not host or host == self._host:
            return _unknown(request, host)
        question = ExplainQuestion(host=host, request=request)
        told = await self._calls.call(question)
        if isinstance(told, Refusal):
            return Refusal(
                ResultCode.NOT_FOUND,
                f'The request {request!r} was taken by the host {host!r}, '
                f'which gives no answer: {told.reason}',
            )
        if isinstance(told, ExplainReply) and told.steps:
            return told.steps
        return _unknown(request, host)

    async def _take(
        self,
        sender: HostId,
        question: ExplainQuestion,
    ) -> Message | None:
        """Answer another host."""
        if question.host == self._host:
            return ExplainReply(self._own(question.request))
        return await self._calls.hand_on(question)

    def _own(self, request: RequestId) -> tuple[Step, ...]:
        """Return what this host knows of a request."""
        explanation = self._explanations.find(request)
        return () if explanation is None else tuple(explanation.steps)


@register('operator routes', 'requests')
class RequestRoutes:
    """Serves operators the explanations of requests.

    Args:
        kernel: Where the parts are.
        access: Knows operators.
    """

    def __init__(self, kernel: Kernel, access: Access) -> None:
        self._access = access
        self._desk = ExplainDesk(kernel)

    def add_routes(self, app: Application) -> None:
        """Add the route to the application."""
        app.router.add_get(_PATH, self.explain)

    async def explain(self, http: Request) -> Response:
        """Tell what happened to a request and why."""
        operator = self._access.authenticate(http)
        if isinstance(operator, Refusal):
            return refuse_operator(operator)
        request = RequestId(http.match_info['request'])
        return answer(await self._desk.explain(request))


def _unknown(request: RequestId, host: HostId) -> Refusal:
    """Say that nobody knows a request."""
    if not host:
        return Refusal(
            ResultCode.NOT_FOUND,
            f'{request!r} is no id of a request; each reply to a caller has '
            'one in its header Nutmegroad-Request.',
        )
    return Refusal(
        ResultCode.NOT_FOUND,
        f'The host {host!r} knows no request {request!r}; a host keeps its '
        'newest ones, while it runs.',
    )
