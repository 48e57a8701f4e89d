"""Completions of the engine stand-in: generation, streaming and faults."""

from dataclasses import dataclass
from typing import Final

from aiohttp import web

from fakes.answers import AnswerPlan, Prompt, plan_answer
from fakes.batching import Batch, PrefixCache, Run
from fakes.chunks import (
    DONE,
    Usage,
    encode_event,
    final_chunk,
    make_usage,
    word_chunk,
)
from fakes.engine_settings import EngineSettings
from fakes.faults import FaultKind, Faults, FaultTarget
from fakes.run_records import RunState
from nutmegroad.foundations.clocks import Clock

#: Interval in seconds at which a frozen stream checks for a disconnect.
DISCONNECT_CHECK_INTERVAL: Final = 0.05


@dataclass(frozen=True, slots=True)
class InjectedFaults:
    """Faults that affect one completion.

    Attributes:
        slowdown: Factor by which generation is slowed down.
        start_delay: Seconds by which the start of the stream is delayed.
        freezes: Whether the stream stays open but sends nothing after its
            midpoint.
        cuts: Whether the stream is closed at its midpoint.
        mixes_ids: Whether chunks from the midpoint on carry another attempt's
            id.
        copies: Number of times that each chunk is sent.
    """

    slowdown: float = 1
    start_delay: float = 0
    freezes: bool = False
    cuts: bool = False
    mixes_ids: bool = False
    copies: int = 1

    @property
    def stops(self) -> bool:
        """Whether the stream sends nothing after its midpoint."""
        return self.freezes or self.cuts


@dataclass(frozen=True, slots=True)
class Completion:
    """A completion in progress.

    Attributes:
        attempt: Attempt id that the caller has given.
        plan: The complete answer.
        run: Progress in the batch.
        skip: Number of words at the start that the caller already has.
        usage: Token usage of the complete answer.
        faults: Faults that affect it.
        foreign_id: Another attempt's id, for chunks with a wrong id.
    """

    attempt: str
    plan: AnswerPlan
    run: Run
    skip: int
    usage: Usage
    faults: InjectedFaults
    foreign_id: str

    @property
    def midpoint(self) -> int:
        """Index of the word at which faults take effect."""
        return (self.skip + self.run.total) // 2

    def events(self, start: int, stop: int) -> bytes:
        """Return the encoded events of the words from start to stop."""
        return b''.join(
            encode_event(word_chunk(self._id_at(index), index, word))
            * self.faults.copies
            for index, word in enumerate(self.plan.words[start:stop], start)
        )

    def final_events(self) -> bytes:
        """Return the encoded events that end the stream."""
        attempt = self._id_at(self.run.total)
        return encode_event(final_chunk(attempt, self.plan, self.usage)) + DONE

    def _id_at(self, index: int) -> str:
        """Return the attempt id for the chunk at an index."""
        is_foreign = self.faults.mixes_ids and index >= self.midpoint
        return self.foreign_id if is_foreign else self.attempt


