"""Executes one attempt: sends it, reads the stream and records its outcome."""

import math
from dataclasses import dataclass, field
from typing import Final, Protocol

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.decisions import AttemptEnd, AttemptStart, Observers
from nutmegroad.contracts.upstreams import (
    Attempt,
    Ending,
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
from nutmegroad.routing.directory import Directory, LeavingSource

#: Seconds without a piece after which a stream counts as stalled.
STALL: Final = 10.0

#: An attempt that ends because the caller's deadline passed or the caller
#: disconnected counts against the upstream only if the upstream had sent no
#: piece for at least this many seconds.
SILENCE: Final = 1.0

#: Pieces that a resumed answer repeats, so that they can be compared with
#: the pieces that the caller has received.
OVERLAP: Final = 4


class Sink(Protocol):
    """Receives the pieces of an answer on their way to the caller."""

    def answering(self, version: VersionId) -> None:
        """Set the version that writes the pieces that follow."""

    async def piece(self, text: str) -> None:
        """Write a piece."""


@dataclass(slots=True)
class Received:
    """The part of an answer received so far, over all attempts at it.

    Attributes:
        pieces: Texts by index; empty where a chunk had none.
        read: Index after the last piece of the current attempt.
        first: Clock seconds of the first piece, or None.
        heard: Clock seconds of the last piece of the current attempt;
            infinite while the caller's sink is taking that piece.
        ending: The end marker of a complete answer, or None.
        refusal: Why the answer is incomplete, or None.
    """

    pieces: list[str] = field(default_factory=list)
    read: int = 0
    first: float | None = None
    heard: float = -math.inf
    ending: Ending | None = None
    refusal: Refusal | None = None

    @property
    def resume_at(self) -> int:
        """Return the index from which to request the rest of the answer."""
        return max(0, len(self.pieces) - OVERLAP)


@dataclass(slots=True)
class Trial:
    """One attempt, its progress and its outcome.

    Attributes:
        start: The event that announces the attempt to observers.
        attempt: What is sent to the upstream.
        state: The upstream.
        received: The answer so far, including pieces of earlier attempts.
        prompt_tokens: Estimated tokens of the prompt.
        end: The outcome; None until the attempt has ended.
        passed: Whether the gate was open when it was last checked.
    """

    start: AttemptStart
    attempt: Attempt
    state: UpstreamState
    received: Received = field(default_factory=Received)
    prompt_tokens: int = 0
    end: AttemptEnd | None = None
    passed: bool = False

    def watch(self, gate: Gate) -> Gate:
        """Return a gate that records in ``passed`` whether it was open."""

        def look() -> Refusal | None:
            """Check the gate and record the result."""
            refusal = gate()
            self.passed = refusal is None
            return refusal

        return look


class Attempter:
    """Executes attempts and notifies the observers of them.

    Args:
        engines: Client for engines.
        directory: Counts the requests in flight.
        observers: Notified of the start and end of each attempt.
        configuration: Source of the prices.
        clock: The host's clock.
        stall: Seconds without a piece after which the attempt is given up.
    """

    def __init__(
        self,
        engines: EngineClient,
        directory: Directory,
        observers: Observers,
        configuration: Configuration,
        clock: Clock,
        stall: float = STALL,
    ) -> None:
        self._engines = engines
        self._directory = directory
        self._observers = observers
        self._configuration = configuration
        self._clock = clock
        self._stall = stall

    async def run(self, trial: Trial, sink: Sink) -> AttemptEnd:
        """Execute one attempt, writing pieces to the sink as they arrive."""
        trial.received.refusal = None
        trial.received.read = trial.attempt.skip
        trial.received.heard = -math.inf
        began = self._clock.now()
        self._observers.started(trial.start)
        try:
            with self._directory.in_flight(trial.state, trial.start.version):
                await self._follow(trial.attempt, trial.received, sink)
        finally:
            # If the caller disconnects, this task is cancelled here, and
            # the attempt ends with ``ANSWER_CUT``.
            trial.end = self._end(trial, began)
            self._observers.ended(trial.end)
        self._note(trial)
        return trial.end

    async def _follow(
        self,
        attempt: Attempt,
        received: Received,
        sink: Sink,
    ) -> None:
        """Read the stream until it ends, fails or times out."""
        deadline = self._clock.now() + attempt.timeout
        try:
            async with Watchdog(self._clock, self._stall, deadline) as dog:
                await self._read(attempt, received, sink, dog)
        except TimeoutError:
            received.refusal = Refusal(
                ResultCode.UPSTREAM_TIMEOUT,
                f'The upstream {attempt.upstream.upstream} did not complete '
                'its answer in time.',
                Ran.UNKNOWN,
                retry_after=1,
            )

    async def _read(
        self,
        attempt: Attempt,
        received: Received,
        sink: Sink,
        dog: Watchdog,
    ) -> None:
        """Read the events of the stream."""
        async with self._engines.answer(attempt) as events:
            async for event in events:
                if isinstance(event, Refusal):
                    received.refusal = event
                    return
                if isinstance(event, Ending):
                    _finish(received, event)
                    return
                # Time that the caller takes to read a piece must not count
                # against the upstream.
                dog.hold()
                received.heard = math.inf
                received.refusal = await self._take(event, received, sink)
                received.heard = self._clock.now()
                if received.refusal is not None:
                    return
                dog.touch()
        received.refusal = Refusal(
            ResultCode.ANSWER_CUT,
            'The answer stream ended without an end marker.',
            Ran.UNKNOWN,
        )

    async def _take(
        self,
        piece: Piece,
        received: Received,
        sink: Sink,
    ) -> Refusal | None:
        """Store and forward a new piece, or compare a repeated one."""
        if received.first is None:
            received.first = self._clock.now()
        pieces = received.pieces
        received.read = piece.index + 1
        if piece.index < len(pieces):
            if pieces[piece.index] == piece.text:
                return None
            return _other_answer()
        # Chunks without text also have an index.
        pieces.extend('' for _ in range(piece.index - len(pieces)))
        pieces.append(piece.text)
        await sink.piece(piece.text)
        return None

    def _note(self, trial: Trial) -> None:
        """Update the directory with what the attempt shows of its upstream."""
        upstream = trial.state.info.upstream
        refusal = trial.received.refusal
        if refusal is None:
            self._directory.answered(upstream)
        elif refusal.code is ResultCode.UPSTREAM_UNREACHABLE:
            self._directory.refused(upstream)
        elif refusal.code is ResultCode.UPSTREAM_LEAVING:
            self._directory.mark_leaving(
                upstream,
                trial.state.info.address,
                LeavingSource.REPORT,
            )

    def _end(self, trial: Trial, began: float) -> AttemptEnd:
        """Return the summary of a finished attempt."""
        received = trial.received
        ending = received.ending
        code = ResultCode.ANSWER_CUT
        if ending is not None:
            code = ResultCode.OK
        elif received.refusal is not None:
            code = received.refusal.code
        prompt = trial.prompt_tokens if received.pieces else 0
        if ending is not None:
            prompt = ending.prompt_tokens
        written = ending.output_tokens if ending else len(received.pieces)
        # Tokens written by earlier attempts are counted there.
        output = max(0, written - trial.attempt.skip)
        first = received.first
        if first is not None:
            # In an attempt that resumes an answer, the first piece came
            # before the attempt began.
            first = first - began if first >= began else None
        return AttemptEnd(
            start=trial.start,
            code=code,
            first_token=first,
            seconds=self._clock.now() - began,
            prompt_tokens=prompt,
            output_tokens=output,
            cost=self._cost(trial.start, prompt, output),
            text=''.join(received.pieces) if ending else '',
            cached_tokens=ending.cached_tokens if ending else 0,
            out_of_time=self._is_out_of_time(trial, began),
        )

    def _is_out_of_time(self, trial: Trial, began: float) -> bool:
        """Return whether the attempt ended only for lack of the caller's time.

        An engine that is full sends nothing to requests that wait there, so
        such an attempt does not count against the upstream either.
        """
        received = trial.received
        now = self._clock.now()
        if received.ending is not None:
            return False
        if received.refusal is not None:
            is_late = now >= began + trial.attempt.timeout
            code = received.refusal.code
            if code is not ResultCode.UPSTREAM_TIMEOUT or not is_late:
                return False
        if now - received.heard < SILENCE:
            return True
        report = trial.state.report
        has_begun = received.read > trial.attempt.skip
        return report is not None and report.is_full and not has_begun

    def _cost(self, start: AttemptStart, prompt: int, output: int) -> float:
        """Return the cost of an attempt at the current prices."""
        entry = self._configuration.entry(start.version)
        if entry is None:
            return 0
        return cost_of(entry, prompt, output)


def _finish(received: Received, ending: Ending) -> None:
    """Accept the end marker unless pieces received before are missing."""
    if received.read < len(received.pieces):
        received.refusal = _other_answer()
    else:
        received.ending = ending


def _other_answer() -> Refusal:
    """Return the refusal for a resumed answer with a different text."""
    return Refusal(
        ResultCode.ANSWER_CROSSED,
        'The resumed answer differs from the pieces received before.',
        Ran.UNKNOWN,
    )
