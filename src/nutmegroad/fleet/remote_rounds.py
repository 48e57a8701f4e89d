"""Selects which hosts send to other failure domains in a gossip round.

Traffic between domains is expensive, and what one host of a domain receives
soon reaches all others there. The hosts of a domain therefore take turns: each
remote domain receives datagrams from a fixed number of hosts per round, however
large both domains are.
"""

import math
from typing import Final

from xxhash import xxh32_intdigest

from nutmegroad.fleet.host_registration import HostRow
from nutmegroad.foundations.types import DomainId, HostId

#: Hosts of a domain that send to each remote domain per round while there are
#: updates. The second one compensates for a paused host or a lost datagram.
SENDERS_PER_ROUND: Final = 2

#: Factor by which a host sends less often when there are no updates. Such
#: datagrams only replace lost ones and show that the domain is reachable.
IDLE_FACTOR: Final = 4


class RemoteRounds:
    """Decides when this host sends to remote domains, and to which hosts.

    Args:
        host: This host.
    """

    def __init__(self, host: HostId) -> None:
        self._host = host
        self._domains: dict[DomainId, list[HostId]] = {}
        self._rows: dict[HostId, HostRow] = {}
        # Index of the next receiver in each domain.
        self._next: dict[DomainId, int] = {}

    def add_host(self, host: HostId, row: HostRow) -> None:
        """Add a host of another failure domain."""
        domain = DomainId(row.domain)
        if host not in self._rows:
            self._domains.setdefault(domain, []).append(host)
            # Hosts that start together begin at different receivers.
            start = xxh32_intdigest(f'{self._host}/{domain}'.encode())
            self._next.setdefault(domain, start)
        self._rows[host] = row

    def due(
        self,
        round_number: int,
        rank: int,
        domain_size: int,
        *,
        has_updates: bool,
    ) -> bool:
        """Return whether this host sends in a round.

        Args:
            round_number: Number of the round.
            rank: This host's rank among those of its domain.
            domain_size: Number of hosts in its domain, including this one.
            has_updates: Whether there are updates to send.
        """
        factor = 1 if has_updates else IDLE_FACTOR
        interval = math.ceil(domain_size / SENDERS_PER_ROUND) * factor
        # Spreads the senders evenly over the interval, whatever its length.
        return (round_number + rank * factor) % interval == 0

    def count_domains(self) -> int:
        """Return the number of other failure domains."""
        return len(self._domains)

    def receivers(self) -> list[HostRow]:
        """Return the next receiver in each remote domain, in rotation."""
        chosen = []
        for domain, hosts in self._domains.items():
            self._next[domain] += 1
            host = hosts[self._next[domain] % len(hosts)]
            chosen.append(self._rows[host])
        return chosen
