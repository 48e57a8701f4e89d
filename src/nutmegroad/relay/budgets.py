"""The budget for repeats: arrivals of a request at upstreams after the first.

The operator limits repeats per service, summed over all hosts: in each window
they may be a ratio to the requests of that window, of the one before it or of
the one half a window before it, whichever has most, plus a constant.

Hosts stay within that limit without a shared counter. Each host counts its own
requests and repeats only. For each window that has not ended, the repeats in it
are at most one part of the ratio times the requests of this window, the other
part times those of the window before it, and the host's share of the constant.
Both sides are sums over hosts, and each request is counted by one host. So the
same holds for the whole fleet, whichever hosts callers move to, and the two
parts together are no more than the ratio times the larger window. A host that
is killed loses its requests together with its repeats; all that its next
process may repeat in addition is its share, which is small enough for that.
"""

from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import ServiceName
from nutmegroad.upstreams.brittle_limits import HostCount

#: Fraction of the operator's ratio that escalations may use: a tenth of the
#: budget is reserved for requests that would fail otherwise.
ESCALATION_FRACTION: Final = 0.9

#: Fraction of the operator's constant that is divided among hosts. The rest is
#: for repeats that arrive at the upstream in a later window than the one in
#: which they were permitted, such as those of a host that was paused.
SHARED_FRACTION: Final = 0.9

#: Processes of each host, on average, that may use a share of the constant in
#: one window: all hosts may be killed once in it. A process needs its share at
#: once, or the first request after a start could not be repeated. With a few
#: requests at each of many hosts, the share is most of a host's budget.
PROCESSES_PER_WINDOW: Final = 2

#: Windows whose requests a repeat is permitted by.
COUNTED_WINDOWS: Final = 2

#: Part of the ratio that applies to the requests of a window itself, and all
#: that a host has whose callers have just come to it. The rest applies to the
#: window before; it is what a host may repeat at once when upstreams fail. This
#: part must be the larger one, or more windows would have to be checked.
CURRENT_PART: Final = 2 / 3

#: Tolerance for rounding errors of weighted sums.
ROUNDING: Final = 1e-9


@unique
class Purpose(Enum):
    """Why a request is repeated."""

    FAILURE = 'failure'
    ESCALATION = 'escalation'


@dataclass(frozen=True, slots=True)
class RepeatLimit:
    """The operator's limit on the repeats of all hosts together.

    Attributes:
        ratio: Maximum number of repeats per request.
        window: Seconds over which the operator counts.
        constant: Number of repeats in a window that are allowed regardless of
            its requests.
    """

    ratio: float
    window: float
    constant: float


@dataclass(frozen=True, slots=True)
class BudgetUsage:
    """What a host knows of one service's budget.

    Attributes:
        requests: Requests by which repeats are permitted now.
        repeats: Repeats in the window.
        share: The process's share of the constant.
        counted_for: Seconds for which this process has counted.
    """

    requests: int
    repeats: int
    share: float
    counted_for: float


@dataclass(slots=True)
class _Record:
    """Clock times of a service's recent requests and repeats, in order."""

    requests: list[float] = field(default_factory=list)
    repeats: list[float] = field(default_factory=list)

    def remove_expired(self, now: float, window: float) -> None:
        """Remove entries that no window counts any more."""
        oldest = now - COUNTED_WINDOWS * window
        self.requests = _since(oldest, self.requests)
        self.repeats = _since(now - window, self.repeats)


def permits_repeat(
    requests: Sequence[float],
    repeats: Sequence[float],
    now: float,
    limit: RepeatLimit,
) -> bool:
    """Return whether one more repeat stays within a host's part of a limit.

    It is enough to check the windows that begin with a repeat: any other window
    has no more repeats than the next one of these, and allows no fewer.

    Args:
        requests: Clock times of the host's requests in the last two windows,
            in order.
        repeats: Clock times of its repeats in the last window, in order.
        now: Clock seconds.
        limit: The limit, with the process's share as the constant.
    """
    window_starts = (*repeats, now)
    for earlier, start in enumerate(window_starts):
        first = bisect_left(requests, start)
        current = len(requests) - first
        previous = first - bisect_left(requests, start - limit.window)
        weighted = CURRENT_PART * current + (1 - CURRENT_PART) * previous
        allowed = limit.ratio * weighted + limit.constant
        if len(window_starts) - earlier > allowed + ROUNDING:
            return False
    return True


def process_share(limit: RepeatLimit, hosts: int) -> float:
    """Return the repeats that a host's process may make without requests.

    Args:
        limit: The operator's limit.
        hosts: Number of hosts.
    """
    return SHARED_FRACTION * limit.constant / hosts / PROCESSES_PER_WINDOW


class RepeatBudget:
    """Counts requests by service, and permits repeats.

    Args:
        clock: The host's clock.
        limit: The operator's limit.
        host_count: The number of hosts.
    """

    def __init__(
        self,
        clock: Clock,
        limit: RepeatLimit,
        host_count: HostCount,
    ) -> None:
        #: The operator's limit.
        self.limit = limit
        self._clock = clock
        self._host_count = host_count
        self._started = clock.now()
        self._services: dict[ServiceName, _Record] = {}

    def count_request(self, service: ServiceName) -> None:
        """Count a caller's request for a service."""
        self._record_of(service).requests.append(self._clock.now())

    def spend(self, service: ServiceName, purpose: Purpose) -> bool:
        """Take one repeat from the budget; return whether one was left."""
        if not self.has_repeat(service, purpose):
            return False
        self._record_of(service).repeats.append(self._clock.now())
        return True

    def has_repeat(
        self, service: ServiceName, purpose: Purpose = Purpose.FAILURE
    ) -> bool:
        """Return whether a repeat is left, without taking it."""
        record = self._record_of(service)
        ratio = self.limit.ratio
        if purpose is Purpose.ESCALATION:
            ratio *= ESCALATION_FRACTION
        return permits_repeat(
            record.requests,
            record.repeats,
            self._clock.now(),
            RepeatLimit(ratio, self.limit.window, self._share()),
        )

    def usage(self, service: ServiceName) -> BudgetUsage:
        """Return what is counted of a service's requests and repeats."""
        record = self._record_of(service)
        return BudgetUsage(
            len(record.requests),
            len(record.repeats),
            self._share(),
            self._clock.now() - self._started,
        )

    def _share(self) -> float:
        """Return the repeats that are allowed regardless of requests."""
        hosts = self._host_count()
        return 0 if hosts is None else process_share(self.limit, hosts)

    def _record_of(self, service: ServiceName) -> _Record:
        """Return a service's record after removing old entries."""
        record = self._services.setdefault(service, _Record())
        record.remove_expired(self._clock.now(), self.limit.window)
        return record


def _since(oldest: float, times: list[float]) -> list[float]:
    """Return the times, in order, that are not before the oldest one."""
    return times[bisect_left(times, oldest) :]
