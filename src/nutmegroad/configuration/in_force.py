"""The configuration in force on this host, and its confirmation.

A host applies only revisions above its own. A confirmation states that a
transactional read of the head, begun at a certain time, still returned this
revision. It is valid for the duration of the lease, counted from that time. A
host whose last confirmation has expired is isolated.
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

#: Seconds beyond the lease after which a revision is in force everywhere. The
#: lease is measured with the clocks of several hosts, whose rates differ
#: slightly.
CLOCK_MARGIN: Final = 0.5
#: Revisions for which a host retains the time when it applied them.
_MAX_APPLY_TIMES: Final = 64
_NEVER: Final = float('-inf')


@dataclass(frozen=True, slots=True)
class AcceptedConfiguration:
    """A configuration that the head row named.

    Attributes:
        revision: The revision number.
        digest: Digest of the document, which names its object.
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
        """The document's entry for the preset in force.

        Raises:
            LookupError: If the document has no such preset, which the checks
                rule out.
        """
        entry = self.document.preset(self.preset)
        if entry is None:
            raise LookupError(self.preset)
        return entry


class Configuration:
    """The configuration in force on this host, with known withdrawals.

    Args:
        clock: The host's clock.
        lease: Seconds for which a confirmation is valid.
    """

    def __init__(self, clock: Clock, lease: float) -> None:
        self._clock = clock
        self._lease = lease
        self._accepted: AcceptedConfiguration | None = None
        self._highest_known = NO_REVISION
        self._confirmed = _NEVER
        self._failed = _NEVER
        self._apply_times: dict[Revision, float] = {}
        self._withdrawn = WithdrawalSet()
        self._recorded = WithdrawalSet()
        self._listeners: list[Callable[[], None]] = []

    @property
    def accepted(self) -> AcceptedConfiguration | None:
        """The newest configuration applied, or None before the first."""
        return self._accepted

    @property
    def revision(self) -> Revision:
        """The revision of the newest configuration applied."""
        if self._accepted is None:
            return NO_REVISION
        return self._accepted.revision

    @property
    def highest_known_revision(self) -> Revision:
        """The highest revision that this host knows to exist."""
        return max(self._highest_known, self.revision)

    @property
    def is_behind(self) -> bool:
        """Whether a higher revision exists that this host does not have."""
        return self._highest_known > self.revision

    @property
    def confirmation_age(self) -> float:
        """Seconds since the last confirming read began."""
        return self._clock.now() - self._confirmed

    @property
    def isolated(self) -> bool:
        """Whether the last confirmation has expired."""
        return self.confirmation_age >= self._lease

    @property
    def needs_confirmation(self) -> bool:
        """Whether the host is isolated without a recent attempt to confirm.

        A host that is cut off has failed to confirm within the last lease
        period. A host that was paused has not attempted to: there may be a
        change that it would learn of by asking, so it serves nothing until it
        has asked.
        """
        return self.isolated and self._clock.now() - self._failed >= self._lease

    @property
    def withdrawals(self) -> Withdrawals:
        """All known withdrawals, ordered by version."""
        return self._withdrawn.withdrawals

    @property
    def withdrawals_digest(self) -> str:
        """Digest of the set of known withdrawals."""
        return digest_withdrawals(self._withdrawn.withdrawals)

    @property
    def unrecorded(self) -> Withdrawals:
        """The withdrawals that are not known to be in the table."""
        return tuple(
            withdrawal
            for withdrawal in self._withdrawn.withdrawals
            if not self._recorded.covers(withdrawal)
        )

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Register a function to be called after each change."""
        self._listeners.append(listener)

    def observe_revision(self, revision: Revision) -> None:
        """Record that a revision exists, which this host may not have yet."""
        self._highest_known = max(self._highest_known, revision)

    def apply(self, accepted: AcceptedConfiguration) -> bool:
        """Put a configuration into force if it is newer.

        Returns:
            Whether it was newer.
        """
        if accepted.revision <= self.revision:
            return False
        self._accepted = accepted
        self.observe_revision(accepted.revision)
        self._apply_times[accepted.revision] = self._clock.now()
        if len(self._apply_times) > _MAX_APPLY_TIMES:
            self._apply_times.pop(min(self._apply_times))
        self._notify()
        return True

    def confirm(self, revision: Revision, started: float) -> bool:
        """Record a confirmation of a revision if it is valid.

        A confirmation of an older revision is stale. A confirmation of this
        host's own revision is not valid either once a higher one is known.

        Args:
            revision: The revision that the confirming read returned.
            started: Clock seconds before that read was sent.

        Returns:
            Whether the confirmation is valid.
        """
        if revision != self.revision or self.is_behind:
            return False
        self._confirmed = max(self._confirmed, started)
        return True

    def record_failure(self, started: float) -> None:
        """Record that an attempt to confirm, begun at ``started``, failed."""
        self._failed = max(self._failed, started)

    def seconds_until_in_force(self, revision: Revision) -> float | None:
        """Return seconds until a revision is in force everywhere.

        One lease and the clock margin after the revision was made, it is in
        force on all hosts that are not isolated. The time is counted from when
        this host applied it, which is later than when it was made.

        Returns:
            0 if it is in force already; None if this host does not have it.
        """
        times = [
            applied_at
            for applied, applied_at in self._apply_times.items()
            if applied >= revision
        ]
        if not times:
            return None
        until = min(times) + self._lease + CLOCK_MARGIN
        return max(0, until - self._clock.now())

    def add_withdrawals(self, withdrawals: Withdrawals) -> bool:
        """Add withdrawals; return whether any was new."""
        changed = self._withdrawn.add(withdrawals)
        if changed:
            self._notify()
        return changed

    def add_recorded(self, withdrawals: Withdrawals) -> None:
        """Add withdrawals that are known to be in the table."""
        self._recorded.add(withdrawals)
        self.add_withdrawals(withdrawals)

    def is_withdrawn(self, version: VersionId, epoch: Epoch) -> bool:
        """Return whether an epoch of a version has been withdrawn."""
        return self._withdrawn.covers(Withdrawal(version, epoch))

    def version_entry(self, version: VersionId) -> VersionEntry | None:
        """Return the document's entry for a version, or None."""
        if self._accepted is None:
            return None
        return self._accepted.document.version(version)

    def _notify(self) -> None:
        """Call all listeners."""
        for listener in self._listeners:
            listener()
