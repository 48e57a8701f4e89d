"""Parses and validates callers' model requests."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Final

import msgspec
import xxhash
from msgspec import Meta, Struct

from nutmegroad.callers.replies import IDEMPOTENCY_KEY_HEADER
from nutmegroad.callers.session_tokens import TOKEN_PREFIX, SessionSigner
from nutmegroad.configuration.in_force import (
    AcceptedConfiguration,
    Configuration,
)
from nutmegroad.contracts.documents import TaskEntry, WorkspaceEntry
from nutmegroad.contracts.requests import ModelRequest, SessionBinding
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.secrets import hash_secret, secrets_equal
from nutmegroad.foundations.types import (
    IdempotencyKey,
    RequestId,
    TaskName,
    VersionId,
    WorkspaceId,
)

#: Number of words at the start of a prompt that form its prefix.
PREFIX_WORDS: Final = 64

#: Longest deadline that a caller may set, in milliseconds.
MAX_DEADLINE_MS: Final = 3_600_000

#: Maximum characters of idempotency keys, session names and other short texts.
MAX_NAME_LENGTH: Final = 200

#: Maximum tokens that a caller may request for an answer.
MAX_TOKENS: Final = 1_000_000

_BEARER: Final = 'Bearer '
_MS_PER_SECOND: Final = 1000

ShortText = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]
TokenCount = Annotated[int, Meta(ge=1, le=MAX_TOKENS)]


class ChatMessage(Struct, frozen=True):
    """One message of a conversation.

    Attributes:
        role: Role of the author, such as ``user``.
        content: Text of the message.
    """

    role: ShortText
    content: str


class ChatBody(Struct, frozen=True, forbid_unknown_fields=True):
    """The supported fields of a model API request body.

    Attributes:
        model: A task class, a model, or ``model@version``.
        messages: The conversation.
        stream: Whether to stream the answer.
        max_tokens: Maximum tokens of the answer; None for the task's limit.
        temperature, top_p, stop, user: Passed to the engine unchanged.
        nutmegroad_task: The task class if ``model`` names a model.
        nutmegroad_tokens: Passed to the engine unchanged; sets the length of
            a stand-in engine's answer.
    """

    model: ShortText
    messages: Annotated[tuple[ChatMessage, ...], Meta(min_length=1)]
    stream: bool = False
    max_tokens: TokenCount | None = None
    temperature: Annotated[float, Meta(ge=0, le=2)] | None = None
    top_p: Annotated[float, Meta(ge=0, le=1)] | None = None
    stop: str | tuple[str, ...] | None = None
    user: ShortText | None = None
    nutmegroad_task: ShortText | None = None
    nutmegroad_tokens: TokenCount | None = None


@dataclass(frozen=True, slots=True)
class Intake:
    """A parsed model request.

    Attributes:
        model: The request for the dispatcher.
        stream: Whether to stream the answer.
        session: Name of the session; empty if there is none.
        fingerprint: Hash of the request's body.
    """

    model: ModelRequest
    stream: bool
    session: str
    fingerprint: str


def authenticate(
    headers: Mapping[str, str],
    accepted: AcceptedConfiguration | None,
) -> WorkspaceEntry | Refusal:
    """Return the workspace whose key the caller sent, or a refusal.

    Args:
        headers: HTTP headers.
        accepted: The configuration in force; None if there is none yet.
    """
    if accepted is None:
        return Refusal(
            ResultCode.CONFIGURATION_MISSING,
            'This host has no configuration yet.',
            retry_after=1,
        )
    key = headers.get('Authorization', '').removeprefix(_BEARER)
    key_hash = hash_secret(key)
    for entry in accepted.document.workspaces:
        if any(secrets_equal(key_hash, known) for known in entry.key_hashes):
            return entry
    return Refusal(
        ResultCode.UNAUTHENTICATED,
        'The Authorization header must contain a workspace key as '
        '"Bearer KEY"; the key is missing or unknown.',
    )


def deadline_seconds(
    headers: Mapping[str, str],
    default: float,
) -> float | Refusal:
    """Return the seconds until the deadline that a caller set.

    Args:
        headers: HTTP headers.
        default: Seconds to return if the caller set no deadline.
    """
    text = headers.get('Nutmegroad-Deadline-Ms')
    if text is None:
        return default
    if text.isascii() and text.isdigit() and len(text) < MAX_NAME_LENGTH:
        milliseconds = int(text)
        if 0 < milliseconds <= MAX_DEADLINE_MS:
            return milliseconds / _MS_PER_SECOND
    return Refusal(
        ResultCode.FIELD_INVALID,
        f'Nutmegroad-Deadline-Ms must be a whole number from 1 to '
        f'{MAX_DEADLINE_MS}, not {text[:MAX_NAME_LENGTH]!r}.',
    )


class IntakeReader:
    """Parses and validates callers' model requests.

    Args:
        configuration: The configuration in force.
        signer: Verifies session tokens.
    """

    def __init__(
        self,
        configuration: Configuration,
        signer: SessionSigner,
    ) -> None:
        self._configuration = configuration
        self._signer = signer

    def read(
        self,
        headers: Mapping[str, str],
        content: bytes,
        workspace: WorkspaceEntry,
        request: RequestId,
        arrived: float,
    ) -> Intake | Refusal:
        """Parse a model request.

        Args:
            headers: HTTP headers.
            content: Body.
            workspace: The caller's workspace.
            request: Id of the request.
            arrived: Clock seconds at which it arrived.
        """
        accepted = self._configuration.accepted
        body = _decode(content)
        if accepted is None or isinstance(body, Refusal):
            return body if isinstance(body, Refusal) else _no_configuration()
        task = _find_task(body, accepted)
        if isinstance(task, Refusal):
            return task
        session = self._session(headers, workspace)
        if isinstance(session, Refusal):
            return session
        name, claim = session
        deadline = deadline_seconds(headers, task.deadline)
        if isinstance(deadline, Refusal):
            return deadline
        versions = _allowed_versions(body, task, workspace, accepted, claim)
        if isinstance(versions, Refusal):
            return versions
        model = ModelRequest(
            request=request,
            workspace=WorkspaceId(workspace.name),
            concern=workspace.concern,
            task=TaskName(task.name),
            target=_quality_target(task, workspace, accepted),
            versions=versions,
            repeatable=task.repeatable,
            deadline=arrived + deadline,
            priority=_priority(headers, task),
            prompt_tokens=_count_words(body),
            output_tokens=min(
                body.max_tokens or task.max_tokens,
                task.output_tokens,
            ),
            prefix=_prefix_hash(body),
            key=IdempotencyKey(
                headers.get(IDEMPOTENCY_KEY_HEADER, '')[:MAX_NAME_LENGTH],
            ),
            session=claim,
            body=_upstream_body(body, task),
        )
        fingerprint = hashlib.sha256(content).hexdigest()
        return Intake(model, body.stream, name, fingerprint)

    def _session(
        self,
        headers: Mapping[str, str],
        workspace: WorkspaceEntry,
    ) -> tuple[str, SessionBinding | None] | Refusal:
        """Return the name of a request's session and its claim.

        The name is empty if there is no session. The claim is None unless
        the caller sent a session token.
        """
        text = headers.get('Nutmegroad-Session', '')
        if not text.startswith(TOKEN_PREFIX):
            return text[:MAX_NAME_LENGTH], None
        token = self._signer.read(text, WorkspaceId(workspace.name))
        if isinstance(token, Refusal):
            return token
        return token.name, token.claim


def _decode(content: bytes) -> ChatBody | Refusal:
    """Decode a request's body."""
    try:
        return msgspec.json.decode(content, type=ChatBody)
    except msgspec.ValidationError as error:
        return Refusal(
            ResultCode.FIELD_INVALID,
            f'The body is not a valid model API request: {error}.',
        )
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return Refusal(
            ResultCode.BODY_MALFORMED,
            'The body must be a JSON object.',
        )


