"""Executes one attempt: sends it, reads the stream and records its outcome."""

import math
from dataclasses import dataclass, field
from typing import Final, Protocol

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.decisions import AttemptEnd, AttemptStart, Observers
from nutmegroad.contracts.upstreams import (
    AnswerEnd,
    Attempt,
    EngineClient,
    Gate,
    Piece,
    UpstreamState,
)
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.timeouts import Watchdog
from nutmegroad.foundations.types import Ran, VersionId
from nutmegroad.quality.prices import cost_of
from nutmegroad.routing.directory import Directory, DrainingSource

#: Seconds without a piece after which a stream counts as stalled.
STALL_TIMEOUT: Final = 10.0

#: An attempt that ends because the caller's deadline passed or the caller
#: disconnected counts against the upstream only if the upstream had sent no
#: piece for at least this many seconds.
MIN_SILENCE: Final = 1.0

#: Pieces that a resumed answer repeats, so that they can be compared with
#: the pieces that the caller has received.
RESUME_OVERLAP: Final = 4


class Sink(Protocol):
    """Receives the pieces of an answer on their way to the caller."""

    def begin_version(self, version: VersionId) -> None:
        """Record which version writes the pieces that follow."""

    async def write(self, text: str) -> None:
        """Write a piece."""


@dataclass(slots=True)
class Received:
    """The part of an answer received so far, over all attempts at it.

    Attributes:
        pieces: Texts by index; empty where a chunk had none.
        next_index: Index after the last piece of the current attempt.
        first_piece_at: Clock seconds of the first piece, or None.
        last_piece_at: Clock seconds of the last piece of the current attempt;
            infinite while the caller's sink is taking that piece.
        ending: The end marker of a complete answer, or None.
        refusal: Why the answer is incomplete, or None.
    """

    pieces: list[str] = field(default_factory=list)
    next_index: int = 0
    first_piece_at: float | None = None
    last_piece_at: float = -math.inf
    ending: AnswerEnd | None = None
    refusal: Refusal | None = None

    @property
    def resume_at(self) -> int:
        """Return the index from which to request the rest of the answer."""
        return max(0, len(self.pieces) - RESUME_OVERLAP)


@dataclass(slots=True)
class AttemptExecution:
    """One attempt, its progress and its outcome.

    Attributes:
        start: The event that announces the attempt to observers.
        attempt: What is sent to the upstream.
        state: The upstream.
        received: The answer so far, including pieces of earlier attempts.
        prompt_tokens: Estimated tokens of the prompt.
        end: The outcome; None until the attempt has ended.
        gate_passed: Whether the gate was open when it was last checked.
    """

    start: AttemptStart
    attempt: Attempt
    state: UpstreamState
    received: Received = field(default_factory=Received)
    prompt_tokens: int = 0
    end: AttemptEnd | None = None
    gate_passed: bool = False

    def recording_gate(self, gate: Gate) -> Gate:
        """Return a gate that records in ``gate_passed`` whether it was open."""

        def check() -> Refusal | None:
            """Check the gate and record the result."""
            refusal = gate()
            self.gate_passed = refusal is None
            return refusal

        return check


