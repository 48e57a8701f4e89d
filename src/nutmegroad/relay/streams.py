"""Answers that are series of events, handed on as they come.

Nothing goes to the caller before the first whole event, so until then
another upstream or a larger model may still be asked. Later a stream that
broke is resumed after the last event that the caller has.
"""

import asyncio
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final

from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import ModelName
from nutmegroad.relay.attempts import SERVER_FAILURES, Answering
from nutmegroad.relay.budgets import Purpose
from nutmegroad.relay.connections import ConnectionFailedError
from nutmegroad.relay.escalation import (
    Kept,
    Opinion,
    first_model,
    larger_model,
    read_doubt,
)
from nutmegroad.relay.events import Event, WholeEvents
from nutmegroad.relay.execution import Execution
from nutmegroad.relay.headers import end_to_end
from nutmegroad.relay.plain import WholeAnswer, deliver, read_whole
from nutmegroad.relay.refusals import spell
from nutmegroad.relay.replies import Reply

_LOG: Final = part_logger('relay')


#: Times a route's longest pause after which a silent stream counts as
#: broken: by then it is late, and a resumption may still please its caller.
STALLED_TIMES: Final = 2.0


@unique
class RunEnd(Enum):
    """How one upstream's part of a stream ended."""

    WHOLE = 'whole'
    CUT = 'cut'
    FAILED = 'failed'
    STALLED = 'stalled'
    UNSURE = 'unsure'


@dataclass(slots=True)
class _Progress:
    """How far a stream has come.

    Attributes:
        model: The model that is asked; None where the caller names it.
        last_event: Id of the last event that the caller has, or empty.
        events: Events handed on.
        failure: The last failure that an upstream reported whole.
    """

    model: ModelName | None
    last_event: str
    events: int = 0
    failure: WholeAnswer | None = field(default=None, repr=False)


