"""One attempt at an answer: send it, follow the stream, say how it ended."""

from dataclasses import dataclass, field
from typing import Final, Protocol

from nutmegroad.clocks import Clock
from nutmegroad.configuration import Configuration
from nutmegroad.decisions import AttemptEnd, AttemptStart, Observers
from nutmegroad.directory import Directory
from nutmegroad.prices import cost_of
from nutmegroad.results import Refusal, ResultCode
from nutmegroad.timeouts import Watchdog
from nutmegroad.types import Ran
from nutmegroad.upstreams import (
    Attempt,
    Ending,
    EngineClient,
    Piece,
    UpstreamState,
)

#: Seconds without a piece after which a stream counts as frozen.
STALL: Final = 10.0


class Sink(Protocol):
    """Takes the pieces of an answer on their way to the caller."""

    async def piece(self, text: str) -> None:
        """Take a piece."""


@dataclass(slots=True)
class Received:
    """What an attempt has brought so far.

    Attributes:
        pieces: Texts, in order.
        first: Clock seconds of the first piece, or None.
        ending: The mark that the answer is whole, or None.
        refusal: Why it is not whole, or None.
    """

    pieces: list[str] = field(default_factory=list)
    first: float | None = None
    ending: Ending | None = None
    refusal: Refusal | None = None


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

    async def run(
        self,
        start: AttemptStart,
        attempt: Attempt,
        state: UpstreamState,
        sink: Sink,
    ) -> tuple[Received, AttemptEnd]:
        """Carry out one attempt; pieces go to the sink as they come."""
        received = Received()
        began = self._clock.now()
        self._observers.started(start)
        try:
            with self._directory.in_flight(state, start.version):
                await self._follow(attempt, received, sink)
        finally:
            # A caller that goes away cancels us here; it counts as cut.
            end = self._end(start, received, began)
            self._observers.ended(end)
        return received, end

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
                dog.touch()
                if isinstance(event, Refusal):
                    received.refusal = event
                    return
                if isinstance(event, Ending):
                    received.ending = event
                    return
                await self._take(event, received, sink)
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
    ) -> None:
        """Keep a piece and hand it on."""
        if received.first is None:
            received.first = self._clock.now()
        received.pieces.append(piece.text)
        await sink.piece(piece.text)

    def _end(
        self,
        start: AttemptStart,
        received: Received,
        began: float,
    ) -> AttemptEnd:
        """Sum an attempt up."""
        ending = received.ending
        code = ResultCode.ANSWER_CUT
        if ending is not None:
            code = ResultCode.OK
        elif received.refusal is not None:
            code = received.refusal.code
        prompt = ending.prompt_tokens if ending else 0
        output = ending.output_tokens if ending else len(received.pieces)
        first = received.first
        return AttemptEnd(
            start=start,
            code=code,
            first_token=None if first is None else first - began,
            seconds=self._clock.now() - began,
            prompt_tokens=prompt,
            output_tokens=output,
            cost=self._cost(start, prompt, output),
            text=''.join(received.pieces) if ending else '',
            cached_tokens=ending.cached_tokens if ending else 0,
        )

    def _cost(self, start: AttemptStart, prompt: int, output: int) -> float:
        """Return what an attempt cost at today's prices."""
        entry = self._configuration.entry(start.version)
        if entry is None:
            return 0
        return cost_of(entry, prompt, output)
