"""Health of one upstream as seen from this host's own exchanges.

An upstream whose connections fail is excluded for a period that grows with each
failure; it returns with one probe request at a time. An upstream that fails
only some of its requests stays available with a penalty, because its health
check may succeed all the while.
"""

from dataclasses import dataclass
from typing import Final

#: Seconds for which an upstream is excluded after its first connection failure;
#: doubles with each further failure. Two round trips on a slow network, so that
#: a single lost packet costs little.
INITIAL_EXCLUSION: Final = 0.5

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
        failure_average: Moving average of the fraction of failed exchanges, as
            of the last outcome.
        latency_ratio: Moving average of the time until an answer starts,
            relative to the estimate for such a request; 1 is as expected.
        excluded_until: Clock seconds until which the upstream gets no requests.
        exclusion_seconds: Length in seconds of the last exclusion; 0 if the
            upstream is reachable.
        probing: Whether the probe request after an exclusion is in progress.
        last_outcome_at: Clock seconds of the last outcome.
    """

    failure_average: float = 0
    latency_ratio: float = 1
    excluded_until: float = 0
    exclusion_seconds: float = 0
    probing: bool = False
    last_outcome_at: float = 0

    def is_available(self, now: float) -> bool:
        """Return whether a request may be sent to the upstream."""
        if now < self.excluded_until:
            return False
        return not (self.exclusion_seconds and self.probing)

    def is_unreachable(self, now: float) -> bool:
        """Return whether a request sent now would almost certainly fail.

        True if the upstream was unreachable twice in a row and a probe request
        is in progress or has just failed. A single failure is not enough,
        because it may be a lost packet.
        """
        if self.exclusion_seconds <= INITIAL_EXCLUSION:
            return False
        return self.probing or now - self.last_outcome_at < INITIAL_EXCLUSION

    def record_attempt(self) -> None:
        """Record that a request is sent to the upstream."""
        if self.exclusion_seconds:
            self.probing = True

    def record_no_result(self) -> None:
        """Record that a request ended without evidence about the upstream."""
        self.probing = False

    def record_unreachable(self, now: float) -> None:
        """Record that connecting failed or a connection became unresponsive."""
        self.exclusion_seconds = min(
            MAX_EXCLUSION, max(INITIAL_EXCLUSION, self.exclusion_seconds * 2)
        )
        self.excluded_until = now + self.exclusion_seconds
        self.probing = False
        self._add_outcome(1, now)

    def record_failure(self, now: float) -> None:
        """Record an answer that was a failure or was cut off."""
        self.probing = False
        self._add_outcome(1, now)

    def record_overdue(self, now: float) -> None:
        """Record that an answer is overdue.

        The answer may still arrive. Until then other requests prefer other
        upstreams.
        """
        self._add_outcome(1, now)

    def record_answer(self, now: float, ratio: float | None = None) -> None:
        """Record a successful answer.

        Args:
            now: Clock seconds.
            ratio: Ratio of the time until the answer started to its estimate;
                None if it could not be measured.
        """
        self.exclusion_seconds = 0
        self.probing = False
        self._add_outcome(0, now)
        if ratio is not None:
            self.latency_ratio += NEWEST_WEIGHT * (ratio - self.latency_ratio)

    def failure_rate(self, now: float) -> float:
        """Return the recent failure rate, decayed to ``now``."""
        age = max(0, now - self.last_outcome_at)
        return self.failure_average * float(_HALF ** (age / FAILURE_HALF_LIFE))

    def _add_outcome(self, failure: float, now: float) -> None:
        """Add an outcome to the moving average of failures."""
        present = self.failure_rate(now)
        self.failure_average = present + NEWEST_WEIGHT * (failure - present)
        self.last_outcome_at = now
