"""Which side of a roll-out each session is on, as far as a host has seen."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import ServiceName
from nutmegroad.routes.requests import SessionName
from nutmegroad.upstreams.directory import SoftwareVersion

#: Sessions that are remembered at most; at some 200 bytes each, 4 MB.
MOST: Final = 20_000


@dataclass(frozen=True, slots=True)
class LastRun:
    """Where a session ran last.

    Attributes:
        version: On which version.
        moment: Clock seconds.
    """

    version: SoftwareVersion
    moment: float


class SessionVersions:
    """Remembers on which version a session ran last.

    Args:
        clock: The host's clock.
        span: Seconds after which requests don't belong together any more.
    """

    def __init__(self, clock: Clock, span: float) -> None:
        self._clock = clock
        self._span = span
        self._seen: OrderedDict[tuple[ServiceName, SessionName], LastRun] = (
            OrderedDict()
        )

    def version(
        self,
        service: ServiceName,
        session: SessionName,
    ) -> SoftwareVersion | None:
        """Return the version that a living session is on, or None."""
        last = self.last(service, session)
        return None if last is None else last.version

    def last(
        self,
        service: ServiceName,
        session: SessionName,
    ) -> LastRun | None:
        """Return where a living session ran last, or None."""
        seen = self._seen.get((service, session))
        if seen is None or self._clock.now() - seen.moment > self._span:
            return None
        return seen

    def living(
        self,
        service: ServiceName,
    ) -> Iterator[tuple[SessionName, LastRun]]:
        """Yield the living sessions of a service, the last used first."""
        oldest = self._clock.now() - self._span
        for (used, session), seen in reversed(self._seen.items()):
            if seen.moment < oldest:
                return
            if used == service:
                yield session, seen

    def ran(
        self,
        service: ServiceName,
        session: SessionName,
        version: SoftwareVersion,
    ) -> None:
        """Remember that a session ran on a version just now."""
        key = (service, session)
        self._seen[key] = LastRun(version, self._clock.now())
        self._seen.move_to_end(key)
        while len(self._seen) > MOST:
            self._seen.popitem(last=False)
