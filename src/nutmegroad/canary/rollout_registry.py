"""Registry of the rollouts that a host knows: their orders and their progress.

Orders and progress are rows of the platform's store, which may be restored from
a backup. Rows that the restored store lacks are written again by a host. A
restore neither starts a known rollout again nor reverses it.
"""

from collections.abc import Callable, Container
from dataclasses import dataclass, replace
from typing import Final

from msgspec import structs

from nutmegroad.canary.order_matching import (
    OrderMatch,
    has_earlier_number,
    is_behind,
    match_order,
)
from nutmegroad.canary.rollouts import Rollout, RolloutOrder, RolloutRow
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import ServiceName

_LOG: Final = part_logger('rollouts')

#: Seconds for which a host leaves it to others to start an order that was in
#: the store when this host started. The others may know the order by another
#: number, and may know its progress.
START_DEFERRAL: Final = 3.0

#: Seconds for which an order is set aside that may come from a backup and
#: precede the known order. The operator writes the known order again meanwhile.
DOUBT_PERIOD: Final = 6.0


@dataclass(slots=True)
class _KnownRollout:
    """Latest known order of a service.

    Attributes:
        rollout: The order and its progress.
        written: Position at which the order was last read.
        deferred_until: Host clock, in seconds, until which the start of the
            order is left to other hosts.
        past: Numbers of the orders before it.
        adopted: Whether its number is an earlier one by which other hosts know
            it.
        needs_restore: Whether the store lacks its progress, or part of it.
    """

    rollout: Rollout
    written: int
    deferred_until: float
    past: frozenset[int]
    adopted: bool = False
    needs_restore: bool = False

    def is_ahead_of(self, row: RolloutRow) -> bool:
        """Return whether this host knows more progress than a row states."""
        known = self.rollout.row
        number = self.rollout.order.number
        if known is None or self.rollout.stage is None:
            return False
        if not self._is_of_order(row):
            return row.order < number
        if self.adopted and row.order != number:
            # The row was written by a host that knows the order by its present
            # position, or belongs to a later order. A host that has adopted
            # another number cannot tell these cases apart.
            return False
        return is_behind(row, known)

    def apply(self, row: RolloutRow, version: int) -> None:
        """Apply a row with the progress of the order."""
        if self._is_of_order(row):
            self._renumber(row.order)
        self.rollout = Rollout(self.rollout.order, row, version)
        self.needs_restore = False

    def retain(self, row: RolloutRow | None, version: int) -> None:
        """Keep the known progress instead of the store's row.

        Args:
            row: The store's row; None if there is none.
            version: Version of the row; 0 for none.
        """
        known = self.rollout.row
        if (
            row is not None
            and self._has_earlier_number(row)
            and known is not None
        ):
            self._renumber(row.order)
            known = structs.replace(known, order=row.order)
        self.rollout = Rollout(self.rollout.order, known, version)
        self.needs_restore = True

    def _is_of_order(self, row: RolloutRow) -> bool:
        """Return whether a row belongs to this order, by any of its numbers."""
        numbers = (self.rollout.order.number, self.written)
        return row.order in numbers or self._has_earlier_number(row)

    def _has_earlier_number(self, row: RolloutRow) -> bool:
        """Return whether a row names this order by a number of an earlier era.

        Hosts that start after the store was restored know orders by their
        positions at that time.
        """
        if row.order in self.past:
            return False
        return has_earlier_number(self.rollout.order, row)

    def _renumber(self, number: int) -> None:
        """Use another number for the order from now on."""
        before = self.rollout.order
        if number != before.number:
            self.adopted = number < before.number
            order = replace(before, number=number)
            self.rollout = replace(self.rollout, order=order)