def _no_configuration() -> Refusal:
    """Return the refusal of a request to a host without configuration."""
    return Refusal(
        ResultCode.CONFIGURATION_MISSING,
        'This host has no configuration yet.',
        retry_after=1,
    )


def _find_task(
    body: ChatBody, accepted: AcceptedConfiguration
) -> TaskEntry | Refusal:
    """Return the task class of a request."""
    name = TaskName(body.nutmegroad_task or body.model)
    task = accepted.document.task(name)
    if task is not None:
        return task
    if body.nutmegroad_task is None and _model_versions(body.model, accepted):
        # A request for a model without a task class has no quality target.
        return TaskEntry(name='direct', target=0)
    choices = ', '.join(entry.name for entry in accepted.document.tasks)
    return Refusal(
        ResultCode.TASK_UNKNOWN,
        f'There is no task class or model {name!r}; the task classes are '
        f'{choices}.',
    )


def _model_versions(
    model: str, accepted: AcceptedConfiguration
) -> tuple[VersionId, ...]:
    """Return the versions of a model, given as ``model[@version]``."""
    return tuple(
        entry.version
        for entry in accepted.document.versions
        if model in {entry.id, entry.id.partition('@')[0]}
    )


def _allowed_versions(
    body: ChatBody,
    task: TaskEntry,
    workspace: WorkspaceEntry,
    accepted: AcceptedConfiguration,
    claim: SessionBinding | None,
) -> tuple[VersionId, ...] | Refusal:
    """Return the versions that may answer a request.

    A session is restricted to its version. Otherwise the versions are those
    of the requested model, or else those that the preset lists for the task
    class, as far as the workspace may use them.
    """
    if claim is not None:
        return (claim.version,)
    candidates = _model_versions(body.model, accepted)
    if not candidates:
        candidates = _preset_versions(task, accepted)
    allowed = tuple(
        version for version in candidates if version in workspace.versions
    )
    if allowed:
        return allowed
    return Refusal(
        ResultCode.VERSION_NOT_ALLOWED,
        f'The workspace {workspace.name!r} may use none of the versions '
        f'that {body.model!r} refers to under the preset '
        f'{accepted.preset!r}.',
    )


