"""The configuration in force on this host, and how sure the host is of it.

A host takes only revisions above its own. A confirmation says that a
transactional read of the head, begun at a certain moment, still gave this
revision; it holds for the lease, counted from that moment. A host whose
last confirmation has lapsed is isolated.
"""

from collections.abc import Callable
from dataclasses import dataclass

from nutmegroad.clocks import Clock
from nutmegroad.documents import (
    Document,
    PresetEntry,
    VersionEntry,
    Withdrawal,
)
from nutmegroad.types import (
    NO_REVISION,
    Digest,
    Epoch,
    PresetName,
    Revision,
    VersionId,
)


@dataclass(frozen=True, slots=True)
class Accepted:
    """A configuration that the head row named.

    Attributes:
        revision: Its number.
        digest: Name of the document's object.
        document: The document.
        preset: The preset in force.
        author: The operator who made this revision.
    """

    revision: Revision
    digest: Digest
    document: Document
    preset: PresetName
    author: str

    @property
    def preset_entry(self) -> PresetEntry:
        """Return the preset in force.

        Raises:
            LookupError: If the document lacks it, which checks exclude.
        """
        entry = self.document.preset(self.preset)
        if entry is None:
            raise LookupError(self.preset)
        return entry


class Configuration:
    """What this host holds to be in force.

    Args:
        clock: The host's clock.
        lease: Seconds for which a confirmation holds.
    """

    def __init__(self, clock: Clock, lease: float) -> None:
        self._clock = clock
        self._lease = lease
        self._accepted: Accepted | None = None
        self._confirmed = float('-inf')
        self._withdrawn: dict[VersionId, Epoch] = {}
        self._listeners: list[Callable[[], None]] = []

    @property
    def accepted(self) -> Accepted | None:
        """Return the newest configuration taken, or None at the start."""
        return self._accepted

    @property
    def revision(self) -> Revision:
        """Return the number of the newest configuration taken."""
        if self._accepted is None:
            return NO_REVISION
        return self._accepted.revision

    @property
    def confirmation_age(self) -> float:
        """Return seconds since the last confirming read began."""
        return self._clock.now() - self._confirmed

    @property
    def isolated(self) -> bool:
        """Tell whether the last confirmation has lapsed."""
        return self.confirmation_age >= self._lease

    @property
    def withdrawals(self) -> tuple[Withdrawal, ...]:
        """Return all withdrawals known, in order."""
        facts = [
            Withdrawal(version=version, epoch=epoch)
            for version, epoch in self._withdrawn.items()
        ]
        return tuple(sorted(facts))

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a function after each change."""
        self._listeners.append(listener)

    def take(self, accepted: Accepted) -> bool:
        """Put a configuration into force if it is newer; tell whether."""
        if accepted.revision <= self.revision:
            return False
        self._accepted = accepted
        self._changed()
        return True

    def confirm(self, revision: Revision, asked: float) -> None:
        """Note a confirmation of a revision.

        Args:
            revision: What the confirming read gave.
            asked: Clock seconds before that read was sent.
        """
        if revision == self.revision:
            self._confirmed = max(self._confirmed, asked)

    def withdraw(self, facts: tuple[Withdrawal, ...]) -> bool:
        """Add withdrawals; tell whether any was new."""
        fresh = False
        for fact in facts:
            version = VersionId(fact.version)
            if fact.epoch > self._withdrawn.get(version, Epoch(-1)):
                self._withdrawn[version] = Epoch(fact.epoch)
                fresh = True
        if fresh:
            self._changed()
        return fresh

    def is_withdrawn(self, version: VersionId, epoch: Epoch) -> bool:
        """Tell whether a version's epoch has been withdrawn."""
        return epoch <= self._withdrawn.get(version, Epoch(-1))

    def entry(self, version: VersionId) -> VersionEntry | None:
        """Return the document's entry for a version, or None."""
        if self._accepted is None:
            return None
        return self._accepted.document.version(version)

    def _changed(self) -> None:
        """Tell all listeners."""
        for listener in self._listeners:
            listener()
