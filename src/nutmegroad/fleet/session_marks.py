"""Sessions that a roll-out must leave where they are, told from host to host.

A session comes to any host, and each must know if another has seen it on the
old version a moment ago. Hosts tell each other small marks of such sessions,
with their ages; what was heard is told on, so a mark reaches all hosts of a
failure domain through any one of them.
"""

from typing import Final, NewType

from xxhash import xxh32_intdigest

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import ServiceName

#: 32 bits that stand for a session at a service; two sessions that share a
#: mark cost no more than one request that stays on the old version.
SessionMark = NewType('SessionMark', int)

#: Marks that are told at most, the newest: with some ten bytes each, two
#: datagrams.
MOST_TOLD: Final = 250

#: Ages are told in hundredths of a second.
_HUNDREDTHS: Final = 100


def mark(service: ServiceName, session: str) -> SessionMark:
    """Return the mark of a session at a service."""
    return SessionMark(xxh32_intdigest(f'{service}/{session}'.encode()))


class SessionMarks:
    """Remembers marks for as long as their sessions live.

    Args:
        clock: The host's clock.
        span: Seconds after which requests don't belong together any more.
    """

    @property
    def any_alive(self) -> bool:
        """Tell whether any session is known that was alive at the last turn."""
        return bool(self._seen)

    def __init__(self, clock: Clock, span: float) -> None:
        self._clock = clock
        self._span = span
        self._seen: dict[SessionMark, float] = {}

    def saw(self, mark: SessionMark, moment: float | None = None) -> None:
        """Note that a session ran on the old version.

        Args:
            mark: The session's mark.
            moment: Clock seconds at which it did; None for just now.
        """
        self._seen[mark] = self._clock.now() if moment is None else moment

    def __len__(self) -> int:
        """Return how many marks are remembered."""
        return len(self._seen)

    def age(self, mark: SessionMark) -> float | None:
        """Return the seconds since a session ran on the old version.

        None if it is not known that it ever did.
        """
        seen = self._seen.get(mark)
        return None if seen is None else self._clock.now() - seen

    def alive(self, mark: SessionMark) -> bool:
        """Tell whether a session ran on the old version a moment ago."""
        seen = self._seen.get(mark)
        return seen is not None and self._clock.now() - seen <= self._span

    def told(self, ages: dict[int, int]) -> None:
        """Take in what another host knows: ages by mark."""
        now = self._clock.now()
        for number, age in ages.items():
            known = SessionMark(number)
            moment = now - age / _HUNDREDTHS
            if moment > self._seen.get(known, float('-inf')):
                self._seen[known] = moment

    def ages(self) -> dict[int, int]:
        """Return the marks of living sessions with their ages."""
        now = self._clock.now()
        self._seen = {
            known: moment
            for known, moment in self._seen.items()
            if now - moment <= self._span
        }
        newest = sorted(self._seen.items(), key=_moment, reverse=True)
        return {
            known: int((now - moment) * _HUNDREDTHS)
            for known, moment in newest[:MOST_TOLD]
        }


def _moment(entry: tuple[SessionMark, float]) -> float:
    """Return when a session was seen."""
    return entry[1]