class AttemptRunner:
    """Executes attempts and notifies the observers of them.

    Args:
        engines: Client for engines.
        directory: Counts the requests in flight, and learns which upstreams
            refuse connections or are draining.
        observers: Notified of the start and end of each attempt.
        configuration: Source of the prices.
        clock: The host's clock.
        stall_timeout: Seconds without a piece after which an attempt times
            out.
    """

    def __init__(
        self,
        engines: EngineClient,
        directory: Directory,
        observers: Observers,
        configuration: Configuration,
        clock: Clock,
        stall_timeout: float = STALL_TIMEOUT,
    ) -> None:
        self._engines = engines
        self._directory = directory
        self._observers = observers
        self._configuration = configuration
        self._clock = clock
        self._stall_timeout = stall_timeout

    async def run(self, execution: AttemptExecution, sink: Sink) -> AttemptEnd:
        """Execute one attempt, writing pieces to the sink as they arrive."""
        execution.received.refusal = None
        execution.received.next_index = execution.attempt.skip
        execution.received.last_piece_at = -math.inf
        began = self._clock.now()
        self._observers.started(execution.start)
        try:
            with self._directory.in_flight(
                execution.state, execution.start.version
            ):
                await self._read_stream(
                    execution.attempt, execution.received, sink
                )
        finally:
            # If the caller disconnects, this task is cancelled here, and
            # the attempt ends with ``ANSWER_CUT``.
            execution.end = self._summarize(execution, began)
            self._observers.ended(execution.end)
        self._update_directory(execution)
        return execution.end

    async def _read_stream(
        self,
        attempt: Attempt,
        received: Received,
        sink: Sink,
    ) -> None:
        """Read the stream until it ends, fails or times out."""
        deadline = self._clock.now() + attempt.timeout
        try:
            async with Watchdog(
                self._clock, self._stall_timeout, deadline
            ) as watchdog:
                await self._read_events(attempt, received, sink, watchdog)
        except TimeoutError:
            received.refusal = Refusal(
                ResultCode.UPSTREAM_TIMEOUT,
                f'The upstream {attempt.upstream.upstream} did not complete '
                'its answer in time.',
                Ran.UNKNOWN,
                retry_after=1,
            )

    async def _read_events(
        self,
        attempt: Attempt,
        received: Received,
        sink: Sink,
        watchdog: Watchdog,
    ) -> None:
        """Read the events of the stream."""
        async with self._engines.answer(attempt) as events:
            async for event in events:
                if isinstance(event, Refusal):
                    received.refusal = event
                    return
                if isinstance(event, AnswerEnd):
                    _accept_ending(received, event)
                    return
                # Time that the caller takes to read a piece must not count
                # against the upstream.
                watchdog.suspend()
                received.last_piece_at = math.inf
                received.refusal = await self._accept_piece(
                    event, received, sink
                )
                received.last_piece_at = self._clock.now()
                if received.refusal is not None:
                    return
                watchdog.touch()
        received.refusal = Refusal(
            ResultCode.ANSWER_CUT,
            f'The answer stream of the upstream {attempt.upstream.upstream} '
            'ended without an end marker.',
            Ran.UNKNOWN,
        )

    async def _accept_piece(
        self,
        piece: Piece,
        received: Received,
        sink: Sink,
    ) -> Refusal | None:
        """Store and forward a new piece, or compare a repeated one."""
        if received.first_piece_at is None:
            received.first_piece_at = self._clock.now()
        pieces = received.pieces
        received.next_index = piece.index + 1
        if piece.index < len(pieces):
            if pieces[piece.index] == piece.text:
                return None
            return _crossed_answer()
        # Chunks without text also have an index.
        pieces.extend('' for _ in range(piece.index - len(pieces)))
        pieces.append(piece.text)
        await sink.write(piece.text)
        return None

    def _update_directory(self, execution: AttemptExecution) -> None:
        """Update the directory with what the attempt shows of its upstream."""
        upstream = execution.state.info.upstream
        refusal = execution.received.refusal
        if refusal is None:
            self._directory.answered(upstream)
        elif refusal.code is ResultCode.UPSTREAM_UNREACHABLE:
            self._directory.refused(upstream)
        elif refusal.code is ResultCode.UPSTREAM_LEAVING:
            self._directory.mark_draining(
                upstream,
                execution.state.info.address,
                DrainingSource.REPORT,
            )

    def _summarize(
        self, execution: AttemptExecution, began: float
    ) -> AttemptEnd:
        """Return the summary of a finished attempt."""
        received = execution.received
        ending = received.ending
        code = ResultCode.ANSWER_CUT
        if ending is not None:
            code = ResultCode.OK
        elif received.refusal is not None:
            code = received.refusal.code
        prompt = execution.prompt_tokens if received.pieces else 0
        if ending is not None:
            prompt = ending.prompt_tokens
        written = ending.output_tokens if ending else len(received.pieces)
        # Earlier attempts count the tokens that they have written.
        output = max(0, written - execution.attempt.skip)
        first = received.first_piece_at
        if first is not None:
            # In an attempt that resumes an answer, the first piece came
            # before the attempt began.
            first = first - began if first >= began else None
        return AttemptEnd(
            start=execution.start,
            code=code,
            first_token=first,
            seconds=self._clock.now() - began,
            prompt_tokens=prompt,
            output_tokens=output,
            cost=self._cost(execution.start, prompt, output),
            text=''.join(received.pieces) if ending else '',
            cached_tokens=ending.cached_tokens if ending else 0,
            abandoned=self._is_out_of_time(execution, began),
        )

    def _is_out_of_time(
        self, execution: AttemptExecution, began: float
    ) -> bool:
        """Return whether an attempt ended early because of its caller alone.

        The caller's deadline passed, or the caller disconnected, while the
        upstream was sending. An engine that is full sends nothing to requests
        that wait there, so such an attempt does not count against it either.
        """
        received = execution.received
        now = self._clock.now()
        if received.ending is not None:
            return False
        if received.refusal is not None:
            is_late = now >= began + execution.attempt.timeout
            code = received.refusal.code
            if code is not ResultCode.UPSTREAM_TIMEOUT or not is_late:
                return False
        if now - received.last_piece_at < MIN_SILENCE:
            return True
        report = execution.state.report
        has_begun = received.next_index > execution.attempt.skip
        return report is not None and report.is_full and not has_begun

    def _cost(self, start: AttemptStart, prompt: int, output: int) -> float:
        """Return the cost of an attempt at the current prices."""
        entry = self._configuration.version_entry(start.version)
        if entry is None:
            return 0
        return cost_of(entry, prompt, output)


def _accept_ending(received: Received, ending: AnswerEnd) -> None:
    """Accept the end marker unless pieces received before are missing."""
    if received.next_index < len(received.pieces):
        received.refusal = _crossed_answer()
    else:
        received.ending = ending


def _crossed_answer() -> Refusal:
    """Return the refusal for a resumed answer with a different text."""
    return Refusal(
        ResultCode.ANSWER_CROSSED,
        'The resumed answer differs from the pieces received before.',
        Ran.UNKNOWN,
    )
