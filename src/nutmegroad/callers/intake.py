"""Turns what a caller sent into a typed request, or says what is wrong."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Final

import msgspec
import xxhash
from msgspec import Meta, Struct

from nutmegroad.callers.sessions import TOKEN_PREFIX, SessionSigner
from nutmegroad.configuration.in_force import Accepted, Configuration
from nutmegroad.contracts.documents import TaskEntry, WorkspaceEntry
from nutmegroad.contracts.requests import ModelRequest, SessionClaim
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.secrets import hash_of, is_same
from nutmegroad.foundations.types import (
    IdempotencyKey,
    RequestId,
    TaskName,
    VersionId,
    WorkspaceId,
)

#: Words of the prompt that count as its prefix.
PREFIX_WORDS: Final = 64

#: The most that a caller may ask for, in milliseconds.
LONGEST_DEADLINE_MS: Final = 3_600_000

#: Characters of an idempotency key or a session's name.
LONGEST_NAME: Final = 200

#: Tokens that a caller may ask for.
MOST_TOKENS: Final = 1_000_000

_BEARER: Final = 'Bearer '
_MILLISECONDS: Final = 1000


ShortText = Annotated[str, Meta(max_length=LONGEST_NAME)]
TokenCount = Annotated[int, Meta(ge=1, le=MOST_TOKENS)]


class ChatMessage(Struct, frozen=True):
    """One message of a conversation.

    Attributes:
        role: Who speaks.
        content: What is said.
    """

    role: ShortText
    content: str


class ChatBody(Struct, frozen=True, forbid_unknown_fields=True):
    """The model API's body, as far as we take it.

    Attributes:
        model: A task class, a model, or ``model@version``.
        messages: The conversation.
        stream: Whether the answer is to be streamed.
        max_tokens: Tokens that the answer may have.
        temperature: Passed on.
        top_p: Passed on.
        stop: Passed on.
        user: Passed on.
        nutmegroad_task: The task class, where ``model`` names a model.
        nutmegroad_tokens: Passed on; tells a stand-in how much to write.
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
    """A request that was understood.

    Attributes:
        model: The request, for the dispatcher.
        stream: Whether its answer is to be streamed.
        session: The session's name; empty for none.
        fingerprint: Hash of its content.
    """

    model: ModelRequest
    stream: bool
    session: str
    fingerprint: str


def authenticate(
    headers: Mapping[str, str],
    accepted: Accepted | None,
) -> WorkspaceEntry | Refusal:
    """Return the workspace whose key the caller brought."""
    if accepted is None:
        return Refusal(
            ResultCode.CONFIGURATION_MISSING,
            'This host has no configuration yet.',
            retry_after=1,
        )
    given = headers.get('Authorization', '').removeprefix(_BEARER)
    key_hash = hash_of(given)
    for entry in accepted.document.workspaces:
        if any(is_same(key_hash, known) for known in entry.key_hashes):
            return entry
    return Refusal(
        ResultCode.UNAUTHENTICATED,
        'The Authorization header must bring a workspace key as '
        '"Bearer KEY"; this one is missing or unknown.',
    )


def deadline_seconds(
    headers: Mapping[str, str],
    default: float,
) -> float | Refusal:
    """Return the seconds that a caller will wait."""
    text = headers.get('Nutmegroad-Deadline-Ms')
    if text is None:
        return default
    if text.isascii() and text.isdigit() and len(text) < LONGEST_NAME:
        asked = int(text)
        if 0 < asked <= LONGEST_DEADLINE_MS:
            return asked / _MILLISECONDS
    return Refusal(
        ResultCode.FIELD_INVALID,
        f'Nutmegroad-Deadline-Ms must be a whole number from 1 to '
        f'{LONGEST_DEADLINE_MS}, not {text[:LONGEST_NAME]!r}.',
    )


