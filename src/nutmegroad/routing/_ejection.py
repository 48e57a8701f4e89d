"""Ejection of failing upstreams, probation after it, and slow start."""

import random
from types import MappingProxyType
from typing import Final

from nutmegroad.contracts.upstreams import UpstreamState
from nutmegroad.foundations.results import ResultCode
from nutmegroad.foundations.types import AttemptId, UpstreamId

#: Weight of each result code in an upstream's failure score. A cut-off answer
#: counts little, because a caller that disconnects looks the same.
FAILURE_WEIGHTS: Final = MappingProxyType(
    {
        ResultCode.UPSTREAM_UNREACHABLE: 1.5,
        ResultCode.UPSTREAM_TIMEOUT: 1.5,
        ResultCode.UPSTREAM_ERROR: 1.0,
        ResultCode.ANSWER_CROSSED: 1.0,
        ResultCode.ANSWER_CUT: 0.3,
    }
)

#: Failure score without a success in between at which an upstream is ejected.
EJECTION_SCORE: Final = 3.0

#: Duration of the first ejection in seconds; doubles with each further one.
INITIAL_EJECTION: Final = 1.0

#: Maximum duration of an ejection in seconds.
MAX_EJECTION: Final = 60.0

#: Maximum delay in seconds of an engine's load report.
REPORT_LAG: Final = 0.5

#: Seconds until a new or recovered upstream gets its full traffic.
SLOW_START_PERIOD: Final = 10.0

#: Fraction of its slots that a new or recovered upstream may use at first.
MIN_START_FRACTION: Final = 0.2

#: Maximum number of times that the duration of an ejection is doubled.
_MAX_DOUBLINGS: Final = 10

#: Range of the random factor of the duration of an ejection.
_JITTER: Final = (0.75, 1.25)


class Health:
    """Health of one upstream as seen from this host's own attempts.

    Args:
        since: Clock seconds at which the upstream was first seen.
        randomness: Jitter of ejection times.
    """

    def __init__(self, since: float, randomness: random.Random) -> None:
        self._randomness = randomness
        self._since = since
        self._score: float = 0
        self._is_ejected = False
        self._ejections = 0
        self._ejected_until = float('-inf')
        self._probe: AttemptId | None = None
        self._ejected_at = float('-inf')
        self._unreachable = False

    def admits(self, now: float, reported: float) -> bool:
        """Return whether the upstream may get work.

        On probation it gets one request at a time. An upstream that was ejected
        as unreachable and has sent a report since is readmitted immediately
        with a slow start: waiting for the result of a probe request would take
        seconds during which the other upstreams carry its load.

        Args:
            now: Clock seconds.
            reported: Clock seconds of the upstream's last report.
        """
        if not self._is_ejected:
            return True
        if self._unreachable and reported > self._ejected_at + REPORT_LAG:
            self._readmit(now)
            return True
        return self._probe is None and now >= self._ejected_until

    def slot_fraction(self, now: float) -> float:
        """Return the fraction of its slots to use, from 0.2 to 1."""
        age = (now - self._since) / SLOW_START_PERIOD
        return min(1.0, max(MIN_START_FRACTION, age))

    def started(self, attempt: AttemptId) -> None:
        """Record the start of an attempt; on probation it is the probe."""
        if self._is_ejected and self._probe is None:
            self._probe = attempt

    def ended(
        self,
        attempt: AttemptId,
        code: ResultCode,
        now: float,
    ) -> None:
        """Record the end of an attempt."""
        if self._is_ejected:
            # Attempts that began before the ejection say nothing about the
            # upstream's present state.
            if attempt == self._probe:
                self._evaluate_probe(code, now)
            return
        if code is ResultCode.OK:
            self._score = 0
            self._ejections = 0
            return
        self._score += FAILURE_WEIGHTS.get(code, 0)
        if self._score >= EJECTION_SCORE:
            self._eject(code, now)

    def _evaluate_probe(self, code: ResultCode, now: float) -> None:
        """Evaluate the probe request; on success readmit with a slow start."""
        self._probe = None
        if code is ResultCode.OK:
            self._ejections = 0
            self._readmit(now)
        elif code in FAILURE_WEIGHTS:
            self._eject(code, now)

    def _readmit(self, now: float) -> None:
        """Return the upstream to service with a slow start."""
        self._is_ejected = False
        self._probe = None
        self._since = now

    def _eject(self, code: ResultCode, now: float) -> None:
        """Send the upstream no work for a while."""
        doublings = min(self._ejections, _MAX_DOUBLINGS)
        seconds = min(MAX_EJECTION, INITIAL_EJECTION * 2**doublings)
        self._ejected_until = now + seconds * self._randomness.uniform(*_JITTER)
        self._is_ejected = True
        self._ejected_at = now
        self._unreachable = code is ResultCode.UPSTREAM_UNREACHABLE
        self._ejections += 1
        self._score = 0


class HealthRegistry:
    """Registry of the health of each upstream of one kind.

    Args:
        randomness: Jitter of ejection times.
    """

    def __init__(self, randomness: random.Random) -> None:
        self._randomness = randomness
        self._known: dict[UpstreamId, tuple[UpstreamState, Health]] = {}

    def health(self, state: UpstreamState) -> Health:
        """Return an upstream's health; a new incarnation starts afresh."""
        known = self._known.get(state.info.upstream)
        if known is not None and known[0] is state:
            return known[1]
        health = Health(state.first_seen, self._randomness)
        self._known[state.info.upstream] = (state, health)
        return health

    def admits(self, state: UpstreamState, now: float) -> bool:
        """Return whether an upstream may get work."""
        return self.health(state).admits(now, state.report_requested_at)
