"""The configuration in force on this host, and how sure the host is of it.

A host takes only revisions above its own. A confirmation says that a
transactional read of the head, begun at a certain moment, still gave this
revision; it holds for the lease, counted from that moment. A host whose
last confirmation has lapsed is isolated.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from nutmegroad.configuration.withdrawals import (
    Withdrawals,
    WithdrawalSet,
    digest_withdrawals,
)
from nutmegroad.contracts.documents import (
    Document,
    PresetEntry,
    VersionEntry,
    Withdrawal,
)
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import (
    NO_REVISION,
    Digest,
    Epoch,
    PresetName,
    Revision,
    VersionId,
)

#: Seconds beyond the lease after which a revision is in force everywhere:
#: clocks of several hosts add up to one lease at rates that differ a little.
CLOCK_MARGIN: Final = 0.5
#: Revisions of which a host remembers when it learned them.
_REMEMBERED: Final = 64
_NEVER: Final = float('-inf')


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
        self._heard = NO_REVISION
        self._confirmed = _NEVER
        self._failed = _NEVER
        self._taken: dict[Revision, float] = {}
        self._withdrawn = WithdrawalSet()
        self._recorded = WithdrawalSet()
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
    def heard(self) -> Revision:
        """Return the highest revision of which this host has heard."""
        return max(self._heard, self.revision)

    @property
    def behind(self) -> bool:
        """Tell whether there is a revision that this host does not have."""
        return self._heard > self.revision

    @property
    def confirmation_age(self) -> float:
        """Return seconds since the last confirming read began."""
        return self._clock.now() - self._confirmed

    @property
    def isolated(self) -> bool:
        """Tell whether the last confirmation has lapsed."""
        return self.confirmation_age >= self._lease

    @property
    def must_confirm(self) -> bool:
        """Tell whether isolation may be but the trace of a pause.

        A host that is cut off has tried to confirm within the last lease,
        in vain. One that was paused has not: it may learn of a change as
        soon as it asks, so that it serves nothing before it has asked.
        """
        return self.isolated and self._clock.now() - self._failed >= self._lease

    @property
    def withdrawals(self) -> Withdrawals:
        """Return all withdrawals known, in order."""
        return self._withdrawn.withdrawals

    @property
    def withdrawals_digest(self) -> str:
        """Return the name of the set of withdrawals known."""
        return digest_withdrawals(self._withdrawn.withdrawals)

    @property
    def unrecorded(self) -> Withdrawals:
        """Return the withdrawals of which the table is not known to know."""
        return tuple(
            withdrawal
            for withdrawal in self._withdrawn.withdrawals
            if not self._recorded.covers(withdrawal)
        )

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a function after each change."""
        self._listeners.append(listener)

    def hear(self, revision: Revision) -> None:
        """Note that a revision exists, before its document is here."""
        self._heard = max(self._heard, revision)

    def take(self, accepted: Accepted) -> bool:
        """Put a configuration into force if it is newer; tell whether."""
        if accepted.revision <= self.revision:
            return False
        self._accepted = accepted
        self.hear(accepted.revision)
        self._taken[accepted.revision] = self._clock.now()
        if len(self._taken) > _REMEMBERED:
            self._taken.pop(min(self._taken))
        self._changed()
        return True

    def confirm(self, revision: Revision, asked: float) -> bool:
        """Note a confirmation of a revision; tell whether it counts.

        One of an older revision is stale. One of this host's own does not
        count either once the host has heard of a higher one.

        Args:
            revision: What the confirming read gave.
            asked: Clock seconds before that read was sent.
        """
        if revision != self.revision or self.behind:
            return False
        self._confirmed = max(self._confirmed, asked)
        return True

    def fail(self, asked: float) -> None:
        """Note that a try to confirm, begun at ``asked``, was in vain."""
        self._failed = max(self._failed, asked)

    def in_force_in(self, revision: Revision) -> float | None:
        """Return seconds until a revision is in force everywhere.

        It is in force on all hosts but the isolated ones one lease and the
        margin after it was made, and this host learned of it after that.

        Returns:
            0 if it is in force already; None if this host lacks it.
        """
        later = [at for made, at in self._taken.items() if made >= revision]
        if not later:
            return None
        until = min(later) + self._lease + CLOCK_MARGIN
        return max(0, until - self._clock.now())

    def withdraw(self, withdrawals: Withdrawals) -> bool:
        """Add withdrawals; tell whether any was new."""
        fresh = self._withdrawn.add(withdrawals)
        if fresh:
            self._changed()
        return fresh

    def record(self, withdrawals: Withdrawals) -> None:
        """Note that the table knows of withdrawals, and add them."""
        self._recorded.add(withdrawals)
        self.withdraw(withdrawals)

    def is_withdrawn(self, version: VersionId, epoch: Epoch) -> bool:
        """Tell whether a version's epoch has been withdrawn."""
        return self._withdrawn.covers(Withdrawal(version, epoch))

    def entry(self, version: VersionId) -> VersionEntry | None:
        """Return the document's entry for a version, or None."""
        if self._accepted is None:
            return None
        return self._accepted.document.version(version)

    def _changed(self) -> None:
        """Tell all listeners."""
        for listener in self._listeners:
            listener()
