"""Tracks sessions that a rollout must leave on their old version.

The requests of a session arrive at any host, and each host must know whether
another one has recently seen the session on the old version. Hosts exchange
small fingerprints of such sessions with their ages, and forward the ones that
they have received.
"""

import math
from collections.abc import Iterable
from typing import Final, NewType

from msgspec import Struct
from xxhash import xxh32_intdigest

from nutmegroad.fleet.gossip_queue import DatagramCapacity, GossipQueue, Source
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.decoding import Number
from nutmegroad.foundations.types import ServiceName

#: 32-bit fingerprint of a session at a service. Two sessions that share a
#: fingerprint cost no more than one request that stays on the old version.
SessionFingerprint = NewType('SessionFingerprint', int)

#: Maximum fingerprints per datagram within a failure domain, new ones and, in
#: rotation, others: at about eight bytes each, they fill an Ethernet frame.
_LOCAL_NEW: Final = 100
_LOCAL_OTHERS: Final = 30

#: The same between failure domains, where traffic is expensive.
_REMOTE_NEW: Final = 50
_REMOTE_OTHERS: Final = 20

#: Maximum number of tracked sessions besides those of this host: twice those of
#: the largest planned deployment, at 3,500 requests per second.
MAX_SESSIONS: Final = 20_000

#: Seconds by which a session must have been seen later than was known for it to
#: be sent as new again. A session stays live on other hosts for longer than
#: that.
RESEND_STEP: Final = 0.5

#: Ages are reported in hundredths of a second.
_HUNDREDTHS: Final = 100

#: Clock time of an event that has not happened.
_NEVER: Final = float('-inf')


class SessionReport(Struct, frozen=True, array_like=True):
    """Sessions as hosts report them, with ages in hundredths of a second.

    Attributes:
        local: Sessions that the sender's failure domain has served.
        remote: Sessions that other failure domains have served.
    """

    local: dict[Number, Number] = {}
    remote: dict[Number, Number] = {}


def fingerprint_session(
    service: ServiceName, session: str
) -> SessionFingerprint:
    """Return the fingerprint of a session at a service."""
    return SessionFingerprint(xxh32_intdigest(f'{service}/{session}'.encode()))


class OldVersionSessions:
    """Tracks sessions on an old version for as long as they are live.

    Args:
        clock: The host's clock.
        span: Seconds after which a session without requests has ended.
        offset: Offset at which the rotation of fingerprints starts.
    """

    @property
    def any_live(self) -> bool:
        """Whether any session is known that was live at the last round."""
        return bool(self._last_seen)

    @property
    def has_updates(self) -> bool:
        """Whether other failure domains may lack a session."""
        return self._gossip.has_remote_updates

    def __init__(self, clock: Clock, span: float, offset: int = 0) -> None:
        self._clock = clock
        self._span = span
        self._last_seen: dict[SessionFingerprint, float] = {}
        self._gossip: GossipQueue[SessionFingerprint] = GossipQueue(
            DatagramCapacity(_LOCAL_NEW, _LOCAL_OTHERS),
            DatagramCapacity(_REMOTE_NEW, _REMOTE_OTHERS),
            offset,
        )

    def __len__(self) -> int:
        """Return how many sessions are tracked."""
        return len(self._last_seen)

    def record(
        self, fingerprint: SessionFingerprint, moment: float | None = None
    ) -> None:
        """Record that a session ran on the old version.

        ``moment`` is the clock time in seconds at which it did, or None for
        now.
        """
        seen = self._clock.now() if moment is None else moment
        self._record(fingerprint, seen, Source.OWN)

    def age(self, fingerprint: SessionFingerprint) -> float | None:
        """Return the seconds since a session ran on the old version.

        Returns:
            None if it is not known to have run on it.
        """
        seen = self._last_seen.get(fingerprint)
        return None if seen is None else self._clock.now() - seen

    def is_live(self, fingerprint: SessionFingerprint) -> bool:
        """Return whether a session on the old version is still live."""
        age = self.age(fingerprint)
        return age is not None and age <= self._span

    def merge(self, report: SessionReport, *, local: bool) -> None:
        """Merge a report of sessions from another host.

        ``local`` states whether the sender is in this host's failure domain.
        """
        now = self._clock.now()
        source = Source.LOCAL if local else Source.REMOTE
        for ages, seen_by in (
            (report.local, source),
            (report.remote, Source.REMOTE),
        ):
            for number, age in ages.items():
                seen_at = now - max(0, age) / _HUNDREDTHS
                if now - seen_at <= self._span:
                    self._record(SessionFingerprint(number), seen_at, seen_by)

    def local_report(self) -> SessionReport:
        """Return sessions for one datagram within the failure domain."""
        self._remove_expired()
        return self._report_of(self._gossip.choose_local(self._last_seen))

    def remote_report(self) -> SessionReport:
        """Return sessions for one datagram to another failure domain."""
        self._remove_expired()
        return self._report_of(self._gossip.choose_remote(self._last_seen))

    def _remove_expired(self) -> None:
        """Remove sessions that are not live any more."""
        oldest = self._clock.now() - self._span
        self._last_seen = {
            known: seen_at
            for known, seen_at in self._last_seen.items()
            if seen_at >= oldest
        }
        self._gossip.retain(self._last_seen.keys())

    def _report_of(self, keys: Iterable[SessionFingerprint]) -> SessionReport:
        """Return a report of sessions with their ages."""
        now = self._clock.now()
        report = SessionReport({}, {})
        for known in keys:
            ages = (
                report.local
                if self._gossip.is_local_entry(known)
                else report.remote
            )
            # Rounded up; otherwise an age would shrink with each host that
            # forwards it.
            ages[known] = math.ceil(
                (now - self._last_seen[known]) * _HUNDREDTHS
            )
        return report

    def _record(
        self, fingerprint: SessionFingerprint, time: float, source: Source
    ) -> None:
        """Record the latest time at which a session was seen."""
        known = self._last_seen.get(fingerprint, _NEVER)
        is_full = len(self._last_seen) >= MAX_SESSIONS and known == _NEVER
        if time <= known or (is_full and source is not Source.OWN):
            return
        self._last_seen[fingerprint] = time
        if time - known >= RESEND_STEP:
            self._gossip.add_new(fingerprint, source)
