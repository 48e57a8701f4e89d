"""What is known of all hosts: their records, and when they were heard."""

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
from nutmegroad.membership._rendezvous import ranked

#: Gone incarnations that are remembered at most.
_MOST_GONE: Final = 1000

#: Seconds for which a gone incarnation is remembered, so that old news
#: can't bring it back.
GONE_MEMORY: Final = 3600.0
#: How many hosts of a domain pass a change within it on to other domains.
_RELAYS: Final = 3


class Reachability:
    """Keeps for how long hosts and domains have been silent.

    Args:
        clock: Time.
        domain_bound: Seconds of silence after which a domain counts as
            cut off.
    """

    def __init__(self, clock: Clock, domain_bound: float) -> None:
        self._clock = clock
        self._domain_bound = domain_bound
        self._hosts: dict[HostId, float] = {}
        self._domains: dict[DomainId, float] = {}
        self._told: dict[DomainId, float] = {}
        self._forgiven = clock.now()

    def heard_host(self, host: HostId, when: float) -> None:
        """Note that a host was heard, or heard of for the first time."""
        self._hosts[host] = max(when, self._hosts.get(host, when))

    def heard_domain(self, domain: DomainId, when: float) -> None:
        """Note when a domain was heard, by us or by others."""
        self._domains[domain] = max(when, self._domains.get(domain, when))
        self._told[domain] = self._clock.now()

    def forgive(self) -> None:
        """Count all silence from now on, after a pause of our own."""
        self._forgiven = self._clock.now()

    def forget_host(self, host: HostId) -> None:
        """Forget a host."""
        self._hosts.pop(host, None)

    def last_heard(self, host: HostId) -> float:
        """Return the clock seconds at which a host was last heard."""
        return self._hosts.get(host, self._forgiven)

    def silence(self, host: HostId) -> float:
        """Return for how many seconds a host has been silent."""
        heard = self._hosts.get(host, self._forgiven)
        return self._clock.now() - max(heard, self._forgiven)

    def is_cut_off(self, domain: DomainId) -> bool:
        """Tell whether nobody of a domain is heard, even by others."""
        heard = self._forgiven
        # What others tell after a pause of our own is worth more than
        # that we heard nothing during the pause.
        if self._told.get(domain, self._forgiven) > self._forgiven:
            heard = self._domains[domain]
        return self._clock.now() - heard > self._domain_bound

    def ages(self) -> Mapping[DomainId, float]:
        """Return for each domain the seconds since it was heard."""
        now = self._clock.now()
        return {domain: now - when for domain, when in self._domains.items()}


@unique
class Origin(Enum):
    """How a change was learned, which says who else must be told."""

    OWN = 'own'
    NEAR = 'near'
    FAR = 'far'
    VERDICT = 'verdict'
    SYNC = 'sync'


@dataclass(slots=True)
class Entry:
    """A record and how it came here.

    Attributes:
        record: The record.
        change: Number of the change that brought it.
        origin: How it was learned.
        since: Clock seconds at which it was learned.
        is_relay: Whether this host passes it on for its domain.
        known_by: Hosts that told us the same.
    """

    record: Record
    change: int
    origin: Origin
    since: float
    is_relay: bool = False
    known_by: set[HostId] = field(default_factory=set)


class Entries:
    """All records, the latest change last."""

    def __init__(self) -> None:
        self._entries: dict[HostId, Entry] = {}
        self._change = 0
        self._digest = 0

    def __iter__(self) -> Iterator[Entry]:
        """Iterate over the entries, the earliest change first."""
        return iter(tuple(self._entries.values()))

    @property
    def change(self) -> int:
        """How many changes there were."""
        return self._change

    @property
    def digest(self) -> int:
        """A hash over all the records that are not gone."""
        return self._digest

    def get(self, host: HostId) -> Entry | None:
        """Return the entry of a host."""
        return self._entries.get(host)

    def put(self, record: Record, origin: Origin, now: float) -> Entry:
        """Replace the record of a host."""
        old = self._entries.pop(record.host, None)
        if old is not None:
            self._mix(old.record)
        self._mix(record)
        self._change += 1
        entry = Entry(record, self._change, origin, since=now)
        self._entries[record.host] = entry
        return entry

    def records(self) -> tuple[Record, ...]:
        """Return all records, gone ones among them."""
        return tuple(entry.record for entry in self)

    def since(self, change: int) -> list[Entry]:
        """Return the entries that changed later, the earliest first."""
        latest = reversed(self._entries.values())
        news = list(takewhile(lambda entry: entry.change > change, latest))
        news.reverse()
        return news

    def purge(self, limit: float) -> list[HostId]:
        """Forget what has been gone since before a moment.

        Returns:
            The hosts that were forgotten.
        """
        gone = [entry for entry in self if entry.record.is_gone]
        surplus = len(gone) - _MOST_GONE
        forgotten = [
            entry.record.host
            for place, entry in enumerate(gone)
            if entry.since < limit or place < surplus
        ]
        for host in forgotten:
            self._entries.pop(host)
        return forgotten

    def _mix(self, record: Record) -> None:
        """Put a record into the hash, or take it out again."""
        if not record.is_gone:
            self._digest ^= record.digest()


