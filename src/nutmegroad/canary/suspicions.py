"""Attempts that broke off, of which it is not known yet what broke them.

A crash, a cut or a lost machine break attempts on any version. An upstream
that answers again a moment later was there all the while, so what broke at it
speaks against its version; one that does not says nothing about it.
"""

from collections import deque
from typing import Final

from nutmegroad.fleet.evidence import KindNumber
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import UpstreamIncarnation

#: Seconds within which an upstream that was there all the while has answered
#: something else: it gets a request or two a second at the least.
SPAN: Final = 3.0

#: Attempts that are remembered for one upstream at most.
MOST: Final = 30

#: When attempts broke off, in clock seconds, and what kind they were.
_Broken = deque[tuple[float, KindNumber]]


class Suspicions:
    """Remembers attempts that broke off, by upstream.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._broken: dict[UpstreamIncarnation, _Broken] = {}

    def broke(self, upstream: UpstreamIncarnation, kind: KindNumber) -> None:
        """Note that an attempt broke off."""
        self._forget_old()
        known = self._broken.setdefault(upstream, deque(maxlen=MOST))
        known.append((self._clock.now(), kind))

    def answered(
        self,
        upstream: UpstreamIncarnation,
    ) -> tuple[KindNumber, ...]:
        """Return the kinds of what broke at an upstream that has answered."""
        oldest = self._clock.now() - SPAN
        broken = self._broken.pop(upstream, ())
        return tuple(kind for moment, kind in broken if moment >= oldest)

    def _forget_old(self) -> None:
        """Forget upstreams that have not answered in time."""
        oldest = self._clock.now() - SPAN
        for upstream, broken in tuple(self._broken.items()):
            if broken[-1][0] < oldest:
                self._broken.pop(upstream)
