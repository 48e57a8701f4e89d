"""Records of all hosts, and when hosts and domains were last seen."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum, unique
from itertools import takewhile
from typing import Final

import msgspec

from nutmegroad.contracts.peers import Member
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import Address, DomainId, HostId, Presence
from nutmegroad.membership._handshake import Identity
from nutmegroad.membership._member_messages import Record
from nutmegroad.membership._rendezvous import rank_hosts

#: Maximum number of gone incarnations that are kept.
_MAX_GONE: Final = 1000

#: Seconds for which a gone incarnation is kept, so that an outdated record
#: cannot make it live again.
GONE_RETENTION: Final = 3600.0
#: Number of hosts of a domain that forward a change within it to other
#: domains.
_FORWARDERS: Final = 3


class Reachability:
    """Tracks when hosts and domains were last seen.

    Args:
        clock: Source of time.
        domain_timeout: Seconds without any update after which a domain is
            considered unreachable.
    """

    def __init__(self, clock: Clock, domain_timeout: float) -> None:
        self._clock = clock
        self._domain_timeout = domain_timeout
        self._hosts_seen_at: dict[HostId, float] = {}
        self._domains_seen_at: dict[DomainId, float] = {}
        self._domain_reported_at: dict[DomainId, float] = {}
        self._timers_reset_at = clock.now()

    def record_host_seen(self, host: HostId, seen_at: float) -> None:
        """Record when a host sent something or was first reported."""
        self._hosts_seen_at[host] = max(
            seen_at, self._hosts_seen_at.get(host, seen_at)
        )

    def record_domain_seen(self, domain: DomainId, seen_at: float) -> None:
        """Record when this or another host saw a domain."""
        self._domains_seen_at[domain] = max(
            seen_at, self._domains_seen_at.get(domain, seen_at)
        )
        self._domain_reported_at[domain] = self._clock.now()

    def reset_timers(self) -> None:
        """Restart all timeouts now, after this process was paused."""
        self._timers_reset_at = self._clock.now()

    def forget_host(self, host: HostId) -> None:
        """Remove a host."""
        self._hosts_seen_at.pop(host, None)

    def last_seen(self, host: HostId) -> float:
        """Return the clock seconds at which a host was last seen."""
        return self._hosts_seen_at.get(host, self._timers_reset_at)

    def seconds_since_seen(self, host: HostId) -> float:
        """Return the seconds since a host was last seen."""
        seen_at = self._hosts_seen_at.get(host, self._timers_reset_at)
        return self._clock.now() - max(seen_at, self._timers_reset_at)

    def is_domain_unreachable(self, domain: DomainId) -> bool:
        """Return whether no host has seen a domain within the timeout."""
        seen_at = self._timers_reset_at
        # After a pause of this process, reports of other hosts are better
        # evidence than the lack of updates during the pause.
        if (
            self._domain_reported_at.get(domain, self._timers_reset_at)
            > self._timers_reset_at
        ):
            seen_at = self._domains_seen_at[domain]
        return self._clock.now() - seen_at > self._domain_timeout

    def domain_ages(self) -> Mapping[DomainId, float]:
        """Return the seconds since each domain was last seen."""
        now = self._clock.now()
        return {
            domain: now - seen_at
            for domain, seen_at in self._domains_seen_at.items()
        }


@unique
class Origin(Enum):
    """How a change was learned; decides to whom it is forwarded.

    Attributes:
        OWN: This host made the change.
        LOCAL: Reported by a host of the local domain.
        REMOTE: Reported by a host of another domain.
        VERDICT: This host declared another one gone.
        SYNC: Found in a fetched member table; not forwarded.
    """

    OWN = 'own'
    LOCAL = 'near'
    REMOTE = 'far'
    VERDICT = 'verdict'
    SYNC = 'sync'


@dataclass(slots=True)
class Entry:
    """A record and how it was learned.

    Attributes:
        record: The record.
        change_number: Sequence number of the change that stored it.
        origin: How it was learned.
        recorded_at: Clock seconds at which it was stored.
        is_forwarder: Whether this host forwards it for its domain.
        known_by: Hosts that sent the same record; it is not sent to them.
    """

    record: Record
    change_number: int
    origin: Origin
    recorded_at: float
    is_forwarder: bool = False
    known_by: set[HostId] = field(default_factory=set)


class Entries:
    """All records, ordered by their latest change."""

    def __init__(self) -> None:
        self._entries: dict[HostId, Entry] = {}
        self._change_number = 0
        self._digest = 0

    def __iter__(self) -> Iterator[Entry]:
        """Iterate over the entries, the earliest change first."""
        return iter(tuple(self._entries.values()))

    @property
    def change_number(self) -> int:
        """Sequence number of the latest change."""
        return self._change_number

    @property
    def digest(self) -> int:
        """Hash over all records that are not gone."""
        return self._digest

    def get(self, host: HostId) -> Entry | None:
        """Return the entry of a host."""
        return self._entries.get(host)

    def put(self, record: Record, origin: Origin, now: float) -> Entry:
        """Replace the record of a host."""
        previous = self._entries.pop(record.host, None)
        if previous is not None:
            self._toggle_digest(previous.record)
        self._toggle_digest(record)
        self._change_number += 1
        entry = Entry(record, self._change_number, origin, recorded_at=now)
        self._entries[record.host] = entry
        return entry

    def records(self) -> tuple[Record, ...]:
        """Return all records, including those of gone hosts."""
        return tuple(entry.record for entry in self)

    def changed_since(self, change_number: int) -> list[Entry]:
        """Return the entries with later changes, the earliest first."""
        newest_first = reversed(self._entries.values())
        changed = list(
            takewhile(
                lambda entry: entry.change_number > change_number, newest_first
            )
        )
        changed.reverse()
        return changed

    def purge(self, before: float) -> list[HostId]:
        """Remove entries of hosts that were recorded as gone before a time.

        If there are more gone hosts than the maximum, the entries recorded
        first are removed too.

        Args:
            before: Clock seconds.

        Returns:
            The removed hosts.
        """
        gone = [entry for entry in self if entry.record.is_gone]
        excess = len(gone) - _MAX_GONE
        removed = [
            entry.record.host
            for index, entry in enumerate(gone)
            if entry.recorded_at < before or index < excess
        ]
        for host in removed:
            self._entries.pop(host)
        return removed

    def _toggle_digest(self, record: Record) -> None:
        """Add a record to the hash, or remove it again."""
        if not record.is_gone:
            self._digest ^= record.digest()


class MemberTable:
    """The records of all hosts, including this one.

    Attributes:
        own: Record of this host.
        entries: All records, including the own one.

    Args:
        identity: Identity of this host.
        clock: Source of time.
        reachability: When hosts and domains were last seen.
    """

    def __init__(
        self, identity: Identity, clock: Clock, reachability: Reachability
    ) -> None:
        self._clock = clock
        self._reachability = reachability
        self.entries = Entries()
        self.own = Record(identity, 0, Presence.LIVE)
        self._put(self.own, Origin.OWN)

    @property
    def identity(self) -> Identity:
        """Identity of this host."""
        return self.own.identity

    def bind(self, address: Address) -> None:
        """Set the listening address of this host once it is known."""
        bound_identity = msgspec.structs.replace(
            self.identity,
            ip=address.ip,
            port=address.port,
        )
        self._set_own(
            msgspec.structs.replace(self.own, identity=bound_identity)
        )

    def raise_generation(self, known: int) -> None:
        """Choose a generation later than the one that other hosts know."""
        generation = max(known, self.identity.generation) + 1
        later_identity = msgspec.structs.replace(
            self.identity,
            generation=generation,
        )
        self._set_own(
            msgspec.structs.replace(self.own, identity=later_identity)
        )

    def set_presence(self, presence: Presence) -> None:
        """Change the presence of this host."""
        version = self.own.version + 1
        self._set_own(Record(self.identity, version, presence))

    def newer_generation(self, identity: Identity) -> int:
        """Return the generation of a known later incarnation, or 0."""
        entry = self.entries.get(identity.host)
        if entry is None or entry.record.identity.order <= identity.order:
            return 0
        return entry.record.identity.generation

    def get(self, host: HostId) -> Record | None:
        """Return the record of a host, if there is one."""
        entry = self.entries.get(host)
        return None if entry is None else entry.record

    def others(self) -> Iterator[Record]:
        """Return the records of other hosts that are not gone."""
        for entry in self.entries:
            record = entry.record
            if record.host != self.own.host and not record.is_gone:
                yield record

    def members(self) -> tuple[Member, ...]:
        """Return the other reachable hosts that are live or leaving."""
        return tuple(
            Member(
                host=record.host,
                incarnation=record.identity.incarnation,
                domain=record.identity.domain,
                address=record.identity.address,
                presence=record.presence,
                last_seen=self._reachability.last_seen(record.host),
            )
            for record in self.others()
            if not self._reachability.is_domain_unreachable(
                record.identity.domain
            )
        )

    def merge(self, record: Record, origin: Origin, source: HostId) -> bool:
        """Store a record from another host; return whether it is newer."""
        if record.host == self.own.host:
            self._refute(record)
            return False
        entry = self.entries.get(record.host)
        if entry is not None and record.order <= entry.record.order:
            if record.order == entry.record.order:
                entry.known_by.add(source)
            return False
        self._put(record, origin).known_by.add(source)
        return True

    def declare_gone(self, host: HostId) -> None:
        """Store the verdict of this host that a host is gone."""
        record = self.get(host)
        if record is not None:
            gone = Record(record.identity, record.version, Presence.GONE)
            self._put(gone, Origin.VERDICT)

    def purge(self) -> None:
        """Remove incarnations that have been gone for long."""
        before = self._clock.now() - GONE_RETENTION
        for host in self.entries.purge(before):
            self._reachability.forget_host(host)

    def _refute(self, record: Record) -> None:
        """Supersede a record of this incarnation that is later than its own."""
        is_own = record.identity.incarnation == self.identity.incarnation
        if is_own and record.order > self.own.order:
            version = record.version + 1
            self._set_own(Record(self.identity, version, self.own.presence))

    def _set_own(self, record: Record) -> None:
        self.own = record
        self._put(record, Origin.OWN)

    def _put(self, record: Record, origin: Origin) -> Entry:
        previous = self.get(record.host)
        now = self._clock.now()
        entry = self.entries.put(record, origin, now)
        entry.is_forwarder = self._is_forwarder(record.host)
        if previous is None or previous.identity != record.identity:
            self._reachability.record_host_seen(record.host, now)
        return entry

    def _is_forwarder(self, key: HostId) -> bool:
        """Return whether this host forwards changes of a host's record."""
        local_hosts = [
            record.host
            for record in self.others()
            if record.identity.domain == self.identity.domain
            and record.host != key
        ]
        forwarders = rank_hosts(key, [*local_hosts, self.own.host])[
            :_FORWARDERS
        ]
        return self.own.host in forwarders
