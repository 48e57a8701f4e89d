"""Objects that the executions of one host share."""

from dataclasses import dataclass
from typing import Protocol

from nutmegroad.canary.gate import AttemptOutcome
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import ServiceName
from nutmegroad.overload.memory_budget import MemoryBudget
from nutmegroad.relay.attempts import AttemptRunner
from nutmegroad.relay.budgets import RepeatBudget
from nutmegroad.relay.counters import RelayCounters
from nutmegroad.relay.crashes import CrashMonitor
from nutmegroad.routes.requests import CallerRequest
from nutmegroad.upstreams.directory import Directory, SoftwareVersion, Upstream
from nutmegroad.upstreams.placement import Placement
from nutmegroad.upstreams.selection import Selector


class VersionGate(Protocol):
    """Decides which versions of a service's software may execute a request."""

    def permitted(
        self,
        request: CallerRequest,
        service: ServiceName,
    ) -> tuple[Upstream, ...]:
        """Return the upstreams that may execute a request now."""

    def sent(
        self,
        request: CallerRequest,
        service: ServiceName,
        version: SoftwareVersion,
    ) -> None:
        """Record the version that a request is sent to."""

    def ended(
        self,
        request: CallerRequest,
        service: ServiceName,
        version: SoftwareVersion,
    ) -> None:
        """Record the end of a request that may have been executed."""

    def observe(
        self,
        request: CallerRequest,
        upstream: Upstream,
        observed: AttemptOutcome,
    ) -> None:
        """Record the outcome of an attempt as evidence on its version."""


@dataclass(frozen=True, slots=True)
class RelayContext:
    """Objects that executions share.

    Attributes:
        attempts: Sends requests to chosen upstreams.
        selector: Chooses upstreams.
        directory: All upstreams.
        budget: Limits repeats.
        version_gate: Decides which versions may execute a request.
        clock: The host's clock.
        counters: The host's metrics.
        crashes: Records the requests under which upstreams terminate.
        placement: Failure domains and regions in which requests may run.
        memory: The bytes that are held for requests.
    """

    attempts: AttemptRunner
    selector: Selector
    directory: Directory
    budget: RepeatBudget
    version_gate: VersionGate
    clock: Clock
    counters: RelayCounters
    crashes: CrashMonitor
    placement: Placement
    memory: MemoryBudget
