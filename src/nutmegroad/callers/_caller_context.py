"""The components that the callers' HTTP interface uses."""

import random
from dataclasses import dataclass

from nutmegroad.callers.model_routes import ModelRoutes
from nutmegroad.callers.service_routes import ServiceRoutes
from nutmegroad.configuration.in_force import Configuration
from nutmegroad.foundations.clocks import Clock
from nutmegroad.foundations.metrics import Metrics
from nutmegroad.records.forwards import Forwarder
from nutmegroad.records.tickets import TicketIssuer


@dataclass(frozen=True, slots=True)
class CallerContext:
    """The components that the callers' HTTP interface uses.

    Attributes:
        configuration: The configuration in force.
        models: Answers model requests.
        services: Makes calls to plain services.
        issuer: Issues tickets.
        forwarder: Forwards requests to the hosts that issued their tickets.
        metrics: Counts refusals.
        clock: The host's clock.
        randomness: Source of random request ids.
    """

    configuration: Configuration
    models: ModelRoutes
    services: ServiceRoutes
    issuer: TicketIssuer
    forwarder: Forwarder
    metrics: Metrics
    clock: Clock
    randomness: random.Random
