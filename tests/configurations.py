"""Sample configurations for tests of rollouts and orders."""

from collections.abc import Mapping

from nutmegroad.configuration.in_force import (
    AcceptedConfiguration,
    Configuration,
)
from nutmegroad.contracts.documents import (
    Document,
    PresetEntry,
    PresetTask,
    RolloutShare,
    Stage,
    TaskEntry,
    VersionEntry,
)
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import (
    Digest,
    PresetName,
    Revision,
    TaskName,
    VersionId,
)

OLD = VersionId('m@1')
NEW = VersionId('m@2')
TAG = TaskName('tag')
DRAFT = TaskName('draft')
GOOD = 0.9


def version_of(
    version: VersionId,
    stage: Stage = Stage.STEADY,
    epoch: int = 0,
) -> VersionEntry:
    """Return an entry for a version; one in rollout replaces ``OLD``."""
    return VersionEntry(
        id=version,
        price_in=1,
        price_out=1,
        quality={TAG: GOOD, DRAFT: GOOD},
        stage=stage,
        epoch=epoch,
        replaces=OLD if stage is Stage.ROLLOUT else None,
    )


def document_of(
    *versions: VersionEntry,
    bound: float = 0.5,
    preload: Mapping[str, int] | None = None,
) -> Document:
    """Return a document in which all versions may perform both tasks."""
    names = tuple(entry.id for entry in versions)
    tasks = tuple(
        PresetTask(task=task, versions=names) for task in (TAG, DRAFT)
    )
    rollouts = tuple(
        RolloutShare(version=entry.id, share=bound)
        for entry in versions
        if entry.stage is Stage.ROLLOUT
    )
    preset = PresetEntry(
        name='day',
        tasks=tasks,
        rollouts=rollouts,
        preload=dict(preload or {}),
    )
    entries = tuple(TaskEntry(name=task, target=0.8) for task in (TAG, DRAFT))
    return Document(
        format=1,
        name='test',
        versions=versions,
        tasks=entries,
        workspaces=(),
        presets=(preset,),
    )


def apply_document(
    configuration: Configuration,
    document: Document,
    revision: int = 1,
) -> None:
    """Put a document into force."""
    accepted = AcceptedConfiguration(
        Revision(revision),
        Digest(''),
        document,
        PresetName('day'),
        'test',
    )
    configuration.apply(accepted)


def configuration_of(clock: Clock, document: Document) -> Configuration:
    """Return a configuration with a document in force."""
    configuration = Configuration(clock, 8)
    apply_document(configuration, document)
    return configuration
