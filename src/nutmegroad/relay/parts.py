"""What the executions of one host share."""

from dataclasses import dataclass
from typing import Protocol

from nutmegroad.canary.gate import Observed
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.types import ServiceName
from nutmegroad.relay.attempts import Attempts
from nutmegroad.relay.budgets import RepeatBudget
from nutmegroad.relay.counters import RelayCounters
from nutmegroad.relay.crashes import CrashWatch
from nutmegroad.routes.requests import CallerRequest
from nutmegroad.upstreams.directory import Directory, SoftwareVersion, Upstream
from nutmegroad.upstreams.selection import Selector


class VersionGate(Protocol):
    """Decides which versions of a service's software may run a request."""

    def permitted(
        self,
        request: CallerRequest,
        service: ServiceName,
    ) -> tuple[Upstream, ...]:
        """Return the upstreams that may run a request now."""

    def sent(
        self,
        request: CallerRequest,
        service: ServiceName,
        version: SoftwareVersion,
    ) -> None:
        """Remember to which version a request is sent."""

    def ended(
        self,
        request: CallerRequest,
        service: ServiceName,
        version: SoftwareVersion,
    ) -> None:
        """Remember that a request that may have run is over."""

    def observe(
        self,
        request: CallerRequest,
        upstream: Upstream,
        observed: Observed,
    ) -> None:
        """Take in how an upstream's version answered a request."""


@dataclass(frozen=True, slots=True)
class RelayParts:
    """What executions share.

    Attributes:
        attempts: Makes attempts.
        selector: Chooses upstreams.
        directory: All upstreams.
        budget: Bounds repeats.
        versions: Says which versions may run a request.
        clock: The host's clock.
        counters: What is counted.
        crashes: Notes under which requests upstreams end.
    """

    attempts: Attempts
    selector: Selector
    directory: Directory
    budget: RepeatBudget
    versions: VersionGate
    clock: Clock
    counters: RelayCounters
    crashes: CrashWatch
