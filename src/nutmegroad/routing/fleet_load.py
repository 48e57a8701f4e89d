"""Load of the other hosts, received in small digests."""

from collections.abc import Iterable
from typing import ClassVar, Final

from msgspec import field

from nutmegroad.contracts.peers import Member, Message
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import (
    DomainId,
    HostId,
    Presence,
    WorkspaceId,
)

#: Seconds after which a digest is ignored.
DIGEST_LIFETIME: Final = 10.0

#: Seconds for which hosts that are no longer seen count in their domain.
HOST_RETENTION: Final = 60.0

#: Fraction of a domain's hosts that must be shedding load for the domain to
#: count as shedding.
_SHEDDING_FRACTION: Final = 0.25


class LoadDigest(Message, frozen=True, tag='load-digest'):
    """The load of a host.

    Attributes:
        host: The host's id.
        domain: Its failure domain.
        limit: Number of requests that it may run at once.
        running: Number of requests running.
        waiting: Number of requests queued.
        shedding: Whether it has recently refused requests for lack of slots.
        demand: Slots that each workspace would use, for its largest workspaces.
    """

    part: ClassVar[str] = 'admission'
    lazy: ClassVar[bool] = True

    host: str
    domain: str
    limit: int
    running: int
    waiting: int
    shedding: bool
    demand: dict[str, float] = field(default_factory=dict)

    @property
    def spare(self) -> int:
        """Return the number of unused slots."""
        return max(0, self.limit - self.running - self.waiting)


#: Digests by host, with the clock seconds at which each was received.
_Digests = dict[HostId, tuple[float, LoadDigest]]


class FleetLoad:
    """The latest digest received from each host.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._digests: dict[DomainId, _Digests] = {}
        self._last_seen: dict[DomainId, dict[HostId, float]] = {}
        self._leaving: dict[HostId, DomainId] = {}

    def record_members(self, members: Iterable[Member]) -> None:
        """Record which hosts are live or leaving now."""
        now = self._clock.now()
        present: set[HostId] = set()
        for member in members:
            present.add(member.host)
            if member.presence is Presence.LIVE:
                seen = self._last_seen.setdefault(member.domain, {})
                seen[member.host] = now
                self._leaving.pop(member.host, None)
            else:
                self._leaving[member.host] = member.domain
        for host in self._leaving.keys() - present:
            self._forget(host, self._leaving.pop(host))
        self._expire()

    def hosts(self, domain: DomainId) -> list[HostId]:
        """Return the other hosts of a domain.

        A host that is no longer seen counts for a while, because it may be cut
        off from this one and still use its part of the slots. One that had
        announced that it is leaving has no use for its part any more.
        """
        return list(self._last_seen.get(domain, ()))

    def store(self, digest: LoadDigest) -> None:
        """Store a host's latest digest."""
        domain = self._digests.setdefault(DomainId(digest.domain), {})
        domain[HostId(digest.host)] = (self._clock.now(), digest)

    def domains(self) -> tuple[DomainId, ...]:
        """Return the domains from which any digest was received."""
        return tuple(self._digests)

    def valid_digests(self, domain: DomainId) -> list[LoadDigest]:
        """Return the digests of a domain that have not expired."""
        oldest = self._clock.now() - DIGEST_LIFETIME
        received = self._digests.get(domain, {})
        return [digest for at, digest in received.values() if at > oldest]

    def is_shedding(self, domain: DomainId) -> bool:
        """Return whether a domain is refusing requests for lack of slots."""
        digests = self.valid_digests(domain)
        shedding = sum(digest.shedding for digest in digests)
        return shedding > _SHEDDING_FRACTION * len(digests)

    def mean_spare(self, domain: DomainId) -> float:
        """Return the average number of unused slots per host of a domain.

        0 if no digest is valid or the domain is shedding load.
        """
        digests = self.valid_digests(domain)
        if not digests or self.is_shedding(domain):
            return 0
        return sum(digest.spare for digest in digests) / len(digests)

    def demand(self, domain: DomainId) -> dict[WorkspaceId, float]:
        """Return the slots that workspaces would use at a domain's hosts.

        In a large domain only some hosts' digests are received; they are
        extrapolated to all hosts.
        """
        digests = self.valid_digests(domain)
        scale = max(1, len(self.hosts(domain)) / max(1, len(digests)))
        summed: dict[WorkspaceId, float] = {}
        for digest in digests:
            for name, slots in digest.demand.items():
                workspace = WorkspaceId(name)
                before = summed.get(workspace, 0)
                summed[workspace] = before + slots * scale
        return summed

    def _forget(self, host: HostId, domain: DomainId) -> None:
        """Remove a host."""
        self._last_seen.get(domain, {}).pop(host, None)
        self._digests.get(domain, {}).pop(host, None)

    def _expire(self) -> None:
        """Drop hosts that have not been seen for the retention period."""
        oldest = self._clock.now() - HOST_RETENTION
        for domain, seen in self._last_seen.items():
            self._last_seen[domain] = {
                host: at for host, at in seen.items() if at > oldest
            }
        for domain, received in self._digests.items():
            self._digests[domain] = {
                host: entry
                for host, entry in received.items()
                if entry[0] > oldest
            }
