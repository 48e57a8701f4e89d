"""State of a model request while the dispatcher handles it."""

from dataclasses import dataclass, field
from typing import Final

from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import Ran, TaskName, UpstreamId, VersionId
from nutmegroad.records.explanations import Explanation
from nutmegroad.routing.attempts import Received, Sink
from nutmegroad.routing.attributes import (
    AttributedRequest,
    attribute_model_request,
)

_NO_VERSION: Final = VersionId('')


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer.

    Attributes:
        version: The version that wrote it.
        text: The full text.
        finish: Why the engine stopped.
        prompt_tokens: Prompt tokens read by that version.
        output_tokens: Tokens written by that version.
        cost: Cost of the request, over all attempts and steps.
        attempts: Number of attempts made.
    """

    version: VersionId
    text: str
    finish: str
    prompt_tokens: int
    output_tokens: int
    cost: float
    attempts: int


@dataclass(slots=True)
class RequestUsage:
    """What a request has used so far; also valid after its cancellation.

    Attributes:
        cost: Cost of all attempts and steps.
        attempts: Attempts made.
        ran: Whether any attempt was or may have been executed.
        version: The version of the last attempt.
        prompt_tokens: Prompt tokens read in the last attempt.
        output_tokens: Tokens written in the last attempt.
    """

    cost: float = 0
    attempts: int = 0
    ran: Ran = Ran.NOT_RUN
    version: VersionId = _NO_VERSION
    prompt_tokens: int = 0
    output_tokens: int = 0


class NullSink:
    """Discards the pieces of an answer that its caller does not get streamed.

    The caller may get the complete text afterwards.
    """

    def begin_version(self, version: VersionId) -> None:
        """Ignore the version."""

    async def write(self, text: str) -> None:
        """Discard the piece; the attempt stores the text."""


class MeteredSink:
    """A sink that counts and times what the caller receives.

    Args:
        inner: The caller's sink.
        task: The task class.
        clock: The host's clock.
        metrics: Records the times.

    Attributes:
        pieces_written: Number of pieces written to the caller.
        version: The version that wrote them.
    """

    def __init__(
        self,
        inner: Sink,
        task: TaskName,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.pieces_written = 0
        self.version = _NO_VERSION
        self._inner = inner
        self._task = task
        self._clock = clock
        self._latency = metrics.latency
        self._started_at = clock.now()
        self._last_piece_at = self._started_at

    def begin_version(self, version: VersionId) -> None:
        """Record which version writes the pieces that follow."""
        self.version = version
        self._inner.begin_version(version)

    async def write(self, text: str) -> None:
        """Write a piece, recording its latency."""
        now = self._clock.now()
        if self.pieces_written:
            self._latency.observe_between_tokens(
                self._task, now - self._last_piece_at
            )
        else:
            self._latency.observe_first_token(
                self._task, now - self._started_at
            )
        self.pieces_written += 1
        self._last_piece_at = now
        await self._inner.write(text)

    def finish(self) -> None:
        """Record the time that the complete answer took."""
        self._latency.observe_whole_time(
            self._task, self._clock.now() - self._started_at
        )


@dataclass(slots=True)
class RequestProgress:
    """The state of a request in progress.

    Attributes:
        request: The request.
        explanation: Records each step of the decision.
        sink: The sink of the caller.
        usage: Resources used so far.
        seed: Sampling seed, the same for all attempts, so that another
            engine can continue the answer.
        excluded: Upstreams on which the request has failed.
    """

    request: ModelRequest
    explanation: Explanation
    sink: MeteredSink
    usage: RequestUsage
    seed: int
    excluded: frozenset[UpstreamId] = field(default_factory=frozenset)
    _attributed: AttributedRequest | None = field(default=None, init=False)

    @property
    def attributed(self) -> AttributedRequest:
        """The request with the attributes that a crash may be due to.

        Digests of the prompt are made for the first attempt, and so not for
        requests that are not admitted.
        """
        if self._attributed is None:
            self._attributed = attribute_model_request(self.request)
        return self._attributed

    def note(self, part: str, text: str) -> None:
        """Add a step to the explanation."""
        self.explanation.note(part, text)


def failure_of(received: Received) -> Refusal:
    """Return the refusal of a failed attempt."""
    # A refusal is falsy, so ``or`` would skip it.
    if received.refusal is not None:
        return received.refusal
    return Refusal(
        ResultCode.ANSWER_CUT,
        'The answer stream ended without an end marker.',
        Ran.UNKNOWN,
    )
