"""Permits to run a request: counts issued ones, grants free ones.

A request holds a permit while it runs. Queued requests wait for one.
"""

from collections.abc import Iterator
from contextlib import contextmanager

from nutmegroad.foundations.clocks import Clock
from nutmegroad.routing._demand import Demand
from nutmegroad.routing._fair_queue import FairQueue, Lane, QueuedRequest
from nutmegroad.routing._slots import HostSlots


class Permits:
    """Counts issued permits and grants free ones to queued requests.

    Args:
        slots: Limits of the number of requests that may run concurrently.
        queue: The queued requests.
        demand: Notified of the start and end of each request.
        clock: The host's clock.
    """

    def __init__(
        self,
        slots: HostSlots,
        queue: FairQueue,
        demand: Demand,
        clock: Clock,
    ) -> None:
        self.running = 0
        self._slots = slots
        self._queue = queue
        self._demand = demand
        self._clock = clock
        self._lanes: dict[Lane, int] = {}

    @property
    def limit(self) -> int:
        """Return the maximum number of issued permits."""
        return self._slots.limit(self.running)

    def has_room(self, lane: Lane) -> bool:
        """Return whether a request of a lane could run now."""
        return self.running < self.limit and self._lane_has_room(lane)

    def issue(self, waiting: QueuedRequest) -> None:
        """Issue a permit."""
        waiting.granted_at = self._clock.now()
        self.running += 1
        self._lanes[waiting.lane] = self._lanes.get(waiting.lane, 0) + 1
        self._demand.started(waiting.request.workspace)

    def release(self, waiting: QueuedRequest) -> None:
        """Return a permit, and grant free permits to queued requests."""
        self.running -= 1
        self._lanes[waiting.lane] -= 1
        if not self._lanes[waiting.lane]:
            self._lanes.pop(waiting.lane)
        workspace = waiting.request.workspace
        self._demand.ended(workspace)
        held = self._clock.now() - waiting.granted_at
        self._queue.tags.correct(workspace, held - waiting.cost)
        self.grant_waiting()

    def grant_waiting(self) -> None:
        """Grant all free permits; called when limits may have increased."""
        while self.running < self.limit:
            waiting = self._queue.pop(self._lane_has_room)
            if waiting is None:
                return
            # A request whose caller has just disconnected gets no permit.
            if not waiting.outcome.done():
                self.issue(waiting)
                waiting.outcome.set_result(None)

    @contextmanager
    def held(self, waiting: QueuedRequest) -> Iterator[None]:
        """Hold an issued permit for the duration of the context."""
        try:
            yield
        finally:
            self.release(waiting)

    def _lane_has_room(self, lane: Lane) -> bool:
        """Return whether a lane has a free slot."""
        limit = self._slots.lane_limit(lane, self.running)
        return self._lanes.get(lane, 0) < limit
