"""The simplest policy for each kind of decision, used as baselines."""

from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.decisions import (
    AttemptEnd,
    AttemptStart,
    RetryRequester,
)
from nutmegroad.contracts.documents import VersionEntry
from nutmegroad.contracts.requests import ModelRequest, Plan
from nutmegroad.foundations.results import Refusal, ResultCode
from nutmegroad.foundations.types import TaskName, VersionId
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import register
from nutmegroad.quality.prices import cost_of


class CheapestPlanner:
    """Selects the cheapest version whose declared quality is sufficient.

    Args:
        configuration: The current configuration.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration

    def plan(self, request: ModelRequest) -> Plan | Refusal:
        """Return a plan of one step."""
        plans = [
            self._single(request, entry)
            for entry in map(
                self._configuration.version_entry, request.versions
            )
            if entry is not None
        ]
        fit = [plan for plan in plans if plan.quality >= request.target]
        if not fit:
            return Refusal(
                ResultCode.NO_PLAN,
                f'No allowed version meets the target {request.target} of '
                f'the task {request.task!r}.',
            )
        return min(fit, key=lambda plan: plan.cost)

    def estimate(self, request: ModelRequest, end: AttemptEnd) -> float:
        """Return the quality declared by the version's owner."""
        entry = self._configuration.version_entry(end.start.version)
        return entry.quality.get(request.task, 0) if entry else 0

    def _single(self, request: ModelRequest, entry: VersionEntry) -> Plan:
        """Return the plan that requests one version."""
        return Plan(
            steps=(entry.version,),
            accept=(),
            cost=cost_of(entry, request.prompt_tokens, request.output_tokens),
            quality=entry.quality.get(request.task, 0),
            reason='cheapest version whose declared quality meets the target',
        )


class OpenAdmitter:
    """Admits every request."""

    async def admit(
        self,
        request: ModelRequest,
    ) -> AbstractContextManager[None] | Refusal:
        """Return a permit."""
        return _permit()


class UnboundedRetries:
    """Allows every retry; the dispatcher's own limit still applies."""

    def spend(self, request: RetryRequester) -> bool:
        """Allow the retry."""
        return True

    def started(self, start: AttemptStart) -> None:
        """Ignore the start of an attempt."""

    def ended(self, end: AttemptEnd) -> None:
        """Ignore the end of an attempt."""


class NoQuarantine:
    """Blocks nothing."""

    def blocked(self, version: VersionId, task: TaskName) -> Refusal | None:
        """Return None."""


@register('planner', 'cheapest')
def cheapest_planner(kernel: Kernel) -> CheapestPlanner:
    """Create the planner of a host."""
    return CheapestPlanner(kernel.need(Configuration))


@register('admitter', 'open')
def open_admitter(kernel: Kernel) -> OpenAdmitter:
    """Create the admitter of a host."""
    return OpenAdmitter()


@register('service-retries', 'unbounded')
@register('retries', 'unbounded')
def unbounded_retries(kernel: Kernel) -> UnboundedRetries:
    """Create the retry budget of a host."""
    return UnboundedRetries()


@register('quarantine', 'none')
def no_quarantine(kernel: Kernel) -> NoQuarantine:
    """Create the quarantine of a host."""
    return NoQuarantine()


@contextmanager
def _permit() -> Iterator[None]:
    """Return a permit that limits nothing."""
    yield
