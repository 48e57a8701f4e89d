"""Answers that are series of events, handed on as they come.

Nothing goes to the caller before the first whole event, so until then
another upstream or a larger model may still be asked. Later a stream that
broke is resumed after the last event that the caller has.
"""

import asyncio
from dataclasses import dataclass, field
from enum import Enum, unique
from functools import partial
from types import MappingProxyType
from typing import Final

from nutmegroad.canary.gate import Observed
from nutmegroad.escalation.confidence import read_unsure
from nutmegroad.escalation.decisions import (
    EscalationCase,
    NotEscalated,
    first_model,
    larger_model,
)
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import ModelName
from nutmegroad.relay.budgets import Purpose
from nutmegroad.relay.connections import ConnectionFailedError
from nutmegroad.relay.events import Event, WholeEvents
from nutmegroad.relay.execution import Execution
from nutmegroad.relay.heads import SERVER_FAILURES
from nutmegroad.relay.outcomes import Answering
from nutmegroad.relay.patience import patience_for, wait_patiently
from nutmegroad.relay.plain import WholeAnswer, deliver, read_whole
from nutmegroad.relay.refusals import spell
from nutmegroad.relay.replies import Reply
from nutmegroad.routes.headers import end_to_end

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


#: What an end says of the upstream's version. An unsure model is no fault of
#: it, and what broke off may have broken for another cause.
_OBSERVED: Final = MappingProxyType(
    {
        RunEnd.WHOLE: Observed.SOUND,
        RunEnd.FAILED: Observed.POOR,
        RunEnd.CUT: Observed.BROKEN,
        RunEnd.STALLED: Observed.BROKEN,
    },
)


#: Ends at which an upstream has answered whole, if with a failure of its own.
_ANSWERED: Final = frozenset((RunEnd.WHOLE, RunEnd.FAILED))


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
        confidence: Name of the header with a model's confidence.
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
        if end is RunEnd.CUT:
            await self._execution.guard.broke(
                answering.upstream, answering.started
            )
        elif end in _ANSWERED:
            self._execution.guard.answered()
        observed = _OBSERVED.get(end)
        if observed is not None:
            self._execution.outlook.observe(answering, observed)
        if end is RunEnd.WHOLE:
            self._execution.outlook.generated(answering, self._progress.events)
        return end

    async def _hand_on(self, answering: Answering) -> RunEnd:
        """Hand an answer on as it comes."""
        if answering.head.status >= SERVER_FAILURES:
            self._progress.failure = await read_whole(answering)
            whole = self._progress.failure is not None
            return RunEnd.FAILED if whole else RunEnd.CUT
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
        patience = patience_for(
            self._execution.request,
            answering.choice.expected,
            self._execution.left,
        )
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
        outlook = self._execution.outlook
        chunk = await wait_patiently(
            partial(_read_within, answering),
            patience,
            lambda: outlook.is_cut_off(answering.upstream),
            outlook.clock,
        )
        if chunk is not None:
            outlook.heard(answering.upstream)
            return chunk
        if not self._execution.may_repeat():
            return await answering.head.body.readany()
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
        case = self._escalation_case(answering)
        if self._reply.begun or case is None:
            return False
        larger = larger_model(execution.request.route, case)
        if not isinstance(larger, NotEscalated) and not execution.may_repeat(
            Purpose.ESCALATION,
        ):
            larger = NotEscalated.BUDGET
        if isinstance(larger, NotEscalated):
            self._note_kept(case, larger)
            return False
        self._progress.model = larger
        return True

    def _note_kept(self, case: EscalationCase, why: NotEscalated) -> None:
        """Log that the answer of an unsure model is kept."""
        _LOG.decision(
            'not escalated',
            request=self._execution.request.request,
            confidence=case.confidence,
            why=why.value,
            begins=round(case.expected.begins, 3),
            whole=round(case.expected.whole, 3),
            ahead=round(case.expected.ahead, 3),
            crowd=round(case.expected.crowd, 2),
            attempts_left=case.attempts_left,
            left=round(case.left, 3),
        )

    def _escalation_case(self, answering: Answering) -> EscalationCase | None:
        """Return what speaks for a larger model; None if nothing does."""
        execution = self._execution
        route = execution.request.route
        text = answering.head.headers.get(self._confidence)
        confidence = read_unsure(route, answering.model, text)
        if confidence is None:
            return None
        expected = execution.outlook.expectation(
            route.models[-1],
            execution.tried,
        )
        if expected is None:
            return None
        return EscalationCase(
            confidence,
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


async def _read_within(answering: Answering, seconds: float) -> bytes | None:
    """Return the next bytes, or None if none come in time."""
    try:
        async with asyncio.timeout(seconds):
            return await answering.head.body.readany()
    except TimeoutError:
        return None
