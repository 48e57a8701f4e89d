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

#: Part of the operator's ratio that hosts use at most; the rest is for
#: requests that windows split unlike ours.
USED_PART: Final = 0.85

#: The same for second opinions of larger models: a quarter is kept for
#: requests that would fail otherwise.
ESCALATION_PART: Final = 0.65

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
        first: Clock seconds of requests.
        again: Clock seconds of arrivals beyond the first of a request.
    """

    first: deque[float]
    again: deque[float]

    def forget(self, before: float) -> None:
        """Drop what is older than the window."""
        for times in (self.first, self.again):
            while times and times[0] < before:
                times.popleft()


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
        allowed = self._ratio * part * len(window.first) + FREE
        if len(window.again) + 1 > allowed:
            return False
        window.again.append(self._clock.now())
        return True

    def _of(self, service: ServiceName) -> _Window:
        """Return a service's window, old entries dropped."""
        window = self._services.setdefault(
            service,
            _Window(deque(), deque()),
        )
        window.forget(self._clock.now() - self._window)
        return window
