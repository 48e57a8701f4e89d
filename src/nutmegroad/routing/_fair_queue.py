"""Requests that wait for a slot, in start-time fair order.

Each workspace has a finish tag on a virtual time that the slot-seconds given
out drive. The workspace whose turn began earliest goes next; one that asks
for more than its share falls behind, one that asked for little does not
save anything up.
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

#: The versions that may answer; requests with the same need the same slots.
Lane = frozenset[VersionId]

#: Finish tags beyond which those of the past are dropped.
_MOST_TAGS: Final = 4096


@dataclass(eq=False, slots=True)
class Waiting:
    """A request that waits.

    Attributes:
        request: The request.
        lane: Which slots it needs.
        cost: Slot-seconds that it is expected to take.
        outcome: None for a slot, or why it gets none.
        order: Its place among all arrivals; the last until it waits.
        gone: It waits no more.
        began: Clock seconds at which it got its slot.
    """

    request: ModelRequest
    lane: Lane
    cost: float
    outcome: asyncio.Future[Refusal | None]
    order: int = sys.maxsize
    gone: bool = False
    began: float = 0


@dataclass(eq=False, slots=True)
class _Flow:
    """What one workspace has waiting in one lane."""

    heap: list[tuple[int, float, int, Waiting]] = field(default_factory=list)

    def head(self) -> Waiting | None:
        """Return the next one, or None."""
        while self.heap and self.heap[0][-1].gone:
            heappop(self.heap)
        return self.heap[0][-1] if self.heap else None


class FinishTags:
    """Virtual times at which what workspaces were given ends.

    Args:
        weight: Returns a workspace's weight.
    """

    def __init__(self, weight: Callable[[WorkspaceId], float]) -> None:
        self._weight = weight
        self._finish: dict[WorkspaceId, float] = {}
        self._virtual: float = 0

    def start(self, workspace: WorkspaceId) -> float:
        """Return when a workspace's next turn begins."""
        return max(self._virtual, self._finish.get(workspace, 0))

    def ahead(self, workspace: WorkspaceId) -> float:
        """Return how much more than its share a workspace has had."""
        return self.start(workspace) - self._virtual

    def charge(self, workspace: WorkspaceId, cost: float) -> None:
        """Count slot-seconds that a workspace is given."""
        start = self.start(workspace)
        self._finish[workspace] = start + cost / self._weight(workspace)
        self._virtual = start
        if len(self._finish) > _MOST_TAGS:
            self._finish = {
                one: tag
                for one, tag in self._finish.items()
                if tag > self._virtual
            }

    def correct(self, workspace: WorkspaceId, more: float) -> None:
        """Count slot-seconds that were taken beyond those expected."""
        tag = self._finish.get(workspace, self._virtual)
        self._finish[workspace] = tag + more / self._weight(workspace)


class FairQueue:
    """Orders waiting requests by workspace, priority and deadline.

    Args:
        weight: Returns a workspace's weight.

    Attributes:
        tags: What workspaces have been given.
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
        """Return how many wait."""
        return self._size

    @property
    def counts(self) -> dict[WorkspaceId, int]:
        """Return how many wait for each workspace that has any."""
        return self._counts

    @property
    def work(self) -> float:
        """Return the slot-seconds that wait."""
        return sum(self._work.values())

    def lane_waiting(self, lane: Lane) -> bool:
        """Tell whether anything waits in a lane."""
        return lane in self._lanes

    def push(self, waiting: Waiting) -> None:
        """Add a request."""
        self._arrivals += 1
        waiting.order = self._arrivals
        request = waiting.request
        key = (request.workspace, waiting.lane)
        entry = (request.priority, request.deadline, waiting.order, waiting)
        heappush(self._flows.setdefault(key, _Flow()).heap, entry)
        self._count(waiting, 1)

    def remove(self, waiting: Waiting) -> None:
        """Take a request out, wherever it stands."""
        if not waiting.gone:
            waiting.gone = True
            self._count(waiting, -1)
            self._prune(waiting)

    def pop(self, has_room: Callable[[Lane], bool]) -> Waiting | None:
        """Take the next request whose lane has room, and charge it."""
        rooms = {lane: has_room(lane) for lane in self._lanes}
        open_keys = [key for key in self._flows if rooms.get(key[1])]
        if not open_keys:
            return None
        key = min(open_keys, key=self._rank)
        chosen = self._flows[key].head()
        if chosen is not None:
            self.remove(chosen)
            self.tags.charge(key[0], chosen.cost)
        return chosen

    def wait(self, workspace: WorkspaceId, slots: float) -> float:
        """Return the seconds that a new request would wait at most.

        Args:
            workspace: Whose it is.
            slots: Slots that are shared out.
        """
        own = self._work.get(workspace, 0)
        mine = self._weight(workspace)
        active = mine + sum(
            self._weight(one) for one in self._work if one != workspace
        )
        by_share = own * active / mine / slots
        return min(by_share, self.work / slots)

    def largest(self) -> WorkspaceId | None:
        """Return the workspace that has and wants most for its weight."""
        return max(self._work, key=self.excess, default=None)

    def excess(self, workspace: WorkspaceId, more: float = 0) -> float:
        """Return how far a workspace is ahead, with all that it wants."""
        work = self._work.get(workspace, 0) + more
        return self.tags.ahead(workspace) + work / self._weight(workspace)

    def is_behind(self, workspace: WorkspaceId) -> bool:
        """Tell whether a workspace has had less than its share lately."""
        waits = workspace in self._work
        return not waits and self.tags.ahead(workspace) <= 0

    def of_workspace(self, workspace: WorkspaceId) -> Iterable[Waiting]:
        """Return what a workspace has waiting."""
        for key, flow in self._flows.items():
            if key[0] == workspace:
                yield from (
                    entry[-1] for entry in flow.heap if not entry[-1].gone
                )

    def _rank(self, key: tuple[WorkspaceId, Lane]) -> tuple[float, int]:
        """Return when a flow's turn begins, and its head's arrival."""
        head = self._flows[key].head()
        return self.tags.start(key[0]), head.order if head else 0

    def _count(self, waiting: Waiting, step: int) -> None:
        """Count a request in or out."""
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

    def _prune(self, waiting: Waiting) -> None:
        """Drop a flow that is empty."""
        key = (waiting.request.workspace, waiting.lane)
        flow = self._flows.get(key)
        if flow is not None and flow.head() is None:
            self._flows.pop(key)
