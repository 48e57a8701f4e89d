"""The part that decides where requests go."""

from nutmegroad.attempts import Attempter
from nutmegroad.configuration import Configuration
from nutmegroad.core import Kernel
from nutmegroad.decisions import Observers, Quarantine
from nutmegroad.directory import Directory
from nutmegroad.dispatch import Dispatcher, Policies
from nutmegroad.gates import Gatekeeper
from nutmegroad.policies import (
    CheapestPlanner,
    CountedRetries,
    LeastInFlight,
    NoQuarantine,
    OpenAdmitter,
)
from nutmegroad.registry import register
from nutmegroad.services import ServiceCaller
from nutmegroad.upstreams import EngineClient, ServiceClient


@register('part', 'routing')
class RoutingPart:
    """Provides the dispatcher and the caller of plain services."""

    needs = (Configuration, Directory, EngineClient, ServiceClient)

    async def open(self, kernel: Kernel) -> None:
        """Put the decisions together."""
        configuration = kernel.need(Configuration)
        directory = kernel.need(Directory)
        quarantine = NoQuarantine()
        kernel.provide(Quarantine, quarantine)
        gatekeeper = Gatekeeper(configuration, kernel.clock, quarantine)
        observers = Observers()
        kernel.provide(Gatekeeper, gatekeeper)
        kernel.provide(Observers, observers)
        attempter = Attempter(
            kernel.need(EngineClient),
            directory,
            observers,
            configuration,
            kernel.clock,
        )
        policies = Policies(
            OpenAdmitter(),
            CheapestPlanner(configuration),
            LeastInFlight(directory, kernel.randomness),
            CountedRetries(),
        )
        dispatcher = Dispatcher(
            policies,
            gatekeeper,
            attempter,
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
