"""The budget for retries: a share of the traffic, not a count a request."""

from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from nutmegroad.contracts.decisions import (
    AttemptEnd,
    AttemptStart,
    Observers,
    Spender,
)
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import ResultCode
from nutmegroad.foundations.types import RequestId, WorkspaceId
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register

#: Retries for each first attempt.
SHARE: Final = 0.1

#: Retries a second that a quiet host may make all the same, in all and
#: for each workspace.
FLOOR: Final = 0.5

#: Retries that may be saved up, in all and for each workspace.
MOST_SAVED: Final = 10.0

#: What a retry costs. A busy engine has done no work, so turning to another
#: one costs the fleet little.
COSTS: Final = MappingProxyType(
    {
        ResultCode.UPSTREAM_BUSY: 0.25,
        ResultCode.VERSION_NOT_LOADED: 0.25,
        ResultCode.UPSTREAM_LEAVING: 0.25,
    }
)


@dataclass(slots=True)
class _Bucket:
    """Retries saved up.

    Attributes:
        saved: How many.
        filled: Clock seconds of the last filling.
    """

    saved: float
    filled: float

    def fill(self, now: float, deposit: float = 0) -> None:
        """Add the floor's part since the last time, and a deposit."""
        grown = self.saved + deposit + FLOOR * (now - self.filled)
        self.saved = min(MOST_SAVED, grown)
        self.filled = now


class SharedRetries:
    """Allows retries as a share of the traffic, with a small floor.

    Each workspace has a bucket of its own within that of the host, so that
    one whose requests all fail leaves the others their retries.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._host = _Bucket(MOST_SAVED, clock.now())
        self._workspaces: dict[WorkspaceId, _Bucket] = {}
        # The budget is asked in the same step that an attempt ends in.
        self._last: tuple[RequestId, ResultCode] | None = None
        self._retried: RequestId | None = None

    def spend(self, request: Spender) -> bool:
        """Take one retry out of the budget, if there is one."""
        now = self._clock.now()
        code = self._code_of(request.request)
        cost = COSTS.get(code, 1.0)
        bucket = self._bucket(request.workspace)
        bucket.fill(now)
        self._host.fill(now)
        if min(bucket.saved, self._host.saved) < cost:
            return False
        bucket.saved -= cost
        self._host.saved -= cost
        self._retried = request.request
        return True

    def started(self, start: AttemptStart) -> None:
        """Save a part of a retry up for each first attempt."""
        if start.request == self._retried:
            self._retried = None
            return
        now = self._clock.now()
        self._bucket(start.workspace).fill(now, SHARE)
        self._host.fill(now, SHARE)

    def ended(self, end: AttemptEnd) -> None:
        """Remember why the attempt ended that a retry may follow."""
        self._last = (end.start.request, end.code)

    def _code_of(self, request: RequestId) -> ResultCode:
        """Return how a request's last attempt ended."""
        if self._last is not None and self._last[0] == request:
            return self._last[1]
        return ResultCode.UPSTREAM_ERROR

    def _bucket(self, workspace: WorkspaceId) -> _Bucket:
        """Return a workspace's bucket."""
        known = self._workspaces.get(workspace)
        if known is None:
            known = _Bucket(MOST_SAVED, self._clock.now())
            self._workspaces[workspace] = known
        return known


@register('retries', 'share')
def shared_retries(kernel: Kernel) -> SharedRetries:
    """Make the retry budget for a host."""
    budget = SharedRetries(kernel.clock)
    kernel.need(Observers).add(budget)
    return budget


@register('service-retries', 'share')
def service_retries(kernel: Kernel) -> SharedRetries:
    """Make the retry budget of calls to plain services.

    It is told of these alone, by their caller.
    """
    return SharedRetries(kernel.clock)
