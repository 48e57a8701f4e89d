"""Load shedding: which request to refuse when the queue is full."""

import random
from typing import Final

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.routing._demand import Demand
from nutmegroad.routing._fair_queue import FairQueue, QueuedRequest

#: Queued requests per slot if no preset sets a limit.
_QUEUE_LIMIT: Final = 0.5

#: Factor by which the queue limit is raised for a workspace that has recently
#: had less than its quota share, so that it is not refused because of a flood
#: of other workspaces' requests.
_BEHIND_FACTOR: Final = 4

#: Factor by which another workspace's lead over its share must exceed the
#: that of the arriving request's workspace before one of its queued requests is
#: evicted. Between equals the arriving request is refused, because its caller
#: then has an answer without any wait.
_EVICTION_MARGIN: Final = 1.5

#: Range of the factor by which the backlog is multiplied in the retry time
#: given to refused callers, so that they do not retry at the same time.
_RETRY_SPREAD: Final = (1, 2)
#: Minimum and maximum retry time in seconds given to refused callers.
_MIN_RETRY_AFTER: Final = 0.2
_MAX_RETRY_AFTER: Final = 60.0

#: Seconds after a refusal during which the host counts as shedding load.
_SHEDDING_PERIOD: Final = 3.0


class LoadShedder:
    """Enforces the queue limit.

    Args:
        queue: The queue.
        configuration: Configuration with the queue limit.
        demand: Notified of refused work.
        clock: The host's clock.
        randomness: Jitter of retry times.
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
        self._last_refusal = float('-inf')

    @property
    def shedding(self) -> bool:
        """Whether any request was refused recently."""
        return self._clock.now() - self._last_refusal < _SHEDDING_PERIOD

    def to_refuse(
        self, waiting: QueuedRequest, slots: float
    ) -> QueuedRequest | None:
        """Return the request to refuse so that another may be queued.

        Args:
            waiting: The arriving request.
            slots: Slots that queued requests can get.

        Returns:
            A queued request, the arriving request itself, or None if the queue
            is not full.
        """
        bound = max(1, self._per_slot() * slots)
        workspace = waiting.request.workspace
        if self._queue.is_behind(workspace):
            bound *= _BEHIND_FACTOR
        if len(self._queue) < bound:
            return None
        excess = self._queue.excess(workspace, waiting.cost)
        largest = self._queue.largest()
        if (
            largest is None
            or self._queue.excess(largest) < excess * _EVICTION_MARGIN
        ):
            largest = workspace
        candidates = list(self._queue.of_workspace(largest))
        if largest == workspace:
            candidates.append(waiting)
        return max(candidates, key=_refusal_order)

    def refuse_queue_full(self, waiting: QueuedRequest, limit: int) -> Refusal:
        """Refuse a request because the queue is full."""
        workspace = waiting.request.workspace
        if len(self._queue.counts) > 1:
            return self.refuse(
                waiting,
                limit,
                ResultCode.SHARE_EXCEEDED,
                f'Workspace {workspace!r} has used its quota share of {limit} '
                f'slots, and other workspaces are waiting.',
            )
        return self.refuse(
            waiting,
            limit,
            ResultCode.OVERLOADED,
            f'{len(self._queue)} requests are queued for {limit} slots.',
        )

    def refuse(
        self,
        waiting: QueuedRequest,
        limit: int,
        code: ResultCode,
        reason: str,
    ) -> Refusal:
        """Refuse a request, with a retry time based on the actual backlog."""
        self._last_refusal = self._clock.now()
        workspace = waiting.request.workspace
        self._demand.refused(workspace, waiting.cost)
        backlog = self._queue.max_wait(workspace, limit)
        spread = self._randomness.uniform(*_RETRY_SPREAD)
        after = min(_MAX_RETRY_AFTER, max(_MIN_RETRY_AFTER, backlog) * spread)
        return Refusal(code, reason, retry_after=after)

    def _per_slot(self) -> float:
        """Return the maximum number of queued requests per slot."""
        accepted = self._configuration.accepted
        if accepted is None:
            return _QUEUE_LIMIT
        return accepted.preset_entry.queue_limit


def _refusal_order(waiting: QueuedRequest) -> tuple[bool, int, int]:
    """Return a sort key that is largest for the request cheapest to refuse."""
    request = waiting.request
    cheap = request.repeatable and request.session is None
    return cheap, request.priority, waiting.arrival
