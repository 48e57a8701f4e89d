"""What operators may change: documents, presets, withdrawals."""

from dataclasses import dataclass

from msgspec.structs import replace

from nutmegroad.configuration.checks import check_document
from nutmegroad.configuration.heads import Change, Head, HeadStore
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.configuration.spread import ConfigurationPoller
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
class Withdrawn:
    """What became of a withdrawal.

    Attributes:
        version: The version.
        epoch: Its epochs up to this one are withdrawn.
        revision: The revision that has it in the table; None if the table
            is not known to have it yet.
        reason: Why the table is not known to have it; empty if it has.
    """

    version: VersionId
    epoch: Epoch
    revision: Revision | None
    reason: str


class Changes:
    """Makes operators' changes, each by one move of the head.

    Args:
        store: Moves the head.
        poller: Puts an accepted change into force on this host at once.
        configuration: What is in force.
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
            preset: The preset to be in force; None keeps the present one,
                or takes the document's first.
            author: Who asks for it.
            expected: The revision that the operator saw; None for any.
        """
        digest = await self._store.store(document)
        if isinstance(digest, Refusal):
            return digest

        def change(head: Head) -> Head | Refusal:
            """Name the new document."""
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

    async def switch(
        self,
        preset: PresetName,
        author: OperatorId,
        expected: Revision | None,
    ) -> Head | Refusal:
        """Put another preset into force."""
        await self._poller.poll()
        accepted = self._configuration.accepted
        if accepted is None:
            return _missing()
        if accepted.document.preset(preset) is None:
            return _unknown_preset(accepted.document, preset)

        def change(head: Head) -> Head | Refusal:
            """Name the preset."""
            if head.digest != accepted.digest:
                return Refusal(
                    ResultCode.CONFIGURATION_CONFLICT,
                    f'The document changed to revision {head.revision} by '
                    f'{head.author} meanwhile; look at it and try again.',
                )
            return replace(
                head,
                preset=preset,
                author=author,
                summary=f'the preset {preset!r} came into force',
            )

        return await self._move(change, expected)

    async def withdraw(
        self,
        version: VersionId,
        epoch: Epoch | None,
        author: OperatorId,
    ) -> Withdrawn | Refusal:
        """Withdraw a version, with the table or without.

        This host stops using the version before it answers, and tells
        others. If the table can't be written now, some host will do so
        once it can.

        Args:
            version: The version.
            epoch: Its epochs up to this one; None for the present one.
            author: Who asks for it.
        """
        entry = self._configuration.entry(version)
        if entry is None:
            return Refusal(
                ResultCode.NOT_FOUND,
                f'There is no version {version!r} in the configuration '
                f'{self._configuration.revision} of this host.',
            )
        until = Epoch(entry.epoch) if epoch is None else epoch
        withdrawal = Withdrawal(version=version, epoch=until)
        self._configuration.withdraw((withdrawal,))
        head = await self._store.merge((withdrawal,), author)
        if isinstance(head, Refusal):
            return Withdrawn(version, until, None, head.reason)
        self._configuration.record(head.withdrawals)
        await self._poller.poll()
        return Withdrawn(version, until, Revision(head.revision), '')

    async def set_workspace(
        self,
        entry: WorkspaceEntry,
        author: OperatorId,
        expected: Revision | None,
    ) -> Head | Refusal | tuple[Problem, ...]:
        """Put one workspace's entry in the place of the one before.

        Returns:
            The new head, or why there is none; what is wrong with the
            document that it would make, if anything is.
        """
        await self._poller.poll()
        accepted = self._configuration.accepted
        if accepted is None:
            return _missing()
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
        change: Change,
        expected: Revision | None,
    ) -> Head | Refusal:
        """Move the head, and put it into force here."""
        head = await self._store.move(change, expected)
        if not isinstance(head, Refusal):
            await self._poller.poll()
        return head


def replace_workspace(document: Document, entry: WorkspaceEntry) -> Document:
    """Return a document with one workspace's entry changed or added."""
    present = [known.name for known in document.workspaces]
    if entry.name not in present:
        return replace(document, workspaces=(*document.workspaces, entry))
    changed = tuple(
        entry if known.name == entry.name else known
        for known in document.workspaces
    )
    return replace(document, workspaces=changed)


def _preset_for(
    document: Document,
    preset: PresetName | None,
    head: Head,
) -> PresetName | Refusal:
    """Return the preset that is to be in force with a document."""
    if preset is not None:
        if document.preset(preset) is None:
            return _unknown_preset(document, preset)
        return preset
    if document.preset(PresetName(head.preset)) is not None:
        return PresetName(head.preset)
    return document.presets[0].preset


def _unknown_preset(document: Document, preset: PresetName) -> Refusal:
    """Say that there is no such preset."""
    choices = ', '.join(entry.name for entry in document.presets)
    return Refusal(
        ResultCode.PRESET_UNKNOWN,
        f'There is no preset {preset!r}; the choices are {choices}.',
    )


def _missing() -> Refusal:
    """Say that no configuration is in force."""
    return Refusal(
        ResultCode.CONFIGURATION_MISSING,
        'No configuration is in force yet; apply one first.',
    )
