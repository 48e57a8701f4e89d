"""One attempt at an answer: send it, follow the stream, say how it ended."""

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

#: Seconds without a piece after which a stream counts as frozen.
STALL: Final = 10.0

#: Seconds without a piece from which on silence is held against an upstream
#: whose caller's time is up, or whose caller leaves.
SILENCE: Final = 1.0

#: Pieces that a resumed answer repeats, so that it can be seen whether it
#: goes on as the caller was shown.
OVERLAP: Final = 4


class Sink(Protocol):
    """Takes the pieces of an answer on their way to the caller."""

    def answering(self, version: VersionId) -> None:
        """Learn which version writes what comes next."""

    async def piece(self, text: str) -> None:
        """Take a piece."""


@dataclass(slots=True)
class Received:
    """What an answer has brought so far, over all attempts at it.

    Attributes:
        pieces: Texts by index; empty where a chunk had none.
        read: Index behind the last piece that the present attempt brought.
        first: Clock seconds of the first piece, or None.
        heard: Clock seconds of the last piece of the present attempt;
            infinite while the caller takes it.
        ending: The mark that the answer is whole, or None.
        refusal: Why it is not whole, or None.
    """

    pieces: list[str] = field(default_factory=list)
    read: int = 0
    first: float | None = None
    heard: float = -math.inf
    ending: Ending | None = None
    refusal: Refusal | None = None

    @property
    def resume_at(self) -> int:
        """Return the index from which the answer may be asked for again."""
        return max(0, len(self.pieces) - OVERLAP)


@dataclass(slots=True)
class Trial:
    """One attempt, and what comes of it.

    Attributes:
        start: How it is announced.
        attempt: What goes to the upstream.
        state: The upstream.
        received: What has come so far, also from attempts before.
        prompt_tokens: Estimated tokens of the prompt.
        end: How it ended, once it has.
        passed: The gate has let its first byte through.
    """

    start: AttemptStart
    attempt: Attempt
    state: UpstreamState
    received: Received = field(default_factory=Received)
    prompt_tokens: int = 0
    end: AttemptEnd | None = None
    passed: bool = False

    def watch(self, gate: Gate) -> Gate:
        """Return a gate that remembers whether it was open."""

        def look() -> Refusal | None:
            """Look at the gate."""
            refusal = gate()
            self.passed = refusal is None
            return refusal

        return look


class Attempter:
    """Carries out attempts and tells the observers of them.

    Args:
        engines: How engines are reached.
        directory: Counts what is in flight.
        observers: Told of beginnings and ends.
        configuration: Knows the prices.
        clock: The host's clock.
        stall: Seconds without a piece that are too long.
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
        """Carry out one attempt; pieces go to the sink as they come."""
        trial.received.refusal = None
        trial.received.read = trial.attempt.skip
        trial.received.heard = -math.inf
        began = self._clock.now()
        self._observers.started(trial.start)
        try:
            with self._directory.in_flight(trial.state, trial.start.version):
                await self._follow(trial.attempt, trial.received, sink)
        finally:
            # A caller that goes away cancels us here; it counts as cut.
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
        """Read the stream until it ends, breaks or falls silent."""
        deadline = self._clock.now() + attempt.timeout
        try:
            async with Watchdog(self._clock, self._stall, deadline) as dog:
                await self._read(attempt, received, sink, dog)
        except TimeoutError:
            received.refusal = Refusal(
                ResultCode.UPSTREAM_TIMEOUT,
                f'The upstream {attempt.upstream.upstream} fell silent.',
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
        """Read the stream's events."""
        async with self._engines.answer(attempt) as events:
            async for event in events:
                if isinstance(event, Refusal):
                    received.refusal = event
                    return
                if isinstance(event, Ending):
                    _finish(received, event)
                    return
                # A caller that reads slowly says nothing of the upstream.
                dog.hold()
                received.heard = math.inf
                received.refusal = await self._take(event, received, sink)
                received.heard = self._clock.now()
                if received.refusal is not None:
                    return
                dog.touch()
        received.refusal = Refusal(
            ResultCode.ANSWER_CUT,
            'The answer ended without its terminal mark.',
            Ran.UNKNOWN,
        )

    async def _take(
        self,
        piece: Piece,
        received: Received,
        sink: Sink,
    ) -> Refusal | None:
        """Keep a piece and hand it on; check one that was there before."""
        if received.first is None:
            received.first = self._clock.now()
        pieces = received.pieces
        received.read = piece.index + 1
        if piece.index < len(pieces):
            if pieces[piece.index] == piece.text:
                return None
            return _other_answer()
        # Chunks without text count too.
        pieces.extend('' for _ in range(piece.index - len(pieces)))
        pieces.append(piece.text)
        await sink.piece(piece.text)
        return None

    def _note(self, trial: Trial) -> None:
        """Tell the directory what an attempt says of its upstream."""
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
        """Sum an attempt up."""
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
        # What attempts before it have written was theirs.
        output = max(0, written - trial.attempt.skip)
        first = received.first
        if first is not None:
            # An attempt that resumes an answer has no first token.
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
        """Tell whether only the caller's time ended an attempt.

        Who waits at a full engine hears nothing for a good reason.
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
        """Return what an attempt cost at today's prices."""
        entry = self._configuration.entry(start.version)
        if entry is None:
            return 0
        return cost_of(entry, prompt, output)


def _finish(received: Received, ending: Ending) -> None:
    """Take the ending, unless it comes before what was there already."""
    if received.read < len(received.pieces):
        received.refusal = _other_answer()
    else:
        received.ending = ending


def _other_answer() -> Refusal:
    """Say that an engine has resumed something else."""
    return Refusal(
        ResultCode.ANSWER_CROSSED,
        'The resumed answer does not go on as the one before.',
        Ran.UNKNOWN,
    )
