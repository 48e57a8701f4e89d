"""The budget for repeats: arrivals of a request at upstreams after the first.

The operator limits repeats per service, summed over all hosts and a sliding
window: a ratio to the requests plus a constant. Each host applies the ratio to
the requests that it receives itself, so the sum stays within the limit without
communication between hosts. The constant part is left for requests that extend
from one window into the next.
"""

from collections import deque
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import ServiceName

#: Fraction of the operator's ratio that hosts use at most. The rest, with the
#: constant part of the limit, is for requests that the operator's windows
#: divide differently from the host's.
USED_FRACTION: Final = 0.95

#: Fraction of the operator's ratio that escalations may use: a ninth of the
#: budget is reserved for requests that would fail otherwise. In a large fleet
#: each host receives few requests in a window (about 25), so the number of them
#: that escalate may by chance be a fifth above the average.
ESCALATION_FRACTION: Final = 0.85

#: Weight of requests in older windows. The operator compares repeats with the
#: requests in the same window, the one before it or the one half a window
#: before, whichever has most, since repeats may follow after the end of a peak.
#: Each host takes the largest of its own windows, and the sum of these is
#: larger than the largest sum over all hosts, so older requests count less
#: here.
OLDER_WEIGHT: Final = 0.8

#: Repeats that a host may make in a window regardless of its requests. With a
#: hundred hosts the sum is about the constant part of the operators' limit.
FREE_REPEATS: Final = 2


@unique
class Purpose(Enum):
    """Why a request is repeated."""

    FAILURE = 'failure'
    ESCALATION = 'escalation'


@dataclass(frozen=True, slots=True)
class BudgetUsage:
    """What a host knows of one service's budget.

    Attributes:
        requests: Requests that the ratio is applied to.
        repeats: Repeats in the window.
        since: Clock seconds of the oldest request that is counted; None if
            there is none.
    """

    requests: float
    repeats: int
    since: float | None


@dataclass(slots=True)
class _Window:
    """Times of a service's recent requests and repeats at this host.

    Attributes:
        request_times: Clock seconds of requests, for two windows.
        repeat_times: Clock seconds of repeats, for one window.
    """

    request_times: deque[float]
    repeat_times: deque[float]

    def remove_expired(self, now: float, span: float) -> None:
        """Remove entries that are too old to count.

        Args:
            now: Clock seconds.
            span: Length of the window in seconds.
        """
        for times, oldest in (
            (self.request_times, now - 2 * span),
            (self.repeat_times, now - span),
        ):
            while times and times[0] < oldest:
                times.popleft()

    def requests(self, now: float, span: float) -> float:
        """Return the number of requests that the ratio is applied to."""
        latest = self._between(now - span, now)
        half = span / 2
        older = max(
            self._between(now - 2 * span, now - span),
            self._between(now - span - half, now - half),
        )
        return max(latest, older * OLDER_WEIGHT)

    def _between(self, begin: float, end: float) -> int:
        """Return how many requests arrived between two clock times."""
        return sum(begin <= time <= end for time in self.request_times)


class RepeatBudget:
    """Counts requests by service, and permits repeats.

    Args:
        clock: The host's clock.
        ratio: Maximum number of repeats per request that the operator allows.
        window: Seconds over which the operator counts.
    """

    def __init__(self, clock: Clock, ratio: float, window: float) -> None:
        self._clock = clock
        self._ratio = ratio
        self._window = window
        self._services: dict[ServiceName, _Window] = {}

    def set_limit(self, ratio: float, window: float) -> None:
        """Change the operator's limit.

        Args:
            ratio: Maximum number of repeats per request.
            window: Seconds over which the operator counts.
        """
        self._ratio = ratio
        self._window = window

    def count_request(self, service: ServiceName) -> None:
        """Count a caller's request for a service."""
        self._window_of(service).request_times.append(self._clock.now())

    def spend(self, service: ServiceName, purpose: Purpose) -> bool:
        """Take one repeat from the budget; return whether one was left."""
        window = self._window_of(service)
        fraction = USED_FRACTION
        if purpose is Purpose.ESCALATION:
            fraction = ESCALATION_FRACTION
        now = self._clock.now()
        requests = window.requests(now, self._window)
        if (
            len(window.repeat_times) + 1
            > self._ratio * fraction * requests + FREE_REPEATS
        ):
            return False
        window.repeat_times.append(now)
        return True

    def usage(self, service: ServiceName) -> BudgetUsage:
        """Return what is counted of a service's requests and repeats."""
        window = self._window_of(service)
        times = window.request_times
        return BudgetUsage(
            window.requests(self._clock.now(), self._window),
            len(window.repeat_times),
            times[0] if times else None,
        )

    def _window_of(self, service: ServiceName) -> _Window:
        """Return a service's window after removing old entries."""
        window = self._services.setdefault(
            service,
            _Window(deque(), deque()),
        )
        window.remove_expired(self._clock.now(), self._window)
        return window
