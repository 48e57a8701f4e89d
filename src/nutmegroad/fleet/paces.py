"""How often each table of the platform's store is asked for.

Each answer costs, and each change wakes every host. So a host waits at the
store, and rests between answers: what comes meanwhile shares an answer. All of
it is a part of the time in which a change has to be in force on every host,
also where the one that reads for others loses the store without a sign. The
wait and the rest together are less than the time for which its word is relied
on, and that leaves the others a quarter to ask the store themselves.
"""

from dataclasses import replace
from typing import Final

from nutmegroad.fleet.followers import FeedPace

#: Part of the keys' trust for which the store is asked to wait at most: an
#: answer is a moment old when it comes; a lost one is noticed after a second.
TRUST_PART: Final = 0.6

#: Parts of a bound for which the store is asked to wait for a change, for which
#: a host rests after an answer, and for which another host's word is relied on.
#: The first two leave a fifth of the bound for an answer's way to those who are
#: told; the last leaves a quarter for a call, of which a slow store takes half.
WAIT_PART: Final = 0.35
REST_PART: Final = 0.2
RELIANCE_PART: Final = 0.75


def operator_pace(trust: float | None, bound: float) -> FeedPace:
    """Return how often the operator's table is asked for.

    Args:
        trust: Seconds for which keys hold unconfirmed; None for ever.
        bound: Seconds in which a configuration has to be in force.
    """
    pace = bounded_pace(bound)
    if trust is None:
        return pace
    return replace(pace, wait=min(pace.wait, trust * TRUST_PART))


def bounded_pace(bound: float) -> FeedPace:
    """Return how often a table is asked for.

    Args:
        bound: Seconds in which a change has to be in force.
    """
    return FeedPace(
        bound * WAIT_PART,
        bound * REST_PART,
        bound * RELIANCE_PART,
    )
