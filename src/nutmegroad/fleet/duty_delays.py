"""Staggered delays for a duty: a task that any one of the hosts performs."""

import math


def duty_delay(rank: int, spread: float) -> float:
    """Return the seconds a host waits before it performs a duty.

    The delay grows with the logarithm of the rank: when many hosts are down,
    the next live one still takes over soon.

    Args:
        rank: The host's rank among all hosts for the duty; 0 for the first.
        spread: Seconds for which the second host waits; the first doesn't wait.
    """
    return spread * math.log2(1 + rank)
