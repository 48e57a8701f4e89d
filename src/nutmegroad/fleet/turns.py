"""Turns of hosts at something that one of them has to do."""

import math


def delay_of_turn(place: int, spread: float) -> float:
    """Return the seconds for which a host waits behind the first.

    Those further behind wait for ever less more: with many hosts lost, the next
    one that lives is still soon.

    Args:
        place: Its place among all; 0 for the first.
        spread: Seconds by which the second waits.
    """
    return spread * math.log2(1 + place)
