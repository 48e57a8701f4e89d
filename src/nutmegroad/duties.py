"""Duties: which hosts of a failure domain do what must be done once.

Each host works out the holders by itself, by rendezvous hashing over the
live hosts of its domain. Hosts that see the membership alike agree; while
they do not, a duty may be held by one host too many or too few, so what a
duty does must be harmless if done twice, or guarded by a lease.
"""

from typing import Final, NewType, Protocol

from nutmegroad._rendezvous import ranked
from nutmegroad.types import HostId, UpstreamId

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
        hosts = self._members.live_hosts()
        if hosts != self._hosts:
            self._hosts = hosts
            self._ranks.clear()
        if duty not in self._ranks:
            self._ranks[duty] = ranked(duty, hosts)
        return tuple(self._ranks[duty][:count])

    def is_mine(self, duty: DutyName, count: int = 1) -> bool:
        """Tell whether this host holds a duty."""
        return self._members.host in self.holders(duty, count)

    def watches(self, upstream: UpstreamId) -> bool:
        """Tell whether this host watches an upstream."""
        return self.is_mine(watch_of(upstream), WATCH_HOLDERS)


def watch_of(upstream: UpstreamId) -> DutyName:
    """Return the duty of watching an upstream."""
    return DutyName(f'watch:{upstream}')
