"""What decisions are timed with: a configuration, engines and requests."""

from typing import Final

from msgspec.structs import replace

from experiments.deployment import DOMAINS, read_example
from experiments.processes import LOOPBACK
from nutmegroad.contracts.documents import (
    Document,
    TaskEntry,
    VersionEntry,
    WorkspaceEntry,
    parse_document,
)
from nutmegroad.contracts.requests import ModelRequest
from nutmegroad.contracts.upstreams import EngineReport
from nutmegroad.foundations.types import (
    Address,
    DomainId,
    FencingNumber,
    IdempotencyKey,
    RequestId,
    TaskName,
    UpstreamId,
    UpstreamInfo,
    UpstreamKind,
    VersionId,
    WorkspaceId,
)

#: Versions in use.
VERSIONS: Final = 22
#: Versions that one engine has loaded.
LOADED: Final = 3


def large_document() -> Document:
    """Return an example's configuration with 22 versions."""
    document = parse_document(read_example('lesen'))
    versions = tuple(
        _version(document.versions[number % 3], number)
        for number in range(VERSIONS)
    )
    names = tuple(entry.id for entry in versions)
    presets = tuple(
        replace(
            preset,
            tasks=tuple(replace(task, versions=names) for task in preset.tasks),
            rollouts=(),
            preload={},
        )
        for preset in document.presets
    )
    workspaces = tuple(
        replace(entry, versions=names) for entry in document.workspaces
    )
    return replace(
        document,
        versions=versions,
        presets=presets,
        workspaces=workspaces,
    )


def _version(like: VersionEntry, number: int) -> VersionEntry:
    """Return one more version like another, a little dearer."""
    dearer = 1 + number / 100
    return replace(
        like,
        id=f'model-{number}@1',
        price_in=like.price_in * dearer,
        price_out=like.price_out * dearer,
    )


def request_of(
    number: int,
    task: TaskEntry,
    workspace: WorkspaceEntry,
    now: float,
) -> ModelRequest:
    """Return a request that any of the versions may answer."""
    return ModelRequest(
        request=RequestId(f'r-{number}'),
        workspace=WorkspaceId(workspace.name),
        concern=workspace.concern,
        task=TaskName(task.name),
        target=task.target,
        versions=tuple(VersionId(name) for name in workspace.versions),
        repeatable=task.repeatable,
        deadline=now + task.deadline,
        priority=task.priority,
        prompt_tokens=300,
        output_tokens=task.output_tokens,
        prefix=number % 50,
        key=IdempotencyKey(''),
        session=None,
        body={},
    )


def upstream_of(number: int) -> UpstreamInfo:
    """Return an engine's entry of the host list; nothing listens there."""
    domains = DOMAINS['lesen']
    return UpstreamInfo(
        UpstreamId(f'engine-{number}'),
        DomainId(domains[number % len(domains)]),
        UpstreamKind.ENGINE,
        Address(LOOPBACK, 1),
    )


def report_of(number: int) -> EngineReport:
    """Return an engine's report, with its own versions and load."""
    versions = tuple(
        VersionId(f'model-{(number * LOADED + place) % VERSIONS}@1')
        for place in range(LOADED)
    )
    return EngineReport(
        versions,
        running=number % 9,
        queued=number % 4,
        slots=8,
        leaving=False,
        checks_fencing=True,
        fencing=FencingNumber(0),
    )
