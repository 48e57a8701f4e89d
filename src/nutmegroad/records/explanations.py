"""What happened to a request and why, step by step."""

from collections import OrderedDict
from typing import Final

from msgspec import Struct

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import RequestId

#: Requests whose explanations a host keeps, the newest.
KEPT: Final = 20_000


class Step(Struct, frozen=True):
    """One step of a request.

    Attributes:
        at: Wall-clock seconds.
        part: The part that took it, such as ``planner``.
        text: What it did and why, in one sentence.
    """

    at: float
    part: str
    text: str


class Explanation:
    """The steps of one request, as they come.

    Args:
        request: Its id.
        clock: Tells when each step was.
    """

    def __init__(self, request: RequestId, clock: Clock) -> None:
        self.request = request
        self.steps: list[Step] = []
        self._clock = clock

    def note(self, part: str, text: str) -> None:
        """Add a step."""
        self.steps.append(Step(self._clock.wall(), part, text))


class Explanations:
    """The newest explanations of this host.

    Args:
        clock: Tells when steps were.
        kept: How many requests are kept.
    """

    def __init__(self, clock: Clock, kept: int = KEPT) -> None:
        self._clock = clock
        self._kept = kept
        self._known: OrderedDict[RequestId, Explanation] = OrderedDict()

    def begin(self, request: RequestId) -> Explanation:
        """Return a new explanation, and forget the oldest if need be."""
        explanation = Explanation(request, self._clock)
        self._known[request] = explanation
        if len(self._known) > self._kept:
            self._known.popitem(last=False)
        return explanation

    def find(self, request: RequestId) -> Explanation | None:
        """Return a request's explanation, or None if it is not here."""
        return self._known.get(request)