class MemberTable:
    """The records of all hosts, this one's among them.

    Attributes:
        own: Our own record.
        entries: All records, our own among them.

    Args:
        identity: Who we are.
        clock: Time.
        reachability: When hosts and domains were last heard.
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
        """Who we are."""
        return self.own.identity

    def bind(self, address: Address) -> None:
        """Take in where we listen, once that is known."""
        moved = msgspec.structs.replace(
            self.identity,
            ip=address.ip,
            port=address.port,
        )
        self._set_own(msgspec.structs.replace(self.own, identity=moved))

    def raise_generation(self, known: int) -> None:
        """Become later than a generation of us that others know."""
        generation = max(known, self.identity.generation) + 1
        later = msgspec.structs.replace(
            self.identity,
            generation=generation,
        )
        self._set_own(msgspec.structs.replace(self.own, identity=later))

    def set_presence(self, presence: Presence) -> None:
        """Change our own presence."""
        version = self.own.version + 1
        self._set_own(Record(self.identity, version, presence))

    def newer_generation(self, identity: Identity) -> int:
        """Return the generation of a later incarnation, 0 if none."""
        entry = self.entries.get(identity.host)
        if entry is None or entry.record.identity.order <= identity.order:
            return 0
        return entry.record.identity.generation

    def get(self, host: HostId) -> Record | None:
        """Return the record of a host."""
        entry = self.entries.get(host)
        return None if entry is None else entry.record

    def others(self) -> Iterator[Record]:
        """Return the records of other hosts that are not gone."""
        for entry in self.entries:
            record = entry.record
            if record.host != self.own.host and not record.is_gone:
                yield record

    def members(self) -> tuple[Member, ...]:
        """Return the other hosts that are live or leaving and in reach."""
        return tuple(
            Member(
                host=record.host,
                incarnation=record.identity.incarnation,
                domain=record.identity.domain,
                address=record.identity.address,
                presence=record.presence,
                heard=self._reachability.last_heard(record.host),
            )
            for record in self.others()
            if not self._reachability.is_cut_off(record.identity.domain)
        )

    def merge(self, record: Record, origin: Origin, informer: HostId) -> bool:
        """Take in a record that a host told us; true if it was news."""
        if record.host == self.own.host:
            self._refute(record)
            return False
        entry = self.entries.get(record.host)
        if entry is not None and record.order <= entry.record.order:
            if record.order == entry.record.order:
                entry.known_by.add(informer)
            return False
        self._put(record, origin).known_by.add(informer)
        return True

    def declare_gone(self, host: HostId) -> None:
        """Take in our own verdict that a host is gone."""
        record = self.get(host)
        if record is not None:
            gone = Record(record.identity, record.version, Presence.GONE)
            self._put(gone, Origin.VERDICT)

    def purge(self) -> None:
        """Forget incarnations that have been gone for long."""
        limit = self._clock.now() - GONE_MEMORY
        for host in self.entries.purge(limit):
            self._reachability.forget_host(host)

    def _refute(self, record: Record) -> None:
        is_ours = record.identity.incarnation == self.identity.incarnation
        if is_ours and record.order > self.own.order:
            version = record.version + 1
            self._set_own(Record(self.identity, version, self.own.presence))

    def _set_own(self, record: Record) -> None:
        self.own = record
        self._put(record, Origin.OWN)

    def _put(self, record: Record, origin: Origin) -> Entry:
        old = self.get(record.host)
        now = self._clock.now()
        entry = self.entries.put(record, origin, now)
        entry.is_relay = self._is_relay(record.host)
        if old is None or old.identity != record.identity:
            self._reachability.heard_host(record.host, now)
        return entry

    def _is_relay(self, key: HostId) -> bool:
        near = [
            record.host
            for record in self.others()
            if record.identity.domain == self.identity.domain
            and record.host != key
        ]
        first = ranked(key, [*near, self.own.host])[:_RELAYS]
        return self.own.host in first
