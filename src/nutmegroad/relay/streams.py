"""Answers to streaming requests: events are forwarded as they arrive.

Nothing is sent to the caller before the first complete event, so until then
another upstream or a larger model may still be asked. A stream that breaks
later is resumed after the last event that the caller has received.
"""

from dataclasses import dataclass, field
from enum import Enum, unique
from functools import partial
from types import MappingProxyType
from typing import Final

from nutmegroad.canary.gate import AttemptOutcome
from nutmegroad.escalation.decisions import first_model
from nutmegroad.foundations.event_streams import (
    Event,
    EventStreamSplitter,
    EventTooLongError,
    StreamPosition,
)
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.timeouts import ReadTimeout
from nutmegroad.foundations.types import ModelName
from nutmegroad.relay.connections import Framing
from nutmegroad.relay.escalations import choose_larger_model
from nutmegroad.relay.execution import Execution
from nutmegroad.relay.heads import FIRST_SERVER_ERROR, is_event_stream
from nutmegroad.relay.outcomes import UpstreamAnswer
from nutmegroad.relay.plain_calls import (
    CompleteAnswer,
    read_complete,
    send_answer,
)
from nutmegroad.relay.refusals import caller_refusal, truncated_refusal
from nutmegroad.relay.replies import Reply
from nutmegroad.relay.sockets import ConnectionFailedError
from nutmegroad.relay.timeouts import response_timeout, wait_while_reachable
from nutmegroad.routes.headers import end_to_end

_LOG: Final = part_logger('relay')


#: Multiple of a route's maximum event gap after which a stalled stream counts
#: as broken. The next event is late by then, but resuming the stream may still
#: be of use to the caller.
STALL_FACTOR: Final = 2.0


@unique
class StreamEnd(Enum):
    """How one upstream's part of a stream ended."""

    COMPLETE = 'whole'
    #: The connection failed before the end, or the stream ended inside an
    #: event.
    TRUNCATED = 'cut'
    #: The upstream sent a complete error response.
    FAILED = 'failed'
    #: No bytes arrived in time, and another attempt may follow.
    STALLED = 'stalled'
    #: The answer was discarded, and a larger model is asked.
    LOW_CONFIDENCE = 'unsure'


#: Evidence of an end on the upstream's version. A model's low confidence is no
#: fault of the version, and a broken exchange may have another cause.
_EVIDENCE: Final = MappingProxyType(
    {
        StreamEnd.COMPLETE: AttemptOutcome.ACCEPTABLE,
        StreamEnd.FAILED: AttemptOutcome.POOR,
        StreamEnd.TRUNCATED: AttemptOutcome.INTERRUPTED,
        StreamEnd.STALLED: AttemptOutcome.INTERRUPTED,
    },
)


@dataclass(slots=True)
class _Progress:
    """Progress of a stream.

    Attributes:
        model: The model to request; None if the caller names it.
        position: How far the caller has got.
        events: Number of events sent to the caller.
        failure: The last complete error response of an upstream.
        incomplete: Bytes of the last upstream's answer after its last complete
            event.
        problem: Why the last upstream's answer was truncated, if it was.
    """

    model: ModelName | None
    position: StreamPosition
    events: int = 0
    failure: CompleteAnswer | None = field(default=None, repr=False)
    incomplete: int = 0
    problem: str = ''


