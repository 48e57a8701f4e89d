"""Identifies the operator's orders after the store was restored from a backup.

The number of an order is the position of the row in which it was first seen.
When the store is restored from a backup, its rows get other positions. The
operator writes lost orders again, at yet other positions. If the contents of
orders were not compared, a rollout that has ended would start again.
"""

from enum import Enum, unique

from nutmegroad.canary.rollouts import RolloutOrder, RolloutRow, Stage
from nutmegroad.fleet.eras import era_of, version_of


@unique
class OrderMatch(Enum):
    """How an operator's row relates to the order that a host knows."""

    #: Nothing new.
    KNOWN = 'known'
    #: The known order, at a position of a later era.
    SAME_ORDER = 'again'
    #: Either a later order, or an earlier one that comes from the backup.
    DOUBTFUL = 'doubtful'
    #: A later order.
    NEW = 'new'


def match_order(
    known: RolloutOrder, written: int, seen: RolloutOrder
) -> OrderMatch:
    """Compare a row with the order that a host knows of the same service.

    Args:
        known: The known order.
        written: Position at which the known order was last read.
        seen: Content of the row, with the row's position as its number.
    """
    if seen.number <= written:
        return OrderMatch.KNOWN
    if era_of(seen.number) == era_of(written):
        return OrderMatch.NEW
    if asks_for(seen, known.to, known.duration):
        return OrderMatch.SAME_ORDER
    # A row with a lower version may come from the backup and precede the known
    # order. It may also be later, as a restored store assigns versions again.
    # A row with a higher version is later in either case.
    if version_of(seen.number) < version_of(written):
        return OrderMatch.DOUBTFUL
    return OrderMatch.NEW


def asks_for(order: RolloutOrder, to: str, duration: float) -> bool:
    """Return whether an order asks for a version and a duration."""
    return (order.to, order.duration) == (to, duration)


def has_earlier_number(order: RolloutOrder, row: RolloutRow) -> bool:
    """Return whether a row names an order by a number of an earlier era.

    The check serves hosts that have started after the store was restored.
    """
    if era_of(row.order) >= era_of(order.number):
        return False
    return asks_for(order, row.to, row.duration)


def is_behind(row: RolloutRow, known: RolloutRow) -> bool:
    """Return whether a row of an order shows less progress than a known row.

    The end of a rollout is final. Of two ends that contradict each other the
    first one holds, because the operator has acted on it. Of two rows with
    equal progress the one with the lower order number holds, together with what
    is known under that number.
    """
    return _progress_key(row) < _progress_key(known)


def _progress_key(row: RolloutRow) -> tuple[int, float, bool, int]:
    """Return the progress of a row as a value to be compared."""
    stage = Stage(row.stage)
    if stage.ended:
        return 2, -row.since, False, -row.order
    return int(stage is Stage.FULL), 0, row.beyond > 0, -row.order
