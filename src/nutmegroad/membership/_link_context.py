"""What the links are given: limits, time, randomness and the roster."""

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
    """Bounds on what links may use.

    Attributes:
        message: Bytes that a message may have.
        queue_messages: Messages that may wait for one peer.
        queue_bytes: Bytes that may wait for one peer.
        handlers: Handlers that may run for one peer at a time.
        unauthenticated: Incoming connections without a proof yet.
        handshake: Seconds for connecting and the handshake.
        stall: Seconds that a write may wait for a slow peer.
        silence: Seconds after which a link without a byte is closed.
        dials: Connections a second that a host begins at most.
        first_wait: Seconds before the first try to connect, at most.
        most_wait: Seconds between tries to connect, at most.
        flush: Seconds that closing may take to send what is queued.
    """

    message: int = 1_048_576
    queue_messages: int = 512
    queue_bytes: int = 2_097_152
    handlers: int = 64
    unauthenticated: int = 64
    handshake: float = 3
    stall: float = 10
    silence: float = 20
    dials: float = 10
    first_wait: float = 0.3
    most_wait: float = 15
    flush: float = 0.5


@dataclass(frozen=True, slots=True)
class LinkContext:
    """What the links need of the program around them.

    Attributes:
        key: The cluster key.
        clock: Time.
        randomness: Source of jitter.
        nonces: Source of nonces; must be unpredictable outside tests.
        account: Where cost and events are written.
        limits: Bounds.
        old_key: Another key that holds while the cluster key is changed.
    """

    key: bytes
    clock: Clock
    randomness: random.Random
    nonces: random.Random
    account: Account
    limits: LinkLimits = LinkLimits()
    old_key: bytes = b''


class Roster(Protocol):
    """What is known about hosts, as far as links must ask."""

    @property
    def identity(self) -> Identity:
        """Who we are."""

    def bind(self, address: Address) -> None:
        """Take in where we listen, once that is known."""

    def newer_generation(self, identity: Identity) -> int:
        """Return the generation of a later incarnation, 0 if none."""

    def members(self) -> tuple[Member, ...]:
        """Return the hosts that are live or leaving."""


class LinkListener(Protocol):
    """Is told what becomes of links."""

    def link_opened(self, identity: Identity) -> None:
        """Learn that there is a link to a host now."""

    def link_closed(self, identity: Identity) -> None:
        """Learn that there is none any more."""

    def outdated(self, known: int) -> None:
        """Learn that others know a later generation of this host."""
