"""Chooses the hosts that are asked for connections to upstreams.

Hosts of the same failure domain come first, because traffic between domains is
expensive. Among equals the choice is random, so that hosts that are cut off
together do not all ask the same one.
"""

import random
from collections.abc import Collection, Mapping
from typing import Final

from nutmegroad.fleet.host_registration import HostRow
from nutmegroad.fleet.peer_gossip import PeerGossip
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import (
    DomainId,
    HostId,
    RegionId,
    ServiceName,
)

#: Maximum number of hosts that are asked for one connection, in this failure
#: domain and in others. All hosts of one domain may be cut off.
NEAR_HOSTS_ASKED: Final = 2
FAR_HOSTS_ASKED: Final = 3

#: Seconds for which a host that could not help is asked after all others: it is
#: probably cut off itself.
FAILURE_MEMORY: Final = 2.0

#: Seconds without a message after which a host is asked after others. Hosts
#: without any load send none.
SILENCE: Final = 1.0


class TunnelHosts:
    """The hosts that may be asked for a connection, best first.

    Args:
        peers: The other hosts.
        domain: This host's failure domain.
        regions: The region of each failure domain.
        clock: The host's clock.
        randomness: Chooses among equals.
    """

    @property
    def any_known(self) -> bool:
        """Whether there is any other host."""
        return self._peers.count > 0

    def __init__(
        self,
        peers: PeerGossip,
        domain: DomainId,
        regions: Mapping[DomainId, RegionId],
        clock: Clock,
        randomness: random.Random,
    ) -> None:
        self._peers = peers
        self._domain = domain
        self._regions = regions
        self._clock = clock
        self._randomness = randomness
        self._failed_at: dict[tuple[HostId, ServiceName], float] = {}

    def candidates(
        self,
        service: ServiceName,
        duty: str = '',
        count: int | None = None,
        allowed: Collection[HostId] | None = None,
    ) -> tuple[tuple[HostId, HostRow], ...]:
        """Return the hosts to ask for a connection, in order.

        Args:
            service: The service of the upstream.
            duty: A duty that the hosts must have.
            count: Number of hosts that have it, by rank; None if all have.
            allowed: Hosts that may be asked; None if all may.
        """
        hosts = {**self._peers.local_hosts, **self._peers.remote_hosts}
        if allowed is not None:
            hosts = {host: hosts[host] for host in allowed if host in hosts}
        if count is not None:
            first = self._peers.ring.first(duty, count)
            hosts = {host: hosts[host] for host in first if host in hosts}
        in_region = [
            (host, row)
            for host, row in hosts.items()
            if self._is_in_region(DomainId(row.domain))
        ]
        self._randomness.shuffle(in_region)
        in_region.sort(key=lambda each: self._rank(each[0], each[1], service))
        near = [each for each in in_region if self._is_near(each[1])]
        far = [each for each in in_region if not self._is_near(each[1])]
        asked = near[:NEAR_HOSTS_ASKED] + far[:FAR_HOSTS_ASKED]
        return tuple(each for each in in_region if each in asked)

    def record_failure(self, host: HostId, service: ServiceName) -> None:
        """Record that a host could not connect to an upstream of a service."""
        self._failed_at[host, service] = self._clock.now()

    def record_success(self, host: HostId, service: ServiceName) -> None:
        """Record that a host has connected to an upstream of a service."""
        self._failed_at.pop((host, service), None)

    def _rank(
        self, host: HostId, row: HostRow, service: ServiceName
    ) -> tuple[bool, bool, bool]:
        """Return the sort key of a host."""
        now = self._clock.now()
        never = float('-inf')
        failed_at = self._failed_at.get((host, service), never)
        return (
            now - failed_at < FAILURE_MEMORY,
            now - self._peers.last_received.get(host, never) > SILENCE,
            not self._is_near(row),
        )

    def _is_near(self, row: HostRow) -> bool:
        """Return whether a host is in this host's failure domain."""
        return row.domain == self._domain

    def _is_in_region(self, domain: DomainId) -> bool:
        """Return whether a domain is in this host's region.

        A request's content must not leave the regions that it is allowed in.
        """
        own = self._regions.get(self._domain)
        return own is None or self._regions.get(domain) == own
