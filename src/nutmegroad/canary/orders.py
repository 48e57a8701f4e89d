"""Which order of the operator a row names, also after the store came back.

An order is known by the position of the row in which it was first seen. When
the store comes back from a copy its rows get other positions, and what was lost
is written again by the operator, at yet another one: without a look at what an
order says, a roll-out that has ended would begin anew.
"""

from enum import Enum, unique

from nutmegroad.canary.rollouts import RolloutOrder, RolloutRow, Stage
from nutmegroad.fleet.eras import era_of, version_of


@unique
class Sighting(Enum):
    """What a row of the operator's is to a host that knows an order."""

    #: Nothing new.
    KNOWN = 'known'
    #: The order that is known, at a position of a later era.
    AGAIN = 'again'
    #: A later order, or one from before the known order, out of the copy.
    DOUBTFUL = 'doubtful'
    #: A later order.
    NEW = 'new'


def sight(known: RolloutOrder, written: int, seen: RolloutOrder) -> Sighting:
    """Return what a row is to a host that knows an order of the same service.

    Args:
        known: The order that it knows.
        written: The last position at which that was read.
        seen: What the row says, with the row's position for a number.
    """
    if seen.number <= written:
        return Sighting.KNOWN
    if era_of(seen.number) == era_of(written):
        return Sighting.NEW
    if says_the_same(seen, known.to, known.duration):
        return Sighting.AGAIN
    # A copy ends before what it lacks.
    if version_of(seen.number) < version_of(written):
        return Sighting.DOUBTFUL
    return Sighting.NEW


def says_the_same(order: RolloutOrder, to: str, duration: float) -> bool:
    """Tell whether an order asks for the same."""
    return (order.to, order.duration) == (to, duration)


def is_from_before(order: RolloutOrder, row: RolloutRow) -> bool:
    """Tell whether a row is of the same order, by a number of an earlier era.

    For a host that has started after the store came back.
    """
    if era_of(row.order) >= era_of(order.number):
        return False
    return says_the_same(order, row.to, row.duration)


def is_behind(row: RolloutRow, known: RolloutRow) -> bool:
    """Tell whether a row of an order is behind one that was known before.

    An end stays: of two that contradict each other the first one holds, since
    the operator has acted on it. Where both are as far, the lower number stays,
    with what is known under it.
    """
    return _progress(row) < _progress(known)


def _progress(row: RolloutRow) -> tuple[int, float, bool, int]:
    """Return how far a row is, to be compared."""
    stage = Stage(row.stage)
    if stage.ended:
        return 2, -row.since, False, -row.order
    return int(stage is Stage.OPEN), 0, row.beyond > 0, -row.order
