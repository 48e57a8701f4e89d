"""Directory of the upstreams known to this host, by id and by service.

The entries come from the platform's upstream list. The list lags behind
reality, and after an outage of the platform's store it may lack entries that
are about to return. What this host has sent to an upstream, and how those
requests went, is tracked locally and does not depend on the list.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from enum import Enum, unique
from typing import Final, NewType

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    ServiceName,
    UpstreamId,
    UpstreamIncarnation,
)
from nutmegroad.upstreams.health import Health

#: The version of an upstream's software, as written in the list.
SoftwareVersion = NewType('SoftwareVersion', str)

_LOG: Final = part_logger('upstreams')

#: Maximum number of removed upstreams that are remembered, so that a restart
#: under the same id is recognized. Larger than the largest planned deployment
#: (890 upstreams).
MAX_REMOVED: Final = 1000


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """An upstream as listed by the platform.

    Attributes:
        upstream: Id of the upstream.
        service: The service that the upstream provides.
        address: Address on which it listens.
        domain: Failure domain in which it runs.
        version: Version of its software.
        slots: Number of requests that it executes concurrently.
        draining: Whether it is draining and will soon accept no new work.
        started_ms: Start time of its process in milliseconds since 1970, by its
            own clock; 0 if the list does not give it.
        cold_seconds: Seconds for which it stays cold, counted from the time
            at which it wrote the entry.
    """

    upstream: UpstreamId
    service: ServiceName
    address: Address
    domain: DomainId
    version: SoftwareVersion
    slots: int
    draining: bool = False
    started_ms: int = 0
    cold_seconds: float = 0

    @property
    def incarnation(self) -> UpstreamIncarnation:
        """Return an identifier that is unique to this start of the upstream."""
        if not self.started_ms:
            return UpstreamIncarnation(self.upstream)
        return UpstreamIncarnation(f'{self.upstream}@{self.started_ms}')


@unique
class IncarnationEnd(Enum):
    """How an incarnation of an upstream ended, according to the list."""

    #: No longer listed. Requests in progress may still complete.
    REMOVED = 'gone'
    #: Another incarnation has taken over the id, so this one has terminated.
    RESTARTED = 'restarted'


#: Called with each incarnation that has ended, and how it ended.
EndListener = Callable[[UpstreamIncarnation, IncarnationEnd], None]


@dataclass(slots=True)
class Upstream:
    """One incarnation of an upstream and what this host knows about it.

    Attributes:
        entry: The entry in the platform's list.
        health: Health as seen from this host's own exchanges.
        missing_until: Clock seconds until which the upstream may be missing
            from the list before it is removed; None while it is listed.
        restarted: Whether another incarnation has taken over the id. Late
            answers from this incarnation then say nothing about the current
            one.
        earlier_start_ms: Start time of an earlier incarnation that the list has
            reported once since, in milliseconds since 1970; 0 for none.
        absent_at: Clock seconds at which the list last showed that its process
            did not run; it may have started at any time since.
        refused_at: Clock seconds at which its machine last refused connections,
            so that its process did not run.
        cold_until: Clock seconds until which it has reported to be cold.
        path_lost: Whether other hosts reach it and this one does not.
    """

    entry: UpstreamEntry
    health: Health = field(default_factory=Health)
    missing_until: float | None = None
    restarted: bool = False
    earlier_start_ms: int = 0
    absent_at: float = float('-inf')
    refused_at: float = float('-inf')
    cold_until: float = float('-inf')
    path_lost: bool = False

    def warm_at(self, cold_seconds: float) -> float:
        """Return the clock seconds from which the upstream is warm.

        Its own report may be late or missing, so a possible start counts too.

        Args:
            cold_seconds: Seconds for which it is cold after a start.
        """
        started_at = max(self.absent_at, self.refused_at)
        return max(self.cold_until, started_at + cold_seconds)

    def report_cold(self, now: float, seconds: float) -> None:
        """Record for how many seconds the upstream reports to be cold.

        A report that it is warm changes nothing: it may be an old one.
        """
        if seconds <= 0:
            return
        if self.cold_until <= now:
            _LOG.decision(
                'upstream is cold',
                upstream=self.entry.upstream,
                seconds=seconds,
            )
        self.cold_until = max(self.cold_until, now + seconds)


class EndedIncarnations:
    """Notifies listeners of ended incarnations; remembers removed upstreams."""

    def __init__(self) -> None:
        self._listeners: list[EndListener] = []
        # Oldest first. Any of these may return as a new incarnation.
        self._removed: dict[UpstreamId, Upstream] = {}

    def add_listener(self, listener: EndListener) -> None:
        """Register a callback for each incarnation that ends."""
        self._listeners.append(listener)

    def record_removal(self, known: Upstream) -> None:
        """Record that an upstream is no longer listed."""
        self._removed[known.entry.upstream] = known
        while len(self._removed) > MAX_REMOVED:
            self._removed.pop(next(iter(self._removed)))
        self._notify(known, IncarnationEnd.REMOVED)

    def record_restart(self, known: Upstream) -> None:
        """Record that another incarnation has taken over an upstream's id."""
        known.restarted = True
        self._notify(known, IncarnationEnd.RESTARTED)

    def is_removed(self, entry: UpstreamEntry) -> bool:
        """Return whether an entry belongs to an incarnation already removed."""
        known = self._removed.get(entry.upstream)
        return known is not None and known.entry.started_ms == entry.started_ms

    def record_listed(self, entry: UpstreamEntry) -> None:
        """Record an upstream that is new to the list or listed again."""
        before = self._removed.pop(entry.upstream, None)
        if before is not None and before.entry.started_ms != entry.started_ms:
            self.record_restart(before)

    def _notify(self, known: Upstream, end: IncarnationEnd) -> None:
        """Notify all listeners of the end of an incarnation."""
        for listener in self._listeners:
            listener(known.entry.incarnation, end)


