"""The orders of roll-outs that a host knows, and how far they have come.

Both are rows of the platform's store, which may come back from a copy: what it
lacks then is written again by a host, and nothing that was known is begun anew
or reversed.
"""

from collections.abc import Callable, Container
from dataclasses import dataclass, replace
from typing import Final

from msgspec import structs

from nutmegroad.canary.orders import (
    Sighting,
    is_behind,
    is_from_before,
    sight,
)
from nutmegroad.canary.rollouts import Rollout, RolloutOrder, RolloutRow
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import ServiceName

_LOG: Final = part_logger('rollouts')

#: Seconds for which a host leaves it to others to begin an order that stood in
#: the store as it started: they may know it by another number, and how far it
#: has come.
START_PATIENCE: Final = 3.0

#: Seconds for which an order that may be out of a copy, from before the one
#: that is known, is left aside: the operator writes that one again meanwhile.
DOUBTED: Final = 6.0


@dataclass(slots=True)
class _Known:
    """What is known of a service's last order.

    Attributes:
        rollout: The order, and how far it has come.
        written: Position at which the order was read last.
        others_until: Clock seconds until which others are to begin it.
        past: Numbers of the orders before it.
        adopted: Whether its number is one that others know it by.
        lacking: Whether the store lacks how far it has come.
    """

    rollout: Rollout
    written: int
    others_until: float
    past: frozenset[int]
    adopted: bool = False
    lacking: bool = False

    def is_ahead(self, row: RolloutRow) -> bool:
        """Tell whether more is known than a row says."""
        known = self.rollout.row
        number = self.rollout.order.number
        if known is None or self.rollout.stage is None:
            return False
        if not self._is_same(row):
            return row.order < number
        if self.adopted and row.order != number:
            # Begun by a host that knows the order by where it is now, or a
            # later order: whoever has adopted its number can't tell.
            return False
        return is_behind(row, known)

    def join(self, row: RolloutRow, version: int) -> None:
        """Take in how far the order has come."""
        if self._is_same(row):
            self._call(row.order)
        self.rollout = Rollout(self.rollout.order, row, version)
        self.lacking = False

    def keep(self, row: RolloutRow | None, version: int) -> None:
        """Keep what is known, in place of a row of the store's.

        Args:
            row: What the store has, if it has one.
            version: The row's version; 0 for none.
        """
        known = self.rollout.row
        if row is not None and self._adopts(row) and known is not None:
            self._call(row.order)
            known = structs.replace(known, order=row.order)
        self.rollout = Rollout(self.rollout.order, known, version)
        self.lacking = True

    def _is_same(self, row: RolloutRow) -> bool:
        """Tell whether a row is of this order, by whatever number."""
        numbers = (self.rollout.order.number, self.written)
        return row.order in numbers or self._adopts(row)

    def _adopts(self, row: RolloutRow) -> bool:
        """Tell whether a row knows this order by the number of an earlier era.

        Hosts that start after the store came back know orders by where they
        are then.
        """
        if row.order in self.past:
            return False
        return is_from_before(self.rollout.order, row)

    def _call(self, number: int) -> None:
        """Know the order by a number from now on."""
        before = self.rollout.order
        if number != before.number:
            self.adopted = number < before.number
            order = replace(before, number=number)
            self.rollout = replace(self.rollout, order=order)