def _preset_versions(
    task: TaskEntry,
    accepted: AcceptedConfiguration,
) -> tuple[VersionId, ...]:
    """Return the versions that the preset lists for a task class."""
    for entry in accepted.preset_entry.tasks:
        if entry.task == task.name:
            return tuple(VersionId(version) for version in entry.versions)
    return ()


def _quality_target(
    task: TaskEntry,
    workspace: WorkspaceEntry,
    accepted: AcceptedConfiguration,
) -> float:
    """Return the quality target of a request.

    Order of precedence: the workspace's, the preset's, the task class's.
    """
    if task.name in workspace.targets:
        return workspace.targets[task.name]
    for entry in accepted.preset_entry.tasks:
        if entry.task == task.name and entry.target is not None:
            return entry.target
    return task.target


def _priority(headers: Mapping[str, str], task: TaskEntry) -> int:
    """Return the priority; smaller numbers are more urgent.

    A caller may make its request less urgent than the task class, but not
    more urgent.
    """
    text = headers.get('Nutmegroad-Priority', '')
    if len(text) == 1 and text.isascii() and text.isdigit():
        return max(task.priority, int(text))
    return task.priority


def _count_words(body: ChatBody) -> int:
    """Estimate the tokens of the prompt by its number of words."""
    return sum(len(message.content.split()) for message in body.messages)


def _prefix_hash(body: ChatBody) -> int:
    """Return a hash of the prompt's first words."""
    text = ' '.join(message.content for message in body.messages)
    words = text.split(maxsplit=PREFIX_WORDS)[:PREFIX_WORDS]
    return xxhash.xxh64_intdigest(' '.join(words).encode())


def _upstream_body(body: ChatBody, task: TaskEntry) -> dict[str, object]:
    """Return the body to send to an engine, without ``model``."""
    fields = {
        name: field
        for name, field in msgspec.to_builtins(body).items()
        if field is not None and name not in {'model', 'stream'}
    }
    fields['max_tokens'] = body.max_tokens or task.max_tokens
    fields['nutmegroad_task'] = task.name
    return fields
