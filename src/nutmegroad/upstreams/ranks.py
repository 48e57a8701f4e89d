"""At which rank a request waits at an engine: what is read soonest, first.

An engine reads the prompts that wait one after another, and nothing that
waits behind a long one begins before it has been read. A short prompt that
goes first delays the long one by little; a long one that goes first makes all
short ones late.
"""

from typing import Final

#: Parts of the time to a route's target. A prompt that is read within the
#: first delays nobody so that it counts; one that takes longer than the second
#: makes whatever waits behind it late, where a few such meet.
SHORT: Final = 0.05
LONG: Final = 0.2

#: The operator's ranks that are told apart among prompts of one length.
RANKS: Final = 3


def engine_rank(reading: float, target: float, priority: int) -> int:
    """Return the rank of a request at its engine, 0 first, 8 last.

    Short prompts go before long ones, and among those alike the operator's
    rank decides. Where the larger model reads ten times as long as the small
    one, ranks by length alone were worth 0.015 (standard error 0.008) of a
    day's whole worth by nine paired days, before hosts told each other of
    sends at once; beside that nothing is shown (0.003 less, 0.004) but on
    one pair of days of another deployment (0.039).

    Args:
        reading: Seconds that the engine takes to read the prompt.
        target: Seconds in which the route's answers should begin.
        priority: The operator's rank of the request, 0 first.
    """
    length = (reading > target * SHORT) + (reading > target * LONG)
    return RANKS * length + min(RANKS - 1, priority)
