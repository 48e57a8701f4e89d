"""Names of things: the identifiers and states that every part shares."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final, NewType

HostId = NewType('HostId', str)
DomainId = NewType('DomainId', str)
Incarnation = NewType('Incarnation', str)
UpstreamId = NewType('UpstreamId', str)
#: One start of an upstream: its id, and when it began if the list tells.
UpstreamIncarnation = NewType('UpstreamIncarnation', str)
WorkspaceId = NewType('WorkspaceId', str)
OperatorId = NewType('OperatorId', str)
#: A model and its version, written ``model@version``.
VersionId = NewType('VersionId', str)
ModelName = NewType('ModelName', str)
TaskName = NewType('TaskName', str)
PresetName = NewType('PresetName', str)
ServiceName = NewType('ServiceName', str)
RequestId = NewType('RequestId', str)
AttemptId = NewType('AttemptId', str)
IdempotencyKey = NewType('IdempotencyKey', str)
#: Counts accepted configurations; it never goes back.
Revision = NewType('Revision', int)
#: Counts how often a version was allowed anew after a withdrawal.
Epoch = NewType('Epoch', int)
#: Grows each time that a lease changes hands.
FencingNumber = NewType('FencingNumber', int)
#: Hexadecimal SHA-256 of a stored object.
Digest = NewType('Digest', str)

NO_REVISION: Final = Revision(0)


@unique
class UpstreamKind(Enum):
    """What answers behind an upstream address."""

    ENGINE = 'engine'
    SERVICE = 'service'


@unique
class Presence(Enum):
    """Where a host or an upstream stands in its life."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'


@unique
class Ran(Enum):
    """What is known about whether an upstream ran a request."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    RAN = 'ran'


@dataclass(frozen=True, slots=True)
class Address:
    """Where a process listens.

    Attributes:
        ip: IP number, as text.
        port: TCP port.
    """

    ip: str
    port: int

    def __str__(self) -> str:
        """Return the form that URLs use."""
        return f'{self.ip}:{self.port}'


@dataclass(frozen=True, slots=True)
class UpstreamInfo:
    """An upstream, as the host list gives it.

    Attributes:
        upstream: Its id.
        domain: The failure domain that it stands in.
        kind: What it is.
        address: Where it listens.
        presence: Live or leaving, as far as the list knows.
        service: Name of the plain service; empty for an engine.
    """

    upstream: UpstreamId
    domain: DomainId
    kind: UpstreamKind
    address: Address
    presence: Presence = Presence.LIVE
    service: ServiceName = ServiceName('')


@dataclass(frozen=True, slots=True)
class HostInfo:
    """An entry host of ours, as the host list gives it.

    Attributes:
        host: Its id.
        domain: The failure domain that it stands in.
        address: Where its listener for peers is.
        presence: Live or leaving, as far as the list knows.
    """

    host: HostId
    domain: DomainId
    address: Address
    presence: Presence = Presence.LIVE
