"""Entries of the platform's host list that hosts tell each other."""

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

#: The list lags, and not alike for all who read it: what another host has
#: read goes before one's own reading for so many seconds.
HOLD: Final = 10.0


class ListedEntry(Struct, frozen=True, array_like=True):
    """An entry of the list, as in ``UpstreamInfo``."""

    upstream: str
    domain: str
    kind: UpstreamKind
    ip: str
    port: int
    presence: Presence
    service: str


class ListedUpstreams(Message, frozen=True, tag='listed', array_like=True):
    """Tells which entries of the list are new or changed.

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


class ListMemory:
    """Remembers for a while what others have read from the list.

    Args:
        clock: The host's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._noted: dict[UpstreamId, tuple[float, UpstreamInfo]] = {}

    def note(self, infos: Iterable[UpstreamInfo]) -> None:
        """Take in what another host has read."""
        now = self._clock.now()
        for info in infos:
            self._noted[info.upstream] = (now, info)

    def merge(
        self,
        upstreams: tuple[UpstreamInfo, ...],
    ) -> tuple[UpstreamInfo, ...]:
        """Return a list with what others have just read in its place."""
        oldest = self._clock.now() - HOLD
        self._noted = {
            name: noted
            for name, noted in self._noted.items()
            if noted[0] > oldest
        }
        merged = {info.upstream: info for info in upstreams}
        merged.update((name, info) for name, (_, info) in self._noted.items())
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
