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

#: Part of the operator's bound on exposure that the trial uses; the rest is
#: for requests that hosts count unlike.
TRIAL_PART: Final = 0.8

#: Seconds between the beginning of a roll-out and its trial: by then all hosts
#: know of it, and have told each other which sessions are on the old version.
LEAD: Final = 2.0

#: Part of the duration after which the new version may get more than the
#: trial's share. Sessions are not moved in the first half.
OPEN_AT: Final = 0.52

#: Part of the duration in which the share then grows to the whole.
RAMP: Final = 0.14

#: Part of the duration after which the old version is given up. What is
#: left covers a write that has to be made again.
CLOSE_AT: Final = 0.88


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
        number: Version of the order's row; a later order has a higher one.
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
    """

    order: int
    stage: str
    started: float
    opened: float = 0
    why: str = ''


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
        stage = self.stage
        if stage is Stage.SUCCEEDED:
            return 1
        if stage is Stage.TRIAL and self.row is not None:
            return trial if store_time >= self.row.started + LEAD else 0
        if stage is not Stage.OPEN or self.row is None:
            return 0
        ramp = self.order.duration * RAMP
        grown = (store_time - self.row.opened) / ramp
        return min(1.0, trial + (1 - trial) * max(0, grown))
