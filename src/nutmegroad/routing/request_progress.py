"""What a model request has come to, while the dispatcher works on it."""

from dataclasses import dataclass, field
from typing import Final

from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Ran, TaskName, UpstreamId, VersionId
from nutmegroad.records.explanations import Explanation
from nutmegroad.routing.attempts import Received, Sink

_NO_VERSION: Final = VersionId('')


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer.

    Attributes:
        version: The version that wrote it.
        text: All of it.
        finish: Why the engine stopped.
        prompt_tokens: Tokens read by that version.
        output_tokens: Tokens written by that version.
        cost: What the request cost, all attempts and steps summed.
        attempts: How many attempts were made.
    """

    version: VersionId
    text: str
    finish: str
    prompt_tokens: int
    output_tokens: int
    cost: float
    attempts: int


@dataclass(slots=True)
class Spent:
    """What a request has cost so far; it holds also if it is cancelled.

    Attributes:
        cost: Costs of all attempts and steps.
        attempts: Attempts made.
        ran: The most that may have run.
        version: The version of the last attempt.
        prompt_tokens: Tokens that it read.
        output_tokens: Tokens that it wrote.
    """

    cost: float = 0
    attempts: int = 0
    ran: Ran = Ran.NOT_RUN
    version: VersionId = _NO_VERSION
    prompt_tokens: int = 0
    output_tokens: int = 0


class KeptBack:
    """A sink that keeps an answer back: of a cascade, or not streamed."""

    def answering(self, version: VersionId) -> None:
        """Say nothing yet."""

    async def piece(self, text: str) -> None:
        """Show nothing yet."""


class CountedSink:
    """A sink that counts and times what the caller is shown.

    Args:
        inner: The caller's sink.
        task: The task class.
        clock: The host's clock.
        metrics: Where times are observed.

    Attributes:
        shown: Pieces shown.
        version: The version that wrote them.
    """

    def __init__(
        self,
        inner: Sink,
        task: TaskName,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.shown = 0
        self.version = _NO_VERSION
        self._inner = inner
        self._task = task
        self._clock = clock
        self._latency = metrics.latency
        self._began = clock.now()
        self._last = self._began

    def answering(self, version: VersionId) -> None:
        """Learn which version writes what comes next."""
        self.version = version
        self._inner.answering(version)

    async def piece(self, text: str) -> None:
        """Show a piece."""
        now = self._clock.now()
        if self.shown:
            self._latency.between_tokens(self._task, now - self._last)
        else:
            self._latency.first_token(self._task, now - self._began)
        self.shown += 1
        self._last = now
        await self._inner.piece(text)

    def finish(self) -> None:
        """Observe the time that a whole answer took."""
        self._latency.whole_time(self._task, self._clock.now() - self._began)


@dataclass(slots=True)
class Progress:
    """What a request has come to so far.

    Attributes:
        request: The request.
        explanation: Where each step is noted.
        sink: The caller's side.
        spent: What it has cost.
        seed: Draws the answer, so that another engine can go on with it.
        excluded: Upstreams that have failed it.
    """

    request: ModelRequest
    explanation: Explanation
    sink: CountedSink
    spent: Spent
    seed: int
    excluded: frozenset[UpstreamId] = field(default_factory=frozenset)

    def note(self, part: str, text: str) -> None:
        """Add a step to the explanation."""
        self.explanation.note(part, text)


def why(received: Received) -> Refusal:
    """Return why an attempt failed."""
    # A refusal is false, so ``or`` would pass over it.
    if received.refusal is not None:
        return received.refusal
    return Refusal(
        ResultCode.ANSWER_CUT,
        'The answer ended without its terminal mark.',
        Ran.UNKNOWN,
    )
