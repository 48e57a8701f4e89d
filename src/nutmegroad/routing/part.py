"""Kernel part that assembles the routing of requests to upstreams."""

from nutmegroad.configuration.in_force import Configuration
from nutmegroad.contracts.decisions import Observers, Quarantine
from nutmegroad.contracts.upstreams import EngineClient, ServiceClient
from nutmegroad.foundations.invariants import Invariants
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.kernel.core import Kernel
from nutmegroad.kernel.registry import lookup, register
from nutmegroad.overload.loop_monitor import LoopMonitor
from nutmegroad.quality.estimates import Estimates
from nutmegroad.routing.attempts import AttemptRunner
from nutmegroad.routing.directory import Directory
from nutmegroad.routing.dispatch import Dispatcher
from nutmegroad.routing.gates import Gatekeeper
from nutmegroad.routing.harmful import HarmfulRequests
from nutmegroad.routing.service_traffic import ServiceTraffic
from nutmegroad.routing.services import CallPolicies, ServiceCaller
from nutmegroad.routing.steps import Instruments, Policies


@register('part', 'routing')
class RoutingPart:
    """Provides the dispatcher and the caller of plain services."""

    needs = (
        Configuration,
        Directory,
        EngineClient,
        ServiceClient,
        Invariants,
        LoopMonitor,
        # Planners may use the quality estimates.
        Estimates,
    )

    async def open(self, kernel: Kernel) -> None:
        """Create the policies and what uses them."""
        configuration = kernel.need(Configuration)
        directory = kernel.need(Directory)
        settings = kernel.settings
        # Observers come first, since policies subscribe to them.
        observers = Observers()
        kernel.provide(Observers, observers)
        quarantine = lookup('quarantine', settings.quarantine)(kernel)
        kernel.provide(Quarantine, quarantine)
        gatekeeper = Gatekeeper(configuration, kernel.clock, quarantine)
        gatekeeper.limits = directory.limits
        kernel.provide(Gatekeeper, gatekeeper)
        attempt_runner = AttemptRunner(
            kernel.need(EngineClient),
            directory,
            observers,
            configuration,
            kernel.clock,
        )
        harmful = _make_harmful_requests(kernel)
        policies = Policies(
            lookup('admitter', settings.admitter)(kernel),
            lookup('planner', settings.planner)(kernel),
            lookup('selector', settings.selector)(kernel),
            lookup('retries', settings.retries)(kernel),
            harmful,
        )
        kernel.provide(Policies, policies)
        dispatcher = Dispatcher(
            policies,
            gatekeeper,
            attempt_runner,
            Instruments(kernel.need(Metrics), kernel.need(Invariants)),
            kernel.clock,
            kernel.randomness,
        )
        kernel.provide(Dispatcher, dispatcher)
        kernel.provide(
            ServiceCaller, _make_service_caller(kernel, gatekeeper, harmful)
        )


def _make_harmful_requests(kernel: Kernel) -> HarmfulRequests:
    """Return what decides which requests may not be sent to upstreams."""
    harmful = HarmfulRequests(kernel.need(EngineClient), kernel.clock)
    monitor = kernel.need(LoopMonitor)
    harmful.own_delay = lambda: monitor.own_delay
    return harmful


def _make_service_caller(
    kernel: Kernel, gatekeeper: Gatekeeper, harmful: HarmfulRequests
) -> ServiceCaller:
    """Return the caller of plain services."""
    retries = lookup('service-retries', kernel.settings.retries)(kernel)
    traffic = ServiceTraffic(retries, kernel.need(Metrics), kernel.clock)
    return ServiceCaller(
        kernel.need(ServiceClient),
        kernel.need(Directory),
        gatekeeper,
        kernel.need(Configuration),
        CallPolicies(traffic, harmful),
        kernel.clock,
        kernel.randomness,
    )
