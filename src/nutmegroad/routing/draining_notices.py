"""Broadcasts which upstreams are draining, ahead of the host list.

The host list lags, so the first host that receives the notice from an
upstream itself sends it to the other hosts. A host forwards only notices
that are new to it. All hosts of a domain are linked to each other, so a
notice from a host of the same domain is forwarded to other domains only.
"""

from typing import ClassVar

from nutmegroad.contracts.peers import Mesh, Message
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    HostId,
    UpstreamId,
    UpstreamInfo,
)
from nutmegroad.routing.directory import Directory, DrainingSource


class UpstreamDraining(Message, frozen=True, tag='upstream-leaving'):
    """An upstream is draining, according to itself or to the host list.

    Attributes:
        upstream: Its id.
        ip: IP address at which that incarnation of it listens.
        port: Its TCP port.
    """

    part: ClassVar[str] = 'departures'

    upstream: str
    ip: str
    port: int


class DrainingNotices:
    """Broadcasts and receives notices of draining upstreams.

    Args:
        mesh: Links to other hosts.
        directory: The upstreams known to this host.
        domain: The failure domain of this host.
    """

    def __init__(
        self,
        mesh: Mesh,
        directory: Directory,
        domain: DomainId,
    ) -> None:
        self._mesh = mesh
        self._directory = directory
        self._domain = domain
        directory.listen(self._broadcast)
        mesh.handle(UpstreamDraining, self._receive)

    def _broadcast(self, info: UpstreamInfo, source: DrainingSource) -> None:
        """Broadcast a notice that this host did not receive from a peer."""
        # Connections may be refused because this host's network is cut.
        # Other hosts must not take that for the upstream's own notice.
        if source in {DrainingSource.REPORT, DrainingSource.LIST}:
            self._mesh.broadcast(_notice(info.upstream, info.address))

    async def _receive(self, host: HostId, message: UpstreamDraining) -> None:
        """Apply a notice from another host, and forward it if it is new."""
        is_new = self._directory.mark_draining(
            UpstreamId(message.upstream),
            Address(message.ip, message.port),
            DrainingSource.PEER,
        )
        if not is_new:
            return
        domains = {peer.host: peer.domain for peer in self._mesh.members()}
        from_own_domain = domains.get(host) == self._domain
        for other, domain in domains.items():
            if other != host and not (
                from_own_domain and domain == self._domain
            ):
                self._mesh.send(other, message)


def _notice(upstream: UpstreamId, address: Address) -> UpstreamDraining:
    """Return the notice that is sent to other hosts."""
    return UpstreamDraining(upstream, address.ip, address.port)
