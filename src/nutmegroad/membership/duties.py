"""Duties: which hosts of a failure domain do what must be done once.

Each host works out the holders by itself, by rendezvous hashing over the
live hosts of its domain. Hosts that see the membership alike agree; while
they do not, a duty may be held by one host too many or too few, so what a
duty does must be harmless if done twice, or guarded by a lease.
"""

from collections.abc import Iterable
from typing import Final, NewType, Protocol

from nutmegroad.foundations.types import HostId, UpstreamId
from nutmegroad.membership._rendezvous import ranked

DutyName = NewType('DutyName', str)

#: Hosts that watch each upstream, so that one may fail unnoticed.
WATCH_HOLDERS: Final = 2


class LiveHosts(Protocol):
    """What duties need of the membership."""

    @property
    def host(self) -> HostId:
        """This host."""

    def live_hosts(self) -> tuple[HostId, ...]:
        """Return the live hosts of this domain, this one among them."""


class Duties:
    """Shares duties out over the live hosts of the domain.

    Args:
        members: The membership.
    """

    def __init__(self, members: LiveHosts) -> None:
        self._members = members
        self._hosts: tuple[HostId, ...] = ()
        self._ranks: dict[DutyName, list[HostId]] = {}

    def holders(self, duty: DutyName, count: int = 1) -> tuple[HostId, ...]:
        """Return the hosts that hold a duty, the first one first.

        Args:
            duty: The duty.
            count: How many hold it; there are fewer in a small domain.
        """
        self._refresh()
        return tuple(self._ranked(duty)[:count])

    def is_mine(self, duty: DutyName, count: int = 1) -> bool:
        """Tell whether this host holds a duty."""
        return self._members.host in self.holders(duty, count)

    def watches(self, upstream: UpstreamId) -> bool:
        """Tell whether this host watches an upstream."""
        return self.is_mine(watch_of(upstream), WATCH_HOLDERS)

    def hosts(self) -> tuple[HostId, ...]:
        """Return the live hosts over which duties are shared out."""
        return self._members.live_hosts()

    def watch_places(
        self,
        upstreams: Iterable[UpstreamId],
    ) -> dict[UpstreamId, int]:
        """Return the upstreams that this host watches.

        It looks at the membership once, so that it may be called often.

        Returns:
            For each this host's place among the holders; 0 is the first.
        """
        self._refresh()
        own = self._members.host
        places: dict[UpstreamId, int] = {}
        for upstream in upstreams:
            holders = self._ranked(watch_of(upstream))[:WATCH_HOLDERS]
            if own in holders:
                places[upstream] = holders.index(own)
        return places

    def _refresh(self) -> None:
        """Forget who held what if the live hosts have changed."""
        hosts = self._members.live_hosts()
        if hosts != self._hosts:
            self._hosts = hosts
            self._ranks.clear()

    def _ranked(self, duty: DutyName) -> list[HostId]:
        if duty not in self._ranks:
            self._ranks[duty] = ranked(duty, self._hosts)
        return self._ranks[duty]


def watch_of(upstream: UpstreamId) -> DutyName:
    """Return the duty of watching an upstream."""
    return DutyName(f'watch:{upstream}')
