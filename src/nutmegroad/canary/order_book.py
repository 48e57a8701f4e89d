"""The orders of roll-outs that a host knows, and how far they have come.

Both are rows of the platform's store, which may come back from a copy: what it
lacks then is written again by a host, and nothing that was known is begun anew
or reversed.
"""

from collections.abc import Callable, Container
from dataclasses import replace
from typing import Final

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

#: Seconds for which a host that has started leaves it to others to begin an
#: order that stood in the store before: they may know it by another number.
START_PATIENCE: Final = 3.0

#: Seconds for which an order that may be out of a copy, from before the one
#: that is known, is left aside: the operator writes that one again meanwhile.
DOUBTED: Final = 6.0


class OrderBook:
    """All roll-outs that a host knows.

    Args:
        store_time: Returns the present seconds of the store's clock.
        ended: Told of each service whose roll-out has ended.
    """

    @property
    def active(self) -> tuple[Rollout, ...]:
        """Return the roll-outs that have not ended."""
        return tuple(
            rollout
            for rollout in self._rollouts.values()
            if rollout.stage is None or not rollout.stage.ended
        )

    @property
    def lacking(self) -> tuple[Rollout, ...]:
        """Return the roll-outs whose rows the store has lost, or partly."""
        return tuple(self._rollouts[service] for service in self._lacking)

    def __init__(
        self,
        store_time: Callable[[], float],
        ended: Callable[[ServiceName], None],
    ) -> None:
        self._store_time = store_time
        self._ended = ended
        self._rollouts: dict[ServiceName, Rollout] = {}
        self._rows: dict[ServiceName, tuple[RolloutRow, int]] = {}
        self._told_of_orders: list[Callable[[RolloutOrder], None]] = []
        # Positions at which the orders were read last.
        self._written: dict[ServiceName, int] = {}
        # Orders that stood in the store as this host started, and the store's
        # seconds then.
        self._found: dict[ServiceName, float] = {}
        # Perhaps out of a copy, from before the order that is known; and the
        # store's seconds from which they are taken in nevertheless.
        self._doubtful: dict[ServiceName, tuple[RolloutOrder, float]] = {}
        self._lacking: set[ServiceName] = set()

    def rollout(self, service: ServiceName) -> Rollout | None:
        """Return a service's last roll-out, or None."""
        return self._rollouts.get(service)

    def take(self, order: RolloutOrder, *, at_start: bool = False) -> None:
        """Take a row of the operator's in, unless a later order is known.

        Args:
            order: What it says.
            at_start: Whether it stood in the store as this host started.
        """
        service = order.service
        known = self._rollouts.get(service)
        if known is None:
            if at_start:
                self._found[service] = self._store_time()
            self._begin(order)
            return
        sighting = sight(known.order, self._written[service], order)
        if sighting is Sighting.KNOWN:
            return
        self._doubtful.pop(service, None)
        if sighting is Sighting.NEW:
            self._found.pop(service, None)
            self._begin(order)
            return
        if sighting is Sighting.AGAIN:
            self._written[service] = order.number
        else:
            patience = self._store_time() + DOUBTED
            self._doubtful[service] = (order, patience)
        _LOG.decision(
            'order seen after the store came back',
            service=service,
            version=order.to,
            number=known.order.number,
            position=order.number,
            taken_for=sighting.value,
        )

    def settle(self) -> None:
        """Take in the doubtful orders that nobody has written over."""
        for service, (order, patience) in tuple(self._doubtful.items()):
            if self._store_time() >= patience:
                self._doubtful.pop(service)
                self._found.pop(service, None)
                self._begin(order)

    def leaves_beginning(self, service: ServiceName) -> bool:
        """Tell whether others are to begin a service's order, for a while."""
        found = self._found.get(service)
        if found is None:
            return False
        return self._store_time() - found < START_PATIENCE

    def tell_of_orders(self, tell: Callable[[RolloutOrder], None]) -> None:
        """Let somebody hear of each order that is taken in."""
        self._told_of_orders.append(tell)

    def progress(
        self,
        service: ServiceName,
        row: RolloutRow,
        version: int,
    ) -> None:
        """Take in how far the hosts have come."""
        self._rows[service] = (row, version)
        known = self._rollouts.get(service)
        if known is None or known.version >= version:
            return
        changed = self._joined(known.order, row, version)
        if self._is_behind(known, changed):
            self._lacks(known, version, row.stage)
            return
        _LOG.decision(
            'roll-out stage',
            service=service,
            order=row.order,
            stage=row.stage,
            why=row.why,
            row_version=version,
        )
        self._lacking.discard(service)
        self._rollouts[service] = changed
        if changed.stage is not None and changed.stage.ended:
            self._ended(service)

    def listed(self, services: Container[ServiceName], version: int) -> None:
        """Take in that the table was read whole.

        Args:
            services: Those of which it has a row.
            version: Version of the table as it was read.
        """
        for service, known in tuple(self._rollouts.items()):
            is_older = version <= known.version
            if known.stage is None or is_older:
                continue
            if service not in services:
                self._rows.pop(service, None)
                self._lacks(known, 0, '')

    def restored(self, rollout: Rollout, version: int) -> None:
        """Take in that a roll-out's row was written again."""
        if rollout.row is not None:
            self.progress(rollout.order.service, rollout.row, version)

    def _begin(self, order: RolloutOrder) -> None:
        """Take a new order in."""
        _LOG.decision(
            'roll-out ordered',
            service=order.service,
            version=order.to,
            duration=order.duration,
            number=order.number,
        )
        row, version = self._rows.get(order.service, (None, 0))
        self._written[order.service] = order.number
        self._lacking.discard(order.service)
        self._rollouts[order.service] = self._joined(order, row, version)
        for tell in self._told_of_orders:
            tell(order)

    def _joined(
        self,
        order: RolloutOrder,
        row: RolloutRow | None,
        version: int,
    ) -> Rollout:
        """Return an order and how far it has come.

        Where the order stood in the store as this host started, the row may
        know it by the number that it had before the store came back.
        """
        found = order.service in self._found
        if found and row is not None and is_from_before(order, row):
            order = replace(order, number=row.order)
        return Rollout(order, row, version)

    def _lacks(self, known: Rollout, version: int, stage: str) -> None:
        """Note that the store has less than what is known of a roll-out.

        Args:
            known: What is known.
            version: Version of the row that it has; 0 for none.
            stage: What that says.
        """
        service = known.order.service
        _LOG.decision(
            'roll-out stage lost by the store',
            service=service,
            order=known.order.number,
            stage=known.stage and known.stage.value,
            stored=stage,
            row_version=version,
        )
        self._rollouts[service] = Rollout(known.order, known.row, version)
        self._lacking.add(service)

    def _is_behind(self, known: Rollout, changed: Rollout) -> bool:
        """Tell whether a row is behind what is known of the same order."""
        if known.row is None or known.stage is None or changed.row is None:
            return False
        if changed.stage is not None:
            return is_behind(changed.row, known.row)
        # One of an order before, or begun by a host that knows this one by
        # where it is written now.
        number = changed.row.order
        written = self._written[known.order.service]
        return number < known.order.number or number == written
