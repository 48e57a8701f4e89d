"""Ranks of this host among all hosts, by duty."""

from collections.abc import Callable
from typing import Final

from nutmegroad.foundations.clocks import Clock

#: Seconds for which a rank is kept: computing one takes a hash for each host.
RANK_VALIDITY: Final = 1.0

#: Returns this host's rank among all hosts for a duty; None before the hosts
#: are known.
HostRank = Callable[[str], int | None]


class DutyRanks:
    """Ranks that are computed at most once in a while.

    Args:
        clock: The host's clock.
        rank: Computes this host's rank for a duty.
    """

    def __init__(self, clock: Clock, rank: HostRank) -> None:
        self._clock = clock
        self._rank = rank
        # The rank for each duty, and the clock seconds until which it is valid.
        self._known: dict[str, tuple[int | None, float]] = {}

    def is_among_first(self, duty: str, count: int) -> bool:
        """Return whether this host is among the first hosts for a duty.

        Args:
            duty: The duty.
            count: Number of hosts that have it.
        """
        now = self._clock.now()
        known = self._known.get(duty)
        if known is None or now >= known[1]:
            self._known = {
                other: kept
                for other, kept in self._known.items()
                if now < kept[1]
            }
            known = (self._rank(duty), now + RANK_VALIDITY)
            self._known[duty] = known
        rank = known[0]
        return rank is not None and rank < count
