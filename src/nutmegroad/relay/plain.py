"""Answers to plain calls: read completely before they are sent on."""

from dataclasses import dataclass
from typing import Final

from nutmegroad.canary.gate import Observed
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal
from nutmegroad.relay.connections import ConnectionFailedError, ResponseHead
from nutmegroad.relay.execution import Execution
from nutmegroad.relay.heads import SERVER_FAILURES
from nutmegroad.relay.outcomes import Answering
from nutmegroad.relay.refusals import spell
from nutmegroad.relay.replies import Reply
from nutmegroad.routes.headers import end_to_end

_LOG: Final = part_logger('relay')


@dataclass(frozen=True, slots=True)
class WholeAnswer:
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
        return self.head.status >= SERVER_FAILURES


async def answer_plain(execution: Execution, reply: Reply) -> None:
    """Answer a call; make further attempts if it may be repeated."""
    failure: WholeAnswer | None = None
    while True:
        outcome = await execution.begin(None)
        if isinstance(outcome, Refusal):
            await _end(execution, reply, failure, outcome)
            return
        answer = await _read(outcome)
        sound = answer is not None and not answer.failed
        execution.outlook.observe(outcome, _observed(answer))
        if answer is None:
            await execution.guard.broke(outcome.upstream, outcome.started)
        else:
            execution.guard.answered()
            failure = answer
        if not sound and execution.may_repeat():
            continue
        await _end(execution, reply, failure, execution.refuse_cut())
        return


async def deliver(reply: Reply, answer: WholeAnswer) -> None:
    """Send an upstream's complete answer to the caller."""
    await reply.whole(
        answer.head.status,
        answer.head.reason,
        end_to_end(answer.head.raw),
        answer.body,
    )


async def read_whole(answering: Answering) -> WholeAnswer | None:
    """Return the complete answer, or None if it was truncated."""
    try:
        body = await answering.head.body.read()
    except (ConnectionFailedError, ConnectionError):
        return None
    return WholeAnswer(answering.head, body)


async def _read(answering: Answering) -> WholeAnswer | None:
    """Read an answer completely, and end its attempt."""
    try:
        return await read_whole(answering)
    finally:
        await answering.close()


def _observed(answer: WholeAnswer | None) -> Observed:
    """Return the evidence of an answer on its version."""
    if answer is None:
        return Observed.BROKEN
    return Observed.POOR if answer.failed else Observed.SOUND


async def _end(
    execution: Execution,
    reply: Reply,
    answer: WholeAnswer | None,
    refusal: Refusal,
) -> None:
    """Send the last complete answer if there is one, else the refusal."""
    request = execution.request
    if answer is None:
        execution.refused(refusal)
        await reply.refuse(spell(refusal))
        return
    _LOG.decision(
        'answered',
        request=request.request,
        route=request.route.name,
        status=answer.head.status,
        waited=round(execution.waited, 3),
    )
    await deliver(reply, answer)
