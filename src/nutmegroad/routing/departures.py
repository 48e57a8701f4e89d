"""Tells other hosts at once of upstreams that are leaving.

The host list lags; the first host that hears it from an upstream itself
tells the others. A host hands on only what is new to it: within its domain
all hosts are linked, so what came from there goes to other domains only.
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
from nutmegroad.routing.directory import Directory, LeavingSource


class UpstreamLeaving(Message, frozen=True, tag='upstream-leaving'):
    """An upstream has said that it is leaving, or the list has.

    Attributes:
        upstream: Its id.
        ip: Where that run of it listens.
        port: Its TCP port.
    """

    part: ClassVar[str] = 'departures'

    upstream: str
    ip: str
    port: int


class Departures:
    """Spreads which upstreams are leaving.

    Args:
        mesh: Links to other hosts.
        directory: What this host knows of upstreams.
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
        directory.listen(self._spread)
        mesh.handle(UpstreamLeaving, self._take)

    def _spread(self, info: UpstreamInfo, source: LeavingSource) -> None:
        """Tell all of what this host has found itself."""
        # A refused connection may be a cut of ours, which others must not
        # take for the upstream's word.
        if source in {LeavingSource.REPORT, LeavingSource.LIST}:
            self._mesh.tell_all(_message(info.upstream, info.address))

    async def _take(self, host: HostId, message: UpstreamLeaving) -> None:
        """Take another host's word and hand it on if it is new."""
        fresh = self._directory.mark_leaving(
            UpstreamId(message.upstream),
            Address(message.ip, message.port),
            LeavingSource.PEER,
        )
        if not fresh:
            return
        domains = {peer.host: peer.domain for peer in self._mesh.members()}
        from_here = domains.get(host) == self._domain
        for other, domain in domains.items():
            if other != host and not (from_here and domain == self._domain):
                self._mesh.tell(other, message)


def _message(upstream: UpstreamId, address: Address) -> UpstreamLeaving:
    """Return what other hosts are told."""
    return UpstreamLeaving(upstream, address.ip, address.port)
