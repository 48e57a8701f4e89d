"""Duties: which hosts of a failure domain run tasks that must run once.

Each host computes the holders on its own, by rendezvous hashing over the
live hosts of its domain. Hosts with the same view of the membership agree.
While views differ, a duty may have one holder too many or too few, so its
task must be harmless if performed twice, or be guarded by a lease.
"""

from collections.abc import Iterable
from typing import Final, NewType, Protocol

from nutmegroad.foundations.types import HostId, UpstreamId
from nutmegroad.membership._rendezvous import rank_hosts

DutyName = NewType('DutyName', str)

#: Number of hosts that watch each upstream, so that one of them may fail
#: without effect.
WATCHERS_PER_UPSTREAM: Final = 2


class LiveHosts(Protocol):
    """View of the membership that duties need."""

    @property
    def host(self) -> HostId:
        """Id of this host."""

    def live_hosts(self) -> tuple[HostId, ...]:
        """Return the live hosts of this domain, including this one."""


class Duties:
    """Distributes duties over the live hosts of the domain.

    Args:
        members: The membership.
    """

    def __init__(self, members: LiveHosts) -> None:
        self._members = members
        self._hosts: tuple[HostId, ...] = ()
        self._ranks: dict[DutyName, list[HostId]] = {}

    def holders(self, duty: DutyName, count: int = 1) -> tuple[HostId, ...]:
        """Return the hosts that hold a duty, the highest-ranked first.

        Args:
            duty: The duty.
            count: Number of holders; fewer if the domain has fewer live hosts.
        """
        self._refresh()
        return tuple(self._ranking(duty)[:count])

    def is_mine(self, duty: DutyName, count: int = 1) -> bool:
        """Return whether this host holds a duty."""
        return self._members.host in self.holders(duty, count)

    def watches(self, upstream: UpstreamId) -> bool:
        """Return whether this host watches an upstream."""
        return self.is_mine(watch_duty(upstream), WATCHERS_PER_UPSTREAM)

    def hosts(self) -> tuple[HostId, ...]:
        """Return the live hosts over which duties are distributed."""
        return self._members.live_hosts()

    def watch_ranks(
        self,
        upstreams: Iterable[UpstreamId],
    ) -> dict[UpstreamId, int]:
        """Return the upstreams that this host watches.

        The membership is read only once, so that frequent calls are cheap.

        Returns:
            For each upstream the index of this host among the holders.
        """
        self._refresh()
        own = self._members.host
        positions: dict[UpstreamId, int] = {}
        for upstream in upstreams:
            holders = self._ranking(watch_duty(upstream))[
                :WATCHERS_PER_UPSTREAM
            ]
            if own in holders:
                positions[upstream] = holders.index(own)
        return positions

    def _refresh(self) -> None:
        """Clear the cached rankings if the live hosts have changed."""
        hosts = self._members.live_hosts()
        if hosts != self._hosts:
            self._hosts = hosts
            self._ranks.clear()

    def _ranking(self, duty: DutyName) -> list[HostId]:
        if duty not in self._ranks:
            self._ranks[duty] = rank_hosts(duty, self._hosts)
        return self._ranks[duty]


def watch_duty(upstream: UpstreamId) -> DutyName:
    """Return the duty of watching an upstream."""
    return DutyName(f'watch:{upstream}')
