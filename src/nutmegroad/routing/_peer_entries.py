"""Entries of the platform's host list, as exchanged between hosts."""

from collections.abc import Iterable
from typing import ClassVar, Final, Self

from msgspec import Struct

from nutmegroad.contracts.peers import Message
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    Presence,
    ServiceName,
    UpstreamId,
    UpstreamInfo,
    UpstreamKind,
)

#: Seconds for which an entry received from another host takes precedence over
#: this host's own reading. The list lags, and by different amounts for
#: different readers.
PEER_ENTRY_LIFETIME: Final = 10.0


class ListedEntry(Struct, frozen=True, array_like=True):
    """Wire format of an entry of the list; fields as in ``UpstreamInfo``."""

    upstream: str
    domain: str
    kind: UpstreamKind
    ip: str
    port: int
    presence: Presence
    service: str


class ListedUpstreams(Message, frozen=True, tag='listed', array_like=True):
    """Advertises new or changed entries of the list.

    Attributes:
        entries: The entries.
    """

    part: ClassVar[str] = 'host list'

    entries: tuple[ListedEntry, ...]

    @classmethod
    def of(cls, infos: Iterable[UpstreamInfo]) -> Self:
        """Return the message for some upstreams."""
        return cls(tuple(_entry_of(info) for info in infos))

    def infos(self) -> tuple[UpstreamInfo, ...]:
        """Return the upstreams."""
        return tuple(_info_of(entry) for entry in self.entries)


class PeerEntryCache:
    """Retains entries read by other hosts for a limited time.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[UpstreamId, tuple[float, UpstreamInfo]] = {}

    def add(self, infos: Iterable[UpstreamInfo]) -> None:
        """Add entries that another host has read."""
        now = self._clock.now()
        for info in infos:
            self._entries[info.upstream] = (now, info)

    def merge(
        self,
        upstreams: tuple[UpstreamInfo, ...],
    ) -> tuple[UpstreamInfo, ...]:
        """Return a list updated with the retained entries of other hosts."""
        oldest = self._clock.now() - PEER_ENTRY_LIFETIME
        self._entries = {
            name: entry
            for name, entry in self._entries.items()
            if entry[0] > oldest
        }
        merged = {info.upstream: info for info in upstreams}
        merged.update((name, info) for name, (_, info) in self._entries.items())
        return tuple(merged.values())


def _entry_of(info: UpstreamInfo) -> ListedEntry:
    return ListedEntry(
        info.upstream,
        info.domain,
        info.kind,
        info.address.ip,
        info.address.port,
        info.presence,
        info.service,
    )


def _info_of(entry: ListedEntry) -> UpstreamInfo:
    return UpstreamInfo(
        UpstreamId(entry.upstream),
        DomainId(entry.domain),
        entry.kind,
        Address(entry.ip, entry.port),
        entry.presence,
        ServiceName(entry.service),
    )
