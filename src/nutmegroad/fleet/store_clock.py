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
        self._found = float('-inf')

    @property
    def age(self) -> float:
        """Return the seconds since an answer last set it."""
        return self._clock.now() - self._found

    def now(self) -> float:
        """Return the store's seconds, or ours before its first answer."""
        now = self._clock.now()
        return now if self._behind is None else now - self._behind

    def forget(self) -> None:
        """Begin anew: the store's clock may have been set."""
        self._behind = None
        self._found = float('-inf')

    def answered(self, asked: float, store_time: float) -> None:
        """Learn from an answer how far our clock is ahead.

        Args:
            asked: Clock seconds right before the question was sent; what has
                passed since makes the answer's moment look older than it is.
            store_time: The store's seconds in the answer.
        """
        least = asked - store_time
        known = self._known()
        if known is None or least >= known:
            self._behind = least
            self._found = self._clock.now()

    def moment(self, store_time: float) -> float:
        """Return our time of a moment of the store's, whoever tells of it.

        Args:
            store_time: The store's seconds at that moment.

        Returns:
            The earliest that it can have been; endlessly long ago if the
            store has not answered this host yet.
        """
        known = self._known()
        if known is None:
            return float('-inf')
        return min(self._clock.now(), store_time + known)

    def _known(self) -> float | None:
        """Return how far ours is ahead at least, None if not known."""
        if self._behind is None:
            return None
        return self._behind - DRIFT * (self._clock.now() - self._found)
