"""Timing of the calls by which hosts follow tables of the platform's store.

Each answer of the store has a cost, and each change wakes every host. A host
therefore asks the store to hold its answer back until there is a change (the
wait), and pauses between answers, so that changes that come meanwhile share an
answer. Both take up a part of the bound: the time within which a change has to
be in force on every host, even if the host that reads for others loses the
store without notice. Wait and pause together are shorter than the time for
which that host's updates are valid, and this validity leaves its followers a
quarter of the bound to ask the store themselves.
"""

from dataclasses import replace
from typing import Final

from nutmegroad.fleet.followers import FeedTiming

#: Maximum fraction of the validity of the keys for which the store is asked to
#: wait: an answer is slightly old when it arrives, and a lost answer is noticed
#: only after a second.
KEY_VALIDITY_FRACTION: Final = 0.6

#: Fractions of a bound for which the store is asked to wait for a change, for
#: which a host pauses after an answer, and for which updates from another host
#: are valid. The first two leave a fifth of the bound for forwarding an answer
#: to the followers; the last leaves a quarter for a call, of which a slow store
#: takes half.
WAIT_FRACTION: Final = 0.35
PAUSE_FRACTION: Final = 0.2
VALID_FRACTION: Final = 0.75


def operator_timing(key_validity: float | None, bound: float) -> FeedTiming:
    """Return the timing for the operator's table.

    Args:
        key_validity: Seconds for which unconfirmed keys are valid; None if they
            are valid forever.
        bound: Seconds within which a configuration has to be in force.
    """
    timing = bounded_timing(bound)
    if key_validity is None:
        return timing
    return replace(
        timing, wait=min(timing.wait, key_validity * KEY_VALIDITY_FRACTION)
    )


def bounded_timing(bound: float) -> FeedTiming:
    """Return the timing for a table with a bound on changes.

    Args:
        bound: Seconds within which a change has to be in force.
    """
    return FeedTiming(
        bound * WAIT_FRACTION,
        bound * PAUSE_FRACTION,
        bound * VALID_FRACTION,
    )