class StreamAnswer:
    """Answers one streaming request.

    Args:
        execution: The request's attempts.
        reply: Sends the answer to the caller.
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
        self._progress = _Progress(
            first_model(request), StreamPosition(request.last_event)
        )

    async def run(self) -> None:
        """Make attempts until the stream is complete or can't be resumed."""
        progress = self._progress
        while True:
            outcome = await self._execution.start(
                progress.model,
                progress.position.last_event,
            )
            if isinstance(outcome, Refusal):
                self._give_up(outcome)
                return
            end = await self._forward_attempt(outcome)
            self._log_end(outcome, end)
            if end is StreamEnd.COMPLETE:
                self._reply.finish_stream()
                return
            if end in (StreamEnd.LOW_CONFIDENCE, StreamEnd.STALLED):
                # The repeat has been taken from the budget already.
                continue
            if not self._may_resume():
                self._give_up(truncated_refusal())
                return

    async def _forward_attempt(self, answering: UpstreamAnswer) -> StreamEnd:
        """Forward one upstream's events, and end the attempt."""
        try:
            end = await self._forward(answering)
        finally:
            await answering.close()
        if end is StreamEnd.TRUNCATED:
            await self._execution.crash_guard.exchange_broken(
                answering.upstream, answering.started
            )
        elif end is StreamEnd.COMPLETE:
            self._execution.crash_guard.answered()
        observed = _EVIDENCE.get(end)
        if observed is not None:
            self._execution.estimates.observe(answering, observed)
        if end is StreamEnd.COMPLETE:
            self._execution.estimates.observe_generation(
                answering, self._progress.events
            )
        return end

    async def _forward(self, answering: UpstreamAnswer) -> StreamEnd:
        """Forward an answer as it arrives."""
        self._progress.incomplete = 0
        self._progress.problem = ''
        if answering.head.status >= FIRST_SERVER_ERROR:
            self._progress.failure = await read_complete(
                self._execution, answering
            )
            complete = self._progress.failure is not None
            return StreamEnd.FAILED if complete else StreamEnd.TRUNCATED
        larger = self._larger_model(answering)
        if larger is not None:
            self._progress.model = larger
            return StreamEnd.LOW_CONFIDENCE
        if not is_event_stream(answering.head):
            return await self._forward_complete(answering)
        try:
            return await self._forward_events(answering)
        except (
            ConnectionFailedError,
            ConnectionError,
            EventTooLongError,
        ) as problem:
            self._progress.problem = str(problem)
            return StreamEnd.TRUNCATED

    async def _forward_complete(self, answering: UpstreamAnswer) -> StreamEnd:
        """Forward an answer that is no event stream once it is complete."""
        answer = await read_complete(self._execution, answering)
        if answer is None:
            return StreamEnd.TRUNCATED
        if self._reply.stream_started:
            # It can't continue the stream of another upstream.
            return StreamEnd.FAILED
        send_answer(self._reply, answer)
        return StreamEnd.COMPLETE

    async def _forward_events(self, answering: UpstreamAnswer) -> StreamEnd:
        """Forward complete events to the caller until the stream ends."""
        splitter = EventStreamSplitter(
            is_continuation=self._reply.stream_started
        )
        self._progress.position.begin_part()
        stall_timeout = (
            self._execution.request.route.max_event_gap * STALL_FACTOR
        )
        timeout = response_timeout(
            self._execution.request,
            answering.choice.expected_seconds,
            self._execution.time_left,
        )
        events_before = self._progress.events
        while True:
            chunk = await self._next_chunk(answering, timeout)
            if chunk is None:
                return StreamEnd.STALLED
            events = splitter.feed(chunk) if chunk else splitter.finish()
            self._progress.incomplete = len(splitter.remainder)
            if await self._write(answering, events):
                timeout = stall_timeout or timeout
            if not chunk:
                break
        if self._ended_early(answering, splitter, events_before):
            return StreamEnd.TRUNCATED
        await self._ensure_head_sent(answering)
        if splitter.remainder:
            await self._reply.write(splitter.remainder)
        return StreamEnd.COMPLETE

    def _ended_early(
        self,
        answering: UpstreamAnswer,
        splitter: EventStreamSplitter,
        events_before: int,
    ) -> bool:
        """Return whether a body that ended without an error is incomplete.

        Args:
            answering: The answer.
            splitter: Has the rest of the body.
            events_before: Number of events sent before this answer.
        """
        if splitter.is_inside_event:
            self._progress.problem = 'the stream ended inside an event'
            return True
        by_connection = answering.head.framing is Framing.CONNECTION
        if by_connection and self._progress.events == events_before:
            # An upstream that failed after its head would end it like this.
            self._progress.problem = 'the connection ended before an event'
            return True
        return False

    async def _next_chunk(
        self,
        answering: UpstreamAnswer,
        timeout: float,
    ) -> bytes | None:
        """Return the next bytes; None if the stream is abandoned as stalled.

        It is abandoned only if it may be resumed at another upstream.
        """
        estimates = self._execution.estimates
        chunk = await wait_while_reachable(
            partial(_read_within, answering),
            timeout + estimates.own_delay,
            lambda: estimates.is_cut_off(answering.upstream),
            estimates.clock,
        )
        if chunk is not None:
            estimates.upstream_responded(answering.upstream)
            return chunk
        if not self._may_resume():
            return await answering.head.body.readany()
        answering.connection.abort()
        return None

    async def _write(
        self, answering: UpstreamAnswer, events: list[Event]
    ) -> bool:
        """Send the events that the caller does not have yet.

        They follow the response head if it was not sent yet.

        Returns:
            Whether the upstream has sent any.
        """
        unseen = self._progress.position.advance(events)
        if unseen:
            await self._ensure_head_sent(answering)
            await self._reply.write(b''.join(event.raw for event in unseen))
            execution = self._execution
            execution.crash_guard.event_received(
                execution.estimates.clock.now()
            )
            self._progress.events += sum(not event.is_empty for event in unseen)
        return bool(events)

    def _may_resume(self) -> bool:
        """Return whether another upstream may go on with the stream.

        If it may, this takes one repeat from the budget.
        """
        position = self._progress.position
        return position.can_resume and self._execution.may_repeat()

    async def _ensure_head_sent(self, answering: UpstreamAnswer) -> None:
        """Send the response head unless it was sent before."""
        if not self._reply.stream_started:
            head = answering.head
            await self._reply.start_stream(
                head.status,
                head.reason,
                end_to_end(head.raw),
            )

    def _larger_model(self, answering: UpstreamAnswer) -> ModelName | None:
        """Return the model to ask instead, or None to keep the answer."""
        if self._reply.stream_started:
            return None
        return choose_larger_model(self._execution, answering, self._confidence)

    def _give_up(self, refusal: Refusal) -> None:
        """End a stream that can't be resumed."""
        self._execution.log_refusal(refusal, events=self._progress.events)
        failure = self._progress.failure
        if self._reply.stream_started:
            self._reply.abort()
        elif failure is None:
            self._reply.refuse(caller_refusal(refusal))
        else:
            send_answer(self._reply, failure)

    def _log_end(self, answering: UpstreamAnswer, end: StreamEnd) -> None:
        """Log how one upstream's part of the stream ended."""
        _LOG.decision(
            'stream',
            request=self._execution.request.request_id,
            upstream=answering.upstream.entry.upstream,
            model=answering.model,
            confidence=answering.head.headers.get(self._confidence),
            status=answering.head.status,
            framing=answering.head.framing.value,
            content_type=answering.head.headers.get('Content-Type'),
            end=end.value,
            problem=self._progress.problem,
            events=self._progress.events,
            incomplete=self._progress.incomplete,
            waited=round(self._execution.waited, 3),
        )


async def _read_within(
    answering: UpstreamAnswer, seconds: float
) -> bytes | None:
    """Return the next bytes, or None if none arrive in time."""
    try:
        async with ReadTimeout(seconds):
            return await answering.head.body.readany()
    except TimeoutError:
        return None
