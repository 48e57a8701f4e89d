"""Judges the requests of a search by the operators' rule on limits."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from experiments.fleet_soak.limit_rule import (
    CONTACT,
    TOLERATED_EXCESS,
    TOLERATED_RATIO,
    WINDOW,
)

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
