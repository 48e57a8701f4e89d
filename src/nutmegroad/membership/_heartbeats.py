"""Builds heartbeats and sends them on the links, with the news in them."""

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

#: Records that one heartbeat carries at most; the rest waits for the next.
_MOST_NEWS: Final = 64
#: A link to another domain carries a heartbeat at every so manieth tick.
_FAR_EVERY: Final = 3
#: A near link carries the ages of domains at every so manieth tick.
_AGES_EVERY: Final = 4
#: Ages are told in tenths of a second.
_TENTHS: Final = 10


class Sender(Protocol):
    """How heartbeats go out."""

    def tell_each(self, hosts: Iterable[HostId], message: Message) -> int:
        """Queue a message to several hosts."""


@dataclass(slots=True)
class LinkState:
    """What is remembered about a link.

    Attributes:
        domain: The other host's domain.
        told: Number of the last change that the other host was told.
        they_want: Whether the other host needs the link itself.
    """

    domain: DomainId
    told: int
    they_want: bool = True


class HeartbeatSender:
    """Sends heartbeats.

    Args:
        table: All records.
        reachability: When domains were last heard.
        detector: Whom others suspect and we hear.
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

    def opened(self, identity: Identity) -> None:
        """Greet a host that has a link now with our view of both ends."""
        # A link may move to another connection; what was told stays told.
        state = LinkState(identity.domain, self._table.entries.change)
        self._links.setdefault(identity.host, state)
        news = [self._table.own]
        theirs = self._table.get(identity.host)
        if theirs is not None:
            news.append(theirs)
        heartbeat = Heartbeat(
            self._table.entries.digest, wanted=True, news=tuple(news)
        )
        self._sender.tell_each((identity.host,), heartbeat)

    def closed(self, host: HostId) -> None:
        """Forget a link."""
        self._links.pop(host, None)

    def taken(self, host: HostId, *, they_want: bool) -> None:
        """Note whether the other host of a link needs it."""
        if host in self._links:
            self._links[host].they_want = they_want

    def unwanted(self, wanted: Iterable[HostId]) -> tuple[HostId, ...]:
        """Return the hosts whose links neither side needs."""
        ours = frozenset(wanted)
        return tuple(
            host
            for host, state in self._links.items()
            if host not in ours and not state.they_want
        )

    def send_all(
        self,
        suspects: tuple[HostId, ...],
        wanted: Iterable[HostId],
    ) -> None:
        """Send the heartbeats of one tick.

        Args:
            suspects: Hosts of the domain that are silent.
            wanted: Hosts to which we need the links.
        """
        self._ticks += 1
        ours = frozenset(wanted)
        near = _Near(suspects, self._detector.take_vouching())
        alike: list[HostId] = []
        for host, state in self._links.items():
            news = self._news(host, state)
            if news or host not in ours:
                self._send(host, state, near, news, wanted=host in ours)
            elif state.domain == self._table.identity.domain:
                alike.append(host)
            elif self._ticks % _FAR_EVERY == 0:
                self._send(host, state, near, (), wanted=True)
        self._sender.tell_each(alike, self._alike(near))

    def _alike(self, near: '_Near') -> Heartbeat:
        """Return the heartbeat that most near hosts get alike."""
        has_ages = self._ticks % _AGES_EVERY == 0
        return Heartbeat(
            digest=self._table.entries.digest,
            wanted=True,
            ages=self._ages() if has_ages else {},
            suspects=near.suspects,
            vouched=near.vouched,
        )

    def _send(
        self,
        host: HostId,
        state: LinkState,
        near: '_Near',
        news: tuple[Record, ...],
        *,
        wanted: bool,
    ) -> None:
        is_near = state.domain == self._table.identity.domain
        heartbeat = Heartbeat(
            digest=self._table.entries.digest,
            wanted=wanted,
            news=news,
            ages=self._ages(),
            suspects=near.suspects if is_near else (),
            vouched=near.vouched if is_near else (),
        )
        self._sender.tell_each((host,), heartbeat)

    def _news(self, host: HostId, state: LinkState) -> tuple[Record, ...]:
        """Return what a host has to be told, and note it as told."""
        if state.told == self._table.entries.change:
            return ()
        entries = self._table.entries.since(state.told)[:_MOST_NEWS]
        state.told = (
            entries[-1].change if entries else self._table.entries.change
        )
        return tuple(
            entry.record
            for entry in entries
            if host not in entry.known_by and _concerns(entry)
        )

    def _ages(self) -> dict[DomainId, int]:
        ages = self._reachability.ages().items()
        tenths = {domain: int(_TENTHS * age) for domain, age in ages}
        return {**tenths, self._table.identity.domain: 0}


def age_seconds(tenths: int) -> float:
    """Return an age of a heartbeat in seconds."""
    return max(0, tenths) / _TENTHS


@dataclass(frozen=True, slots=True)
class _Near:
    """What only hosts of the own domain are told."""

    suspects: tuple[HostId, ...]
    vouched: tuple[HostId, ...]


def _concerns(entry: Entry) -> bool:
    """Tell whether a change has to be told to others.

    What a host of the domain told us or did is learned by most of the
    domain at the same time, so only some pass it on. A change from another
    domain may have come to us only.
    """
    match entry.origin:
        case Origin.OWN | Origin.FAR:
            return True
        case Origin.NEAR | Origin.VERDICT:
            return entry.is_relay
    return False
