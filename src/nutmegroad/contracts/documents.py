"""The typed schema of the configuration document.

Operators write the document as TOML. It is stored as canonical JSON, in an
immutable object that is named by its digest. Checks across fields are in
``nutmegroad.configuration.checks``.
"""

import hashlib
from enum import Enum, unique
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from nutmegroad.foundations.decoding import Count
from nutmegroad.foundations.types import (
    Digest,
    Epoch,
    OperatorId,
    PresetName,
    ServiceName,
    TaskName,
    VersionId,
    WorkspaceId,
)

SecretHash = Annotated[str, Meta(pattern='^[0-9a-f]{64}$')]
Name = Annotated[str, Meta(pattern='^[a-z0-9][a-z0-9._-]{0,62}$')]
VersionText = Annotated[
    str,
    Meta(pattern='^[a-z0-9][a-z0-9._-]{0,62}@[a-z0-9][a-z0-9._-]{0,62}$'),
]
Fraction = Annotated[float, Meta(ge=0, le=1)]
Price = Annotated[float, Meta(ge=0, le=1e6)]
PositiveNumber = Annotated[float, Meta(gt=0, le=1e6)]


@unique
class Stage(Enum):
    """Whether a version is in steady use or being rolled out."""

    STEADY = 'steady'
    ROLLOUT = 'rollout'


@unique
class Isolation(Enum):
    """What a host without a confirmed configuration does for a workspace."""

    SERVE = 'serve'
    REFUSE = 'refuse'


@unique
class Concern(Enum):
    """The measure that matters most to a workspace."""

    COST = 'cost'
    LATENCY = 'latency'
    EXPOSURE = 'exposure'


@unique
class Role(Enum):
    """What an operator may do."""

    READ = 'read'
    OPERATE = 'operate'


