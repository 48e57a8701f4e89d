"""JSON bodies of the platform's HTTP interface (see docs/design/stand-ins).

``Row``, ``RowWrite``, ``Rating`` and ``RatedAnswer`` are encoded directly.
"""

from typing import Self

from msgspec import Struct

from nutmegroad.contracts.platform import Listing, Rating, Row, RowWrite
from nutmegroad.foundations.decoding import Port, is_host_ip
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    HostId,
    HostInfo,
    Presence,
    ServiceName,
    UpstreamId,
    UpstreamInfo,
    UpstreamKind,
    VersionId,
)


class RowsBody(Struct, frozen=True):
    """Rows, sorted by key or in the order of the writes of a commit."""

    rows: tuple[Row, ...]


class CommitBody(Struct, frozen=True):
    """Writes that are applied together or not at all."""

    writes: tuple[RowWrite, ...]


class ConflictBody(Struct, frozen=True):
    """The first row whose version was not the one that a commit expected."""

    row: Row


class NamesBody(Struct, frozen=True):
    """Names of objects, sorted."""

    names: tuple[str, ...]


class RatingsBody(Struct, frozen=True):
    """Ratings, sorted by position."""

    ratings: tuple[Rating, ...]


class LoadRateBody(Struct, frozen=True):
    """Number of weight loads per minute that the weight store serves."""

    loads_per_minute: float


class FetchBody(Struct, frozen=True):
    """A version whose weights an engine requests."""

    version: VersionId


class HostEntry(Struct, frozen=True):
    """A host in the host list; see ``HostInfo``."""

    host: HostId
    domain: DomainId
    ip: str
    port: Port
    presence: Presence = Presence.LIVE

    @classmethod
    def from_host(cls, host: HostInfo) -> Self:
        """Return the entry for a host."""
        address = host.address
        return cls(
            host.host,
            host.domain,
            address.ip,
            address.port,
            host.presence,
        )

    def to_host(self) -> HostInfo:
        """Return the host that the entry describes.

        Raises:
            ValueError: If its IP address is none.
        """
        address = _address(self.ip, self.port)
        return HostInfo(self.host, self.domain, address, self.presence)


class UpstreamEntry(Struct, frozen=True):
    """An upstream in the host list; see ``UpstreamInfo``."""

    upstream: UpstreamId
    domain: DomainId
    kind: UpstreamKind
    ip: str
    port: Port
    presence: Presence = Presence.LIVE
    service: ServiceName = ServiceName('')

    @classmethod
    def from_upstream(cls, upstream: UpstreamInfo) -> Self:
        """Return the entry for an upstream."""
        return cls(
            upstream=upstream.upstream,
            domain=upstream.domain,
            kind=upstream.kind,
            ip=upstream.address.ip,
            port=upstream.address.port,
            presence=upstream.presence,
            service=upstream.service,
        )

    def to_upstream(self) -> UpstreamInfo:
        """Return the upstream that the entry describes.

        Raises:
            ValueError: If its IP address is none.
        """
        return UpstreamInfo(
            upstream=self.upstream,
            domain=self.domain,
            kind=self.kind,
            address=_address(self.ip, self.port),
            presence=self.presence,
            service=self.service,
        )


class ListingBody(Struct, frozen=True):
    """The host list: all hosts and upstreams."""

    hosts: tuple[HostEntry, ...] = ()
    upstreams: tuple[UpstreamEntry, ...] = ()

    @classmethod
    def from_listing(cls, listing: Listing) -> Self:
        """Return the body that represents a listing."""
        return cls(
            tuple(map(HostEntry.from_host, listing.hosts)),
            tuple(map(UpstreamEntry.from_upstream, listing.upstreams)),
        )

    def to_listing(self) -> Listing:
        """Return the listing that the body represents.

        Raises:
            ValueError: If the IP address of an entry is none.
        """
        return Listing(
            tuple(entry.to_host() for entry in self.hosts),
            tuple(entry.to_upstream() for entry in self.upstreams),
        )


def _address(ip: str, port: int) -> Address:
    """Return the address of an entry.

    Raises:
        ValueError: If the IP address is none that a machine can have.
    """
    if not is_host_ip(ip):
        raise ValueError(f'ip is {ip!r}, not the IPv4 address of a machine')
    return Address(ip, port)
