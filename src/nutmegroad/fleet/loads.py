"""What upstreams are busy with, as far as the hosts tell each other.

Each host knows what it has sent itself, and hears from the others what they
have: several times a second within a failure domain, less often beyond.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from msgspec import Struct

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import HostId, UpstreamIncarnation

#: Seconds after which what another host told is not believed any more: even
#: one in another failure domain has missed a turn, so it is likely gone.
STALE: Final = 2.5


class Load(Struct, frozen=True, array_like=True):
    """What one upstream is busy with.

    Attributes:
        running: Requests at it.
        reading: Seconds of work in prompts that it has yet to read.
        tokens: Tokens that its requests hold in memory.
    """

    running: int = 0
    reading: float = 0
    tokens: int = 0

    def times(self, factor: int) -> 'Load':
        """Return so many times the load."""
        return Load(
            self.running * factor,
            self.reading * factor,
            self.tokens * factor,
        )

    def plus(self, other: 'Load') -> 'Load':
        """Return the sum of two loads."""
        return Load(
            self.running + other.running,
            self.reading + other.reading,
            self.tokens + other.tokens,
        )


NO_LOAD: Final = Load()

Loads = dict[UpstreamIncarnation, Load]

#: Told of a request that goes to an upstream, and what it adds there.
TellOfRequest = Callable[[UpstreamIncarnation, Load], None]


@dataclass(frozen=True, slots=True)
class _Told:
    """What a neighbour has told.

    Attributes:
        loads: The loads.
        moment: Clock seconds.
    """

    loads: Loads
    moment: float


class LoadLedger:
    """Counts own requests, and remembers what neighbours told.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._own: Loads = {}
        self._told: dict[HostId, _Told] = {}
        # The sum of what neighbours told: there may be many of them, and each
        # choice of an upstream asks for it.
        self._others: Loads = {}
        self._told_of_requests: list[TellOfRequest] = []

    @property
    def own(self) -> Loads:
        """Return what this host has sent."""
        return self._own

    def tell_of_requests(self, tell: TellOfRequest) -> None:
        """Let somebody hear of each request that this host sends."""
        self._told_of_requests.append(tell)

    def load(self, upstream: UpstreamIncarnation) -> Load:
        """Return what an upstream is busy with, as far as is known."""
        self._forget_stale()
        own = self._own.get(upstream, NO_LOAD)
        return own.plus(self._others.get(upstream, NO_LOAD))

    def begin(
        self, upstream: UpstreamIncarnation, load: Load
    ) -> Callable[[], None]:
        """Count a request, and return what counts its prompt as read."""
        self._add(upstream, load)
        for tell in self._told_of_requests:
            tell(upstream, load)
        left = [load.reading]

        def read() -> None:
            """Count the prompt off, once."""
            if left:
                self._add(upstream, Load(0, -left.pop(), 0))

        return read

    def end(self, upstream: UpstreamIncarnation, load: Load) -> None:
        """Count a request off whose prompt has been counted off."""
        self._add(upstream, Load(-load.running, 0, -load.tokens))

    def told(self, host: HostId, loads: Loads) -> None:
        """Take in what a neighbour has sent."""
        now = self._clock.now()
        before = self._told.pop(host, None)
        # The newest is last, so what is stale is found at the beginning.
        self._told[host] = _Told(loads, now)
        if before is not None:
            self._change(before.loads, -1)
        self._change(loads, 1)

    def told_part(self, host: HostId, loads: Loads) -> None:
        """Take in what a neighbour has at some upstreams."""
        known = self._told.get(host)
        whole = loads if known is None else {**known.loads, **loads}
        self.told(host, whole)

    def _forget_stale(self) -> None:
        """Forget what neighbours told too long ago."""
        oldest = self._clock.now() - STALE
        while self._told:
            host, told = next(iter(self._told.items()))
            if told.moment >= oldest:
                break
            self._told.pop(host)
            self._change(told.loads, -1)

    def _change(self, loads: Loads, sign: int) -> None:
        """Add what a neighbour has to the sum, or take it off."""
        for upstream, load in loads.items():
            present = self._others.get(upstream, NO_LOAD)
            changed = present.plus(load.times(sign))
            if changed.running > 0:
                self._others[upstream] = changed
            else:
                self._others.pop(upstream, None)

    def _add(self, upstream: UpstreamIncarnation, change: Load) -> None:
        """Change what this host has at an upstream."""
        present = self._own.get(upstream, NO_LOAD).plus(change)
        if present.running:
            self._own[upstream] = present
        else:
            self._own.pop(upstream, None)
