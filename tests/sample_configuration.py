"""Sample configurations with workspaces and their capacity shares."""

from typing import Final

from nutmegroad.configuration.in_force import (
    AcceptedConfiguration,
    Configuration,
)
from nutmegroad.contracts.documents import (
    Document,
    PresetEntry,
    PresetTask,
    WorkspaceEntry,
)
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import Digest, PresetName, Revision, VersionId

VERSION: Final = VersionId('drafting@1')


def make_configuration(
    clock: Clock,
    queue_limit: float,
    **shares: float,
) -> Configuration:
    """Return a configuration in force for tests of capacity sharing.

    Args:
        clock: The clock of the configuration.
        queue_limit: Requests that may wait, per engine slot.
        shares: Weight of each workspace, by its name.
    """
    workspaces = tuple(
        WorkspaceEntry(
            name=name,
            key_hash='0' * 64,
            versions=(VERSION,),
            share=share,
        )
        for name, share in shares.items()
    )
    task = PresetTask(task='dossier', versions=(VERSION,))
    preset = PresetEntry(name='peak', tasks=(task,), queue_limit=queue_limit)
    document = Document(
        format=1,
        name='test',
        versions=(),
        tasks=(),
        workspaces=workspaces,
        presets=(preset,),
    )
    configuration = Configuration(clock, 8)
    name = PresetName('peak')
    accepted = AcceptedConfiguration(
        Revision(1), Digest(''), document, name, 'test'
    )
    configuration.apply(accepted)
    return configuration
