"""Records the version on which each session last ran at this host."""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import ServiceName
from nutmegroad.routes.requests import SessionName
from nutmegroad.upstreams.directory import SoftwareVersion

#: Maximum number of remembered sessions: 4 MB at some 200 bytes each.
MAX_SESSIONS: Final = 20_000


@dataclass(frozen=True, slots=True)
class LastRun:
    """Latest run of a session.

    Attributes:
        version: Version on which it ran.
        timestamp: Host clock in seconds.
    """

    version: SoftwareVersion
    timestamp: float


class SessionVersions:
    """Remembers the version on which each session last ran.

    Args:
        clock: The host's clock.
        session_timeout: Seconds after which requests no longer belong to one
            session.
    """

    def __init__(self, clock: Clock, session_timeout: float) -> None:
        self._clock = clock
        self._session_timeout = session_timeout
        self._seen: OrderedDict[tuple[ServiceName, SessionName], LastRun] = (
            OrderedDict()
        )

    def version(
        self,
        service: ServiceName,
        session: SessionName,
    ) -> SoftwareVersion | None:
        """Return the version on which an active session last ran, or None."""
        last = self.last_run(service, session)
        return None if last is None else last.version

    def last_run(
        self,
        service: ServiceName,
        session: SessionName,
    ) -> LastRun | None:
        """Return the latest run of an active session, or None."""
        seen = self._seen.get((service, session))
        if (
            seen is None
            or self._clock.now() - seen.timestamp > self._session_timeout
        ):
            return None
        return seen

    def active(
        self,
        service: ServiceName,
    ) -> Iterator[tuple[SessionName, LastRun]]:
        """Yield the active sessions of a service, the latest one first."""
        oldest = self._clock.now() - self._session_timeout
        for (session_service, session), seen in reversed(self._seen.items()):
            if seen.timestamp < oldest:
                return
            if session_service == service:
                yield session, seen

    def record(
        self,
        service: ServiceName,
        session: SessionName,
        version: SoftwareVersion,
    ) -> None:
        """Record that a session has just run on a version."""
        key = (service, session)
        self._seen[key] = LastRun(version, self._clock.now())
        self._seen.move_to_end(key)
        while len(self._seen) > MAX_SESSIONS:
            self._seen.popitem(last=False)
