"""Sessions that a roll-out must leave where they are, told from host to host.

A session comes to any host, and each must know if another has seen it on the
old version a moment ago. Hosts tell each other small marks of such sessions,
with their ages, and tell on what they have heard.
"""

import math
from collections.abc import Iterable
from typing import Final, NewType

from msgspec import Struct
from xxhash import xxh32_intdigest

from nutmegroad.fleet.rumors import Portion, Rumors, Source
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import ServiceName

#: 32 bits that stand for a session at a service; two sessions that share a
#: mark cost no more than one request that stays on the old version.
SessionMark = NewType('SessionMark', int)

#: Marks in one datagram: with some eight bytes each, an Ethernet frame.
_NEAR_NEWS: Final = 100
_NEAR_OTHERS: Final = 30

#: The same between failure domains, where bytes are dear.
_FAR_NEWS: Final = 50
_FAR_OTHERS: Final = 20

#: Marks that are remembered at most, beside those of this host's own sessions:
#: twice those of the letter's fleet, 3,500 requests a second.
MOST_MARKS: Final = 20_000

#: Seconds by which a session must have been seen later than was known to be
#: told as news again: it lives on elsewhere for longer than that.
NEWS_STEP: Final = 0.5

#: Ages are told in hundredths of a second.
_HUNDREDTHS: Final = 100

#: Clock seconds of what has not happened.
_NEVER: Final = float('-inf')


class ToldMarks(Struct, frozen=True, array_like=True):
    """Marks as hosts tell them, with ages in hundredths of a second.

    Attributes:
        home: Of sessions that the sender's failure domain has served.
        others: Of sessions that others have served.
    """

    home: dict[int, int] = {}
    others: dict[int, int] = {}


def mark(service: ServiceName, session: str) -> SessionMark:
    """Return the mark of a session at a service."""
    return SessionMark(xxh32_intdigest(f'{service}/{session}'.encode()))


class SessionMarks:
    """Remembers marks for as long as their sessions live.

    Args:
        clock: The host's clock.
        span: Seconds after which requests don't belong together any more.
        begin: Where the turns of marks begin.
    """

    @property
    def any_alive(self) -> bool:
        """Tell whether any session is known that was alive at the last turn."""
        return bool(self._seen)

    @property
    def has_news(self) -> bool:
        """Tell whether other failure domains may not know of a session."""
        return self._rumors.has_far_news

    def __init__(self, clock: Clock, span: float, begin: int = 0) -> None:
        self._clock = clock
        self._span = span
        self._seen: dict[SessionMark, float] = {}
        self._rumors: Rumors[SessionMark] = Rumors(
            Portion(_NEAR_NEWS, _NEAR_OTHERS),
            Portion(_FAR_NEWS, _FAR_OTHERS),
            begin,
        )

    def __len__(self) -> int:
        """Return how many marks are remembered."""
        return len(self._seen)

    def saw(self, mark: SessionMark, moment: float | None = None) -> None:
        """Note that a session ran on the old version.

        Args:
            mark: The session's mark.
            moment: Clock seconds at which it did; None for just now.
        """
        seen = self._clock.now() if moment is None else moment
        self._take(mark, seen, Source.OWN)

    def age(self, mark: SessionMark) -> float | None:
        """Return the seconds since a session ran on the old version.

        None if it is not known that it ever did.
        """
        seen = self._seen.get(mark)
        return None if seen is None else self._clock.now() - seen

    def alive(self, mark: SessionMark) -> bool:
        """Tell whether a session ran on the old version a moment ago."""
        age = self.age(mark)
        return age is not None and age <= self._span

    def told(self, told: ToldMarks, *, near: bool) -> None:
        """Take in what another host knows.

        Args:
            told: What it tells.
            near: Whether it is of the own failure domain.
        """
        now = self._clock.now()
        source = Source.HOME if near else Source.AWAY
        for ages, seen_by in ((told.home, source), (told.others, Source.AWAY)):
            for number, age in ages.items():
                moment = now - max(0, age) / _HUNDREDTHS
                if now - moment <= self._span:
                    self._take(SessionMark(number), moment, seen_by)

    def tell_near(self) -> ToldMarks:
        """Return marks for one datagram within the failure domain."""
        self._forget_dead()
        return self._spell(self._rumors.choose_near(self._seen))

    def tell_far(self) -> ToldMarks:
        """Return marks for one datagram to another failure domain."""
        self._forget_dead()
        return self._spell(self._rumors.choose_far(self._seen))

    def _forget_dead(self) -> None:
        """Forget the marks of sessions that live no longer."""
        oldest = self._clock.now() - self._span
        self._seen = {
            known: moment
            for known, moment in self._seen.items()
            if moment >= oldest
        }
        self._rumors.keep(self._seen.keys())

    def _spell(self, marks: Iterable[SessionMark]) -> ToldMarks:
        """Return marks with their ages."""
        now = self._clock.now()
        told = ToldMarks({}, {})
        for known in marks:
            ages = told.home if self._rumors.is_home(known) else told.others
            # Rounded up: else a mark would grow younger with each host on its
            # way.
            ages[known] = math.ceil((now - self._seen[known]) * _HUNDREDTHS)
        return told

    def _take(self, mark: SessionMark, moment: float, source: Source) -> None:
        """Remember the latest moment at which a session was seen."""
        known = self._seen.get(mark, _NEVER)
        is_full = len(self._seen) >= MOST_MARKS and known == _NEVER
        if moment <= known or (is_full and source is not Source.OWN):
            return
        self._seen[mark] = moment
        if moment - known >= NEWS_STEP:
            self._rumors.learnt(mark, source)
