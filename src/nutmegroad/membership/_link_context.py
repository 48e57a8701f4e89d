"""Dependencies of the links: limits, clock, randomness and the roster."""

import random
from dataclasses import dataclass
from typing import Protocol

from nutmegroad.contracts.peers import Member
from nutmegroad.foundations.accounting import Account
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import Address
from nutmegroad.membership._handshake import Identity


@dataclass(frozen=True, slots=True)
class LinkLimits:
    """Limits of the links.

    Attributes:
        max_message_bytes: Maximum bytes of a message.
        max_queued_messages: Maximum messages queued for one peer.
        max_queued_bytes: Maximum bytes queued for one peer.
        max_handlers: Maximum concurrent handlers for one peer.
        max_unauthenticated: Maximum incoming connections without a proof.
        handshake_timeout: Seconds for connecting, and for the handshake.
        write_timeout: Seconds that a write may be blocked by a slow peer.
        idle_timeout: Seconds after which a link without traffic is closed.
        connections_per_second: Maximum rate of outgoing connections.
        initial_backoff: Maximum seconds before the first attempt to connect.
        max_backoff: Maximum seconds between attempts to connect.
        flush_timeout: Seconds that sending the queues may take on closing.
    """

    max_message_bytes: int = 1_048_576
    max_queued_messages: int = 512
    max_queued_bytes: int = 2_097_152
    max_handlers: int = 64
    max_unauthenticated: int = 64
    handshake_timeout: float = 3
    write_timeout: float = 10
    idle_timeout: float = 20
    connections_per_second: float = 10
    initial_backoff: float = 0.3
    max_backoff: float = 15
    flush_timeout: float = 0.5


@dataclass(frozen=True, slots=True)
class LinkContext:
    """Dependencies of the links.

    Attributes:
        key: The cluster key.
        clock: Source of time.
        randomness: Source of jitter.
        nonces: Source of nonces; must be unpredictable outside tests.
        account: Records costs and events.
        limits: Limits of the links.
        old_key: Second valid key while the cluster key is being changed.
    """

    key: bytes
    clock: Clock
    randomness: random.Random
    nonces: random.Random
    account: Account
    limits: LinkLimits = LinkLimits()
    old_key: bytes = b''


class Roster(Protocol):
    """Member information that the links need."""

    @property
    def identity(self) -> Identity:
        """Identity of this host."""

    def bind(self, address: Address) -> None:
        """Set the listening address of this host once it is known."""

    def newer_generation(self, identity: Identity) -> int:
        """Return the generation of a known later incarnation, or 0."""

    def members(self) -> tuple[Member, ...]:
        """Return the other reachable hosts that are live or leaving."""


class LinkListener(Protocol):
    """Receives link events."""

    def link_opened(self, identity: Identity) -> None:
        """Handle that there is a link to a host now."""

    def link_closed(self, identity: Identity) -> None:
        """Handle that there is no link to a host any more."""

    def generation_outdated(self, known: int) -> None:
        """Handle that others know a later generation of this host."""
