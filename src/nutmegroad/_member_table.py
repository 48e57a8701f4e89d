"""What is known of all hosts, and who we are."""

from collections.abc import Iterator
from typing import Final

import msgspec

from nutmegroad._entries import Entries, Entry, Origin
from nutmegroad._handshake import Identity
from nutmegroad._member_messages import Record
from nutmegroad._reachability import Reachability
from nutmegroad._rendezvous import ranked
from nutmegroad.clocks import Clock
from nutmegroad.peers import Member
from nutmegroad.types import Address, HostId, Presence

#: Seconds for which a gone incarnation is remembered, so that old news
#: can't bring it back.
GONE_MEMORY: Final = 3600.0
#: How many hosts of a domain pass a change within it on to other domains.
_RELAYS: Final = 3


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
