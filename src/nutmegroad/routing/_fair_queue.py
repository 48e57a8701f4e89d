"""Queue of requests waiting for a slot, in start-time fair queueing order.

Each workspace has a finish tag in virtual time, which advances with the
slot-seconds granted. The workspace with the earliest start tag goes next. A
workspace that requests more than its quota share falls behind; one that
requests less does not accumulate credit.
"""

import asyncio
import sys
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Final

from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.foundations.results import Refusal
from nutmegroad.foundations.types import VersionId, WorkspaceId

#: The set of versions that may answer a request. Requests with the same set
#: compete for the same slots.
Lane = frozenset[VersionId]

#: Number of finish tags beyond which those in the past are dropped.
_MAX_TAGS: Final = 4096


@dataclass(eq=False, slots=True)
class QueuedRequest:
    """A queued request.

    Attributes:
        request: The request.
        lane: Versions that may answer it, which determine the slots it can use.
        cost: Slot-seconds that it is expected to take.
        outcome: Set to None when it gets a slot, or to a refusal.
        arrival: Its number in order of arrival; the maximum until it is queued.
        removed: Whether it has been removed from the queue.
        granted_at: Clock seconds at which it got its slot.
    """

    request: ModelRequest
    lane: Lane
    cost: float
    outcome: asyncio.Future[Refusal | None]
    arrival: int = sys.maxsize
    removed: bool = False
    granted_at: float = 0


@dataclass(eq=False, slots=True)
class _Flow:
    """The queued requests of one workspace in one lane."""

    heap: list[tuple[int, float, int, QueuedRequest]] = field(
        default_factory=list
    )

    def head(self) -> QueuedRequest | None:
        """Return the next request, or None if the flow is empty."""
        while self.heap and self.heap[0][-1].removed:
            heappop(self.heap)
        return self.heap[0][-1] if self.heap else None


class FinishTags:
    """Finish tags of the workspaces in virtual time.

    Args:
        weight: Returns a workspace's weight.
    """

    def __init__(self, weight: Callable[[WorkspaceId], float]) -> None:
        self._weight = weight
        self._finish: dict[WorkspaceId, float] = {}
        self._virtual: float = 0

    def start(self, workspace: WorkspaceId) -> float:
        """Return the start tag of a workspace's next request."""
        return max(self._virtual, self._finish.get(workspace, 0))

    def lead(self, workspace: WorkspaceId) -> float:
        """Return how far a workspace's start tag is ahead of virtual time.

        This is the service it has received beyond its quota share.
        """
        return self.start(workspace) - self._virtual

    def charge(self, workspace: WorkspaceId, cost: float) -> None:
        """Charge a workspace for granted slot-seconds."""
        start = self.start(workspace)
        self._finish[workspace] = start + cost / self._weight(workspace)
        self._virtual = start
        if len(self._finish) > _MAX_TAGS:
            self._finish = {
                one: tag
                for one, tag in self._finish.items()
                if tag > self._virtual
            }

    def correct(self, workspace: WorkspaceId, more: float) -> None:
        """Correct a charge by the slot-seconds that a request really took.

        Args:
            workspace: The workspace.
            more: Slot-seconds used beyond the expectation; negative if fewer.
        """
        tag = self._finish.get(workspace, self._virtual)
        self._finish[workspace] = tag + more / self._weight(workspace)


