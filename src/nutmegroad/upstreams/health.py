"""Health of one upstream as seen from this host's own exchanges.

An upstream whose connections fail is excluded for a period that grows with each
failure; it returns with one probe request at a time. An upstream that fails
only some of its requests stays available with a penalty, because its health
check may succeed all the while.
"""

from dataclasses import dataclass
from typing import Final

#: Seconds for which an upstream is excluded after its first connection failure;
#: doubles with each further failure. Two round trips in the slowest test
#: scenario, so that a single lost packet costs little.
FIRST_PAUSE: Final = 0.5

#: Maximum exclusion in seconds; an upstream that restarts is back within
#: seconds.
MAX_EXCLUSION: Final = 4.0

#: Weight of the newest outcome in the moving averages. About the last six
#: outcomes decide, because a host uses one upstream a few times per second at
#: most.
NEWEST_WEIGHT: Final = 0.3

#: Half-life in seconds of the observed failure rate.
FAILURE_HALF_LIFE: Final = 4.0

_HALF: Final = 0.5


@dataclass(slots=True)
class Health:
    """What a host knows about one upstream from its own exchanges.

    Attributes:
        failures: Moving average of the fraction of failed exchanges, as
            of the last outcome.
        pace: Moving average of the time until an answer starts,
            relative to the estimate for such a request; 1 is as expected.
        excluded_until: Clock seconds until which the upstream gets no requests.
        pause: Length in seconds of the last exclusion; 0 if the
            upstream is reachable.
        trial: Whether the probe request after an exclusion is in progress.
        changed: Clock seconds of the last outcome.
    """

    failures: float = 0
    pace: float = 1
    excluded_until: float = 0
    pause: float = 0
    trial: bool = False
    changed: float = 0

    def available(self, now: float) -> bool:
        """Return whether a request may be sent to the upstream."""
        if now < self.excluded_until:
            return False
        return not (self.pause and self.trial)

    def hopeless(self, now: float) -> bool:
        """Return whether a request sent now would almost certainly fail.

        True if the upstream was unreachable twice in a row and a probe request
        is in progress or has just failed. A single failure is not enough,
        because it may be a lost packet.
        """
        if self.pause <= FIRST_PAUSE:
            return False
        return self.trial or now - self.changed < FIRST_PAUSE

    def begin(self) -> None:
        """Record that a request is sent to the upstream."""
        if self.pause:
            self.trial = True

    def abandon(self) -> None:
        """Record that a request ended without saying anything about it."""
        self.trial = False

    def unreachable(self, now: float) -> None:
        """Record that connecting failed or a connection became unresponsive."""
        self.pause = min(MAX_EXCLUSION, max(FIRST_PAUSE, self.pause * 2))
        self.excluded_until = now + self.pause
        self.trial = False
        self._add_outcome(1, now)

    def failed(self, now: float) -> None:
        """Record an answer that was a failure or was cut off."""
        self.trial = False
        self._add_outcome(1, now)

    def silent(self, now: float) -> None:
        """Record that an answer is overdue.

        The answer may still arrive. Until then other requests prefer other
        upstreams.
        """
        self._add_outcome(1, now)

    def answered(self, now: float, ratio: float | None = None) -> None:
        """Record a successful answer.

        Args:
            now: Clock seconds.
            ratio: Ratio of the time until the answer started to its estimate;
                None if it could not be measured.
        """
        self.pause = 0
        self.trial = False
        self._add_outcome(0, now)
        if ratio is not None:
            self.pace += NEWEST_WEIGHT * (ratio - self.pace)

    def failure_share(self, now: float) -> float:
        """Return the recent failure rate, decayed to ``now``."""
        age = max(0, now - self.changed)
        return self.failures * float(_HALF ** (age / FAILURE_HALF_LIFE))

    def _add_outcome(self, failure: float, now: float) -> None:
        """Add an outcome to the moving average of failures."""
        present = self.failure_share(now)
        self.failures = present + NEWEST_WEIGHT * (failure - present)
        self.changed = now
