"""The operators' rule on the requests that a limited upstream may get."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

#: Seconds of the windows in which requests are counted.
WINDOW = 4.0

#: Factor by which a window may exceed the limit, and requests beyond that.
TOLERATED_RATIO = 1.5
TOLERATED_EXCESS = 5

#: Seconds from the first answer that names a limit until requests count.
CONTACT = 3.0

#: Seconds after which a host that was told has to act on it.
REACTION = 0.5

#: Step in seconds by which a changing limit is added up.
STEP = 0.05


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a limited upstream.

    Attributes:
        time: When it arrived.
        told_at: When an answer first told its host the limit; None if none
            has.
        disturbed_at: When its host was last cut off, killed or reached again;
            infinite while it is cut off.
    """

    time: float
    told_at: float | None
    disturbed_at: float = float('-inf')

    @property
    def counts(self) -> bool:
        """Whether the rule counts it."""
        if self.told_at is None or self.time < self.told_at + REACTION:
            return False
        return self.time >= self.disturbed_at + CONTACT


def allowed_requests(limit: float) -> float:
    """Return how many requests may arrive in a window.

    Args:
        limit: Requests in a second that the upstream takes.
    """
    return TOLERATED_RATIO * WINDOW * limit + TOLERATED_EXCESS


def most_requests(times: Sequence[float]) -> int:
    """Return the most requests in a window.

    Args:
        times: When each request arrived, in seconds and in order.
    """
    most = 0
    first = 0
    for last, time in enumerate(times):
        while times[first] <= time - WINDOW:
            first += 1
        most = max(most, last + 1 - first)
    return most


def smallest_margin(
    arrivals: Iterable[Arrival],
    limit_at: Callable[[float], float | None],
    first_named: float,
) -> float:
    """Return by how many requests the nearest window is within the rule.

    Only windows in which the upstream names a limit all the time are judged.

    Args:
        arrivals: The requests, in order.
        limit_at: Returns the limit at a time; None if there is none.
        first_named: When it first named a limit.
    """
    times = [each.time for each in arrivals if each.counts]
    margin = float('inf')
    for number, start in enumerate(times):
        if start < first_named + CONTACT:
            continue
        steps = range(round(WINDOW / STEP))
        limits = [limit_at(start + step * STEP) for step in steps]
        if None in limits:
            continue
        named = sum(limit for limit in limits if limit is not None) * STEP
        count = sum(time < start + WINDOW for time in times[number:])
        margin = min(margin, TOLERATED_RATIO * named + TOLERATED_EXCESS - count)
    return margin