class Directory:
    """All upstreams to which requests may be sent.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self.ended = EndedIncarnations()
        self._clock = clock
        self._known: dict[UpstreamId, Upstream] = {}
        self._by_address: dict[Address, UpstreamId] = {}
        # Clock seconds at which the next grace period may expire.
        self._next_expiry = float('inf')
        # Rebuilt on the first access after a change, because the first read of
        # the list adds all entries at once.
        self._services: dict[ServiceName, tuple[Upstream, ...]] | None = None

    def __len__(self) -> int:
        """Return the number of known upstreams."""
        return len(self._known)

    def of_service(self, service: ServiceName) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that are not draining."""
        self.remove_missing()
        services = self._services
        if services is None:
            services = self._group()
            self._services = services
        return services.get(service, ())

    def find(self, upstream: UpstreamId) -> Upstream | None:
        """Return an upstream by id, or None if it is unknown."""
        self.remove_missing()
        return self._known.get(upstream)

    def put(self, entry: UpstreamEntry, *, is_new: bool = True) -> None:
        """Add an entry, or apply a change to a known one.

        Args:
            entry: The entry.
            is_new: Whether an upstream that is unknown so far has just started;
                not so in the first list that a host reads.
        """
        known = self._known.get(entry.upstream)
        if known is None:
            self._add(entry, is_new=is_new)
        elif entry.started_ms and entry.started_ms != known.entry.started_ms:
            if not _is_later_start(known, entry):
                _log_change('rejected: earlier incarnation', entry)
                return
            self._release_address(known)
            self._restart(known, entry)
        else:
            self._release_address(known)
            self._change(known, entry)
        self._by_address[entry.address] = entry.upstream
        self._services = None

    def remove(self, upstream: UpstreamId, reason: str) -> None:
        """Remove an upstream that is no longer listed.

        Args:
            upstream: Id of the upstream.
            reason: Reason for the log.
        """
        known = self._known.pop(upstream, None)
        if known is not None:
            _log_change(f'removed: {reason}', known.entry)
            self._release_address(known)
            self._services = None
            self.ended.record_removal(known)

    def mark_missing(self, upstream: UpstreamId, grace_period: float) -> None:
        """Record that a known upstream is missing from the list for now.

        Args:
            upstream: Id of the upstream.
            grace_period: Seconds after which it is removed unless it is listed
                again.
        """
        known = self._known.get(upstream)
        if known is not None and known.missing_until is None:
            until = self._clock.now() + grace_period
            known.missing_until = until
            self._next_expiry = min(self._next_expiry, until)
            _log_change('missing', known.entry, kept=round(grace_period, 3))

    def remove_missing(self) -> None:
        """Remove upstreams whose grace period has expired."""
        now = self._clock.now()
        if now < self._next_expiry:
            return
        self._next_expiry = float('inf')
        for upstream, known in tuple(self._known.items()):
            until = known.missing_until
            if until is None:
                continue
            if now >= until:
                self.remove(upstream, 'missing since the store was restored')
            else:
                self._next_expiry = min(self._next_expiry, until)

    def mark_domain_absent(self, domain: DomainId) -> None:
        """Record that all upstreams of a domain may start just now."""
        now = self._clock.now()
        for known in self._known.values():
            if known.entry.domain == domain:
                known.absent_at = now

    def unlisted(self, listed: Iterable[UpstreamId]) -> tuple[UpstreamId, ...]:
        """Return the ids of known upstreams that are not in ``listed``."""
        present = frozenset(listed)
        return tuple(each for each in self._known if each not in present)

    def _add(self, entry: UpstreamEntry, *, is_new: bool) -> None:
        """Add an upstream that is new to the list."""
        self._replace_at(entry)
        added = Upstream(entry)
        self._known[entry.upstream] = added
        if is_new:
            added.absent_at = self._clock.now()
        added.report_cold(self._clock.now(), entry.cold_seconds)
        _log_change('added', entry)
        self.ended.record_listed(entry)

    def _release_address(self, known: Upstream) -> None:
        """Clear the address index entry of an upstream."""
        if self._by_address.get(known.entry.address) == known.entry.upstream:
            self._by_address.pop(known.entry.address)

    def _change(self, known: Upstream, entry: UpstreamEntry) -> None:
        """Apply changed attributes of the same incarnation."""
        if entry.draining and not known.entry.draining:
            _log_change('draining', entry)
        known.entry = replace(entry, started_ms=known.entry.started_ms)
        known.missing_until = None
        known.earlier_start_ms = 0
        known.report_cold(self._clock.now(), entry.cold_seconds)

    def _restart(self, known: Upstream, entry: UpstreamEntry) -> None:
        """Replace an upstream by its new incarnation."""
        restarted = Upstream(entry, absent_at=self._clock.now())
        self._known[entry.upstream] = restarted
        restarted.report_cold(self._clock.now(), entry.cold_seconds)
        _log_change('restarted', entry)
        self.ended.record_restart(known)

    def _replace_at(self, entry: UpstreamEntry) -> None:
        """Remove the upstream that used a new upstream's address before."""
        before = self._by_address.get(entry.address)
        if before is not None:
            self.remove(before, f'replaced by {entry.upstream}')

    def _group(self) -> dict[ServiceName, tuple[Upstream, ...]]:
        """Return the upstreams that accept new work, by service."""
        grouped: dict[ServiceName, list[Upstream]] = {}
        for known in self._known.values():
            if not known.entry.draining:
                grouped.setdefault(known.entry.service, []).append(known)
        return {service: tuple(members) for service, members in grouped.items()}


def _log_change(
    event: str, entry: UpstreamEntry, kept: float | None = None
) -> None:
    """Log a change to the directory."""
    _LOG.decision(
        event,
        upstream=entry.upstream,
        service=entry.service,
        address=str(entry.address),
        version=entry.version,
        leaving=entry.draining,
        born=entry.started_ms,
        kept=kept,
    )


def _is_later_start(known: Upstream, entry: UpstreamEntry) -> bool:
    """Return whether an entry belongs to a later incarnation than ``known``.

    An earlier start time usually is a delayed write by a previous incarnation.
    If the same earlier time is reported twice, the upstream's clock was set
    back: a terminated process does not report twice.
    """
    if entry.started_ms > known.entry.started_ms:
        return True
    if entry.started_ms == known.earlier_start_ms:
        return True
    known.earlier_start_ms = entry.started_ms
    return False


def has_left(directory: Directory, entry: UpstreamEntry) -> bool:
    """Return whether ``entry`` is outdated: its upstream left or now drains."""
    known = directory.find(entry.upstream)
    if known is None:
        return directory.ended.is_removed(entry)
    return known.entry.draining and not entry.draining
