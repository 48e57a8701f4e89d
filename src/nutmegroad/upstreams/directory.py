"""The upstreams that a host knows, and what it is doing at each.

The list of the platform says which there are; it lags, and after the
platform was away entries are missing that are about to return. What this
host has sent where, and how that went, it knows itself.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final, NewType

from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.logs import part_logger
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    ServiceName,
    UpstreamId,
)
from nutmegroad.upstreams.health import Health

#: The version of an upstream's software, as the list writes it.
SoftwareVersion = NewType('SoftwareVersion', str)

_LOG: Final = part_logger('upstreams')


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """An upstream as the platform's list has it.

    Attributes:
        upstream: Its id; each start of one has a new id.
        service: The service that it answers for.
        address: Where it listens.
        domain: The failure domain that it stands in.
        version: Version of its software.
        slots: Requests that it runs at once.
        leaving: Whether it takes no new work soon.
    """

    upstream: UpstreamId
    service: ServiceName
    address: Address
    domain: DomainId
    version: SoftwareVersion
    slots: int
    leaving: bool = False


@dataclass(slots=True)
class Upstream:
    """An upstream, with what this host knows of it.

    Attributes:
        entry: What the list says.
        health: What own exchanges say.
        missing_until: Clock seconds until which it may be missing from the
            list; None if the list has it.
    """

    entry: UpstreamEntry
    health: Health = field(default_factory=Health)
    missing_until: float | None = None


class Directory:
    """All upstreams that requests may be sent to.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._known: dict[UpstreamId, Upstream] = {}
        self._at: dict[Address, UpstreamId] = {}
        # Grouped anew when it is asked for after a change: the first list
        # brings all entries at once.
        self._services: dict[ServiceName, tuple[Upstream, ...]] | None = None

    def __len__(self) -> int:
        """Return how many upstreams are known."""
        return len(self._known)

    def of_service(self, service: ServiceName) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that do not leave."""
        services = self._services
        if services is None:
            services = self._group()
            self._services = services
        return services.get(service, ())

    def find(self, upstream: UpstreamId) -> Upstream | None:
        """Return one upstream, or None if it is not known."""
        return self._known.get(upstream)

    def put(self, entry: UpstreamEntry) -> None:
        """Take an entry in, or its change."""
        known = self._known.get(entry.upstream)
        if known is None:
            self._replace_at(entry)
            self._known[entry.upstream] = Upstream(entry)
            self._say('taken in', entry)
        else:
            if entry.leaving and not known.entry.leaving:
                self._say('leaving', entry)
            known.entry = entry
            known.missing_until = None
        self._at[entry.address] = entry.upstream
        self._services = None

    def remove(self, upstream: UpstreamId, reason: str) -> None:
        """Forget an upstream that the list does not have any more."""
        known = self._known.pop(upstream, None)
        if known is not None:
            self._say(f'dropped: {reason}', known.entry)
            if self._at.get(known.entry.address) == upstream:
                self._at.pop(known.entry.address)
            self._services = None

    def missing(self, upstream: UpstreamId, patience: float) -> None:
        """Note that an entry is missing which may be about to return.

        Args:
            upstream: Whose entry.
            patience: Seconds that it has for that.
        """
        known = self._known.get(upstream)
        if known is not None and known.missing_until is None:
            known.missing_until = self._clock.now() + patience

    def remove_missing(self) -> None:
        """Forget entries that have been missing for too long."""
        now = self._clock.now()
        for upstream, known in tuple(self._known.items()):
            until = known.missing_until
            if until is not None and now >= until:
                self.remove(upstream, 'missing since the store came back')

    def others(self, listed: Iterable[UpstreamId]) -> tuple[UpstreamId, ...]:
        """Return the known upstreams that are not among those listed."""
        present = frozenset(listed)
        return tuple(each for each in self._known if each not in present)

    def _replace_at(self, entry: UpstreamEntry) -> None:
        """Forget whoever stood at the address of a new upstream before."""
        before = self._at.get(entry.address)
        if before is not None:
            self.remove(before, f'replaced by {entry.upstream}')

    def _group(self) -> dict[ServiceName, tuple[Upstream, ...]]:
        """Return the upstreams that take new work, by service."""
        grouped: dict[ServiceName, list[Upstream]] = {}
        for known in self._known.values():
            if not known.entry.leaving:
                grouped.setdefault(known.entry.service, []).append(known)
        return {service: tuple(members) for service, members in grouped.items()}

    def _say(self, what: str, entry: UpstreamEntry) -> None:
        """Log a change of what the host believes."""
        _LOG.decision(
            what,
            upstream=entry.upstream,
            service=entry.service,
            address=str(entry.address),
            version=entry.version,
            leaving=entry.leaving,
        )