class FairQueue:
    """Orders queued requests by workspace, priority and deadline.

    Args:
        weight: Returns a workspace's weight.

    Attributes:
        tags: The finish tags of the workspaces.
    """

    def __init__(self, weight: Callable[[WorkspaceId], float]) -> None:
        self.tags = FinishTags(weight)
        self._weight = weight
        self._flows: dict[tuple[WorkspaceId, Lane], _Flow] = {}
        self._work: dict[WorkspaceId, float] = {}
        self._counts: dict[WorkspaceId, int] = {}
        self._lanes: dict[Lane, int] = {}
        self._arrivals = 0
        self._size = 0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return self._size

    @property
    def counts(self) -> dict[WorkspaceId, int]:
        """Return the number of queued requests by workspace."""
        return self._counts

    @property
    def work(self) -> float:
        """Return the total slot-seconds of the queued requests."""
        return sum(self._work.values())

    def lane_waiting(self, lane: Lane) -> bool:
        """Return whether any request is queued in a lane."""
        return lane in self._lanes

    def push(self, waiting: QueuedRequest) -> None:
        """Add a request."""
        self._arrivals += 1
        waiting.arrival = self._arrivals
        request = waiting.request
        key = (request.workspace, waiting.lane)
        entry = (request.priority, request.deadline, waiting.arrival, waiting)
        heappush(self._flows.setdefault(key, _Flow()).heap, entry)
        self._count(waiting, 1)

    def remove(self, waiting: QueuedRequest) -> None:
        """Remove a request, wherever it is in the queue."""
        if not waiting.removed:
            waiting.removed = True
            self._count(waiting, -1)
            self._prune(waiting)

    def pop(self, has_room: Callable[[Lane], bool]) -> QueuedRequest | None:
        """Remove and charge the next request whose lane has a free slot.

        Args:
            has_room: Returns whether a lane has a free slot.

        Returns:
            The request, or None if no lane with requests has a free slot.
        """
        lane_has_room = {lane: has_room(lane) for lane in self._lanes}
        open_keys = [key for key in self._flows if lane_has_room.get(key[1])]
        if not open_keys:
            return None
        key = min(open_keys, key=self._rank)
        chosen = self._flows[key].head()
        if chosen is not None:
            self.remove(chosen)
            self.tags.charge(key[0], chosen.cost)
        return chosen

    def max_wait(self, workspace: WorkspaceId, slots: float) -> float:
        """Return an upper bound of a new request's wait in seconds.

        Args:
            workspace: The request's workspace.
            slots: Number of slots to be divided.
        """
        own = self._work.get(workspace, 0)
        mine = self._weight(workspace)
        active = mine + sum(
            self._weight(one) for one in self._work if one != workspace
        )
        by_share = own * active / mine / slots
        return min(by_share, self.work / slots)

    def largest(self) -> WorkspaceId | None:
        """Return the workspace furthest beyond its quota share.

        None if the queue is empty.
        """
        return max(self._work, key=self.excess, default=None)

    def excess(self, workspace: WorkspaceId, more: float = 0) -> float:
        """Return a workspace's lead over its quota share, with queued work.

        Args:
            workspace: The workspace.
            more: Slot-seconds to add to its queued work.
        """
        work = self._work.get(workspace, 0) + more
        return self.tags.lead(workspace) + work / self._weight(workspace)

    def is_behind(self, workspace: WorkspaceId) -> bool:
        """Return whether a workspace had less than its quota share recently."""
        waits = workspace in self._work
        return not waits and self.tags.lead(workspace) <= 0

    def of_workspace(self, workspace: WorkspaceId) -> Iterable[QueuedRequest]:
        """Return the queued requests of a workspace."""
        for key, flow in self._flows.items():
            if key[0] == workspace:
                yield from (
                    entry[-1] for entry in flow.heap if not entry[-1].removed
                )

    def _rank(self, key: tuple[WorkspaceId, Lane]) -> tuple[float, int]:
        """Return a flow's start tag and the arrival number of its head."""
        head = self._flows[key].head()
        return self.tags.start(key[0]), head.arrival if head else 0

    def _count(self, waiting: QueuedRequest, step: int) -> None:
        """Update the counters when a request enters (1) or leaves (-1)."""
        self._size += step
        workspace = waiting.request.workspace
        count = self._counts.get(workspace, 0) + step
        lane_count = self._lanes.get(waiting.lane, 0) + step
        work = self._work.get(workspace, 0) + step * waiting.cost
        self._counts[workspace] = count
        self._work[workspace] = work
        self._lanes[waiting.lane] = lane_count
        if not count:
            self._counts.pop(workspace)
            self._work.pop(workspace)
        if not lane_count:
            self._lanes.pop(waiting.lane)

    def _prune(self, waiting: QueuedRequest) -> None:
        """Remove a flow that has become empty."""
        key = (waiting.request.workspace, waiting.lane)
        flow = self._flows.get(key)
        if flow is not None and flow.head() is None:
            self._flows.pop(key)
