"""Staggered delays for a duty that any host may perform."""

import math


def duty_delay(rank: int, spread: float) -> float:
    """Return the seconds a host waits before it performs a duty.

    The delay grows with the logarithm of the rank: when many hosts are down,
    the next live one still takes over soon.

    Args:
        rank: The host's rank among all hosts for the duty; 0 for the first.
        spread: Seconds for which the second host waits.
    """
    return spread * math.log2(1 + rank)
