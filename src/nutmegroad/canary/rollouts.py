"""Roll-outs: a new version gets a part of the traffic, or all, or none.

The operator orders one; the hosts carry it out together through rows of the
platform's store. Nobody leads: each step is one conditional write that any
host may make, and the first wins. What follows from the rows (who gets the
new version now) each host works out by itself, alike.
"""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from msgspec import Struct

from nutmegroad.foundations.types import ServiceName
from nutmegroad.upstreams.directory import SoftwareVersion

#: Share of the trial against the operator's bound on exposure. The bound is on
#: the requests of the whole duration, of which the trial is two thirds at most:
#: so a bad version gets three quarters of it, and the rest is for requests that
#: hosts count unlike.
TRIAL_PART: Final = 1.1

#: Part of the requests that operators allow besides that share which a trial
#: uses; they let a service of few requests show something in time. The rest is
#: for hosts that misjudge how many requests there are.
BESIDES_PART: Final = 0.5

#: Greatest share that this may add, and the least that is worth a write.
MOST_BEYOND: Final = 0.15
LEAST_BEYOND: Final = 0.01

#: Seconds after the beginning of a roll-out from which it is known how many
#: requests there are: the answers of two seconds, and one in which they are
#: told.
MEASURED: Final = 3.0

#: Seconds between the beginning of a roll-out and its trial: by then all hosts
#: know of it, and have told each other which sessions are on the old version.
LEAD: Final = 2.0

#: Part of the duration after which the new version may get more than the
#: trial's share. Sessions are not moved in the first half.
OPEN_AT: Final = 0.52

#: Part of the duration after which that can't be begun any more in time.
LAST_OPEN: Final = 0.78

#: Part of the duration in which the share then grows to the whole; less where
#: the rest of the time is shorter.
RAMP: Final = 0.14

#: Part of the duration after which the old version is given up, if the new one
#: is shown to be good, and after which the new one is, if it is not. What is
#: left covers a write that has to be made again.
CLOSE_AT: Final = 0.88
GIVE_UP_AT: Final = 0.92

#: Part of the duration for which the whole traffic is on the new version at
#: least before the old one is given up.
SETTLED: Final = 0.01


@unique
class Stage(Enum):
    """How far a roll-out has come."""

    TRIAL = 'trial'
    OPEN = 'open'
    SUCCEEDED = 'succeeded'
    ROLLED_BACK = 'rolled_back'

    @property
    def ended(self) -> bool:
        """Tell whether nothing more happens."""
        return self in (Stage.SUCCEEDED, Stage.ROLLED_BACK)


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """What the operator has ordered.

    Attributes:
        service: Whose software changes.
        to: The new version.
        duration: Seconds within which it should be done.
        number: Position at which the order's row was first seen; a later order
            has a higher one.
    """

    service: ServiceName
    to: SoftwareVersion
    duration: float
    number: int


class RolloutRow(Struct, frozen=True):
    """How far the hosts have come with an order; a row of the store.

    Attributes:
        order: Number of the order.
        stage: Value of a ``Stage``.
        started: Seconds on the store's clock at which it began.
        opened: Seconds on the store's clock at which the trial ended.
        why: What decided the last step.
        beyond: What its trial gets beyond the share of all trials.
        to: The version that is ordered.
        duration: Seconds within which it should be done.
        since: Seconds on the store's clock at which it came to this stage.
    """

    order: int
    stage: str
    started: float
    opened: float = 0
    why: str = ''
    beyond: float = 0
    to: str = ''
    duration: float = 0
    since: float = 0


@dataclass(frozen=True, slots=True)
class Rollout:
    """An order and how far it has come.

    Attributes:
        order: The order.
        row: The row of it; None if no host has begun.
        version: Version of that row; 0 for none.
    """

    order: RolloutOrder
    row: RolloutRow | None = None
    version: int = 0

    @property
    def stage(self) -> Stage | None:
        """Return how far it has come, or None if it has not begun."""
        if self.row is None or self.row.order != self.order.number:
            return None
        return Stage(self.row.stage)

    def elapsed(self, store_time: float) -> float:
        """Return the part of its duration that is over."""
        if self.row is None:
            return 0
        return (store_time - self.row.started) / self.order.duration

    def share(self, store_time: float, trial: float) -> float:
        """Return the part of the traffic that the new version gets.

        Args:
            store_time: Seconds on the store's clock.
            trial: Share of the trial.
        """
        stage, row = self.stage, self.row
        if stage is Stage.SUCCEEDED:
            return 1
        if row is None or stage not in {Stage.TRIAL, Stage.OPEN}:
            return 0
        trial += row.beyond
        if stage is Stage.TRIAL:
            return trial if store_time >= row.started + LEAD else 0
        duration = self.order.duration
        opened = (row.opened - row.started) / duration
        ramp = min(RAMP, max(SETTLED, CLOSE_AT - SETTLED - opened))
        grown = (store_time - row.opened) / (duration * ramp)
        return min(1.0, trial + (1 - trial) * max(0, grown))


def beyond_share(besides: float, rate: float, seconds: float) -> float:
    """Return what a trial may get beyond its share.

    Args:
        besides: Requests that operators allow besides the share.
        rate: Requests a second to the service.
        seconds: Seconds that are left of the trial.
    """
    requests = max(rate * seconds, 1)
    share = min(MOST_BEYOND, besides * BESIDES_PART / requests)
    return share if share >= LEAST_BEYOND else 0
