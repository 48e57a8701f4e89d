"""Dependencies of the membership, and the state that it shares with links."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, Protocol

from nutmegroad.contracts.peers import Mesh, Message
from nutmegroad.contracts.platform import HostList
from nutmegroad.foundations.accounting import Account
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import Address, HostId
from nutmegroad.membership._handshake import Identity
from nutmegroad.membership._link_context import LinkListener
from nutmegroad.membership._member_table import MemberTable, Reachability

#: Number of heartbeat intervals without any update after which a domain is
#: considered unreachable.
_DOMAIN_TIMEOUT: Final = 15.0


class LinkLayer(Mesh, Protocol):
    """Operations on links that the membership needs beyond ``Mesh``."""

    def listen(self, listener: LinkListener) -> None:
        """Set the listener that is notified when links open or close."""

    def maintain_links(self, addresses: Iterable[Address]) -> None:
        """Maintain links to the hosts at these addresses from now on."""

    def linked(self) -> dict[HostId, float]:
        """Return the linked hosts and when each last sent something."""

    def drop(self, host: HostId) -> None:
        """Close the link to a host."""

    def multicast(self, hosts: Iterable[HostId], message: Message) -> int:
        """Queue a message for several hosts; return for how many."""


@dataclass(frozen=True, slots=True)
class MemberContext:
    """Dependencies of the membership.

    Attributes:
        clock: Source of time.
        randomness: Source of jitter.
        account: Records costs and events.
        heartbeat: Seconds between heartbeats.
        seeds: Peer addresses from the settings.
        host_list: Host list of the platform, if there is one.
    """

    clock: Clock
    randomness: random.Random
    account: Account
    heartbeat: float = 1.0
    seeds: tuple[Address, ...] = ()
    host_list: HostList | None = None


def create_member_table(
    identity: Identity,
    clock: Clock,
    heartbeat: float,
) -> tuple[MemberTable, Reachability]:
    """Return the state that links and membership share."""
    reachability = Reachability(clock, _DOMAIN_TIMEOUT * heartbeat)
    return MemberTable(identity, clock, reachability), reachability
