"""The part that decides where requests go."""

from nutmegroad.attempts import Attempter
from nutmegroad.configuration import Configuration
from nutmegroad.core import Kernel
from nutmegroad.decisions import Observers, Quarantine
from nutmegroad.directory import Directory
from nutmegroad.dispatch import Dispatcher
from nutmegroad.estimates import Estimates
from nutmegroad.gates import Gatekeeper
from nutmegroad.invariants import Invariants
from nutmegroad.metrics import Metrics
from nutmegroad.registry import lookup, register
from nutmegroad.services import ServiceCaller
from nutmegroad.steps import Instruments, Policies
from nutmegroad.upstreams import EngineClient, ServiceClient


@register('part', 'routing')
class RoutingPart:
    """Provides the dispatcher and the caller of plain services."""

    needs = (
        Configuration,
        Directory,
        EngineClient,
        ServiceClient,
        Invariants,
        # Planners may follow the estimates.
        Estimates,
    )

    async def open(self, kernel: Kernel) -> None:
        """Put the decisions together."""
        configuration = kernel.need(Configuration)
        directory = kernel.need(Directory)
        settings = kernel.settings
        # Observers come first: policies learn through them.
        observers = Observers()
        kernel.provide(Observers, observers)
        quarantine = lookup('quarantine', settings.quarantine)(kernel)
        kernel.provide(Quarantine, quarantine)
        gatekeeper = Gatekeeper(configuration, kernel.clock, quarantine)
        kernel.provide(Gatekeeper, gatekeeper)
        attempter = Attempter(
            kernel.need(EngineClient),
            directory,
            observers,
            configuration,
            kernel.clock,
        )
        policies = Policies(
            lookup('admitter', settings.admitter)(kernel),
            lookup('planner', settings.planner)(kernel),
            lookup('selector', settings.selector)(kernel),
            lookup('retries', settings.retries)(kernel),
        )
        kernel.provide(Policies, policies)
        dispatcher = Dispatcher(
            policies,
            gatekeeper,
            attempter,
            Instruments(kernel.need(Metrics), kernel.need(Invariants)),
            kernel.clock,
            kernel.randomness,
        )
        kernel.provide(Dispatcher, dispatcher)
        services = ServiceCaller(
            kernel.need(ServiceClient),
            directory,
            gatekeeper,
            configuration,
            kernel.clock,
            kernel.randomness,
        )
        kernel.provide(ServiceCaller, services)
