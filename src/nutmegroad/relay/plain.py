"""Answers to plain calls: read whole, then handed on, or none of them."""

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
    """An upstream's answer that came whole.

    Attributes:
        head: Its beginning.
        body: The rest.
    """

    head: ResponseHead
    body: bytes

    @property
    def failed(self) -> bool:
        """Tell whether the upstream says that it failed."""
        return self.head.status >= SERVER_FAILURES


async def answer_plain(execution: Execution, reply: Reply) -> None:
    """Answer a call, with further attempts where it may be repeated."""
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
    """Send an upstream's whole answer as it came."""
    await reply.whole(
        answer.head.status,
        answer.head.reason,
        end_to_end(answer.head.raw),
        answer.body,
    )


async def read_whole(answering: Answering) -> WholeAnswer | None:
    """Return the whole answer, or None if it was cut."""
    try:
        body = await answering.head.body.read()
    except (ConnectionFailedError, ConnectionError):
        return None
    return WholeAnswer(answering.head, body)


async def _read(answering: Answering) -> WholeAnswer | None:
    """Read an answer whole, and end its attempt."""
    try:
        return await read_whole(answering)
    finally:
        await answering.close()


def _observed(answer: WholeAnswer | None) -> Observed:
    """Return how an attempt went, by its answer."""
    if answer is None:
        return Observed.BROKEN
    return Observed.POOR if answer.failed else Observed.SOUND


async def _end(
    execution: Execution,
    reply: Reply,
    answer: WholeAnswer | None,
    refusal: Refusal,
) -> None:
    """Send the upstream's answer if there is one, else the refusal."""
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
