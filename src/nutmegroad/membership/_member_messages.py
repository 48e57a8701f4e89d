"""What hosts tell each other about hosts."""

from typing import ClassVar, Final

import xxhash
from msgspec import Struct

from nutmegroad.contracts.peers import Message
from nutmegroad.foundations.types import DomainId, HostId, Presence
from nutmegroad.membership._handshake import Identity

MEMBERS_PART: Final = 'members'

#: A later presence of the same version of a record wins.
_RANKS: Final = (Presence.LIVE, Presence.LEAVING, Presence.GONE)


class Record(Struct, frozen=True, array_like=True):
    """What is known about one incarnation of a host.

    Attributes:
        identity: The incarnation.
        version: Counts changes that the host itself made.
        presence: Live, leaving or gone.
    """

    identity: Identity
    version: int
    presence: Presence

    @property
    def host(self) -> HostId:
        """The host's id."""
        return self.identity.host

    @property
    def is_gone(self) -> bool:
        """Whether the incarnation is gone."""
        return self.presence is Presence.GONE

    @property
    def order(self) -> tuple[int, str, int, int]:
        """Greater for later news of the same host."""
        rank = _RANKS.index(self.presence)
        return (*self.identity.order, self.version, rank)

    def digest(self) -> int:
        """Return a hash in which all hosts agree."""
        incarnation = self.identity.incarnation
        generation = self.identity.generation
        text = f'{incarnation} {generation} {self.version} {self.presence}'
        return xxhash.xxh64_intdigest(text.encode())


class Heartbeat(
    Message,
    frozen=True,
    tag='heartbeat',
    array_like=True,
):
    """Says that the sender lives, and what has changed.

    Attributes:
        digest: Hash over all the records that are not gone.
        wanted: Whether the sender needs this link itself.
        news: Records that changed.
        ages: Tenths of a second since a domain was last heard.
        suspects: Hosts of its domain that the sender does not hear.
        vouched: Hosts that others suspect and the sender hears.
    """

    part: ClassVar[str] = MEMBERS_PART
    # News that is lost with one is found by the digest of the next.
    replaceable: ClassVar[bool] = True

    digest: int
    wanted: bool
    news: tuple[Record, ...] = ()
    ages: dict[DomainId, int] = {}  # noqa: RUF012 - msgspec copies it
    suspects: tuple[HostId, ...] = ()
    vouched: tuple[HostId, ...] = ()


class TableRequest(Message, frozen=True, tag='table-request'):
    """Asks for all records."""

    part: ClassVar[str] = MEMBERS_PART


class TableReply(Message, frozen=True, tag='table-reply'):
    """All records.

    Attributes:
        records: The records, gone ones among them.
    """

    part: ClassVar[str] = MEMBERS_PART

    records: tuple[Record, ...]
