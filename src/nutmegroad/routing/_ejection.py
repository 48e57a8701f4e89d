"""Whether an upstream may be tried: ejection, probation, slow start."""

import random
from types import MappingProxyType
from typing import Final

from nutmegroad.contracts.upstreams import UpstreamState
from nutmegroad.foundations.results import ResultCode
from nutmegroad.foundations.types import AttemptId, UpstreamId

#: How much a result counts against an upstream. A cut answer counts little:
#: a caller who goes away looks the same.
FAILURE_WEIGHTS: Final = MappingProxyType(
    {
        ResultCode.UPSTREAM_UNREACHABLE: 1.5,
        ResultCode.UPSTREAM_TIMEOUT: 1.5,
        ResultCode.UPSTREAM_ERROR: 1.0,
        ResultCode.ANSWER_CROSSED: 1.0,
        ResultCode.ANSWER_CUT: 0.3,
    }
)

#: Sum of weights without a success between at which it is ejected.
EJECTED_AT: Final = 3.0

#: Seconds of the first ejection; each one that follows doubles it.
FIRST_EJECTION: Final = 1.0

LONGEST_EJECTION: Final = 60.0

#: Seconds by which an engine's report may be behind.
REPORT_LAG: Final = 0.5

#: Seconds in which a new or recovered upstream comes to its full share.
SLOW_START: Final = 10.0

#: Share of its slots that it may have at once.
SLOWEST_START: Final = 0.2

_MOST_DOUBLINGS: Final = 10
_JITTER: Final = (0.75, 1.25)


class Health:
    """What this host's own attempts say of one upstream.

    Args:
        since: Clock seconds at which it was first seen.
        randomness: Jitter of ejections.
    """

    def __init__(self, since: float, randomness: random.Random) -> None:
        self._randomness = randomness
        self._since = since
        self._score: float = 0
        self._is_out = False
        self._ejections = 0
        self._until = float('-inf')
        self._trial: AttemptId | None = None
        self._ejected = float('-inf')
        self._unreachable = False

    def admits(self, now: float, reported: float) -> bool:
        """Tell whether it may get work; on probation one at a time.

        What could not be reached, and has reported since, is back at once
        with a slow start: to wait for the end of one trial would cost
        seconds in which the others carry its load.

        Args:
            now: Clock seconds.
            reported: Clock seconds of its last report.
        """
        if not self._is_out:
            return True
        if self._unreachable and reported > self._ejected + REPORT_LAG:
            self._readmit(now)
            return True
        return self._trial is None and now >= self._until

    def ramp(self, now: float) -> float:
        """Return the share of its slots to use, from 0.2 to 1."""
        age = (now - self._since) / SLOW_START
        return min(1.0, max(SLOWEST_START, age))

    def started(self, attempt: AttemptId) -> None:
        """Note an attempt; on probation it is the one trial."""
        if self._is_out and self._trial is None:
            self._trial = attempt

    def ended(
        self,
        attempt: AttemptId,
        code: ResultCode,
        now: float,
    ) -> None:
        """Note how an attempt ended."""
        if self._is_out:
            # What was under way before the ejection proves nothing of now.
            if attempt == self._trial:
                self._judge(code, now)
            return
        if code is ResultCode.OK:
            self._score = 0
            self._ejections = 0
            return
        self._score += FAILURE_WEIGHTS.get(code, 0)
        if self._score >= EJECTED_AT:
            self._eject(code, now)

    def _judge(self, code: ResultCode, now: float) -> None:
        """End a trial; what has passed it starts slowly."""
        self._trial = None
        if code is ResultCode.OK:
            self._ejections = 0
            self._readmit(now)
        elif code in FAILURE_WEIGHTS:
            self._eject(code, now)

    def _readmit(self, now: float) -> None:
        """Give it work again, slowly."""
        self._is_out = False
        self._trial = None
        self._since = now

    def _eject(self, code: ResultCode, now: float) -> None:
        """Give it no work for a while."""
        doublings = min(self._ejections, _MOST_DOUBLINGS)
        seconds = min(LONGEST_EJECTION, FIRST_EJECTION * 2**doublings)
        self._until = now + seconds * self._randomness.uniform(*_JITTER)
        self._is_out = True
        self._ejected = now
        self._unreachable = code is ResultCode.UPSTREAM_UNREACHABLE
        self._ejections += 1
        self._score = 0


class Healths:
    """The health of each upstream of some kind.

    Args:
        randomness: Jitter of ejections.
    """

    def __init__(self, randomness: random.Random) -> None:
        self._randomness = randomness
        self._known: dict[UpstreamId, tuple[UpstreamState, Health]] = {}

    def health(self, state: UpstreamState) -> Health:
        """Return an upstream's health; another run of it starts anew."""
        known = self._known.get(state.info.upstream)
        if known is not None and known[0] is state:
            return known[1]
        health = Health(state.first_seen, self._randomness)
        self._known[state.info.upstream] = (state, health)
        return health

    def admits(self, state: UpstreamState, now: float) -> bool:
        """Tell whether an upstream may get work."""
        return self.health(state).admits(now, state.reported)
