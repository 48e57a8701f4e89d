"""The platform store's steady clock, seen from this host.

Each answer of the store carries its time. The answer was made after its
question was sent, so it shows how far the store's clock is ahead of ours at
most; of all answers the one that came back soonest shows it best. With that,
an answer that the store held back for seconds still tells when it was made.
"""

from typing import Final

from nutmegroad.foundations.clocks import Clock

#: Seconds that two steady clocks may drift apart in a second.
DRIFT: Final = 0.0002


class StoreClock:
    """Turns the store's times into ours, never later than they were.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Ours less the store's, at least; and when that was found.
        self._behind: float | None = None
        self._found = clock.now()

    def now(self) -> float:
        """Return the store's seconds, or ours before its first answer."""
        now = self._clock.now()
        return now if self._behind is None else now - self._behind

    def moment(self, asked: float, store_time: float) -> float:
        """Return our time at which an answer was made, at the earliest.

        Args:
            asked: Clock seconds before the question was sent.
            store_time: The store's seconds in the answer.
        """
        now = self._clock.now()
        least = asked - store_time
        known = self._behind
        if known is not None:
            known -= DRIFT * (now - self._found)
        if known is None or least >= known:
            known = least
            self._behind = least
            self._found = now
        return min(now, max(asked, store_time + known))
