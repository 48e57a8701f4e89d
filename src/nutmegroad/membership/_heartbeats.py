"""Builds heartbeats with the changed records and sends them on the links."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, Protocol

from nutmegroad.contracts.peers import Message
from nutmegroad.foundations.types import DomainId, HostId
from nutmegroad.membership._detector import Detector
from nutmegroad.membership._handshake import Identity
from nutmegroad.membership._member_messages import Heartbeat, Record
from nutmegroad.membership._member_table import (
    Entry,
    MemberTable,
    Origin,
    Reachability,
)

#: Maximum number of records in one heartbeat; the rest is sent with the next.
_MAX_UPDATES: Final = 64
#: Ticks between heartbeats on a link to another domain.
_REMOTE_TICKS: Final = 3
#: Ticks between heartbeats with domain ages on a link within the domain.
_AGES_TICKS: Final = 4
#: Domain ages are sent in tenths of a second.
_TENTHS_PER_SECOND: Final = 10


class Sender(Protocol):
    """Output for heartbeats."""

    def multicast(self, hosts: Iterable[HostId], message: Message) -> int:
        """Queue a message for several hosts."""


@dataclass(slots=True)
class LinkState:
    """State of a link that heartbeats depend on.

    Attributes:
        domain: Failure domain of the peer.
        last_change_sent: Number of the last change sent to the peer.
        wanted_by_peer: Whether the peer itself needs the link.
    """

    domain: DomainId
    last_change_sent: int
    wanted_by_peer: bool = True


class HeartbeatSender:
    """Sends heartbeats.

    Args:
        table: Member records.
        reachability: When domains were last seen.
        detector: Source of the hosts to vouch for.
        sender: The links.
    """

    def __init__(
        self,
        table: MemberTable,
        reachability: Reachability,
        detector: Detector,
        sender: Sender,
    ) -> None:
        self._table = table
        self._reachability = reachability
        self._detector = detector
        self._sender = sender
        self._links: dict[HostId, LinkState] = {}
        self._ticks = 0

    def link_opened(self, identity: Identity) -> None:
        """Send a newly linked host its own record and that of this host."""
        # A link may move to another connection; changes already sent are not
        # sent again.
        state = LinkState(identity.domain, self._table.entries.change_number)
        self._links.setdefault(identity.host, state)
        updates = [self._table.own]
        peer_record = self._table.get(identity.host)
        if peer_record is not None:
            updates.append(peer_record)
        heartbeat = Heartbeat(
            self._table.entries.digest, wanted=True, news=tuple(updates)
        )
        self._sender.multicast((identity.host,), heartbeat)

    def link_closed(self, host: HostId) -> None:
        """Remove the state of a link."""
        self._links.pop(host, None)

    def set_wanted_by_peer(self, host: HostId, *, wanted_by_peer: bool) -> None:
        """Record whether the peer needs the link."""
        if host in self._links:
            self._links[host].wanted_by_peer = wanted_by_peer

    def unwanted(self, wanted: Iterable[HostId]) -> tuple[HostId, ...]:
        """Return the hosts whose links neither side needs."""
        needed = frozenset(wanted)
        return tuple(
            host
            for host, state in self._links.items()
            if host not in needed and not state.wanted_by_peer
        )

    def send_all(
        self,
        suspects: tuple[HostId, ...],
        wanted: Iterable[HostId],
    ) -> None:
        """Send the heartbeats of one tick.

        Args:
            suspects: Local hosts that are unresponsive.
            wanted: Hosts to which this one needs links.
        """
        self._ticks += 1
        needed = frozenset(wanted)
        local_only = _LocalFields(suspects, self._detector.pop_vouched())
        local_hosts: list[HostId] = []
        for host, state in self._links.items():
            updates = self._pop_updates(host, state)
            if updates or host not in needed:
                self._send(
                    host, state, local_only, updates, wanted=host in needed
                )
            elif state.domain == self._table.identity.domain:
                local_hosts.append(host)
            elif self._ticks % _REMOTE_TICKS == 0:
                self._send(host, state, local_only, (), wanted=True)
        self._sender.multicast(local_hosts, self._local_heartbeat(local_only))

    def _local_heartbeat(self, local_only: '_LocalFields') -> Heartbeat:
        """Return the heartbeat for all local hosts without pending changes."""
        has_ages = self._ticks % _AGES_TICKS == 0
        return Heartbeat(
            digest=self._table.entries.digest,
            wanted=True,
            ages=self._encoded_ages() if has_ages else {},
            suspects=local_only.suspects,
            vouched=local_only.vouched,
        )

    def _send(
        self,
        host: HostId,
        state: LinkState,
        local_only: '_LocalFields',
        updates: tuple[Record, ...],
        *,
        wanted: bool,
    ) -> None:
        is_local = state.domain == self._table.identity.domain
        heartbeat = Heartbeat(
            digest=self._table.entries.digest,
            wanted=wanted,
            news=updates,
            ages=self._encoded_ages(),
            suspects=local_only.suspects if is_local else (),
            vouched=local_only.vouched if is_local else (),
        )
        self._sender.multicast((host,), heartbeat)

    def _pop_updates(
        self, host: HostId, state: LinkState
    ) -> tuple[Record, ...]:
        """Return the changes to send, and mark them as sent."""
        if state.last_change_sent == self._table.entries.change_number:
            return ()
        entries = self._table.entries.changed_since(state.last_change_sent)[
            :_MAX_UPDATES
        ]
        state.last_change_sent = (
            entries[-1].change_number
            if entries
            else self._table.entries.change_number
        )
        return tuple(
            entry.record
            for entry in entries
            if host not in entry.known_by and _must_forward(entry)
        )

    def _encoded_ages(self) -> dict[DomainId, int]:
        ages = self._reachability.domain_ages().items()
        tenths = {domain: int(_TENTHS_PER_SECOND * age) for domain, age in ages}
        return {**tenths, self._table.identity.domain: 0}


def age_seconds(tenths: int) -> float:
    """Convert an age in a heartbeat to seconds."""
    return max(0, tenths) / _TENTHS_PER_SECOND


@dataclass(frozen=True, slots=True)
class _LocalFields:
    """Fields that are sent to hosts of the local domain only."""

    suspects: tuple[HostId, ...]
    vouched: tuple[HostId, ...]


def _must_forward(entry: Entry) -> bool:
    """Return whether a change must be forwarded to other hosts.

    Most hosts of the domain learn of a local change at the same time, so only
    some of them forward it. A change from another domain may have reached this
    host only.
    """
    match entry.origin:
        case Origin.OWN | Origin.REMOTE:
            return True
        case Origin.LOCAL | Origin.VERDICT:
            return entry.is_forwarder
    return False