class RolloutRegistry:
    """All rollouts that a host knows.

    Args:
        now: Returns the host's clock in seconds.
        on_end: Called with each service whose rollout has ended.
    """

    @property
    def active(self) -> tuple[Rollout, ...]:
        """Rollouts that have not ended."""
        return tuple(
            known.rollout
            for known in self._known.values()
            if known.rollout.stage is None or not known.rollout.stage.ended
        )

    @property
    def to_restore(self) -> tuple[Rollout, ...]:
        """Rollouts whose progress the store has lost, wholly or in part."""
        return tuple(
            known.rollout
            for known in self._known.values()
            if known.needs_restore
        )

    def __init__(
        self,
        now: Callable[[], float],
        on_end: Callable[[ServiceName], None],
    ) -> None:
        self._now = now
        self._on_end = on_end
        self._known: dict[ServiceName, _KnownRollout] = {}
        self._rows: dict[ServiceName, tuple[RolloutRow, int]] = {}
        # Orders that may come from a backup and precede the known order, each
        # with the host's clock, in seconds, from which it is accepted
        # nevertheless.
        self._doubtful: dict[ServiceName, tuple[RolloutOrder, float]] = {}
        self._order_listeners: list[Callable[[RolloutOrder], None]] = []

    def rollout(self, service: ServiceName) -> Rollout | None:
        """Return the latest rollout of a service, or None."""
        known = self._known.get(service)
        return None if known is None else known.rollout

    def add_order_listener(
        self, listener: Callable[[RolloutOrder], None]
    ) -> None:
        """Call a function with each order that is accepted from now on."""
        self._order_listeners.append(listener)

    def apply_order(
        self, order: RolloutOrder, *, at_start: bool = False
    ) -> None:
        """Apply an operator's row if it is new; set a doubtful one aside.

        Args:
            order: Content of the row.
            at_start: Whether the row was in the store when this host started.
        """
        service = order.service
        known = self._known.get(service)
        if known is None:
            self._accept(order, START_DEFERRAL if at_start else 0)
            return
        number = known.rollout.order.number
        order_match = match_order(known.rollout.order, known.written, order)
        if order_match is OrderMatch.KNOWN:
            return
        self._doubtful.pop(service, None)
        if order_match is OrderMatch.NEW:
            self._accept(order)
            return
        if order_match is OrderMatch.SAME_ORDER:
            known.written = order.number
        else:
            self._doubtful[service] = (order, self._now() + DOUBT_PERIOD)
        _LOG.decision(
            'order seen after a store restore',
            service=service,
            version=order.to,
            number=number,
            position=order.number,
            taken_for=order_match.value,
        )

    def accept_doubtful(self) -> None:
        """Accept doubtful orders that nobody has overwritten in time."""
        for service, (order, accept_at) in tuple(self._doubtful.items()):
            if self._now() >= accept_at:
                self._doubtful.pop(service)
                self._accept(order)

    def is_start_deferred(self, service: ServiceName) -> bool:
        """Return whether the start of an order is still left to other hosts."""
        known = self._known.get(service)
        return known is not None and self._now() < known.deferred_until

    def apply_progress(
        self,
        service: ServiceName,
        row: RolloutRow,
        version: int,
    ) -> None:
        """Apply a row with the hosts' progress on an order."""
        self._rows[service] = (row, version)
        known = self._known.get(service)
        if known is None or known.rollout.version >= version:
            return
        if known.is_ahead_of(row):
            known.retain(row, version)
            _log_loss(known, row.stage)
            return
        _LOG.decision(
            'roll-out stage',
            service=service,
            order=row.order,
            stage=row.stage,
            why=row.why,
            row_version=version,
        )
        known.apply(row, version)
        stage = known.rollout.stage
        if stage is not None and stage.ended:
            self._on_end(service)

    def apply_snapshot(
        self, services: Container[ServiceName], version: int
    ) -> None:
        """Apply a full snapshot of the table, which may lack rows.

        Args:
            services: Services of which the snapshot has a row.
            version: Version of the snapshot.
        """
        for service, known in self._known.items():
            is_older = version <= known.rollout.version
            if known.rollout.stage is None or is_older:
                continue
            if service not in services:
                self._rows.pop(service, None)
                known.retain(None, 0)
                _log_loss(known, '')

    def confirm_restored(self, rollout: Rollout, version: int) -> None:
        """Apply the row of a rollout that was written to the store again."""
        if rollout.row is not None:
            self.apply_progress(rollout.order.service, rollout.row, version)

    def _accept(self, order: RolloutOrder, start_delay: float = 0) -> None:
        """Accept a new order.

        Args:
            order: The order.
            start_delay: Seconds for which its start is left to other hosts.
        """
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
        known = _KnownRollout(
            Rollout(order),
            order.number,
            self._now() + start_delay,
            past,
        )
        self._known[service] = known
        if service in self._rows:
            known.apply(*self._rows[service])
        for listener in self._order_listeners:
            listener(order)


def _log_loss(known: _KnownRollout, stored: str) -> None:
    """Log that the store lacks a rollout's stage.

    Args:
        known: The rollout.
        stored: Stage that the store has instead; empty for none.
    """
    rollout = known.rollout
    _LOG.decision(
        'roll-out stage missing from the store',
        service=rollout.order.service,
        order=rollout.order.number,
        stage=rollout.stage and rollout.stage.value,
        stored=stored,
        row_version=rollout.version,
    )
