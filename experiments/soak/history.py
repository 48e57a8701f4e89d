"""What was in force when, as the platform's head row tells it."""

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

#: Seconds for which a confirmed configuration holds.
LEASE: Final = 8.0
#: Seconds beside the lease: rounding, and the step of a first byte.
MARGIN: Final = 0.5


@dataclass(slots=True)
class Move:
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
            (one for one in self.document.workspaces if one.name == name),
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
        self.moves: list[Move] = []
        self.lag: float = 0
        self._clock = clock
        self._objects = objects
        self._withdrawn: dict[tuple[str, int], float] = {}

    @property
    def bound(self) -> float:
        """Return seconds until a revision is in force on all that confirm."""
        return LEASE + MARGIN + self.lag

    def watch(self, row: Row) -> None:
        """Take in a row that was written."""
        if row.key != HEAD_KEY:
            return
        now = self._clock.now()
        head = msgspec.json.decode(row.text, type=Head)
        content = self._objects[f'configuration/{head.digest}']
        document = decode_document(content)
        if self.moves:
            self.moves[-1].until = now
        self.moves.append(Move(now, head, document))
        for fact in head.withdrawals:
            self._withdrawn.setdefault((fact.version, fact.epoch), now)

    def differs(self, accepted: AcceptedConfiguration) -> bool:
        """Tell whether a host has something else than was written."""
        return not any(
            move.head.revision == accepted.revision
            and move.head.preset == accepted.preset
            and move.head.digest == accepted.digest
            for move in self.moves[-200:]
        )

    def recent(self) -> list[Move]:
        """Return the revisions that a confirmed host may have in force."""
        since = self._clock.now() - self.bound
        return [move for move in self.moves if move.until >= since]

    def forbids_version(
        self,
        name: WorkspaceId,
        version: VersionId,
        held: int | None,
    ) -> str:
        """Say why a confirmed host may not use a version; empty if it may.

        Args:
            name: The workspace.
            version: The version.
            held: The epoch to which a session's token holds, if one does.
        """
        allowing = [
            move
            for move in self.recent()
            if version in _versions(move.workspace(name))
        ]
        if not allowing:
            return f'{name} may not use {version} any more'
        late = self._clock.now() - self.bound
        for move in allowing:
            epoch = move.epoch(version) if held is None else held
            if not self._is_withdrawn(version, epoch, late):
                return ''
        return f'{version} was withdrawn more than {self.bound} s ago'

    def forbids_service(self, name: WorkspaceId, service: str) -> str:
        """Say why a confirmed host may not call a service."""
        for move in self.recent():
            entry = move.workspace(name)
            if entry is not None and service in entry.services:
                return ''
        return f'{name} may not call {service} any more'

    def isolated_version(
        self,
        host: SoakHost,
        name: WorkspaceId,
        version: VersionId,
    ) -> str:
        """Say why an isolated host may not use a version."""
        own = self._own(host)
        if own is None:
            return 'the host has no revision that was ever written'
        entry = next(one for one in own.document.versions if one.id == version)
        if not entry.isolated or entry.stage is Stage.ROLLOUT:
            return f'{version} is not for isolated hosts'
        if version not in _versions(own.workspace(name)):
            return f'{name} may not use {version}'
        return self.isolated_service(host, name)

    def isolated_service(self, host: SoakHost, name: WorkspaceId) -> str:
        """Say why an isolated host may not serve a workspace at all."""
        own = self._own(host)
        entry = None if own is None else own.workspace(name)
        if entry is None:
            return f'there is no workspace {name}'
        if entry.isolation is not Isolation.SERVE:
            return f'{name} is not served in isolation'
        if host.configuration.confirmation_age > entry.isolation_limit:
            return f'{name} is not served that long in isolation'
        return ''

    def newest_epoch(self, version: str) -> int:
        """Return a version's newest epoch."""
        return self.moves[-1].epoch(VersionId(version))

    def is_withdrawn(self, version: VersionId) -> bool:
        """Tell whether the newest epoch of a version is withdrawn."""
        now = self._clock.now()
        return self._is_withdrawn(version, self.moves[-1].epoch(version), now)

    def _own(self, host: SoakHost) -> Move | None:
        """Return the revision that a host has in force."""
        for move in reversed(self.moves):
            if move.head.revision == host.configuration.revision:
                return move
        return None

    def _is_withdrawn(
        self,
        version: VersionId,
        epoch: int,
        by: float,
    ) -> bool:
        """Tell whether an epoch was withdrawn by a moment."""
        return any(
            name == version and upto >= epoch and at <= by
            for (name, upto), at in self._withdrawn.items()
        )


def _versions(entry: WorkspaceEntry | None) -> tuple[str, ...]:
    """Return the versions of a workspace that may be gone."""
    return () if entry is None else entry.versions
