"""What was in force when, as the platform's head row tells it."""

from dataclasses import dataclass
from typing import Final

import msgspec

from experiments.soak.hosts import SoakHost
from nutmegroad.configuration.heads import HEAD_KEY, Head
from nutmegroad.configuration.in_force import Accepted
from nutmegroad.contracts.documents import (
    Document,
    Isolation,
    Stage,
    WorkspaceEntry,
    decode_document,
)
from nutmegroad.contracts.platform import Row
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import VersionId, WorkspaceId

#: Seconds for which a confirmed configuration holds.
LEASE: Final = 8.0
#: Seconds beside the lease: rounding, and the step of a first byte.
TIMING_MARGIN: Final = 0.5


@dataclass(slots=True)
class RevisionRecord:
    """A revision, and when it was in force.

    Attributes:
        at: Seconds of the write.
        head: The head row.
        document: The document that it names.
        until: Seconds at which the next revision was written.
    """

    at: float
    head: Head
    document: Document
    until: float = float('inf')

    def workspace(self, name: WorkspaceId) -> WorkspaceEntry | None:
        """Return a workspace's entry."""
        return next(
            (
                candidate
                for candidate in self.document.workspaces
                if candidate.name == name
            ),
            None,
        )

    def epoch(self, version: VersionId) -> int:
        """Return a version's epoch."""
        return next(
            entry.epoch
            for entry in self.document.versions
            if entry.id == version
        )


class History:
    """All revisions, in order.

    Args:
        clock: The time of all.
        objects: Stored objects by name.

    Attributes:
        moves: The revisions.
        lag: Seconds by which reads of the table lag at most.
    """

    def __init__(self, clock: Clock, objects: dict[str, bytes]) -> None:
        self.revisions: list[RevisionRecord] = []
        self.max_lag: float = 0
        self._clock = clock
        self._objects = objects
        self._withdrawn: dict[tuple[str, int], float] = {}

    @property
    def propagation_bound(self) -> float:
        """Return seconds until a revision is in force on all that confirm."""
        return LEASE + TIMING_MARGIN + self.max_lag

    def record_row(self, row: Row) -> None:
        """Take in a row that was written."""
        if row.key != HEAD_KEY:
            return
        now = self._clock.now()
        head = msgspec.json.decode(row.text, type=Head)
        content = self._objects[f'configuration/{head.digest}']
        document = decode_document(content)
        if self.revisions:
            self.revisions[-1].until = now
        self.revisions.append(RevisionRecord(now, head, document))
        for withdrawal in head.withdrawals:
            self._withdrawn.setdefault(
                (withdrawal.version, withdrawal.epoch), now
            )

    def is_unwritten(self, accepted: Accepted) -> bool:
        """Tell whether a host has something else than was written."""
        return not any(
            record.head.revision == accepted.revision
            and record.head.preset == accepted.preset
            and record.head.digest == accepted.digest
            for record in self.revisions[-200:]
        )

    def possibly_active(self) -> list[RevisionRecord]:
        """Return the revisions that a confirmed host may have in force."""
        since = self._clock.now() - self.propagation_bound
        return [record for record in self.revisions if record.until >= since]

    def version_violation(
        self,
        name: WorkspaceId,
        version: VersionId,
        pinned_epoch: int | None,
    ) -> str:
        """Say why a confirmed host may not use a version; empty if it may.

        Args:
            name: The workspace.
            version: The version.
            held: The epoch to which a session's token holds, if one does.
        """
        allowing = [
            record
            for record in self.possibly_active()
            if version in _allowed_versions(record.workspace(name))
        ]
        if not allowing:
            return f'{name} may not use {version} any more'
        cutoff = self._clock.now() - self.propagation_bound
        for record in allowing:
            epoch = (
                record.epoch(version) if pinned_epoch is None else pinned_epoch
            )
            if not self._is_withdrawn(version, epoch, cutoff):
                return ''
        return (
            f'{version} was withdrawn more than {self.propagation_bound} s ago'
        )

    def service_violation(self, name: WorkspaceId, service: str) -> str:
        """Say why a confirmed host may not call a service."""
        for record in self.possibly_active():
            entry = record.workspace(name)
            if entry is not None and service in entry.services:
                return ''
        return f'{name} may not call {service} any more'

    def isolated_version_violation(
        self,
        host: SoakHost,
        name: WorkspaceId,
        version: VersionId,
    ) -> str:
        """Say why an isolated host may not use a version."""
        active = self._active_revision(host)
        if active is None:
            return 'the host has no revision that was ever written'
        entry = next(
            candidate
            for candidate in active.document.versions
            if candidate.id == version
        )
        if not entry.isolated or entry.stage is Stage.ROLLOUT:
            return f'{version} is not for isolated hosts'
        if version not in _allowed_versions(active.workspace(name)):
            return f'{name} may not use {version}'
        return self.isolated_service_violation(host, name)

    def isolated_service_violation(
        self, host: SoakHost, name: WorkspaceId
    ) -> str:
        """Say why an isolated host may not serve a workspace at all."""
        active = self._active_revision(host)
        entry = None if active is None else active.workspace(name)
        if entry is None:
            return f'there is no workspace {name}'
        if entry.isolation is not Isolation.SERVE:
            return f'{name} is not served in isolation'
        if host.configuration.confirmation_age > entry.isolation_limit:
            return f'{name} is not served that long in isolation'
        return ''

    def newest_epoch(self, version: str) -> int:
        """Return a version's newest epoch."""
        return self.revisions[-1].epoch(VersionId(version))

    def is_withdrawn(self, version: VersionId) -> bool:
        """Tell whether the newest epoch of a version is withdrawn."""
        now = self._clock.now()
        return self._is_withdrawn(
            version, self.revisions[-1].epoch(version), now
        )

    def _active_revision(self, host: SoakHost) -> RevisionRecord | None:
        """Return the revision that a host has in force."""
        for record in reversed(self.revisions):
            if record.head.revision == host.configuration.revision:
                return record
        return None

    def _is_withdrawn(
        self,
        version: VersionId,
        epoch: int,
        moment: float,
    ) -> bool:
        """Tell whether an epoch was withdrawn by a moment."""
        return any(
            name == version and withdrawn_epoch >= epoch and at <= moment
            for (name, withdrawn_epoch), at in self._withdrawn.items()
        )


def _allowed_versions(entry: WorkspaceEntry | None) -> tuple[str, ...]:
    """Return the versions of a workspace that may be gone."""
    return () if entry is None else entry.versions
