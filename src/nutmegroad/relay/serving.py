"""Handles callers' requests, from reading one to the end of its answer."""

import random
from collections.abc import Callable
from contextlib import closing
from typing import Final

from aiohttp import web

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.timeouts import ReadTimeout
from nutmegroad.foundations.types import RequestId, ServiceName
from nutmegroad.overload.memory_budget import Holding
from nutmegroad.relay.context import RelayContext
from nutmegroad.relay.execution import Execution
from nutmegroad.relay.intake import Intake
from nutmegroad.relay.listener import HttpReply
from nutmegroad.relay.plain_calls import answer_plain
from nutmegroad.relay.refusals import caller_refusal
from nutmegroad.relay.streams import StreamAnswer
from nutmegroad.routes.headers import HeaderNames
from nutmegroad.routes.requests import CallerRequest

_LOG: Final = part_logger('relay')

_INTERNAL_ERROR: Final = 500

#: Refusals after which the connection is closed, so that the caller retries at
#: another host, or sends no more of its body.
_RETRY_ELSEWHERE: Final = frozenset(
    (
        ResultCode.CONFIGURATION_MISSING,
        ResultCode.CONFIGURATION_UNCONFIRMED,
        ResultCode.HOST_MEMORY_SHORT,
        ResultCode.BODY_TOO_SLOW,
        ResultCode.HOST_CONNECTIONS_SHORT,
    ),
)


class CallerHandler:
    """Handles callers' requests.

    Args:
        context: Objects that executions share.
        intake: Parses and checks requests.
        names: The deployment's header names.
        randomness: Splits traffic between services.
        stopping: Returns whether the host is stopping.
        max_stall: Returns the seconds for which a caller may take nothing of
            an answer.
    """

    def __init__(
        self,
        context: RelayContext,
        intake: Intake,
        names: HeaderNames,
        randomness: random.Random,
        stopping: Callable[[], bool],
        max_stall: Callable[[], float],
    ) -> None:
        self._context = context
        self._clock: Clock = context.clock
        self._intake = intake
        self._names = names
        self._randomness = randomness
        self._stopping = stopping
        self._max_stall = max_stall
        #: Connections on which a request is being answered.
        self.busy: set[object] = set()

    async def answer(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer one request of a caller."""
        holding = self._context.memory.open()
        reply = HttpReply(http, self._stopping, self._max_stall(), holding)
        self.busy.add(http.protocol)
        try:
            with closing(holding):
                await self._serve(http, reply, holding)
                await self._deliver(http, reply)
        finally:
            self.busy.discard(http.protocol)
            # The head may have been sent before the host began to stop.
            if self._stopping() and reply.response is not None:
                reply.response.force_close()
        return reply.response or web.Response(status=_INTERNAL_ERROR)

    async def _serve(
        self, http: web.BaseRequest, reply: HttpReply, holding: Holding
    ) -> None:
        """Read a request, and answer it within its deadline."""
        request = await self._intake.read(http, holding)
        if isinstance(request, Refusal):
            self._refuse(http, reply, request)
            return
        execution = Execution(
            self._context,
            request,
            self._service_of(request),
            lambda: reply.caller_left,
            holding,
        )
        time_left = max(0, request.deadline - self._clock.now())
        try:
            async with ReadTimeout(time_left):
                await self._run(execution, reply)
        except TimeoutError:
            self._end_late(execution, reply)
        finally:
            self._context.counters.answered(
                reply.status,
                request.route.kind.value,
                execution.waited,
            )

    async def _run(self, execution: Execution, reply: HttpReply) -> None:
        """Answer a request by the kind of its route."""
        if execution.request.route.streaming:
            confidence = self._names.confidence
            await StreamAnswer(execution, reply, confidence).run()
        else:
            await answer_plain(execution, reply)

    def _end_late(self, execution: Execution, reply: HttpReply) -> None:
        """End a request whose deadline has passed."""
        if reply.is_complete:
            return
        refusal = execution.deadline_refusal()
        execution.log_refusal(refusal, begun=reply.stream_started)
        if reply.stream_started:
            reply.abort()
        else:
            reply.refuse(caller_refusal(refusal))

    def _refuse(
        self,
        http: web.BaseRequest,
        reply: HttpReply,
        refusal: Refusal,
    ) -> None:
        """Refuse a request that failed the checks of the intake."""
        self._context.counters.refused(refusal.code)
        _LOG.decision(
            'refused',
            request=RequestId(http.headers.get(self._names.request_id, '')),
            code=refusal.code.name,
            ran=refusal.ran.value,
            reason=refusal.reason,
            configuration_age=round(self._intake.age, 2),
        )
        proof = ''
        if refusal.code is ResultCode.HOST_MEMORY_SHORT:
            proof = self._names.not_executed
        reply.refuse(
            caller_refusal(
                refusal, close=refusal.code in _RETRY_ELSEWHERE, proof=proof
            )
        )

    async def _deliver(self, http: web.BaseRequest, reply: HttpReply) -> None:
        """Send a complete answer."""
        taken = await reply.deliver()
        if taken is not None:
            _LOG.decision(
                'caller takes nothing',
                request=RequestId(http.headers.get(self._names.request_id, '')),
                status=reply.status,
                taken=taken,
                seconds=self._max_stall(),
            )

    def _service_of(self, request: CallerRequest) -> ServiceName:
        """Return a service of a request's route, drawn by weight."""
        services = request.route.services
        if len(services) == 1:
            return services[0].service
        chosen = self._randomness.choices(
            services,
            [each.weight for each in services],
        )
        return chosen[0].service
