"""Changes by operators: documents, presets, workspaces and withdrawals."""

from dataclasses import dataclass

from msgspec.structs import replace

from nutmegroad.configuration.checks import check_document
from nutmegroad.configuration.heads import Head, HeadChange, HeadStore
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.configuration.poller import ConfigurationPoller
from nutmegroad.contracts.documents import Document, Withdrawal, WorkspaceEntry
from nutmegroad.contracts.problems import Problem
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    Epoch,
    OperatorId,
    PresetName,
    Revision,
    VersionId,
)


@dataclass(frozen=True, slots=True)
class WithdrawalOutcome:
    """Result of a withdrawal.

    Attributes:
        version: The withdrawn version.
        epoch: The epochs of the version up to this one are withdrawn.
        revision: The revision with the withdrawal in the table; None if it is
            not known to be in the table yet.
        reason: Why it is not known to be in the table; empty if it is.
    """

    version: VersionId
    epoch: Epoch
    revision: Revision | None
    reason: str


class ConfigurationChanges:
    """Makes operators' changes, each with one move of the head.

    Args:
        store: Moves the head.
        poller: Puts an accepted change into force on this host immediately.
        configuration: The configuration on this host.
    """

    def __init__(
        self,
        store: HeadStore,
        poller: ConfigurationPoller,
        configuration: Configuration,
    ) -> None:
        self._store = store
        self._poller = poller
        self._configuration = configuration

    async def apply(
        self,
        document: Document,
        preset: PresetName | None,
        author: OperatorId,
        expected: Revision | None,
    ) -> Head | Refusal:
        """Put a checked document into force.

        Args:
            document: The document.
            preset: The preset to put into force; None for the current one, or
                the document's first if it does not have the current one.
            author: The operator who makes the change.
            expected: Current revision that the change requires; None for any.
        """
        digest = await self._store.store_document(document)
        if isinstance(digest, Refusal):
            return digest

        def change(head: Head) -> Head | Refusal:
            """Return the head with the new document."""
            chosen = _preset_for(document, preset, head)
            if isinstance(chosen, Refusal):
                return chosen
            return replace(
                head,
                digest=digest,
                preset=chosen,
                author=author,
                summary=f'a document with preset {chosen!r} in force',
            )

        return await self._move(change, expected)

    async def switch_preset(
        self,
        preset: PresetName,
        author: OperatorId,
        expected: Revision | None,
    ) -> Head | Refusal:
        """Put another preset into force."""
        await self._poller.poll()
        accepted = self._configuration.accepted
        if accepted is None:
            return _no_configuration()
        if accepted.document.preset(preset) is None:
            return _unknown_preset(accepted.document, preset)

        def change(head: Head) -> Head | Refusal:
            """Return the head with the new preset."""
            if head.digest != accepted.digest:
                return Refusal(
                    ResultCode.CONFIGURATION_CONFLICT,
                    f'The document changed to revision {head.revision} by '
                    f'{head.author} in the meantime; check it and try again.',
                )
            return replace(
                head,
                preset=preset,
                author=author,
                summary=f'the preset {preset!r} came into force',
            )

        return await self._move(change, expected)

    async def withdraw_version(
        self,
        version: VersionId,
        epoch: Epoch | None,
        author: OperatorId,
    ) -> WithdrawalOutcome | Refusal:
        """Withdraw a version, even if the table is unavailable.

        This host stops using the version before it answers, and notifies
        others. If the table can't be written now, one of the hosts writes the
        withdrawal to it later.

        Args:
            version: The version.
            epoch: Withdraw its epochs up to this one; None for the current.
            author: The operator who makes the change.
        """
        entry = self._configuration.version_entry(version)
        if entry is None:
            return Refusal(
                ResultCode.NOT_FOUND,
                f'There is no version {version!r} in the configuration '
                f'{self._configuration.revision} of this host.',
            )
        last_epoch = Epoch(entry.epoch) if epoch is None else epoch
        withdrawal = Withdrawal(version=version, epoch=last_epoch)
        self._configuration.add_withdrawals((withdrawal,))
        head = await self._store.merge_withdrawals((withdrawal,), author)
        if isinstance(head, Refusal):
            return WithdrawalOutcome(version, last_epoch, None, head.reason)
        self._configuration.add_recorded(head.withdrawals)
        await self._poller.poll()
        return WithdrawalOutcome(
            version, last_epoch, Revision(head.revision), ''
        )

    async def set_workspace(
        self,
        entry: WorkspaceEntry,
        author: OperatorId,
        expected: Revision | None,
    ) -> Head | Refusal | tuple[Problem, ...]:
        """Add or replace the entry of one workspace.

        Args:
            entry: The new entry.
            author: The operator who makes the change.
            expected: Current revision that the change requires; None for the
                one that is in force on this host.

        Returns:
            The new head, or why there is none. If the changed document would
            not be valid, its problems.
        """
        await self._poller.poll()
        accepted = self._configuration.accepted
        if accepted is None:
            return _no_configuration()
        document = replace_workspace(accepted.document, entry)
        problems = check_document(document)
        if problems:
            return problems
        return await self.apply(
            document,
            accepted.preset,
            author,
            accepted.revision if expected is None else expected,
        )

    async def _move(
        self,
        change: HeadChange,
        expected: Revision | None,
    ) -> Head | Refusal:
        """Move the head, and put it into force on this host."""
        head = await self._store.move(change, expected)
        if not isinstance(head, Refusal):
            await self._poller.poll()
        return head


def replace_workspace(document: Document, entry: WorkspaceEntry) -> Document:
    """Return a document with the entry of one workspace replaced or added."""
    names = [known.name for known in document.workspaces]
    if entry.name not in names:
        return replace(document, workspaces=(*document.workspaces, entry))
    workspaces = tuple(
        entry if known.name == entry.name else known
        for known in document.workspaces
    )
    return replace(document, workspaces=workspaces)


def _preset_for(
    document: Document,
    preset: PresetName | None,
    head: Head,
) -> PresetName | Refusal:
    """Return the preset to put into force with a document."""
    if preset is not None:
        if document.preset(preset) is None:
            return _unknown_preset(document, preset)
        return preset
    if document.preset(PresetName(head.preset)) is not None:
        return PresetName(head.preset)
    return document.presets[0].preset


def _unknown_preset(document: Document, preset: PresetName) -> Refusal:
    """Return the refusal for a preset that the document does not have."""
    choices = ', '.join(entry.name for entry in document.presets)
    return Refusal(
        ResultCode.PRESET_UNKNOWN,
        f'There is no preset {preset!r}; the choices are {choices}.',
    )


def _no_configuration() -> Refusal:
    """Return the refusal if no configuration is in force."""
    return Refusal(
        ResultCode.CONFIGURATION_MISSING,
        'No configuration is in force yet; apply one first.',
    )
