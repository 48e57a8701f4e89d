"""How long a host's heartbeats may stay out before it is suspected."""

from typing import Final

#: A bound is never less or more than so many heartbeat intervals.
_LEAST: Final = 3.0
_MOST: Final = 8.0
#: Weights of the smoothed mean and deviation, as in the retransmission
#: timer of TCP (RFC 6298), which has the same task.
_MEAN_WEIGHT: Final = 0.125
_DEVIATION_WEIGHT: Final = 0.25
_DEVIATIONS: Final = 4


class Arrivals:
    """Learns the gaps between a host's heartbeats.

    Args:
        interval: Seconds between heartbeats as they are meant.
    """

    def __init__(self, interval: float) -> None:
        self._interval = interval
        self._last: float | None = None
        self._mean = interval
        self._deviation = interval / 2

    def note(self, now: float) -> None:
        """Take in a heartbeat."""
        if self._last is not None:
            self._learn(now - self._last)
        self._last = now

    def bound(self) -> float:
        """Return the seconds of silence that are still ordinary."""
        expected = self._mean + _DEVIATIONS * self._deviation
        least = _LEAST * self._interval
        return min(max(expected, least), _MOST * self._interval)

    def _learn(self, gap: float) -> None:
        error = gap - self._mean
        self._mean += _MEAN_WEIGHT * error
        self._deviation += _DEVIATION_WEIGHT * (abs(error) - self._deviation)
