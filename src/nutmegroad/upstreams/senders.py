"""Which hosts may send to an upstream that takes few requests.

Hosts of the upstream's own failure domain come first: they reach it at little
cost, and still do when the domain is cut off. One host of another domain is
among them if there is any, for the time in which the domain's own are away.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from nutmegroad.fleet.duties import HostRing
from nutmegroad.foundations.types import DomainId, HostId, RegionId

#: Maximum number of rankings that are cached.
MAX_CACHED: Final = 4000


@dataclass(frozen=True, slots=True)
class _Ranking:
    """All hosts by their rank for a duty.

    Attributes:
        hosts: Number of hosts that were ranked.
        near: Hosts of the upstream's failure domain.
        far: The other hosts of its region; of all regions if there are none.
    """

    hosts: int
    near: tuple[HostId, ...]
    far: tuple[HostId, ...]


class SenderRanks:
    """Ranks all hosts as senders.

    Args:
        ring: All hosts.
        domain_of: Returns the failure domain of a host.
        regions: The region of each failure domain.
        is_complete: Returns whether all hosts are known.
    """

    def __init__(
        self,
        ring: HostRing,
        domain_of: Callable[[HostId], DomainId],
        regions: Mapping[DomainId, RegionId],
        is_complete: Callable[[], bool],
    ) -> None:
        self._ring = ring
        self._domain_of = domain_of
        self._regions = regions
        self._is_complete = is_complete
        self._rankings: dict[tuple[str, DomainId], _Ranking] = {}

    def senders(
        self, duty: str, domain: DomainId, count: int, turn: int
    ) -> tuple[HostId, ...] | None:
        """Return the senders of an upstream; None before hosts are known.

        Args:
            duty: The duty that they have.
            domain: Failure domain of the upstream.
            count: Maximum number of senders.
            turn: Number of the group of hosts that has the duty.
        """
        if not self._is_complete():
            return None
        ranking = self._ranking(duty, domain)
        return select_senders(ranking.near, ranking.far, count, turn)

    def _ranking(self, duty: str, domain: DomainId) -> _Ranking:
        """Return the ranking for a duty; hosts are only ever added."""
        ring = self._ring
        known = self._rankings.get((duty, domain))
        if known is not None and known.hosts == len(ring):
            return known
        if len(self._rankings) >= MAX_CACHED:
            self._rankings.clear()
        hosts = ring.first(duty, len(ring))
        domains = [self._domain_of(host) for host in hosts]
        near = _of(hosts, domains, {domain})
        region = self._regions.get(domain)
        others = set(domains) - {domain}
        same_region = {
            each for each in others if self._regions.get(each) == region
        }
        far = _of(hosts, domains, same_region) or _of(hosts, domains, others)
        ranking = _Ranking(len(ring), near, far)
        self._rankings[duty, domain] = ranking
        return ranking


def select_senders(
    near: Sequence[HostId], far: Sequence[HostId], count: int, turn: int
) -> tuple[HostId, ...]:
    """Return the senders, by the rank of hosts for the duty.

    Args:
        near: Hosts of the upstream's failure domain, in order.
        far: Hosts of other failure domains, in order.
        count: Maximum number of senders.
        turn: Number of the group; the next one begins after the last host of
            the one before it.
    """
    from_near = min(len(near), count - 1 if far else count)
    from_far = min(len(far), count - from_near)
    return (
        *_group(near, from_near, turn),
        *_group(far, from_far, turn),
    )


def _group(
    hosts: Sequence[HostId], count: int, turn: int
) -> tuple[HostId, ...]:
    """Return one group of hosts; the first one follows the last one."""
    start = turn * count
    return tuple(hosts[(start + each) % len(hosts)] for each in range(count))


def _of(
    hosts: Sequence[HostId],
    domains: Sequence[DomainId],
    wanted: set[DomainId],
) -> tuple[HostId, ...]:
    """Return the hosts in some failure domains.

    Args:
        hosts: The hosts.
        domains: Failure domain of each.
        wanted: The failure domains.
    """
    return tuple(
        host
        for host, domain in zip(hosts, domains, strict=True)
        if domain in wanted
    )
