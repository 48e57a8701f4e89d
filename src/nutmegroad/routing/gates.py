"""The last check, in one step with the first byte of every attempt.

It looks at what holds at that moment, not at what held when the request
was planned: a version may have been withdrawn or an upstream have begun
to leave while the request waited.
"""

from collections.abc import Callable
from dataclasses import dataclass

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.decisions import Quarantine
from nutmegroad.contracts.documents import Isolation, Stage, WorkspaceEntry
from nutmegroad.contracts.fences import AttemptFence
from nutmegroad.contracts.upstreams import Gate, UpstreamState
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    Epoch,
    ServiceName,
    TaskName,
    VersionId,
    WorkspaceId,
)


@dataclass(frozen=True, slots=True)
class Passage:
    """What a gate is asked about.

    Attributes:
        workspace: Who asks.
        task: The task class; empty for a plain service's call.
        version: The version; empty for a plain service's call.
        service: The plain service; empty for a model's request.
        epoch: The epoch that a session holds to; None for the present one.
        upstream: Where the first byte would go.
        deadline: Clock seconds at which the caller gives up.
        attempt_fence: The attempt's way through the fence of its request; it
            is asked last, so what it lets pass goes out.
    """

    workspace: WorkspaceId
    task: TaskName
    version: VersionId
    service: ServiceName
    epoch: Epoch | None
    upstream: UpstreamState
    deadline: float
    attempt_fence: AttemptFence | None = None


#: Tells why this host may send nothing now, or None.
Condition = Callable[[], Refusal | None]


class Gatekeeper:
    """Makes the gates of this host's attempts.

    Args:
        configuration: What is in force.
        clock: The host's clock.
        quarantine: Versions that evidence speaks against.
    """

    def __init__(
        self,
        configuration: Configuration,
        clock: Clock,
        quarantine: Quarantine,
    ) -> None:
        self._configuration = configuration
        self._clock = clock
        self._quarantine = quarantine
        self._conditions: list[Condition] = []

    def require(self, condition: Condition) -> None:
        """Hold every first byte to one more condition of the host."""
        self._conditions.append(condition)

    def gate(self, passage: Passage) -> Gate:
        """Return the check for one attempt."""

        def check() -> Refusal | None:
            """Look at everything once more."""
            refusal = self.check(passage)
            if refusal is None and passage.attempt_fence is not None:
                return passage.attempt_fence.check()
            return refusal

        return check

    def check(self, passage: Passage) -> Refusal | None:
        """Return why the first byte must not go out, or None."""
        refusal = self.host_refusal()
        if refusal is not None:
            return refusal
        if self._clock.now() >= passage.deadline:
            return Refusal(
                ResultCode.DEADLINE_PASSED,
                'The deadline passed before the request was sent.',
            )
        upstream = passage.upstream
        if not upstream.is_open:
            return Refusal(
                ResultCode.UPSTREAM_LEAVING,
                f'The upstream {upstream.info.upstream} is leaving.',
            )
        workspace = self._workspace(passage.workspace)
        if isinstance(workspace, Refusal):
            return workspace
        if passage.service:
            return self._check_service(passage, workspace)
        return self._check_version(passage, workspace)

    def host_refusal(self) -> Refusal | None:
        """Return why this host may send nothing now, or None."""
        for condition in self._conditions:
            refusal = condition()
            if refusal is not None:
                return refusal
        return None

    def check_version(
        self,
        workspace: WorkspaceId,
        task: TaskName,
        version: VersionId,
        epoch: Epoch | None,
    ) -> Refusal | None:
        """Return why a version may not answer now, wherever it runs."""
        entry = self._workspace(workspace)
        if isinstance(entry, Refusal):
            return entry
        return self._version_refusal(entry, task, version, epoch)

    def _workspace(self, name: WorkspaceId) -> WorkspaceEntry | Refusal:
        """Return the workspace's entry as it is now."""
        if self._configuration.accepted and self._configuration.must_confirm:
            return Refusal(
                ResultCode.HOST_PAUSED,
                'This host was paused and has to confirm its configuration.',
                retry_after=1,
            )
        accepted = self._configuration.accepted
        if accepted is None:
            return Refusal(
                ResultCode.CONFIGURATION_MISSING,
                'This host has no configuration yet.',
                retry_after=1,
            )
        for entry in accepted.document.workspaces:
            if entry.name == name:
                return entry
        return Refusal(
            ResultCode.UNAUTHENTICATED,
            f'The workspace {name!r} is not in the configuration.',
        )

    def _check_service(
        self,
        passage: Passage,
        workspace: WorkspaceEntry,
    ) -> Refusal | None:
        """Check a plain service's call."""
        if passage.service not in workspace.services:
            return Refusal(
                ResultCode.SERVICE_UNKNOWN,
                f'The workspace {workspace.name!r} may not call the service '
                f'{passage.service!r}.',
            )
        return self._isolation_refusal(workspace)

    def _check_version(
        self,
        passage: Passage,
        workspace: WorkspaceEntry,
    ) -> Refusal | None:
        """Check a model's request."""
        return self._version_refusal(
            workspace,
            passage.task,
            passage.version,
            passage.epoch,
        )

    def _version_refusal(
        self,
        workspace: WorkspaceEntry,
        task: TaskName,
        version: VersionId,
        epoch: Epoch | None,
    ) -> Refusal | None:
        """Return why a version may not answer now."""
        entry = self._configuration.entry(version)
        if entry is None or version not in workspace.versions:
            return Refusal(
                ResultCode.VERSION_NOT_ALLOWED,
                f'The workspace {workspace.name!r} may not use {version}.',
            )
        held = Epoch(entry.epoch) if epoch is None else epoch
        if self._configuration.is_withdrawn(version, held):
            return Refusal(
                ResultCode.VERSION_WITHDRAWN,
                f'The version {version} has been withdrawn.',
            )
        if self._configuration.isolated:
            if entry.stage is Stage.ROLLOUT or not entry.isolated:
                return Refusal(
                    ResultCode.ISOLATED,
                    f'No confirmed configuration allows {version} now.',
                    retry_after=2,
                )
            refusal = self._isolation_refusal(workspace)
            if refusal is not None:
                return refusal
        return self._quarantine.blocked(version, task)

    def _isolation_refusal(
        self,
        workspace: WorkspaceEntry,
    ) -> Refusal | None:
        """Return why an isolated host may not serve the workspace."""
        if not self._configuration.isolated:
            return None
        age = self._configuration.confirmation_age
        serve = workspace.isolation is Isolation.SERVE
        if serve and age <= workspace.isolation_limit:
            return None
        return Refusal(
            ResultCode.ISOLATED,
            'This host has no confirmed configuration, and the workspace '
            f'{workspace.name!r} is not served in isolation.',
            retry_after=2,
        )
