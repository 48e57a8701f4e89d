"""Answers plain calls; an answer is read completely before it is sent on."""

from dataclasses import dataclass
from typing import Final, TypeGuard

from nutmegroad.canary.gate import AttemptOutcome
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal
from nutmegroad.relay.answer_buffers import OversizedAnswer, read_answer
from nutmegroad.relay.connections import ResponseHead
from nutmegroad.relay.execution import Execution
from nutmegroad.relay.heads import FIRST_SERVER_ERROR
from nutmegroad.relay.outcomes import UpstreamAnswer
from nutmegroad.relay.refusals import caller_refusal, truncated_refusal
from nutmegroad.relay.replies import Reply
from nutmegroad.relay.sockets import ConnectionFailedError
from nutmegroad.routes.headers import end_to_end

_LOG: Final = part_logger('relay')


@dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """An upstream's complete answer.

    Attributes:
        head: The response head.
        body: The body.
    """

    head: ResponseHead
    body: bytes

    @property
    def failed(self) -> bool:
        """Whether the status is a server error."""
        return self.head.status >= FIRST_SERVER_ERROR


async def answer_plain(execution: Execution, reply: Reply) -> None:
    """Answer a call; make further attempts if it may be repeated."""
    failure: CompleteAnswer | None = None
    while True:
        outcome = await execution.start(None)
        if isinstance(outcome, Refusal):
            _end(execution, reply, failure, outcome)
            return
        answer = await _read(execution, outcome)
        if isinstance(answer, OversizedAnswer):
            await _forward(execution, reply, outcome, answer)
            return
        failure = answer or failure
        succeeded = await _learn(execution, outcome, answer)
        if not succeeded and execution.may_repeat():
            continue
        _end(execution, reply, failure, truncated_refusal())
        return


def send_answer(reply: Reply, answer: CompleteAnswer) -> None:
    """Answer the caller with an upstream's complete answer."""
    reply.complete(
        answer.head.status,
        answer.head.reason,
        end_to_end(answer.head.raw),
        answer.body,
    )


async def read_complete(
    execution: Execution, answering: UpstreamAnswer
) -> CompleteAnswer | None:
    """Return the complete answer; None if it was truncated or is too long."""
    body = await read_answer(answering, execution.holding)
    if isinstance(body, bytes):
        return CompleteAnswer(answering.head, body)
    return None


async def _read(
    execution: Execution, answering: UpstreamAnswer
) -> CompleteAnswer | OversizedAnswer | None:
    """Read an answer, and end its attempt unless the rest is to be sent on."""
    body: bytes | OversizedAnswer | None = None
    try:
        body = await read_answer(answering, execution.holding)
    finally:
        if not _is_sent_on(answering, body):
            await answering.close()
    if isinstance(body, bytes):
        return CompleteAnswer(answering.head, body)
    return body if _is_sent_on(answering, body) else None


def _is_sent_on(
    answering: UpstreamAnswer,
    body: bytes | OversizedAnswer | None,
) -> TypeGuard[OversizedAnswer]:
    """Return whether an answer is sent on without being complete."""
    if not isinstance(body, OversizedAnswer) or not body.has_end:
        return False
    return answering.head.status < FIRST_SERVER_ERROR


async def _forward(
    execution: Execution,
    reply: Reply,
    answering: UpstreamAnswer,
    answer: OversizedAnswer,
) -> None:
    """Send a long answer on as it arrives; it can't be repeated any more."""
    observed = AttemptOutcome.ACCEPTABLE
    try:
        await _copy(reply, answering, answer)
    except (ConnectionFailedError, ConnectionError) as problem:
        observed = AttemptOutcome.INTERRUPTED
        _LOG.decision(
            'long answer truncated',
            request=execution.request.request_id,
            upstream=answering.upstream.entry.upstream,
            problem=str(problem),
        )
    finally:
        await answering.close()
    execution.estimates.observe(answering, observed)
    if observed is AttemptOutcome.INTERRUPTED:
        reply.abort()
        return
    execution.crash_guard.answered()
    reply.finish_stream()


async def _copy(
    reply: Reply, answering: UpstreamAnswer, answer: OversizedAnswer
) -> None:
    """Send the head and the body of an answer as they arrive."""
    head = answering.head
    await reply.start_stream(head.status, head.reason, end_to_end(head.raw))
    await reply.write(answer.start)
    while chunk := await head.body.readany():
        await reply.write(chunk)


async def _learn(
    execution: Execution,
    answering: UpstreamAnswer,
    answer: CompleteAnswer | None,
) -> bool:
    """Record an answer, and return whether it is a success."""
    execution.estimates.observe(answering, _observed(answer))
    if answer is None:
        await execution.crash_guard.exchange_broken(
            answering.upstream, answering.started
        )
        return False
    if not answer.failed:
        execution.crash_guard.answered()
    return not answer.failed


def _observed(answer: CompleteAnswer | None) -> AttemptOutcome:
    """Return the evidence of an answer on its version."""
    if answer is None:
        return AttemptOutcome.INTERRUPTED
    return AttemptOutcome.POOR if answer.failed else AttemptOutcome.ACCEPTABLE


def _end(
    execution: Execution,
    reply: Reply,
    answer: CompleteAnswer | None,
    refusal: Refusal,
) -> None:
    """Send the last complete answer if there is one, else the refusal."""
    request = execution.request
    if answer is None:
        execution.log_refusal(refusal)
        reply.refuse(caller_refusal(refusal))
        return
    _LOG.decision(
        'answered',
        request=request.request_id,
        route=request.route.name,
        status=answer.head.status,
        waited=round(execution.waited, 3),
    )
    send_answer(reply, answer)