class DocumentSection(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Base of all sections of the document; rejects unknown fields."""


class VersionEntry(DocumentSection):
    """A version of a model, and its prices.

    Attributes:
        id: ``model@version``.
        price_in: Cost of 1,000 prompt tokens.
        price_out: Cost of 1,000 output tokens.
        quality: Quality by task class as stated by its owner, from 0 to 1;
            a prior that ratings correct.
        stage: Steady, or being rolled out.
        epoch: Number of times that it was allowed again after a withdrawal.
        replaces: The version that it is compared with during its rollout.
        isolated: Whether a host without a confirmed configuration may use it.
    """

    id: VersionText
    price_in: Price
    price_out: Price
    quality: dict[str, Fraction] = {}
    stage: Stage = Stage.STEADY
    epoch: Annotated[int, Meta(ge=0)] = 0
    replaces: VersionText | None = None
    isolated: bool = True

    @property
    def version(self) -> VersionId:
        """The id as a ``VersionId``."""
        return VersionId(self.id)


class TaskEntry(DocumentSection):
    """A task class: requests of the same kind.

    Attributes:
        name: The name, which callers give as the model.
        target: Quality that an answer must reach, from 0 to 1.
        output_tokens: Typical number of tokens in an answer.
        max_tokens: Maximum number of tokens in an answer.
        repeatable: Whether a request may be executed more than once.
        deadline: Default deadline in seconds, for requests without one.
        priority: Priority; smaller numbers are served first.
        cascade: Whether a cheap version may be asked first.
    """

    name: Name
    target: Fraction
    output_tokens: Annotated[int, Meta(ge=1)] = 200
    max_tokens: Annotated[int, Meta(ge=1)] = 4096
    repeatable: bool = True
    deadline: PositiveNumber = 60.0
    priority: Annotated[int, Meta(ge=0, le=9)] = 5
    cascade: bool = True


class WorkspaceEntry(DocumentSection):
    """A workspace: its key, its permissions and its requirements.

    Attributes:
        name: The name.
        key_hash: SHA-256 of the key of its callers, hexadecimal.
        old_key_hash: SHA-256 of the previous key, which stays valid while
            callers switch to the new one; None if there is none.
        versions: Versions that it may use.
        services: Plain services that it may call.
        share: Its weight when capacity is short.
        concern: The measure that matters most to it.
        isolation: Whether an isolated host may serve it.
        isolation_limit: Seconds of isolation after which its requests are
            refused.
        targets: Its own quality targets by task class.
    """

    name: Name
    key_hash: SecretHash
    versions: tuple[VersionText, ...]
    old_key_hash: SecretHash | None = None
    services: tuple[Name, ...] = ()
    share: PositiveNumber = 1.0
    concern: Concern = Concern.COST
    isolation: Isolation = Isolation.SERVE
    isolation_limit: PositiveNumber = 900.0
    targets: dict[str, Fraction] = {}

    @property
    def key_hashes(self) -> tuple[str, ...]:
        """The hashes of all valid keys, the newest first."""
        if self.old_key_hash is None:
            return (self.key_hash,)
        return (self.key_hash, self.old_key_hash)

    @property
    def workspace(self) -> WorkspaceId:
        """The name as a ``WorkspaceId``."""
        return WorkspaceId(self.name)


class PresetTask(DocumentSection):
    """The settings of a preset for one task class.

    Attributes:
        task: The task class.
        versions: Versions that its plans may use.
        target: Quality target under this preset; None for that of the task
            class.
    """

    task: Name
    versions: tuple[VersionText, ...]
    target: Fraction | None = None


class RolloutShare(DocumentSection):
    """The maximum traffic share of a version in rollout under a preset.

    Attributes:
        version: The version.
        share: Fraction of the requests of its tasks, from 0 to 1.
    """

    version: VersionText
    share: Fraction


class PresetEntry(DocumentSection):
    """A set of routing settings, such as for peak load; one is in force.

    Attributes:
        name: The name.
        tasks: Settings for each task class.
        rollouts: Maximum traffic shares of versions in rollout.
        preload: Number of engines that should have a version loaded, by
            version.
        queue_limit: Requests that may wait, per engine slot.
    """

    name: Name
    tasks: tuple[PresetTask, ...]
    rollouts: tuple[RolloutShare, ...] = ()
    preload: dict[str, Annotated[int, Meta(ge=0)]] = {}
    queue_limit: PositiveNumber = 0.5

    @property
    def preset(self) -> PresetName:
        """The name as a ``PresetName``."""
        return PresetName(self.name)


class CallRule(DocumentSection):
    """A rule about which calls of a plain service may be repeated.

    Attributes:
        method: HTTP method.
        path: Path pattern with the syntax of ``fnmatch``.
        repeatable: Whether a matching call may be executed more than once.
    """

    method: Annotated[str, Meta(pattern='^[A-Z]{3,7}$')]
    path: str
    repeatable: bool


class ServiceEntry(DocumentSection):
    """A plain service.

    Attributes:
        name: The name.
        calls: Rules, of which the first match applies; a call that matches
            none is not repeatable.
        timeout: Timeout of a call, in seconds.
    """

    name: Name
    calls: tuple[CallRule, ...] = ()
    timeout: PositiveNumber = 10.0

    @property
    def service(self) -> ServiceName:
        """The name as a ``ServiceName``."""
        return ServiceName(self.name)


class OperatorEntry(DocumentSection):
    """An operator.

    Attributes:
        name: The name.
        token_hash: SHA-256 of the operator's token, hexadecimal.
        role: What the operator may do.
    """

    name: Name
    token_hash: SecretHash
    role: Role = Role.READ

    @property
    def operator(self) -> OperatorId:
        """The name as an ``OperatorId``."""
        return OperatorId(self.name)


class Document(DocumentSection):
    """A complete configuration.

    Attributes:
        format: Version of the schema.
        name: Name of the deployment.
        versions: Versions of models.
        tasks: Task classes.
        workspaces: Workspaces.
        presets: Presets.
        services: Plain services.
        operators: Operators.
    """

    format: Annotated[int, Meta(ge=1, le=1)]
    name: Name
    versions: tuple[VersionEntry, ...]
    tasks: tuple[TaskEntry, ...]
    workspaces: tuple[WorkspaceEntry, ...]
    presets: tuple[PresetEntry, ...]
    services: tuple[ServiceEntry, ...] = ()
    operators: tuple[OperatorEntry, ...] = ()

    def version(self, version: VersionId) -> VersionEntry | None:
        """Return the entry of a version, or None if there is none."""
        return next((it for it in self.versions if it.id == version), None)

    def task(self, task: TaskName) -> TaskEntry | None:
        """Return the entry of a task class, or None if there is none."""
        return next((it for it in self.tasks if it.name == task), None)

    def preset(self, preset: PresetName) -> PresetEntry | None:
        """Return the entry of a preset, or None if there is none."""
        return next((it for it in self.presets if it.name == preset), None)

    def service(self, service: ServiceName) -> ServiceEntry | None:
        """Return the entry of a plain service, or None if there is none."""
        return next((it for it in self.services if it.name == service), None)


class Withdrawal(Struct, frozen=True, order=True):
    """The withdrawal of a version, which is permanent.

    Attributes:
        version: The version.
        epoch: Highest epoch of the version that is withdrawn; all epochs up
            to it are.
    """

    version: str
    epoch: Count

    def covers(self, version: VersionId, epoch: Epoch) -> bool:
        """Return whether the epoch of a version is withdrawn by this."""
        return version == self.version and epoch <= self.epoch


def encode_document(document: Document) -> bytes:
    """Encode a document as canonical JSON: equal documents, equal bytes."""
    return msgspec.json.encode(document, order='sorted')


def decode_document(content: bytes) -> Document:
    """Decode a document from canonical JSON.

    Raises:
        msgspec.ValidationError: If the content is not a valid document.
    """
    return msgspec.json.decode(content, type=Document)


def parse_document(text: str) -> Document:
    """Parse a document from the TOML that an operator wrote.

    Raises:
        msgspec.DecodeError: If the text is not valid TOML.
        msgspec.ValidationError: If a field is invalid; the message ends with
            the path of the field.
    """
    return msgspec.toml.decode(text, type=Document)


def digest_of(content: bytes) -> Digest:
    """Return the SHA-256 digest that names a stored document."""
    return Digest(hashlib.sha256(content).hexdigest())
