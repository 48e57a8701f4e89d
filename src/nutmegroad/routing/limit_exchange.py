"""Exchanges the limits that upstreams have named between hosts."""

from typing import Final

from nutmegroad.contracts.peers import Mesh, Message
from nutmegroad.fleet.gossip_queue import Source
from nutmegroad.fleet.request_limits import (
    LimitReport,
    LimitUrgency,
    ReportedLimit,
    RequestLimits,
)
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import HostId
from nutmegroad.upstreams.upstream_limits import KnownHosts

#: Seconds between reports of limits in force, which replace lost ones and
#: inform hosts that have just started.
REPORT_INTERVAL: Final = 0.25


class LimitDigest(Message, frozen=True, tag='request-limits'):
    """Limits that upstreams have named.

    Attributes:
        limits: The limits.
    """

    limits: LimitReport = ()


class LimitExchange:
    """Broadcasts limits; changes at once, others regularly.

    Args:
        mesh: Links to other hosts.
        limits: The limits known to this host.
        hosts: Receives the other hosts.
        clock: The host's clock.
    """

    def __init__(
        self,
        mesh: Mesh,
        limits: RequestLimits,
        hosts: KnownHosts,
        clock: Clock,
    ) -> None:
        self._mesh = mesh
        self._limits = limits
        self._hosts = hosts
        self._clock = clock
        mesh.handle(LimitDigest, self._receive)
        limits.subscribe(self._send)

    async def run(self) -> None:
        """Report the limits in force, until cancelled."""
        while True:
            await self._clock.sleep(REPORT_INTERVAL)
            self._hosts.update(self._mesh.members())
            if self._limits.any_known:
                self._mesh.broadcast(LimitDigest(self._limits.report()))

    def _send(
        self, limit: ReportedLimit, source: Source, urgency: LimitUrgency
    ) -> None:
        """Send a limit that was learnt here, if it is urgent.

        Hosts without a direct link receive it in the reports of others.
        """
        if source is Source.OWN and urgency is LimitUrgency.IMMEDIATE:
            self._mesh.broadcast(LimitDigest((limit,)))

    async def _receive(self, host: HostId, digest: LimitDigest) -> None:
        """Merge the limits that another host has sent."""
        self._limits.merge(digest.limits, local=True)
