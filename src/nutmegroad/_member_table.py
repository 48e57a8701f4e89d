"""All records of hosts, the news among them, and who we are."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final

import msgspec

from nutmegroad._handshake import Identity
from nutmegroad._member_messages import Record
from nutmegroad._reach import Reach
from nutmegroad._rendezvous import ranked
from nutmegroad.clocks import Clock
from nutmegroad.peers import Member
from nutmegroad.types import Address, DomainId, HostId, Presence

#: Seconds for which a gone incarnation is remembered, so that old news
#: can't bring it back; and how many are remembered at most.
GONE_MEMORY: Final = 3600.0
_MOST_GONE: Final = 1000
#: How many hosts of a domain pass a change within it on to other domains.
_RELAYS: Final = 3


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
    is_relay: bool
    known_by: set[HostId] = field(default_factory=set)


class MemberTable:
    """The records of all hosts, this one's among them.

    Args:
        identity: Who we are.
        clock: Time.
        reach: When hosts and domains were last heard.
    """

    def __init__(self, identity: Identity, clock: Clock, reach: Reach) -> None:
        self._clock = clock
        self._reach = reach
        self._entries: dict[HostId, Entry] = {}
        self._own = Record(identity, 0, Presence.LIVE)
        self._change = 0
        self._digest = 0
        self._put(self._own, Origin.OWN)

    @property
    def identity(self) -> Identity:
        """Who we are."""
        return self._own.identity

    @property
    def domain(self) -> DomainId:
        """The failure domain that we stand in."""
        return self._own.identity.domain

    @property
    def own(self) -> Record:
        """Our own record."""
        return self._own

    @property
    def change(self) -> int:
        """How many changes there were; grows with each."""
        return self._change

    @property
    def digest(self) -> int:
        """A hash over all the records that are not gone."""
        return self._digest

    def bind(self, address: Address) -> None:
        """Take in where we listen, once that is known."""
        identity = msgspec.structs.replace(
            self.identity,
            ip=address.ip,
            port=address.port,
        )
        self._set_own(Record(identity, self._own.version, self._own.presence))

    def raise_generation(self, known: int) -> None:
        """Become later than a generation of us that others know."""
        generation = max(known, self.identity.generation) + 1
        identity = msgspec.structs.replace(
            self.identity,
            generation=generation,
        )
        self._set_own(Record(identity, self._own.version, self._own.presence))

    def set_presence(self, presence: Presence) -> None:
        """Change our own presence."""
        version = self._own.version + 1
        self._set_own(Record(self.identity, version, presence))

    def newer_generation(self, identity: Identity) -> int:
        """Return the generation of a later incarnation, 0 if none."""
        entry = self._entries.get(identity.host)
        if entry is None or entry.record.identity.order <= identity.order:
            return 0
        return entry.record.identity.generation

    def get(self, host: HostId) -> Record | None:
        """Return the record of a host."""
        entry = self._entries.get(host)
        return None if entry is None else entry.record

    def records(self) -> tuple[Record, ...]:
        """Return all records, gone ones among them."""
        return tuple(entry.record for entry in self._entries.values())

    def others(self) -> Iterator[Record]:
        """Return the records of other hosts that are not gone."""
        for entry in tuple(self._entries.values()):
            record = entry.record
            if record.host != self._own.host and not record.is_gone:
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
                heard=self._reach.last_heard(record.host),
            )
            for record in self.others()
            if not self._reach.is_cut_off(record.identity.domain)
        )

    def merge(self, record: Record, origin: Origin, informer: HostId) -> bool:
        """Take in a record that a host told us; true if it was news."""
        if record.host == self._own.host:
            self._refute(record)
            return False
        entry = self._entries.get(record.host)
        if entry is not None and record.order <= entry.record.order:
            if record.order == entry.record.order:
                entry.known_by.add(informer)
            return False
        self._put(record, origin).known_by.add(informer)
        return True

    def declare_gone(self, host: HostId) -> None:
        """Take in our own verdict that a host is gone."""
        record = self._entries[host].record
        gone = Record(record.identity, record.version, Presence.GONE)
        self._put(gone, Origin.VERDICT)

    def news_since(self, change: int) -> list[Entry]:
        """Return the entries that changed later, the oldest first."""
        news: list[Entry] = []
        if change < self._change:
            for entry in reversed(self._entries.values()):
                if entry.change <= change:
                    break
                news.append(entry)
        return news[::-1]

    def purge(self) -> None:
        """Forget incarnations that have been gone for long."""
        gone = [
            entry for entry in self._entries.values() if entry.record.is_gone
        ]
        limit = self._clock.now() - GONE_MEMORY
        surplus = len(gone) - _MOST_GONE
        for place, entry in enumerate(gone):
            if entry.since < limit or place < surplus:
                self._entries.pop(entry.record.host)
                self._reach.forget_host(entry.record.host)

    def _refute(self, record: Record) -> None:
        is_ours = record.identity.incarnation == self.identity.incarnation
        if is_ours and record.order > self._own.order:
            version = record.version + 1
            self._set_own(Record(self.identity, version, self._own.presence))

    def _set_own(self, record: Record) -> None:
        self._own = record
        self._put(record, Origin.OWN)

    def _put(self, record: Record, origin: Origin) -> Entry:
        old = self._entries.pop(record.host, None)
        if old is not None and not old.record.is_gone:
            self._digest ^= old.record.digest()
        if not record.is_gone:
            self._digest ^= record.digest()
        self._change += 1
        now = self._clock.now()
        entry = Entry(
            record=record,
            change=self._change,
            origin=origin,
            since=now,
            is_relay=False,
        )
        self._entries[record.host] = entry
        entry.is_relay = self._is_relay(record.host)
        if old is None or old.record.identity != record.identity:
            self._reach.heard_host(record.host, now)
            self._reach.heard_domain(record.identity.domain, now)
        return entry

    def _is_relay(self, key: HostId) -> bool:
        near = [
            record.host
            for record in self.others()
            if record.identity.domain == self.domain and record.host != key
        ]
        first = ranked(key, [*near, self._own.host])[:_RELAYS]
        return self._own.host in first