class IntakeReader:
    """Understands callers' model requests.

    Args:
        configuration: What is in force.
        signer: Reads session tokens.
        clock: The host's clock.
    """

    def __init__(
        self,
        configuration: Configuration,
        signer: SessionSigner,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._signer = signer
        self._clock = clock

    def read(
        self,
        headers: Mapping[str, str],
        content: bytes,
        workspace: WorkspaceEntry,
        request: RequestId,
    ) -> Intake | Refusal:
        """Return the typed request."""
        accepted = self._configuration.accepted
        body = _decode(content)
        if accepted is None or isinstance(body, Refusal):
            return body if isinstance(body, Refusal) else _no_configuration()
        task = _task_of(body, accepted)
        if isinstance(task, Refusal):
            return task
        session = self._session(headers, workspace)
        if isinstance(session, Refusal):
            return session
        name, claim = session
        deadline = deadline_seconds(headers, task.deadline)
        if isinstance(deadline, Refusal):
            return deadline
        versions = _versions(body, task, workspace, accepted, claim)
        if isinstance(versions, Refusal):
            return versions
        model = ModelRequest(
            request=request,
            workspace=WorkspaceId(workspace.name),
            concern=workspace.concern,
            task=TaskName(task.name),
            target=_target(task, workspace, accepted),
            versions=versions,
            repeatable=task.repeatable,
            deadline=self._clock.now() + deadline,
            priority=_priority(headers, task),
            prompt_tokens=_count_words(body),
            output_tokens=min(
                body.max_tokens or task.max_tokens,
                task.output_tokens,
            ),
            prefix=_prefix(body),
            key=IdempotencyKey(
                headers.get('Idempotency-Key', '')[:LONGEST_NAME],
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
    ) -> tuple[str, SessionClaim | None] | Refusal:
        """Return the session's name and what it is held to."""
        text = headers.get('Nutmegroad-Session', '')
        if not text.startswith(TOKEN_PREFIX):
            return text[:LONGEST_NAME], None
        token = self._signer.read(text, WorkspaceId(workspace.name))
        if isinstance(token, Refusal):
            return token
        return token.name, token.claim


def _decode(content: bytes) -> ChatBody | Refusal:
    """Read the body."""
    try:
        return msgspec.json.decode(content, type=ChatBody)
    except msgspec.ValidationError as problem:
        return Refusal(
            ResultCode.FIELD_INVALID,
            f'The body is not as the model API has it: {problem}.',
        )
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return Refusal(
            ResultCode.BODY_MALFORMED,
            'The body must be a JSON object.',
        )


def _no_configuration() -> Refusal:
    """Say that the host has no configuration."""
    return Refusal(
        ResultCode.CONFIGURATION_MISSING,
        'This host has no configuration yet.',
        retry_after=1,
    )


def _task_of(body: ChatBody, accepted: Accepted) -> TaskEntry | Refusal:
    """Return the task class that a body names."""
    name = TaskName(body.nutmegroad_task or body.model)
    task = accepted.document.task(name)
    if task is not None:
        return task
    if body.nutmegroad_task is None and _named(body.model, accepted):
        # A model named without a task: it is held to no quality target.
        return TaskEntry(name='direct', target=0)
    choices = ', '.join(entry.name for entry in accepted.document.tasks)
    return Refusal(
        ResultCode.TASK_UNKNOWN,
        f'There is no task class or model {name!r}; task classes are '
        f'{choices}.',
    )


def _named(model: str, accepted: Accepted) -> tuple[VersionId, ...]:
    """Return the versions that a model's name stands for."""
    return tuple(
        entry.version
        for entry in accepted.document.versions
        if model in {entry.id, entry.id.partition('@')[0]}
    )


def _versions(
    body: ChatBody,
    task: TaskEntry,
    workspace: WorkspaceEntry,
    accepted: Accepted,
    claim: SessionClaim | None,
) -> tuple[VersionId, ...] | Refusal:
    """Return the versions that may answer."""
    if claim is not None:
        return (claim.version,)
    named = _named(body.model, accepted)
    if not named:
        named = _preset_versions(task, accepted)
    allowed = tuple(
        version for version in named if version in workspace.versions
    )
    if allowed:
        return allowed
    return Refusal(
        ResultCode.VERSION_NOT_ALLOWED,
        f'The workspace {workspace.name!r} may use none of the versions '
        f'that {body.model!r} stands for under the preset '
        f'{accepted.preset!r}.',
    )


def _preset_versions(
    task: TaskEntry,
    accepted: Accepted,
) -> tuple[VersionId, ...]:
    """Return the versions that the preset gives a task class."""
    for entry in accepted.preset_entry.tasks:
        if entry.task == task.name:
            return tuple(VersionId(version) for version in entry.versions)
    return ()


def _target(
    task: TaskEntry,
    workspace: WorkspaceEntry,
    accepted: Accepted,
) -> float:
    """Return the quality target: workspace before preset before task."""
    if task.name in workspace.targets:
        return workspace.targets[task.name]
    for entry in accepted.preset_entry.tasks:
        if entry.task == task.name and entry.target is not None:
            return entry.target
    return task.target


def _priority(headers: Mapping[str, str], task: TaskEntry) -> int:
    """Return the priority; a caller may lower its own, not raise it."""
    text = headers.get('Nutmegroad-Priority', '')
    if len(text) == 1 and text.isascii() and text.isdigit():
        return max(task.priority, int(text))
    return task.priority


def _count_words(body: ChatBody) -> int:
    """Estimate the tokens of the prompt."""
    return sum(len(message.content.split()) for message in body.messages)


def _prefix(body: ChatBody) -> int:
    """Hash the prompt's first words."""
    text = ' '.join(message.content for message in body.messages)
    words = text.split(maxsplit=PREFIX_WORDS)[:PREFIX_WORDS]
    return xxhash.xxh64_intdigest(' '.join(words).encode())


def _upstream_body(body: ChatBody, task: TaskEntry) -> dict[str, object]:
    """Return what goes to an engine, without the model."""
    plain = {
        name: given
        for name, given in msgspec.to_builtins(body).items()
        if given is not None and name not in {'model', 'stream'}
    }
    plain['max_tokens'] = body.max_tokens or task.max_tokens
    plain['nutmegroad_task'] = task.name
    return plain
