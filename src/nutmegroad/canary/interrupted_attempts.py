"""Interrupted attempts whose cause is not known yet.

A crash, a network cut or a lost host interrupts attempts on any version. If the
upstream answers again shortly after, it was running all the while, and the
interruption counts against its version. If it does not, the interruption says
nothing about the version.
"""

from collections import deque
from typing import Final

from nutmegroad.fleet.evidence import KindNumber
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import UpstreamIncarnation

#: Seconds within which an upstream that was running all the while has answered
#: another request: it gets at least one or two requests per second.
ANSWER_WINDOW: Final = 3.0

#: Maximum number of attempts remembered for one upstream.
MAX_ATTEMPTS: Final = 30

#: Host clock, in seconds, of each interruption, and the kind of request.
_Interruptions = deque[tuple[float, KindNumber]]


class InterruptedAttempts:
    """Remembers interrupted attempts until their upstream answers again.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._interrupted: dict[UpstreamIncarnation, _Interruptions] = {}

    def record(self, upstream: UpstreamIncarnation, kind: KindNumber) -> None:
        """Record that an attempt was interrupted."""
        self._remove_expired()
        known = self._interrupted.setdefault(
            upstream, deque(maxlen=MAX_ATTEMPTS)
        )
        known.append((self._clock.now(), kind))

    def pop_interrupted(
        self,
        upstream: UpstreamIncarnation,
    ) -> tuple[KindNumber, ...]:
        """Return the kinds of the requests that were interrupted recently.

        Called when the upstream has answered. All its interruptions are
        removed; those older than ``ANSWER_WINDOW`` are not returned.

        Args:
            upstream: The upstream that has answered.
        """
        oldest = self._clock.now() - ANSWER_WINDOW
        interrupted = self._interrupted.pop(upstream, ())
        return tuple(
            kind for timestamp, kind in interrupted if timestamp >= oldest
        )

    def forget(self, upstream: UpstreamIncarnation) -> None:
        """Forget the interruptions at an upstream; they had another cause."""
        self._interrupted.pop(upstream, None)

    def _remove_expired(self) -> None:
        """Remove upstreams that have not answered in time."""
        oldest = self._clock.now() - ANSWER_WINDOW
        for upstream, interrupted in tuple(self._interrupted.items()):
            if interrupted[-1][0] < oldest:
                self._interrupted.pop(upstream)
