"""The configuration document: its typed schema.

Operators write it as TOML. It is stored as canonical JSON, an immutable
object that is named by its digest. Cross-checks live in ``checks``.
"""

import hashlib
from enum import Enum, unique
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

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
Share = Annotated[float, Meta(ge=0, le=1)]
Price = Annotated[float, Meta(ge=0, le=1e6)]
Positive = Annotated[float, Meta(gt=0, le=1e6)]


@unique
class Stage(Enum):
    """How far a version has come."""

    STEADY = 'steady'
    ROLLOUT = 'rollout'


@unique
class Isolation(Enum):
    """What a workspace gets from a host that nothing has confirmed."""

    SERVE = 'serve'
    REFUSE = 'refuse'


@unique
class Concern(Enum):
    """The measure that a workspace weighs most."""

    COST = 'cost'
    LATENCY = 'latency'
    EXPOSURE = 'exposure'


@unique
class Role(Enum):
    """What an operator may do."""

    READ = 'read'
    OPERATE = 'operate'


class DocumentPart(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Base of all parts of the document: unknown fields are refused."""


class VersionEntry(DocumentPart):
    """A version of a model.

    Attributes:
        id: ``model@version``.
        price_in: Cost of 1,000 prompt tokens.
        price_out: Cost of 1,000 output tokens.
        quality: What its owner says of its quality by task, from 0 to 1;
            a prior that ratings correct.
        stage: Steady, or being rolled out.
        epoch: Counts how often it was allowed anew after a withdrawal.
        replaces: The version that a roll-out is compared with.
        isolated: Whether a host that nothing confirms may use it.
    """

    id: VersionText
    price_in: Price
    price_out: Price
    quality: dict[str, Share] = {}
    stage: Stage = Stage.STEADY
    epoch: Annotated[int, Meta(ge=0)] = 0
    replaces: VersionText | None = None
    isolated: bool = True

    @property
    def version(self) -> VersionId:
        """Return the id as its own type."""
        return VersionId(self.id)


class TaskEntry(DocumentPart):
    """A task class: requests that are alike.

    Attributes:
        name: Its name; callers give it as the model.
        target: Quality that an answer must reach, from 0 to 1.
        output_tokens: Tokens that an answer usually has.
        max_tokens: Tokens that an answer may have.
        repeatable: Whether a request may run twice.
        deadline: Seconds, where a request states none.
        priority: Smaller numbers go first.
        cascade: Whether a cheap version may be tried first.
    """

    name: Name
    target: Share
    output_tokens: Annotated[int, Meta(ge=1)] = 200
    max_tokens: Annotated[int, Meta(ge=1)] = 4096
    repeatable: bool = True
    deadline: Positive = 60.0
    priority: Annotated[int, Meta(ge=0, le=9)] = 5
    cascade: bool = True


class WorkspaceEntry(DocumentPart):
    """A workspace: who may use what, and what it needs.

    Attributes:
        name: Its name.
        key_hash: SHA-256 of its callers' key, hexadecimal.
        old_key_hash: The same of a key that still holds while callers
            change over to the new one; None if there is none.
        versions: Versions that it may use.
        services: Plain services that it may call.
        share: Its weight when capacity is short.
        concern: The measure that it weighs most.
        isolation: Whether an isolated host may serve it.
        isolation_limit: Seconds of isolation after which it is refused.
        targets: Its own quality targets by task.
    """

    name: Name
    key_hash: SecretHash
    versions: tuple[VersionText, ...]
    old_key_hash: SecretHash | None = None
    services: tuple[Name, ...] = ()
    share: Positive = 1.0
    concern: Concern = Concern.COST
    isolation: Isolation = Isolation.SERVE
    isolation_limit: Positive = 900.0
    targets: dict[str, Share] = {}

    @property
    def key_hashes(self) -> tuple[str, ...]:
        """Return the hashes of all keys that hold, the newest first."""
        if self.old_key_hash is None:
            return (self.key_hash,)
        return (self.key_hash, self.old_key_hash)

    @property
    def workspace(self) -> WorkspaceId:
        """Return the name as its own type."""
        return WorkspaceId(self.name)


class PresetTask(DocumentPart):
    """What a preset says of a task class.

    Attributes:
        task: The task class.
        versions: Versions that its plans may use.
        target: Quality target that holds under this preset, if another.
    """

    task: Name
    versions: tuple[VersionText, ...]
    target: Share | None = None


class RolloutShare(DocumentPart):
    """The most that a version in roll-out may get under a preset.

    Attributes:
        version: The version.
        share: Share of its tasks' requests, from 0 to 1.
    """

    version: VersionText
    share: Share


class PresetEntry(DocumentPart):
    """A preset, such as an ordinary day's; exactly one is in force.

    Attributes:
        name: Its name.
        tasks: What it says of each task class.
        rollouts: Bounds for versions in roll-out.
        preload: Versions by how many engines ought to have them loaded.
        queue_limit: Requests that may wait for each engine slot.
    """

    name: Name
    tasks: tuple[PresetTask, ...]
    rollouts: tuple[RolloutShare, ...] = ()
    preload: dict[str, Annotated[int, Meta(ge=0)]] = {}
    queue_limit: Positive = 0.5

    @property
    def preset(self) -> PresetName:
        """Return the name as its own type."""
        return PresetName(self.name)


class CallRule(DocumentPart):
    """Which calls of a plain service may be repeated.

    Attributes:
        method: HTTP method.
        path: Path pattern in the manner of ``fnmatch``.
        repeatable: Whether such a call may run twice.
    """

    method: Annotated[str, Meta(pattern='^[A-Z]{3,7}$')]
    path: str
    repeatable: bool


class ServiceEntry(DocumentPart):
    """A plain service.

    Attributes:
        name: Its name.
        calls: Rules; the first that fits holds. None means not repeatable.
        timeout: Seconds that a call may take.
    """

    name: Name
    calls: tuple[CallRule, ...] = ()
    timeout: Positive = 10.0

    @property
    def service(self) -> ServiceName:
        """Return the name as its own type."""
        return ServiceName(self.name)


class OperatorEntry(DocumentPart):
    """An operator.

    Attributes:
        name: Its name.
        token_hash: SHA-256 of its token, hexadecimal.
        role: What it may do.
    """

    name: Name
    token_hash: SecretHash
    role: Role = Role.READ

    @property
    def operator(self) -> OperatorId:
        """Return the name as its own type."""
        return OperatorId(self.name)


class Document(DocumentPart):
    """One configuration, whole.

    Attributes:
        format: Version of this schema.
        name: The deployment's name.
        versions: Models and versions.
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
        """Return a version's entry, or None if it has none."""
        return next((ent for ent in self.versions if ent.id == version), None)

    def task(self, task: TaskName) -> TaskEntry | None:
        """Return a task class's entry, or None if it has none."""
        return next((ent for ent in self.tasks if ent.name == task), None)

    def preset(self, preset: PresetName) -> PresetEntry | None:
        """Return a preset's entry, or None if it has none."""
        return next((ent for ent in self.presets if ent.name == preset), None)

    def service(self, service: ServiceName) -> ServiceEntry | None:
        """Return a plain service's entry, or None if it has none."""
        return next((ent for ent in self.services if ent.name == service), None)


class Withdrawal(Struct, frozen=True, order=True):
    """The fact that a version was withdrawn; it is never taken back.

    Attributes:
        version: The version.
        epoch: The version's epochs up to this one are withdrawn.
    """

    version: str
    epoch: int

    def covers(self, version: VersionId, epoch: Epoch) -> bool:
        """Tell whether this fact speaks of that version and epoch."""
        return version == self.version and epoch <= self.epoch


def encode_document(document: Document) -> bytes:
    """Return the canonical form, the same bytes for the same document."""
    return msgspec.json.encode(document, order='sorted')


def decode_document(content: bytes) -> Document:
    """Read the canonical form.

    Raises:
        msgspec.ValidationError: If the content is no such document.
    """
    return msgspec.json.decode(content, type=Document)


def parse_document(text: str) -> Document:
    """Read what an operator wrote, as TOML.

    Raises:
        msgspec.DecodeError: If it is no TOML.
        msgspec.ValidationError: If a field is wrong; the message ends with
            the field's path.
    """
    return msgspec.toml.decode(text, type=Document)


def digest_of(content: bytes) -> Digest:
    """Return the name under which content is stored."""
    return Digest(hashlib.sha256(content).hexdigest())
