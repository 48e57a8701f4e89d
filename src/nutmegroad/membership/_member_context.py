"""What the membership is given, and what it shares with the links."""

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

#: A domain unheard for so many intervals counts as cut off.
_DOMAIN_BOUND: Final = 15.0


class LinkLayer(Mesh, Protocol):
    """What the membership needs of the links, beyond a ``Mesh``."""

    def listen(self, listener: LinkListener) -> None:
        """Tell a listener what becomes of links."""

    def keep_links(self, addresses: Iterable[Address]) -> None:
        """Keep links to whoever listens at these addresses."""

    def linked(self) -> dict[HostId, float]:
        """Return the hosts with a link, and when each was last heard."""

    def drop(self, host: HostId) -> None:
        """Close the link to a host."""

    def tell_each(self, hosts: Iterable[HostId], message: Message) -> int:
        """Queue a message to several hosts; return to how many."""


@dataclass(frozen=True, slots=True)
class MemberContext:
    """What the membership needs of the program around it.

    Attributes:
        clock: Time.
        randomness: Source of jitter.
        account: Where cost and events are written.
        heartbeat: Seconds between heartbeats.
        seeds: Peer addresses from the settings.
        host_list: The platform's list, if there is one.
    """

    clock: Clock
    randomness: random.Random
    account: Account
    heartbeat: float = 1.0
    seeds: tuple[Address, ...] = ()
    host_list: HostList | None = None


def make_table(
    identity: Identity,
    clock: Clock,
    heartbeat: float,
) -> tuple[MemberTable, Reachability]:
    """Return what links and membership share."""
    reachability = Reachability(clock, _DOMAIN_BOUND * heartbeat)
    return MemberTable(identity, clock, reachability), reachability
