"""Messages that hosts exchange about the membership."""

from typing import ClassVar, Final

import xxhash
from msgspec import Struct

from nutmegroad.contracts.peers import Message
from nutmegroad.foundations.types import DomainId, HostId, Presence
from nutmegroad.membership._handshake import Identity

#: Part that the costs of the membership are attributed to.
MEMBERS_PART: Final = 'members'

#: Presences in order of precedence: within one version of a record, the later
#: one wins.
_RANKS: Final = (Presence.LIVE, Presence.LEAVING, Presence.GONE)


class Record(Struct, frozen=True, array_like=True):
    """State of one incarnation of a host.

    Attributes:
        identity: Identity of the incarnation.
        version: Number of changes that the host itself has made.
        presence: Live, leaving or gone.
    """

    identity: Identity
    version: int
    presence: Presence

    @property
    def host(self) -> HostId:
        """Id of the host."""
        return self.identity.host

    @property
    def is_gone(self) -> bool:
        """Whether the incarnation is gone."""
        return self.presence is Presence.GONE

    @property
    def order(self) -> tuple[int, str, int, int]:
        """Sort key; greater for a later record of the same host."""
        rank = _RANKS.index(self.presence)
        return (*self.identity.order, self.version, rank)

    def digest(self) -> int:
        """Return a hash that is the same on all hosts."""
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
    """Periodic message that shows that its sender is live.

    Attributes:
        digest: Hash over all records of the sender that are not gone.
        wanted: Whether the sender itself needs this link.
        news: Changed records; in the first heartbeat on a link, the records of
            both ends.
        ages: Tenths of a second since each domain was last seen.
        suspects: Hosts of the sender's domain that are unresponsive to it.
        vouched: Hosts that others suspect, but that respond to the sender.
    """

    part: ClassVar[str] = MEMBERS_PART
    # If a heartbeat is dropped, the digest of the next one reveals the missing
    # records.
    replaceable: ClassVar[bool] = True

    digest: int
    wanted: bool
    news: tuple[Record, ...] = ()
    ages: dict[DomainId, int] = {}  # noqa: RUF012 - msgspec copies it
    suspects: tuple[HostId, ...] = ()
    vouched: tuple[HostId, ...] = ()


class TableRequest(Message, frozen=True, tag='table-request'):
    """Request for all records."""

    part: ClassVar[str] = MEMBERS_PART


class TableReply(Message, frozen=True, tag='table-reply'):
    """Reply with all records.

    Attributes:
        records: All records, including those of gone hosts.
    """

    part: ClassVar[str] = MEMBERS_PART

    records: tuple[Record, ...]