class StreamAnswer:
    """Answers one request for a stream.

    Args:
        execution: The request's attempts.
        reply: Its caller.
        confidence: Name of the header with a model's opinion.
    """

    def __init__(
        self,
        execution: Execution,
        reply: Reply,
        confidence: str,
    ) -> None:
        self._execution = execution
        self._reply = reply
        self._confidence = confidence
        request = execution.request
        self._progress = _Progress(first_model(request), request.last_event)

    async def run(self) -> None:
        """Make attempts until the stream is whole or can't go on."""
        progress = self._progress
        while True:
            outcome = await self._execution.begin(
                progress.model,
                progress.last_event,
            )
            if isinstance(outcome, Refusal):
                await self._give_up(outcome)
                return
            end = await self._follow(outcome)
            self._note(outcome, end)
            if end is RunEnd.WHOLE:
                await self._reply.finish()
                return
            if end in (RunEnd.UNSURE, RunEnd.STALLED):
                continue
            if not self._execution.may_repeat():
                await self._give_up(self._execution.refuse_cut())
                return

    async def _follow(self, answering: Answering) -> RunEnd:
        """Hand one upstream's events on, and end the attempt."""
        try:
            end = await self._hand_on(answering)
        finally:
            await answering.close()
        if end is not RunEnd.UNSURE:
            sound = end is RunEnd.WHOLE
            self._execution.outlook.observe(answering, sound=sound)
        if end is RunEnd.WHOLE:
            self._execution.outlook.generated(answering, self._progress.events)
        return end

    async def _hand_on(self, answering: Answering) -> RunEnd:
        """Hand an answer on as it comes."""
        if answering.head.status >= SERVER_FAILURES:
            self._progress.failure = await read_whole(answering)
            return RunEnd.FAILED
        if self._escalates(answering):
            return RunEnd.UNSURE
        try:
            return await self._copy(answering)
        except (ConnectionFailedError, ConnectionError):
            return RunEnd.CUT

    async def _copy(self, answering: Answering) -> RunEnd:
        """Copy whole events to the caller until the stream ends."""
        splitter = WholeEvents()
        pause = self._execution.request.route.longest_pause * STALLED_TIMES
        patience = self._execution.patience(answering.choice.expected)
        while True:
            chunk = await self._next(answering, patience)
            if chunk is None:
                return RunEnd.STALLED
            if not chunk:
                break
            events = splitter.feed(chunk)
            if events:
                await self._write(answering, events)
                patience = pause or patience
        if splitter.rest:
            await self._begin(answering)
            await self._reply.write(splitter.rest)
        await self._begin(answering)
        return RunEnd.WHOLE

    async def _next(
        self,
        answering: Answering,
        patience: float,
    ) -> bytes | None:
        """Return the next bytes; None if the stream is left as too slow.

        It is left only if it may go on at another upstream.
        """
        body = answering.head.body
        try:
            async with asyncio.timeout(patience):
                return await body.readany()
        except TimeoutError:
            if not self._execution.may_repeat():
                return await body.readany()
        answering.connection.abort()
        return None

    async def _write(self, answering: Answering, events: list[Event]) -> None:
        """Write events, the head of the answer before the first."""
        await self._begin(answering)
        text = b''.join(event.text for event in events)
        await self._reply.write(text)
        progress = self._progress
        progress.events += len(events)
        progress.last_event = events[-1].number or progress.last_event

    async def _begin(self, answering: Answering) -> None:
        """Send the head of the answer unless one was sent."""
        if not self._reply.begun:
            head = answering.head
            await self._reply.begin(
                head.status,
                head.reason,
                end_to_end(head.raw),
            )

    def _escalates(self, answering: Answering) -> bool:
        """Drop an answer whose model is unsure, if a larger may be asked."""
        execution = self._execution
        opinion = self._opinion(answering)
        if self._reply.begun or opinion is None:
            return False
        larger = larger_model(execution.request.route, opinion)
        if not isinstance(larger, Kept) and not execution.may_repeat(
            Purpose.ESCALATION,
        ):
            larger = Kept.BUDGET
        if isinstance(larger, Kept):
            self._note_kept(opinion, larger)
            return False
        self._progress.model = larger
        return True

    def _note_kept(self, opinion: Opinion, why: Kept) -> None:
        """Log that an answer is kept though its model doubts it."""
        _LOG.decision(
            'doubt kept',
            request=self._execution.request.request,
            confidence=opinion.confidence,
            why=why.value,
            begins=round(opinion.expected.begins, 3),
            whole=round(opinion.expected.whole, 3),
            ahead=round(opinion.expected.ahead, 3),
            crowd=round(opinion.expected.crowd, 2),
            attempts_left=opinion.attempts_left,
            left=round(opinion.left, 3),
        )

    def _opinion(self, answering: Answering) -> Opinion | None:
        """Return what speaks for a larger model; None if nothing does."""
        execution = self._execution
        route = execution.request.route
        text = answering.head.headers.get(self._confidence)
        doubt = read_doubt(route, answering.model, text)
        if doubt is None:
            return None
        expected = execution.outlook.expectation(
            route.models[-1],
            execution.tried,
        )
        if expected is None:
            return None
        return Opinion(
            doubt,
            execution.waited,
            execution.attempts_left,
            expected,
            execution.left,
        )

    async def _give_up(self, refusal: Refusal) -> None:
        """End a stream that can't go on."""
        self._execution.refused(refusal, events=self._progress.events)
        failure = self._progress.failure
        if self._reply.begun:
            self._reply.cut()
        elif failure is None:
            await self._reply.refuse(spell(refusal))
        else:
            await deliver(self._reply, failure)

    def _note(self, answering: Answering, end: RunEnd) -> None:
        """Log how one upstream's part ended."""
        _LOG.decision(
            'stream',
            request=self._execution.request.request,
            upstream=answering.upstream.entry.upstream,
            model=answering.model,
            confidence=answering.head.headers.get(self._confidence),
            status=answering.head.status,
            end=end.value,
            events=self._progress.events,
            waited=round(self._execution.waited, 3),
        )
