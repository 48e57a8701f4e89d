"""One answer of the engine stand-in, from its draw to its last byte."""

from dataclasses import dataclass
from typing import Final

from aiohttp import web

from fakes.answers import AnswerPlan, Prompt, plan_answer
from fakes.batching import Batch, PrefixCache, Run
from fakes.chunks import (
    DONE,
    Usage,
    event_of,
    last_chunk,
    piece_chunk,
    usage_of,
)
from fakes.engine_settings import EngineSettings
from fakes.faults import FaultKind, Faults, FaultTarget
from fakes.run_records import End
from nutmegroad.foundations.clocks import Clock

#: Seconds between looks at whether a frozen stream's caller has gone.
FROZEN_PAUSE: Final = 0.05


@dataclass(frozen=True, slots=True)
class Trouble:
    """The faults that strike one answer.

    Attributes:
        slowness: Factor on all its times.
        late: Seconds for which all of it is held back.
        freezes: Nothing more is sent from its middle on.
        cuts: The stream is closed in its middle.
        crosses: From its middle on, pieces carry another attempt's id.
        repeats: How often each piece is sent.
    """

    slowness: float = 1
    late: float = 0
    freezes: bool = False
    cuts: bool = False
    crosses: bool = False
    repeats: int = 1

    @property
    def stops(self) -> bool:
        """Tell whether the answer never gets behind its middle."""
        return self.freezes or self.cuts


@dataclass(frozen=True, slots=True)
class Job:
    """An answer in the batch.

    Attributes:
        attempt: The caller's name for it.
        plan: All that is to be written.
        run: Its place in the batch.
        skip: Words that the caller has already.
        usage: What it costs.
        trouble: What goes wrong with it.
        stranger: An attempt id that is not its own.
    """

    attempt: str
    plan: AnswerPlan
    run: Run
    skip: int
    usage: Usage
    trouble: Trouble
    stranger: str

    @property
    def middle(self) -> int:
        """Return the index at which faults set in."""
        return (self.skip + self.run.total) // 2

    def events(self, start: int, stop: int) -> bytes:
        """Return the events of some words, as they go out."""
        return b''.join(
            event_of(piece_chunk(self._owner(index), index, word))
            * self.trouble.repeats
            for index, word in enumerate(self.plan.words[start:stop], start)
        )

    def ending(self) -> bytes:
        """Return the events that end the answer."""
        owner = self._owner(self.run.total)
        return event_of(last_chunk(owner, self.plan, self.usage)) + DONE

    def _owner(self, index: int) -> str:
        """Return the attempt id that a piece carries."""
        crossed = self.trouble.crosses and index >= self.middle
        return self.stranger if crossed else self.attempt


class Answering:
    """Starts answers.

    Args:
        settings: What the engine is like.
        batch: Where they run.
        cache: Prefixes that were read before.
        faults: What goes wrong.
        clock: Time.
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
        stranger: str,
    ) -> Job:
        """Draw an answer and put it into the batch."""
        attempt = attempt_of(request)
        mean = self._mean_quality(target)
        plan = plan_answer(prompt, mean, self._settings.seed, attempt)
        skip = _number(request, 'Nutmegroad-Skip')
        cached = self._cache.read(prompt.version, prompt.words)
        # What was written before has to be read again with the prompt.
        fresh = len(prompt.words) - cached + skip
        trouble = self._trouble(target)
        run = Run(
            total=len(plan.words),
            prefill=fresh / self._settings.speed.prefill_rate,
            is_abandoned=lambda: is_gone(request),
            slowness=trouble.slowness,
            written=min(skip, len(plan.words)),
        )
        self._batch.add(run, _number(request, 'Nutmegroad-Priority'))
        usage = usage_of(prompt, plan, cached)
        return Job(attempt, plan, run, run.written, usage, trouble, stranger)

    def _mean_quality(self, target: FaultTarget) -> float:
        """Return the mean quality, as far as it has fallen by now."""
        mean = self._settings.quality.mean(target.version, target.task)
        if self._faults.hit(FaultKind.BAD, target) is None:
            return mean
        fault = self._faults.find(FaultKind.BAD, target)
        if fault is None or not fault.order.seconds:
            return fault.order.quality if fault else mean
        age = self._clock.now() - fault.since
        fallen = min(1, age / fault.order.seconds)
        return mean + (fault.order.quality - mean) * fallen

    def _trouble(self, target: FaultTarget) -> Trouble:
        """Draw the faults that strike an answer."""
        slow = self._faults.hit(FaultKind.SLOW, target)
        late = self._faults.hit(FaultKind.LATE, target)
        repeated = self._faults.hit(FaultKind.DUPLICATE, target)
        return Trouble(
            slowness=max(1, slow.delay) if slow else 1,
            late=late.delay if late else 0,
            freezes=self._faults.hit(FaultKind.FREEZE, target) is not None,
            cuts=self._faults.hit(FaultKind.CUT, target) is not None,
            crosses=self._faults.hit(FaultKind.CROSS, target) is not None,
            repeats=1 if repeated is None else 2,
        )


class Delivery:
    """Sends one answer as a stream.

    Args:
        job: The answer.
        request: Who asked.
        clock: Time.
    """

    def __init__(self, job: Job, request: web.Request, clock: Clock) -> None:
        self.response = web.StreamResponse()
        self.response.content_type = 'text/event-stream'
        self._job = job
        self._request = request
        self._clock = clock

    async def send(self) -> End:
        """Send all of it, as far as its faults let it."""
        try:
            return await self._send_words()
        except ConnectionError:
            return End.CANCELLED

    async def _send_words(self) -> End:
        """Send words as they are written."""
        job = self._job
        await self._clock.sleep(job.trouble.late)
        await self.response.prepare(self._request)
        sent = job.skip
        while sent < job.run.total:
            await job.run.progress.wait()
            job.run.progress.clear()
            if job.run.is_cancelled:
                return End.CANCELLED
            written = job.run.written
            if job.trouble.stops:
                written = min(written, job.middle)
            if written > sent:
                await self.response.write(job.events(sent, written))
            sent = written
            if job.trouble.stops and sent == job.middle:
                return await self._stop()
        await self.response.write_eof(job.ending())
        return End.WHOLE

    async def _stop(self) -> End:
        """Stop in the middle: close the stream, or hold it open."""
        if not self._job.trouble.freezes:
            if self._request.transport is not None:
                self._request.transport.close()
            return End.CUT
        while not is_gone(self._request) and not self._job.run.is_cancelled:
            await self._clock.sleep(FROZEN_PAUSE)
        return End.CANCELLED


def attempt_of(request: web.Request) -> str:
    """Return the caller's name for an answer."""
    return request.headers.get('Nutmegroad-Attempt', 'unnamed')


def is_gone(request: web.Request) -> bool:
    """Tell whether a caller has closed its connection."""
    transport = request.transport
    return transport is None or transport.is_closing()


def _number(request: web.Request, header: str) -> int:
    """Return a header's number; 0 where there is none."""
    text = request.headers.get(header, '0')
    return int(text) if text.lstrip('-').isdecimal() else 0
