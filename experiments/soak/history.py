"""History of the configuration, reconstructed from writes to its head row."""

from dataclasses import dataclass
from typing import Final

import msgspec

from experiments.soak.hosts import SoakHost
from nutmegroad.configuration.heads import HEAD_KEY, Head
from nutmegroad.configuration.in_force import AcceptedConfiguration
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

#: Seconds for which a confirmed configuration is valid.
LEASE: Final = 8.0
#: Tolerance in seconds in addition to the lease: for rounding, and for the
#: step in which a first byte is sent.
TIMING_MARGIN: Final = 0.5


@dataclass(slots=True)
class RevisionRecord:
    """A revision of the configuration, and when it was in force.

    Attributes:
        at: Time at which it was written, in seconds.
        head: The head row.
        document: The document that the head row refers to.
        until: Time at which the next revision was written, in seconds.
    """

    at: float
    head: Head
    document: Document
    until: float = float('inf')

    def workspace(self, name: WorkspaceId) -> WorkspaceEntry | None:
        """Return the entry of a workspace, or None if there is none."""
        return next(
            (
                candidate
                for candidate in self.document.workspaces
                if candidate.name == name
            ),
            None,
        )

    def epoch(self, version: VersionId) -> int:
        """Return the epoch of a version."""
        return next(
            entry.epoch
            for entry in self.document.versions
            if entry.id == version
        )


class History:
    """All revisions of the configuration, in order.

    Args:
        clock: Virtual clock.
        objects: Stored objects by name.

    Attributes:
        revisions: The revisions.
        max_lag: Maximum age of the rows that a read may return, in seconds.
    """

    def __init__(self, clock: Clock, objects: dict[str, bytes]) -> None:
        self.revisions: list[RevisionRecord] = []
        self.max_lag: float = 0
        self._clock = clock
        self._objects = objects
        self._withdrawn: dict[tuple[str, int], float] = {}

    @property
    def propagation_bound(self) -> float:
        """Seconds until a revision is in force on all confirmed hosts."""
        return LEASE + TIMING_MARGIN + self.max_lag

    def record_row(self, row: Row) -> None:
        """Record the revision if the written row is the head row."""
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

    def is_unwritten(self, accepted: AcceptedConfiguration) -> bool:
        """Return whether it is none of the 200 revisions written last."""
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
        """Return why a confirmed host may not use a version, else ''.

        Args:
            name: The workspace.
            version: The version.
            pinned_epoch: The epoch that a session's token is bound to, if any.
        """
        allowing = [
            record
            for record in self.possibly_active()
            if version in _allowed_versions(record.workspace(name))
        ]
        if not allowing:
            return f'{name} may no longer use {version}'
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
        """Return why a confirmed host may not call a service, else ''."""
        for record in self.possibly_active():
            entry = record.workspace(name)
            if entry is not None and service in entry.services:
                return ''
        return f'{name} may no longer call {service}'

    def isolated_version_violation(
        self,
        host: SoakHost,
        name: WorkspaceId,
        version: VersionId,
    ) -> str:
        """Return why an isolated host may not use a version, else ''."""
        active = self._active_revision(host)
        if active is None:
            return 'the revision of the host was never written'
        entry = next(
            candidate
            for candidate in active.document.versions
            if candidate.id == version
        )
        if not entry.isolated or entry.stage is Stage.ROLLOUT:
            return f'{version} is not enabled for isolated hosts'
        if version not in _allowed_versions(active.workspace(name)):
            return f'{name} may not use {version}'
        return self.isolated_service_violation(host, name)

    def isolated_service_violation(
        self, host: SoakHost, name: WorkspaceId
    ) -> str:
        """Return why an isolated host may not serve a workspace, else ''."""
        active = self._active_revision(host)
        entry = None if active is None else active.workspace(name)
        if entry is None:
            return f'there is no workspace {name}'
        if entry.isolation is not Isolation.SERVE:
            return f'{name} is not served in isolation'
        if host.configuration.confirmation_age > entry.isolation_limit:
            return f'the isolation limit of {name} has passed'
        return ''

    def newest_epoch(self, version: str) -> int:
        """Return the newest epoch of a version."""
        return self.revisions[-1].epoch(VersionId(version))

    def is_withdrawn(self, version: VersionId) -> bool:
        """Return whether the newest epoch of a version is withdrawn."""
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
        """Return whether an epoch had been withdrawn at a given time."""
        return any(
            name == version and withdrawn_epoch >= epoch and at <= moment
            for (name, withdrawn_epoch), at in self._withdrawn.items()
        )


def _allowed_versions(entry: WorkspaceEntry | None) -> tuple[str, ...]:
    """Return the versions of a workspace; none if the workspace is missing."""
    return () if entry is None else entry.versions
