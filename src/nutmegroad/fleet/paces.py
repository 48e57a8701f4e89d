"""How often each table of the platform's store is asked for.

Each answer costs, and each change wakes every host. So a host waits at the
store as long as it may, and rests between answers for a part of the time in
which a change has to be in force: what comes meanwhile shares an answer.
"""

from typing import Final

from nutmegroad.fleet.followers import FeedPace

#: Part of the keys' trust for which the store is asked to wait: an answer is
#: a moment old when it comes, and a lost one is noticed after a second.
TRUST_PART: Final = 0.6

#: Seconds for which the store is asked to wait for changes of what is not
#: bound by the keys' trust; a dead connection shows by the kernel's probes.
LONG_WAIT: Final = 20.0

#: Part of a bound for which a host rests. A slow store takes a tenth of the
#: shortest bound of today, a lost connection half of it; the rest is left.
REST_PART: Final = 0.25


def operator_pace(trust: float | None, bound: float) -> FeedPace:
    """Return how often the operator's table is asked for.

    Args:
        trust: Seconds for which keys hold unconfirmed; None for ever.
        bound: Seconds in which a configuration has to be in force.
    """
    wait = LONG_WAIT if trust is None else trust * TRUST_PART
    return FeedPace(wait, bound * REST_PART)


def bounded_pace(bound: float) -> FeedPace:
    """Return how often a table is asked for that has no trust to keep.

    Args:
        bound: Seconds in which a change has to be in force.
    """
    return FeedPace(LONG_WAIT, bound * REST_PART)
