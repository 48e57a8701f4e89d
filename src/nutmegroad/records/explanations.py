"""In-memory explanations of requests: each processing step with its reason."""

from collections import OrderedDict
from typing import Final

from msgspec import Struct

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import RequestId

#: Number of most recent requests whose explanations a host retains.
MAX_EXPLANATIONS: Final = 20_000


class Step(Struct, frozen=True):
    """One processing step of a request.

    Attributes:
        at: Wall-clock time of the step, in seconds.
        part: The part that took the step, such as ``planner``.
        text: What the part did and why, in one sentence.
    """

    at: float
    part: str
    text: str


class Explanation:
    """The processing steps of one request, in order.

    Args:
        request: Id of the request.
        clock: Supplies the time of each step.
    """

    def __init__(self, request: RequestId, clock: Clock) -> None:
        self.request = request
        self.steps: list[Step] = []
        self._clock = clock

    def note(self, part: str, text: str) -> None:
        """Append a step with the current wall-clock time."""
        self.steps.append(Step(self._clock.wall(), part, text))


class Explanations:
    """The most recent explanations of this host.

    Args:
        clock: Supplies the times of steps.
        max_requests: Number of requests whose explanations are retained.
    """

    def __init__(
        self, clock: Clock, max_requests: int = MAX_EXPLANATIONS
    ) -> None:
        self._clock = clock
        self._max_requests = max_requests
        self._known: OrderedDict[RequestId, Explanation] = OrderedDict()

    def begin(self, request: RequestId) -> Explanation:
        """Return a new explanation; evict the oldest one if full."""
        explanation = Explanation(request, self._clock)
        self._known[request] = explanation
        if len(self._known) > self._max_requests:
            self._known.popitem(last=False)
        return explanation

    def find(self, request: RequestId) -> Explanation | None:
        """Return the explanation of a request, or None if not retained."""
        return self._known.get(request)
