"""The steady clock of the platform's store, seen from this host.

Each answer of the store carries its time. The answer was made after its request
was sent, which bounds how far the store's clock can be ahead of the host's; of
all answers, the one with the shortest round trip gives the best bound. With it,
the time of an answer is known even if the store held the answer back for
seconds.
"""

from typing import Final

from nutmegroad.foundations.clocks import Clock

#: Maximum drift between two steady clocks, in seconds per second.
MAX_DRIFT: Final = 0.0002

#: Decimal digits of a second in times that are stored.
TIME_DIGITS: Final = 3


class StoreClock:
    """Converts the store's times to the host's clock, never to a later time.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Lower bound of the host's clock minus the store's, and the time at
        # which it was measured.
        self._lead: float | None = None
        self._calibrated_at = float('-inf')

    @property
    def age(self) -> float:
        """Return the seconds since an answer last calibrated the clock."""
        return self._clock.now() - self._calibrated_at

    def now(self) -> float:
        """Return the store's time in seconds.

        Before the first answer of the store, it is the host's time.
        """
        now = self._clock.now()
        return now if self._lead is None else now - self._lead

    def to_store_time(self, time: float) -> float:
        """Convert a time of the host's clock to the store's seconds."""
        lead = self._clock.now() - self.now()
        return round(time - lead, TIME_DIGITS)

    def reset(self) -> None:
        """Discard the calibration; the store's clock may have been reset."""
        self._lead = None
        self._calibrated_at = float('-inf')

    def calibrate(self, asked: float, store_time: float) -> None:
        """Calibrate the clock by an answer of the store.

        Args:
            asked: Clock time in seconds right before the request was sent. The
                time that has passed since makes the answer look older than it
                is.
            store_time: The store's seconds in the answer.
        """
        least = asked - store_time
        known = self._current_lead()
        if known is None or least >= known:
            self._lead = least
            self._calibrated_at = self._clock.now()

    def to_host_time(self, store_time: float) -> float:
        """Convert a time of the store, whichever host has read it.

        Args:
            store_time: Seconds on the store's clock.

        Returns:
            The earliest possible clock time in seconds; negative infinity if
            the store has not answered this host yet.
        """
        known = self._current_lead()
        if known is None:
            return float('-inf')
        return min(self._clock.now(), store_time + known)

    def _current_lead(self) -> float | None:
        """Return the lower bound of the host's lead, or None if unknown."""
        if self._lead is None:
            return None
        return self._lead - MAX_DRIFT * (
            self._clock.now() - self._calibrated_at
        )