class OrderBook:
    """All roll-outs that a host knows.

    Args:
        now: Returns the host's clock seconds.
        ended: Told of each service whose roll-out has ended.
    """

    @property
    def active(self) -> tuple[Rollout, ...]:
        """Return the roll-outs that have not ended."""
        return tuple(
            known.rollout
            for known in self._known.values()
            if known.rollout.stage is None or not known.rollout.stage.ended
        )

    @property
    def lacking(self) -> tuple[Rollout, ...]:
        """Return the roll-outs whose rows the store has lost, or partly."""
        return tuple(
            known.rollout for known in self._known.values() if known.lacking
        )

    def __init__(
        self,
        now: Callable[[], float],
        ended: Callable[[ServiceName], None],
    ) -> None:
        self._now = now
        self._ended = ended
        self._known: dict[ServiceName, _Known] = {}
        self._rows: dict[ServiceName, tuple[RolloutRow, int]] = {}
        # Perhaps out of a copy, from before the order that is known; and the
        # clock seconds from which they are taken in nevertheless.
        self._doubtful: dict[ServiceName, tuple[RolloutOrder, float]] = {}
        self._told_of_orders: list[Callable[[RolloutOrder], None]] = []

    def rollout(self, service: ServiceName) -> Rollout | None:
        """Return a service's last roll-out, or None."""
        known = self._known.get(service)
        return None if known is None else known.rollout

    def tell_of_orders(self, tell: Callable[[RolloutOrder], None]) -> None:
        """Let somebody hear of each order that is taken in."""
        self._told_of_orders.append(tell)

    def take(self, order: RolloutOrder, *, at_start: bool = False) -> None:
        """Take a row of the operator's in, unless a later order is known.

        Args:
            order: What it says.
            at_start: Whether it stood in the store as this host started.
        """
        service = order.service
        known = self._known.get(service)
        if known is None:
            self._begin(order, START_PATIENCE if at_start else 0)
            return
        number = known.rollout.order.number
        sighting = sight(known.rollout.order, known.written, order)
        if sighting is Sighting.KNOWN:
            return
        self._doubtful.pop(service, None)
        if sighting is Sighting.NEW:
            self._begin(order)
            return
        if sighting is Sighting.AGAIN:
            known.written = order.number
        else:
            self._doubtful[service] = (order, self._now() + DOUBTED)
        _LOG.decision(
            'order seen after the store came back',
            service=service,
            version=order.to,
            number=number,
            position=order.number,
            taken_for=sighting.value,
        )

    def settle(self) -> None:
        """Take in the doubtful orders that nobody has written over."""
        for service, (order, patience) in tuple(self._doubtful.items()):
            if self._now() >= patience:
                self._doubtful.pop(service)
                self._begin(order)

    def leaves_beginning(self, service: ServiceName) -> bool:
        """Tell whether others are to begin a service's order, for a while."""
        known = self._known.get(service)
        return known is not None and self._now() < known.others_until

    def progress(
        self,
        service: ServiceName,
        row: RolloutRow,
        version: int,
    ) -> None:
        """Take in how far the hosts have come."""
        self._rows[service] = (row, version)
        known = self._known.get(service)
        if known is None or known.rollout.version >= version:
            return
        if known.is_ahead(row):
            known.keep(row, version)
            _tell_of_loss(known, row.stage)
            return
        _LOG.decision(
            'roll-out stage',
            service=service,
            order=row.order,
            stage=row.stage,
            why=row.why,
            row_version=version,
        )
        known.join(row, version)
        stage = known.rollout.stage
        if stage is not None and stage.ended:
            self._ended(service)

    def listed(self, services: Container[ServiceName], version: int) -> None:
        """Take in that the table was read whole.

        Args:
            services: Those of which it has a row.
            version: Version of the table as it was read.
        """
        for service, known in self._known.items():
            is_older = version <= known.rollout.version
            if known.rollout.stage is None or is_older:
                continue
            if service not in services:
                self._rows.pop(service, None)
                known.keep(None, 0)
                _tell_of_loss(known, '')

    def restored(self, rollout: Rollout, version: int) -> None:
        """Take in that a roll-out's row was written again."""
        if rollout.row is not None:
            self.progress(rollout.order.service, rollout.row, version)

    def _begin(self, order: RolloutOrder, patience: float = 0) -> None:
        """Take a new order in; others are to begin it for some seconds."""
        service = order.service
        _LOG.decision(
            'roll-out ordered',
            service=service,
            version=order.to,
            duration=order.duration,
            number=order.number,
        )
        before = self._known.get(service)
        past: frozenset[int] = frozenset()
        if before is not None:
            past = before.past | {before.rollout.order.number}
        known = _Known(
            Rollout(order),
            order.number,
            self._now() + patience,
            past,
        )
        self._known[service] = known
        if service in self._rows:
            known.join(*self._rows[service])
        for tell in self._told_of_orders:
            tell(order)


def _tell_of_loss(known: _Known, stored: str) -> None:
    """Say what the store lacks of a roll-out, and which stage it has."""
    rollout = known.rollout
    _LOG.decision(
        'roll-out stage lost by the store',
        service=rollout.order.service,
        order=rollout.order.number,
        stage=rollout.stage and rollout.stage.value,
        stored=stored,
        row_version=rollout.version,
    )
