"""What own exchanges tell of one upstream's health.

An upstream whose connections fail is left out for a while that grows, and
comes back with one trial at a time. One that fails part of its requests
stays in, with a penalty: its health check may be good all the while.
"""

from dataclasses import dataclass
from typing import Final

#: Seconds for which an upstream is left out after its first failure to
#: connect; doubles with each further one. Two round trips of the slowest
#: trial, so that a single lost packet costs little.
FIRST_PAUSE: Final = 0.5

#: Longest pause in seconds; an upstream that restarts is back in seconds.
LONGEST_PAUSE: Final = 4.0

#: Weight of the newest outcome in the moving averages: about the last six
#: decide, since a host sees one upstream a few times a second at most.
RECENT: Final = 0.3

#: Seconds in which half of what was seen of failures is forgotten.
FORGET: Final = 4.0

_HALF: Final = 0.5


@dataclass(slots=True)
class Health:
    """What a host knows of one upstream from its own exchanges.

    Attributes:
        failures: Recent share of exchanges that failed.
        pace: Recent time to an answer's beginning against what is usual
            for the same kind of request; 1 is usual.
        excluded_until: Clock seconds until which it gets nothing.
        pause: Seconds of the last exclusion.
        trial: Whether the one trial after an exclusion is under way.
        changed: Clock seconds of the last outcome.
    """

    failures: float = 0
    pace: float = 1
    excluded_until: float = 0
    pause: float = 0
    trial: bool = False
    changed: float = 0

    def available(self, now: float) -> bool:
        """Tell whether a request may be sent to it."""
        if now < self.excluded_until:
            return False
        return not (self.pause and self.trial)

    def hopeless(self, now: float) -> bool:
        """Tell whether a request sent to it now would only wait in vain.

        It could not be reached twice in a row, and somebody tries just now,
        or did a moment ago. One failure is no reason: a packet may be lost.
        """
        if self.pause <= FIRST_PAUSE:
            return False
        return self.trial or now - self.changed < FIRST_PAUSE

    def begin(self) -> None:
        """Note that a request goes out to it."""
        if self.pause:
            self.trial = True

    def abandon(self) -> None:
        """Note that a request ended without telling anything of it."""
        self.trial = False

    def unreachable(self, now: float) -> None:
        """Note that no connection could be had, or one went silent."""
        self.pause = min(LONGEST_PAUSE, max(FIRST_PAUSE, self.pause * 2))
        self.excluded_until = now + self.pause
        self.trial = False
        self._fold(1, now)

    def failed(self, now: float) -> None:
        """Note an answer that was a failure, or was cut."""
        self.trial = False
        self._fold(1, now)

    def silent(self, now: float) -> None:
        """Note that it has not answered for longer than is usual.

        The answer may still come; until it does, others go elsewhere.
        """
        self._fold(1, now)

    def answered(self, now: float, pace: float | None = None) -> None:
        """Note a sound answer, and its pace if that could be told."""
        self.pause = 0
        self.trial = False
        self._fold(0, now)
        if pace is not None:
            self.pace += RECENT * (pace - self.pace)

    def failure_share(self, now: float) -> float:
        """Return the recent share of failures, older ones forgotten."""
        age = max(0, now - self.changed)
        return self.failures * float(_HALF ** (age / FORGET))

    def _fold(self, failure: float, now: float) -> None:
        """Take an outcome into the moving average."""
        present = self.failure_share(now)
        self.failures = present + RECENT * (failure - present)
        self.changed = now
