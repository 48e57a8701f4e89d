"""Sample configuration, engines and requests for timing decisions."""

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

#: Number of versions in the configuration.
VERSIONS: Final = 22
#: Number of versions that each engine has loaded.
VERSIONS_PER_ENGINE: Final = 3


def large_document() -> Document:
    """Return an example's configuration, extended to ``VERSIONS`` versions."""
    document = parse_document(read_example('lesen'))
    versions = tuple(
        _make_version(document.versions[number % 3], number)
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


def _make_version(template: VersionEntry, number: int) -> VersionEntry:
    """Return a copy of a version with a new id and a higher price."""
    price_factor = 1 + number / 100
    return replace(
        template,
        id=f'model-{number}@1',
        price_in=template.price_in * price_factor,
        price_out=template.price_out * price_factor,
    )


def make_request(
    number: int,
    task: TaskEntry,
    workspace: WorkspaceEntry,
    now: float,
) -> ModelRequest:
    """Return a request that any version of the workspace may answer."""
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


def make_upstream(number: int) -> UpstreamInfo:
    """Return the directory entry of an engine; nothing listens there."""
    domains = DOMAINS['lesen']
    return UpstreamInfo(
        UpstreamId(f'engine-{number}'),
        DomainId(domains[number % len(domains)]),
        UpstreamKind.ENGINE,
        Address(LOOPBACK, 1),
    )


def make_engine_report(number: int) -> EngineReport:
    """Return the report of an engine; versions and load depend on its number.

    Args:
        number: Number of the engine.
    """
    versions = tuple(
        VersionId(
            f'model-{(number * VERSIONS_PER_ENGINE + offset) % VERSIONS}@1'
        )
        for offset in range(VERSIONS_PER_ENGINE)
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
