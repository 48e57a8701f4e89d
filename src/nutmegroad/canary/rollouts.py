"""Rollouts of a service's software: orders, stages and traffic shares.

The operator orders a rollout. The hosts carry it out together through rows of
the platform's store. No host leads: each step is one conditional write that any
host may make, and the first write wins. Each host computes the traffic share of
the new version from these rows, and all get the same result.
"""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from msgspec import Struct

from nutmegroad.foundations.decoding import Measure, Number
from nutmegroad.foundations.types import ServiceName
from nutmegroad.upstreams.directory import SoftwareVersion

#: Ratio of the canary share to the operator's exposure bound. The bound covers
#: the requests of the whole duration, of which the canary stage takes at most
#: two thirds. A bad version therefore gets three quarters of the bound. The
#: rest allows for requests that hosts count differently.
CANARY_SHARE_FACTOR: Final = 1.1

#: Fraction of the exposure slack that a canary stage uses. The slack is the
#: number of requests that operators allow beyond the exposure bound, so that a
#: service with few requests reaches a verdict in time. The rest allows for
#: hosts that misjudge the number of requests.
SLACK_FRACTION: Final = 0.5

#: Maximum share that the slack may add, and the minimum that is worth a write.
MAX_EXTRA_SHARE: Final = 0.15
MIN_EXTRA_SHARE: Final = 0.01

#: Seconds after the start of a rollout from which the request rate is known:
#: two seconds of answers, and one second for hosts to exchange their counts.
RATE_KNOWN_AFTER: Final = 3.0

#: Seconds between the start of a rollout and its first canary requests. By then
#: all hosts know of the rollout, and have exchanged which sessions are on the
#: old version.
CANARY_DELAY: Final = 2.0

#: Fraction of the duration after which the new version may get more than the
#: canary share. Sessions are not moved in the first half.
FULL_FROM: Final = 0.52

#: Fraction of the duration after which it is too late to begin the full
#: rollout.
FULL_UNTIL: Final = 0.78

#: Fraction of the duration in which the share grows to 1 once the full rollout
#: has begun; less if less time is left.
RAMP_FRACTION: Final = 0.14

#: Fractions of the duration after which the rollout ends. After the first it
#: succeeds if the new version is shown to be good. After the second it is
#: rolled back if the new version is not. The remaining time covers a write that
#: has to be repeated.
SUCCEED_FROM: Final = 0.88
ROLL_BACK_FROM: Final = 0.92

#: Minimum fraction of the duration for which the new version gets all traffic
#: before the rollout may succeed.
MIN_FULL_TRAFFIC: Final = 0.01


@unique
class Stage(Enum):
    """Stage of a rollout."""

    CANARY = 'trial'
    FULL = 'open'
    SUCCEEDED = 'succeeded'
    ROLLED_BACK = 'rolled_back'

    @property
    def ended(self) -> bool:
        """Whether the rollout has ended."""
        return self in (Stage.SUCCEEDED, Stage.ROLLED_BACK)


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Order of the operator to roll out a version.

    Attributes:
        service: Service whose software changes.
        to: The new version.
        duration: Seconds within which the rollout should be complete.
        number: Position at which the order's row was first seen; a later order
            has a higher one.
    """

    service: ServiceName
    to: SoftwareVersion
    duration: float
    number: int


class RolloutRow(Struct, frozen=True):
    """Progress of the hosts on an order; a row of the store.

    Attributes:
        order: Number of the order.
        stage: Value of a ``Stage``.
        started: Store clock, in seconds, at which the rollout started.
        opened: Store clock, in seconds, at which the canary stage ended and the
            full rollout began.
        why: Reason for the last step.
        beyond: Share that the canary stage gets beyond the common canary share.
        to: The version that is ordered.
        duration: Seconds within which the rollout should be complete.
        since: Store clock, in seconds, at which the rollout entered this stage.
    """

    order: Number
    stage: str
    started: Measure
    opened: Measure = 0
    why: str = ''
    beyond: Measure = 0
    to: str = ''
    duration: Measure = 0
    since: Measure = 0


@dataclass(frozen=True, slots=True)
class Rollout:
    """An order and its progress.

    Attributes:
        order: The order.
        row: Row with its progress; None if no host has started it.
        version: Version of that row; 0 for none.
    """

    order: RolloutOrder
    row: RolloutRow | None = None
    version: int = 0

    @property
    def stage(self) -> Stage | None:
        """Present stage; None if the rollout has not started."""
        if self.row is None or self.row.order != self.order.number:
            return None
        return Stage(self.row.stage)

    def elapsed(self, store_time: float) -> float:
        """Return the elapsed fraction of the duration.

        Args:
            store_time: Store clock in seconds.
        """
        if self.row is None:
            return 0
        return (store_time - self.row.started) / self.order.duration

    def share(self, store_time: float, canary_share: float) -> float:
        """Return the traffic share of the new version.

        Args:
            store_time: Store clock in seconds.
            canary_share: Common traffic share of canary stages.
        """
        stage, row = self.stage, self.row
        if stage is Stage.SUCCEEDED:
            return 1
        if row is None or stage not in {Stage.CANARY, Stage.FULL}:
            return 0
        canary_share += row.beyond
        if stage is Stage.CANARY:
            return (
                canary_share if store_time >= row.started + CANARY_DELAY else 0
            )
        duration = self.order.duration
        opened = (row.opened - row.started) / duration
        ramp = min(
            RAMP_FRACTION,
            max(MIN_FULL_TRAFFIC, SUCCEED_FROM - MIN_FULL_TRAFFIC - opened),
        )
        grown = (store_time - row.opened) / (duration * ramp)
        return min(1.0, canary_share + (1 - canary_share) * max(0, grown))


def extra_share(slack: float, rate: float, seconds: float) -> float:
    """Return the share that a canary stage gets beyond the common share.

    Args:
        slack: Requests that operators allow beyond the exposure bound.
        rate: Requests per second to the service.
        seconds: Seconds that are left of the canary stage.
    """
    requests = max(rate * seconds, 1)
    share = min(MAX_EXTRA_SHARE, slack * SLACK_FRACTION / requests)
    return share if share >= MIN_EXTRA_SHARE else 0
