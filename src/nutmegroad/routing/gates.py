"""The final check of an attempt, made in the step that sends its first byte.

The check uses the state at that time rather than at planning time: while
the request waited, a version may have been withdrawn, or an upstream may
have started to drain.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.decisions import Quarantine
from nutmegroad.contracts.documents import Isolation, Stage, WorkspaceEntry
from nutmegroad.contracts.fences import AttemptFence
from nutmegroad.contracts.upstreams import (
    Gate,
    LimitCallback,
    UpstreamState,
    ignore_limit,
)
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import (
    Epoch,
    ServiceName,
    TaskName,
    UpstreamInfo,
    VersionId,
    WorkspaceId,
)
from nutmegroad.upstreams.upstream_limits import UpstreamLimits


@dataclass(frozen=True, slots=True)
class GateContext:
    """The attempt that a gate checks.

    Attributes:
        workspace: The workspace of the caller.
        task: The task class; empty for a call to a plain service.
        version: The version; empty for a call to a plain service.
        service: The plain service; empty for a model request.
        epoch: The epoch that a session is bound to; None for the current one.
        upstream: The upstream that would receive the first byte.
        deadline: Clock seconds at which the caller gives up.
        attempt_fence: The attempt's part of the fence of its request. It is
            checked last, so that an attempt it admits is sent.
    """

    workspace: WorkspaceId
    task: TaskName
    version: VersionId
    service: ServiceName
    epoch: Epoch | None
    upstream: UpstreamState
    deadline: float
    attempt_fence: AttemptFence | None = None


#: Returns why this host may send nothing now, or None.
HostCondition = Callable[[], Refusal | None]

#: Waits until a paused host may send again, for a limited time.
PauseWaiter = Callable[[], Awaitable[None]]


class Gatekeeper:
    """Creates the gates for this host's attempts.

    Args:
        configuration: The configuration in force.
        clock: The host's clock.
        quarantine: Blocks versions that this host has stopped using on its
            own evidence.
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
        self._conditions: list[HostCondition] = []
        self._pause_waiters: list[PauseWaiter] = []
        #: Limits the requests to upstreams that say how many they take.
        self.limits: UpstreamLimits | None = None

    def add_condition(self, condition: HostCondition) -> None:
        """Add a condition that must hold before this host sends anything."""
        self._conditions.append(condition)

    def on_pause(self, waiter: PauseWaiter) -> None:
        """Add a function that waits for the end of a pause."""
        self._pause_waiters.append(waiter)

    async def wait_while_paused(self) -> bool:
        """Wait while this host may send nothing because of a pause.

        Returns:
            Whether it waited, and may send again.
        """
        if not self._is_paused():
            return False
        for waiter in self._pause_waiters:
            await waiter()
        return not self._is_paused()

    def gate(self, context: GateContext) -> Gate:
        """Return the gate for one attempt."""

        def check() -> Refusal | None:
            """Run all checks, the attempt fence last."""
            refusal = self.check(context)
            if refusal is None and self.limits is not None:
                refusal = self.limits.take(context.upstream.info)
            if refusal is None and context.attempt_fence is not None:
                return context.attempt_fence.admit()
            return refusal

        return check

    def limit_callback(self, upstream: UpstreamInfo) -> LimitCallback:
        """Return what records the limit that an answer names."""
        if self.limits is None:
            return ignore_limit
        return self.limits.callback(upstream)

    def check(self, context: GateContext) -> Refusal | None:
        """Return why the first byte must not be sent, or None."""
        refusal = self.host_refusal()
        if refusal is not None:
            return refusal
        if self._clock.now() >= context.deadline:
            return Refusal(
                ResultCode.DEADLINE_PASSED,
                'The deadline passed before the request was sent.',
            )
        upstream = context.upstream
        if not upstream.accepts_requests:
            return Refusal(
                ResultCode.UPSTREAM_LEAVING,
                f'The upstream {upstream.info.upstream} is draining.',
            )
        workspace = self._workspace(context.workspace)
        if isinstance(workspace, Refusal):
            return workspace
        if context.service:
            return self._check_service(context, workspace)
        return self._check_version(context, workspace)

    def host_refusal(self) -> Refusal | None:
        """Return why this host may send nothing now, or None."""
        for condition in self._conditions:
            refusal = condition()
            if refusal is not None:
                return refusal
        return None

    def _is_paused(self) -> bool:
        """Return whether nothing may be sent because of a pause."""
        refusal = self.host_refusal()
        return refusal is not None and refusal.code is ResultCode.HOST_PAUSED

    def check_version(
        self,
        workspace: WorkspaceId,
        task: TaskName,
        version: VersionId,
        epoch: Epoch | None,
    ) -> Refusal | None:
        """Return why a version may not answer now, on any upstream."""
        entry = self._workspace(workspace)
        if isinstance(entry, Refusal):
            return entry
        return self._version_refusal(entry, task, version, epoch)

    def _workspace(self, name: WorkspaceId) -> WorkspaceEntry | Refusal:
        """Return the workspace's current entry, or why there is none."""
        if (
            self._configuration.accepted
            and self._configuration.needs_confirmation
        ):
            return Refusal(
                ResultCode.HOST_PAUSED,
                'This host was paused and must confirm its configuration.',
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
            f'The configuration has no workspace {name!r}.',
        )

    def _check_service(
        self,
        context: GateContext,
        workspace: WorkspaceEntry,
    ) -> Refusal | None:
        """Check a call to a plain service."""
        if context.service not in workspace.services:
            return Refusal(
                ResultCode.SERVICE_UNKNOWN,
                f'The workspace {workspace.name!r} may not call the service '
                f'{context.service!r}.',
            )
        return self._isolation_refusal(workspace)

    def _check_version(
        self,
        context: GateContext,
        workspace: WorkspaceEntry,
    ) -> Refusal | None:
        """Check a model request."""
        return self._version_refusal(
            workspace,
            context.task,
            context.version,
            context.epoch,
        )

    def _version_refusal(
        self,
        workspace: WorkspaceEntry,
        task: TaskName,
        version: VersionId,
        epoch: Epoch | None,
    ) -> Refusal | None:
        """Return why a version may not answer now."""
        entry = self._configuration.version_entry(version)
        if entry is None or version not in workspace.versions:
            return Refusal(
                ResultCode.VERSION_NOT_ALLOWED,
                f'The workspace {workspace.name!r} may not use {version}.',
            )
        checked_epoch = Epoch(entry.epoch) if epoch is None else epoch
        if self._configuration.is_withdrawn(version, checked_epoch):
            return Refusal(
                ResultCode.VERSION_WITHDRAWN,
                f'The version {version} has been withdrawn.',
            )
        if self._configuration.isolated:
            if entry.stage is Stage.ROLLOUT or not entry.isolated:
                return Refusal(
                    ResultCode.ISOLATED,
                    f'Without a confirmed configuration, {version} may not '
                    'be used now.',
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
        """Return why an isolated host may not serve a workspace."""
        if not self._configuration.isolated:
            return None
        age = self._configuration.confirmation_age
        may_serve = workspace.isolation is Isolation.SERVE
        if may_serve and age <= workspace.isolation_limit:
            return None
        return Refusal(
            ResultCode.ISOLATED,
            'This host has no confirmed configuration, and the workspace '
            f'{workspace.name!r} is not served in isolation.',
            retry_after=2,
        )
