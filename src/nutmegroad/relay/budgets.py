"""The budget for arrivals beyond the first of each request.

The operator bounds them per service, summed over all hosts and a sliding
window. Each host keeps to the ratio on the requests that it sees itself, so
the sum keeps to it without a word between hosts; the bound's constant part
is left to what crosses between windows.
"""

from collections import deque
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import ServiceName

#: Part of the operator's ratio that hosts use at most; the rest, and the
#: bound's constant part, is for requests that windows split unlike ours.
USED_PART: Final = 0.95

#: The same for second opinions of larger models: a ninth is kept for requests
#: that would fail otherwise. Of many hosts each sees few requests in a window
#: (some 25), so chance alone takes a fifth more of them to a larger model.
ESCALATION_PART: Final = 0.85

#: The operator counts requests in a repeat's window, in the one before it, or
#: in the one half a window before, whichever has most: repeats follow on a peak
#: that is over. Of the older ones this part counts here: each host takes the
#: largest of its own, and the sum of these is larger than that of all.
OLDER_PART: Final = 0.8

#: Repeats that a host may make in a window however little it sees: with a
#: hundred hosts this is of the size of the operators' constant part.
FREE: Final = 2


@unique
class Purpose(Enum):
    """Why a request is sent once more."""

    FAILURE = 'failure'
    ESCALATION = 'escalation'


@dataclass(slots=True)
class _Window:
    """What one service got of this host.

    Attributes:
        first: Clock seconds of requests, for two windows.
        again: Clock seconds of arrivals beyond the first of a request.
    """

    first: deque[float]
    again: deque[float]

    def forget(self, now: float, span: float) -> None:
        """Drop what is too old to count."""
        for times, oldest in (
            (self.first, now - 2 * span),
            (self.again, now - span),
        ):
            while times and times[0] < oldest:
                times.popleft()

    def requests(self, now: float, span: float) -> float:
        """Return the requests that repeats are measured by."""
        latest = self._between(now - span, now)
        half = span / 2
        older = max(
            self._between(now - 2 * span, now - span),
            self._between(now - span - half, now - half),
        )
        return max(latest, older * OLDER_PART)

    def _between(self, begin: float, end: float) -> int:
        """Return how many requests came from one moment up to another."""
        return sum(begin <= moment <= end for moment in self.first)


class RepeatBudget:
    """Counts arrivals by service, and allows repeats.

    Args:
        clock: The host's clock.
        ratio: Repeats for each request that the operator allows.
        window: Seconds over which it counts.
    """

    def __init__(self, clock: Clock, ratio: float, window: float) -> None:
        self._clock = clock
        self._ratio = ratio
        self._window = window
        self._services: dict[ServiceName, _Window] = {}

    def allow(self, ratio: float, window: float) -> None:
        """Change the operator's bound."""
        self._ratio = ratio
        self._window = window

    def requested(self, service: ServiceName) -> None:
        """Count a caller's request for a service."""
        self._of(service).first.append(self._clock.now())

    def spend(self, service: ServiceName, purpose: Purpose) -> bool:
        """Take one repeat out of the budget, if there is one left."""
        window = self._of(service)
        part = USED_PART
        if purpose is Purpose.ESCALATION:
            part = ESCALATION_PART
        now = self._clock.now()
        requests = window.requests(now, self._window)
        if len(window.again) + 1 > self._ratio * part * requests + FREE:
            return False
        window.again.append(now)
        return True

    def _of(self, service: ServiceName) -> _Window:
        """Return a service's window, old entries dropped."""
        window = self._services.setdefault(
            service,
            _Window(deque(), deque()),
        )
        window.forget(self._clock.now(), self._window)
        return window
