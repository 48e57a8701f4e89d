"""Retry budget: bounds retries by a fraction of the traffic.

The maximum number of attempts for one request is set in ``steps`` and
``services``.
"""

from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from nutmegroad.contracts.decisions import (
    AttemptEnd,
    AttemptStart,
    Observers,
    RetryRequester,
)
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import ResultCode
from nutmegroad.foundations.types import RequestId, WorkspaceId
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register

#: Retries added to the budget for each first attempt.
RETRY_FRACTION: Final = 0.1

#: Retries per second that are added even without traffic, for the host as a
#: whole and for each workspace.
MIN_RETRY_RATE: Final = 0.5

#: Maximum retries that can be saved up, for the host and for each workspace.
MAX_SAVED_RETRIES: Final = 10.0

#: What a retry costs after a result; 1 if not listed. A busy engine has done
#: no work, so sending the request to another one costs the fleet little.
RETRY_COSTS: Final = MappingProxyType(
    {
        ResultCode.UPSTREAM_BUSY: 0.25,
        ResultCode.VERSION_NOT_LOADED: 0.25,
        ResultCode.UPSTREAM_LEAVING: 0.25,
    }
)


@dataclass(slots=True)
class _Bucket:
    """A token bucket of retries.

    Attributes:
        available: Retries available.
        refilled_at: Clock seconds of the last refill.
    """

    available: float
    refilled_at: float

    def refill(self, now: float, deposit: float = 0) -> None:
        """Add the retries due at the minimum rate, and a deposit.

        Args:
            now: Clock seconds.
            deposit: Retries to add besides.
        """
        refilled = (
            self.available + deposit + MIN_RETRY_RATE * (now - self.refilled_at)
        )
        self.available = min(MAX_SAVED_RETRIES, refilled)
        self.refilled_at = now


class ProportionalRetries:
    """Allows retries for a fraction of the traffic, at a small minimum rate.

    Each workspace has its own bucket besides the bucket of the host, so that
    a workspace whose requests all fail does not use up the retries of others.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._host = _Bucket(MAX_SAVED_RETRIES, clock.now())
        self._workspaces: dict[WorkspaceId, _Bucket] = {}
        # ``spend`` is called in the same step of the event loop as ``ended``,
        # so the last attempt that ended is the one to be retried.
        self._last: tuple[RequestId, ResultCode] | None = None
        self._retried: RequestId | None = None

    def spend(self, request: RetryRequester) -> bool:
        """Take one retry from the budget; return whether there was one."""
        now = self._clock.now()
        code = self._code_of(request.request)
        cost = RETRY_COSTS.get(code, 1.0)
        bucket = self._bucket(request.workspace)
        bucket.refill(now)
        self._host.refill(now)
        if min(bucket.available, self._host.available) < cost:
            return False
        bucket.available -= cost
        self._host.available -= cost
        self._retried = request.request
        return True

    def started(self, start: AttemptStart) -> None:
        """Add a fraction of a retry for each first attempt."""
        if start.request == self._retried:
            self._retried = None
            return
        now = self._clock.now()
        self._bucket(start.workspace).refill(now, RETRY_FRACTION)
        self._host.refill(now, RETRY_FRACTION)

    def ended(self, end: AttemptEnd) -> None:
        """Remember how the attempt ended, which sets the cost of a retry."""
        self._last = (end.start.request, end.code)

    def _code_of(self, request: RequestId) -> ResultCode:
        """Return how the last attempt of a request ended."""
        if self._last is not None and self._last[0] == request:
            return self._last[1]
        return ResultCode.UPSTREAM_ERROR

    def _bucket(self, workspace: WorkspaceId) -> _Bucket:
        """Return the bucket of a workspace."""
        known = self._workspaces.get(workspace)
        if known is None:
            known = _Bucket(MAX_SAVED_RETRIES, self._clock.now())
            self._workspaces[workspace] = known
        return known


@register('retries', 'share')
def proportional_retries(kernel: Kernel) -> ProportionalRetries:
    """Create the retry budget for model requests."""
    budget = ProportionalRetries(kernel.clock)
    kernel.need(Observers).add(budget)
    return budget


@register('service-retries', 'share')
def service_retries(kernel: Kernel) -> ProportionalRetries:
    """Create the retry budget for calls to plain services.

    ``ServiceTraffic`` notifies it of these calls; it observes no model
    requests.
    """
    return ProportionalRetries(kernel.clock)