class CompletionStarter:
    """Starts completions.

    Args:
        settings: Settings of the engine.
        batch: Batch that completions run in.
        cache: Cache of prompt prefixes.
        faults: Active faults.
        clock: Source of times.
    """

    def __init__(
        self,
        settings: EngineSettings,
        batch: Batch,
        cache: PrefixCache,
        faults: Faults,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._batch = batch
        self._cache = cache
        self._faults = faults
        self._clock = clock

    def start(
        self,
        request: web.Request,
        prompt: Prompt,
        target: FaultTarget,
        foreign_id: str,
    ) -> Completion:
        """Generate an answer and add it to the batch.

        Args:
            request: HTTP request of the caller.
            prompt: Content of the request.
            target: Fault target of the request.
            foreign_id: Another attempt's id.
        """
        attempt = attempt_id(request)
        mean = self._mean_quality(target)
        plan = plan_answer(prompt, mean, self._settings.seed, attempt)
        skip = _int_header(request, 'Nutmegroad-Skip')
        cached = self._cache.read(prompt.version, prompt.words)
        # Words generated before a resume are processed again with the prompt.
        uncached = len(prompt.words) - cached + skip
        faults = self._draw_faults(target)
        run = Run(
            total=len(plan.words),
            prefill=uncached / self._settings.speed.prefill_rate,
            is_abandoned=lambda: is_disconnected(request),
            slowdown=faults.slowdown,
            written=min(skip, len(plan.words)),
        )
        self._batch.add(run, _int_header(request, 'Nutmegroad-Priority'))
        usage = make_usage(prompt, plan, cached)
        return Completion(
            attempt, plan, run, run.written, usage, faults, foreign_id
        )

    def _mean_quality(self, target: FaultTarget) -> float:
        """Return the mean quality, including the effect of a ``bad`` fault."""
        mean = self._settings.quality.mean(target.version, target.task)
        if self._faults.hit(FaultKind.BAD, target) is None:
            return mean
        fault = self._faults.find(FaultKind.BAD, target)
        if fault is None or not fault.spec.seconds:
            return fault.spec.quality if fault else mean
        age = self._clock.now() - fault.since
        progress = min(1, age / fault.spec.seconds)
        return mean + (fault.spec.quality - mean) * progress

    def _draw_faults(self, target: FaultTarget) -> InjectedFaults:
        """Draw the faults that affect a completion."""
        slow = self._faults.hit(FaultKind.SLOW, target)
        late = self._faults.hit(FaultKind.LATE, target)
        repeated = self._faults.hit(FaultKind.DUPLICATE, target)
        return InjectedFaults(
            slowdown=max(1, slow.delay) if slow else 1,
            start_delay=late.delay if late else 0,
            freezes=self._faults.hit(FaultKind.FREEZE, target) is not None,
            cuts=self._faults.hit(FaultKind.CUT, target) is not None,
            mixes_ids=self._faults.hit(FaultKind.CROSS, target) is not None,
            copies=1 if repeated is None else 2,
        )


class CompletionStream:
    """Sends one completion as server-sent events.

    Args:
        completion: The completion.
        request: HTTP request of the caller.
        clock: Source of times.

    Attributes:
        response: The streamed HTTP response.
    """

    def __init__(
        self, completion: Completion, request: web.Request, clock: Clock
    ) -> None:
        self.response = web.StreamResponse()
        self.response.content_type = 'text/event-stream'
        self._completion = completion
        self._request = request
        self._clock = clock

    async def send(self) -> RunState:
        """Send the stream, subject to its faults, and return how it ended."""
        try:
            return await self._stream_words()
        except ConnectionError:
            return RunState.CANCELLED

    async def _stream_words(self) -> RunState:
        """Send words as they are generated, then the final events."""
        completion = self._completion
        await self._clock.sleep(completion.faults.start_delay)
        await self.response.prepare(self._request)
        sent = completion.skip
        while sent < completion.run.total:
            await completion.run.progress.wait()
            completion.run.progress.clear()
            if completion.run.is_cancelled:
                return RunState.CANCELLED
            written = completion.run.written
            if completion.faults.stops:
                written = min(written, completion.midpoint)
            if written > sent:
                await self.response.write(completion.events(sent, written))
            sent = written
            if completion.faults.stops and sent == completion.midpoint:
                return await self._stop_at_midpoint()
        await self.response.write_eof(completion.final_events())
        return RunState.COMPLETE

    async def _stop_at_midpoint(self) -> RunState:
        """Stop at the midpoint: close the stream, or keep it open silently."""
        if not self._completion.faults.freezes:
            if self._request.transport is not None:
                self._request.transport.close()
            return RunState.CUT
        while (
            not is_disconnected(self._request)
            and not self._completion.run.is_cancelled
        ):
            await self._clock.sleep(DISCONNECT_CHECK_INTERVAL)
        return RunState.CANCELLED


def attempt_id(request: web.Request) -> str:
    """Return the attempt id of a request."""
    return request.headers.get('Nutmegroad-Attempt', 'unnamed')


def is_disconnected(request: web.Request) -> bool:
    """Return whether the caller has closed its connection."""
    transport = request.transport
    return transport is None or transport.is_closing()


def _int_header(request: web.Request, header: str) -> int:
    """Return the integer in a header; 0 if it is missing or invalid."""
    text = request.headers.get(header, '0')
    return int(text) if text.lstrip('-').isdecimal() else 0
