"""Whom to refuse where too many wait, and when to tell it to come back."""

import random
from typing import Final

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.routing._demand import Demand
from nutmegroad.routing._fair_queue import FairQueue, Waiting

#: Requests that may wait for each slot while no preset says so.
_QUEUE_LIMIT: Final = 0.5

#: How far beyond the bound a workspace may wait that has had less than its
#: share lately; a flood of others is no reason to refuse it.
_BEHIND: Final = 4

#: How much more another workspace must have and want for one of its requests
#: to be pushed out; between equals the newcomer is refused, which is at once.
_CLEARLY: Final = 1.5

#: Callers are told to come back after so many times the backlog, so that
#: they do not come back together.
_SPREAD: Final = (1, 2)
_SOONEST: Final = 0.2
_LATEST: Final = 60.0

#: Seconds after a refusal for which the host counts as shedding.
_SHEDDING: Final = 3.0


class LoadShedder:
    """Bounds a queue.

    Args:
        queue: The queue.
        configuration: Knows the queue's bound.
        demand: Told of what is refused.
        clock: The host's clock.
        randomness: Spreads when callers come back.
    """

    def __init__(
        self,
        queue: FairQueue,
        configuration: Configuration,
        demand: Demand,
        clock: Clock,
        randomness: random.Random,
    ) -> None:
        self._queue = queue
        self._configuration = configuration
        self._demand = demand
        self._clock = clock
        self._randomness = randomness
        self._shed = float('-inf')

    @property
    def shedding(self) -> bool:
        """Tell whether anything was refused lately."""
        return self._clock.now() - self._shed < _SHEDDING

    def to_refuse(self, waiting: Waiting, limit: int) -> Waiting | None:
        """Return whom to refuse so that a request may wait.

        Args:
            waiting: The request that comes.
            limit: Requests that may run at once.

        Returns:
            One that waits, the request itself, or None if there is room.
        """
        bound = max(1, self._per_slot() * limit)
        workspace = waiting.request.workspace
        if self._queue.is_behind(workspace):
            bound *= _BEHIND
        if len(self._queue) < bound:
            return None
        excess = self._queue.excess(workspace, waiting.cost)
        largest = self._queue.largest()
        if largest is None or self._queue.excess(largest) < excess * _CLEARLY:
            largest = workspace
        crowd = list(self._queue.of_workspace(largest))
        if largest == workspace:
            crowd.append(waiting)
        return max(crowd, key=_cheapness)

    def refuse_crowded(self, waiting: Waiting, limit: int) -> Refusal:
        """Refuse for lack of room."""
        workspace = waiting.request.workspace
        if len(self._queue.counts) > 1:
            return self.refuse(
                waiting,
                limit,
                ResultCode.SHARE_EXCEEDED,
                f'The workspace {workspace!r} has used its share of '
                f'{limit} slots, and others wait.',
            )
        return self.refuse(
            waiting,
            limit,
            ResultCode.OVERLOADED,
            f'{len(self._queue)} requests wait for {limit} slots.',
        )

    def refuse(
        self,
        waiting: Waiting,
        limit: int,
        code: ResultCode,
        reason: str,
    ) -> Refusal:
        """Refuse, with when to come back by the real backlog."""
        self._shed = self._clock.now()
        workspace = waiting.request.workspace
        self._demand.refused(workspace, waiting.cost)
        backlog = self._queue.wait(workspace, limit)
        spread = self._randomness.uniform(*_SPREAD)
        after = min(_LATEST, max(_SOONEST, backlog) * spread)
        return Refusal(code, reason, retry_after=after)

    def _per_slot(self) -> float:
        """Return how many requests may wait for each slot."""
        accepted = self._configuration.accepted
        if accepted is None:
            return _QUEUE_LIMIT
        return accepted.preset_entry.queue_limit


def _cheapness(waiting: Waiting) -> tuple[bool, int, int]:
    """Order by how little it costs to refuse a request now."""
    request = waiting.request
    cheap = request.repeatable and request.session is None
    return cheap, request.priority, waiting.order
