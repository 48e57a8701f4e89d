"""What operators may change: documents, presets, withdrawals."""

from msgspec.structs import replace

from nutmegroad.configuration import Configuration
from nutmegroad.documents import Document, Withdrawal
from nutmegroad.heads import Change, Head, HeadStore
from nutmegroad.results import Refusal, ResultCode
from nutmegroad.spread import ConfigurationPoller
from nutmegroad.types import OperatorId, PresetName, Revision, VersionId


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
        author: OperatorId,
    ) -> Head | Refusal:
        """Withdraw a version; this host stops using it before it answers."""
        entry = self._configuration.entry(version)
        if entry is None:
            return Refusal(
                ResultCode.NOT_FOUND,
                f'There is no version {version!r} in the configuration.',
            )
        fact = Withdrawal(version=version, epoch=entry.epoch)
        self._configuration.withdraw((fact,))

        def change(head: Head) -> Head | Refusal:
            """Add the fact."""
            facts = tuple(sorted({*head.withdrawals, fact}))
            return replace(
                head,
                withdrawals=facts,
                author=author,
                summary=f'the version {version} was withdrawn',
            )

        return await self._move(change, None)

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
