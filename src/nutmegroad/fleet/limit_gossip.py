"""Informs other hosts of a limit between two gossip rounds."""

from collections.abc import Callable, Iterable, Mapping
from typing import Final

import msgspec

from nutmegroad.fleet.domain_monitor import DomainMonitor
from nutmegroad.fleet.gossip_queue import Source
from nutmegroad.fleet.host_registration import HostRow
from nutmegroad.fleet.messages import LimitMessage
from nutmegroad.fleet.remote_rounds import RemoteRounds
from nutmegroad.fleet.request_limits import LimitUrgency, ReportedLimit
from nutmegroad.foundations.types import HostId

#: Hosts of each other failure domain that are informed. They inform the others
#: of their domain. The second one makes up for a lost datagram.
REMOTE_RECEIVERS: Final = 2

#: Milliseconds after its last message for which a failure domain counts as
#: heard.
RECENT_MILLISECONDS: Final = 5000

#: Sends a datagram to some hosts.
Send = Callable[[bytes, Iterable[HostRow]], None]


class LimitGossip:
    """Sends changed limits.

    Hosts of this failure domain are informed of what was learnt here or from
    another domain, hosts of other domains of what was learnt here.

    Args:
        host: This host.
        local: The other hosts of this failure domain.
        remote: Chooses hosts of other failure domains.
        send: Sends a datagram.
        domains: When messages from other failure domains were received.
    """

    def __init__(
        self,
        host: HostId,
        local: Mapping[HostId, HostRow],
        remote: RemoteRounds,
        send: Send,
        domains: DomainMonitor,
    ) -> None:
        self._host = host
        self._local = local
        self._remote = remote
        self._send = send
        self._domains = domains

    def hears_others(self) -> bool:
        """Return whether most failure domains have been heard recently."""
        known = self._remote.count_domains()
        heard = sum(
            age <= RECENT_MILLISECONDS for age in self._domains.ages().values()
        )
        # This host's own domain counts as heard.
        return 2 * (heard + 1) > known + 1

    def send(
        self, limit: ReportedLimit, source: Source, urgency: LimitUrgency
    ) -> None:
        """Send a limit that has changed, if it is urgent.

        Args:
            limit: The limit.
            source: Where it was learnt.
            urgency: How soon other hosts have to be informed.
        """
        if source is Source.LOCAL or urgency is not LimitUrgency.IMMEDIATE:
            return
        payload = msgspec.msgpack.encode(LimitMessage(self._host, limit))
        self._send(payload, self._local.values())
        if source is Source.OWN:
            for _ in range(REMOTE_RECEIVERS):
                self._send(payload, self._remote.receivers())
