"""Identifiers, states and addresses that all parts share."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Final, NewType

HostId = NewType('HostId', str)
DomainId = NewType('DomainId', str)
RegionId = NewType('RegionId', str)
Incarnation = NewType('Incarnation', str)
UpstreamId = NewType('UpstreamId', str)
#: One run of an upstream: its id, with its start time if the host list has it.
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
#: Number of an accepted configuration; it never decreases.
Revision = NewType('Revision', int)
#: Number of times that a version was allowed again after a withdrawal.
Epoch = NewType('Epoch', int)
#: Increases each time that a lease gets another holder.
FencingNumber = NewType('FencingNumber', int)
#: Hexadecimal SHA-256 of a stored object.
Digest = NewType('Digest', str)

NO_REVISION: Final = Revision(0)


@unique
class UpstreamKind(Enum):
    """What kind of server an upstream is."""

    ENGINE = 'engine'
    SERVICE = 'service'


@unique
class Presence(Enum):
    """Lifecycle state of a host or an upstream."""

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
    """The address at which a process listens.

    Attributes:
        ip: IP address, as text.
        port: TCP port.
    """

    ip: str
    port: int

    def __str__(self) -> str:
        """Return ``IP:PORT``, as URLs have it."""
        return f'{self.ip}:{self.port}'


@dataclass(frozen=True, slots=True)
class UpstreamInfo:
    """An upstream, as the host list describes it.

    Attributes:
        upstream: Its id.
        domain: Its failure domain.
        kind: Model engine or plain service.
        address: Address at which it listens.
        presence: Its lifecycle state, as far as the list knows it.
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
    """A host of this deployment, as the host list describes it.

    Attributes:
        host: Its id.
        domain: Its failure domain.
        address: Address of its listener for peers.
        presence: Its lifecycle state, as far as the list knows it.
    """

    host: HostId
    domain: DomainId
    address: Address
    presence: Presence = Presence.LIVE
