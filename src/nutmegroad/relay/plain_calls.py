"""Answers plain calls; an answer is read completely before it is sent on."""

from dataclasses import dataclass
from typing import Final

from nutmegroad.canary.gate import AttemptOutcome
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal
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
            await _end(execution, reply, failure, outcome)
            return
        answer = await _read(outcome)
        succeeded = answer is not None and not answer.failed
        execution.estimates.observe(outcome, _observed(answer))
        if answer is None:
            await execution.crash_guard.exchange_broken(
                outcome.upstream, outcome.started
            )
        else:
            if succeeded:
                execution.crash_guard.answered()
            failure = answer
        if not succeeded and execution.may_repeat():
            continue
        await _end(execution, reply, failure, truncated_refusal())
        return


async def send_answer(reply: Reply, answer: CompleteAnswer) -> None:
    """Send an upstream's complete answer to the caller."""
    await reply.send_complete(
        answer.head.status,
        answer.head.reason,
        end_to_end(answer.head.raw),
        answer.body,
    )


async def read_complete(answering: UpstreamAnswer) -> CompleteAnswer | None:
    """Return the complete answer, or None if it was truncated."""
    try:
        body = await answering.head.body.read()
    except (ConnectionFailedError, ConnectionError):
        return None
    return CompleteAnswer(answering.head, body)


async def _read(answering: UpstreamAnswer) -> CompleteAnswer | None:
    """Read an answer completely, and end its attempt."""
    try:
        return await read_complete(answering)
    finally:
        await answering.close()


def _observed(answer: CompleteAnswer | None) -> AttemptOutcome:
    """Return the evidence of an answer on its version."""
    if answer is None:
        return AttemptOutcome.INTERRUPTED
    return AttemptOutcome.POOR if answer.failed else AttemptOutcome.ACCEPTABLE


async def _end(
    execution: Execution,
    reply: Reply,
    answer: CompleteAnswer | None,
    refusal: Refusal,
) -> None:
    """Send the last complete answer if there is one, else the refusal."""
    request = execution.request
    if answer is None:
        execution.log_refusal(refusal)
        await reply.refuse(caller_refusal(refusal))
        return
    _LOG.decision(
        'answered',
        request=request.request_id,
        route=request.route.name,
        status=answer.head.status,
        waited=round(execution.waited, 3),
    )
    await send_answer(reply, answer)
